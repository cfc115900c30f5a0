package clock

import (
	"errors"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/springrail/springrail/internal/spec"
)

func TestClock(t *testing.T) {
	spec.Run(t, "The clock")
}

// vm simulates the clocks of a VM that can be suspended.
type vm struct {
	monotonic, boot time.Duration
	err             error
}

var startTime = time.Now()

func (v *vm) clock() *Clock {
	return New(func() time.Time { return startTime.Add(v.monotonic) }, func() (time.Duration, error) { return v.boot, v.err })
}

func (v *vm) run(d time.Duration) {
	v.monotonic += d
	v.boot += d
}

var _ = Describe("the clock", func() {
	It("includes a suspension from 2 ms after the resume", func() {
		v := &vm{boot: time.Hour}
		c := v.clock()
		v.run(time.Second)
		Expect(c.Now().Sub(startTime)).To(Equal(time.Second))
		v.boot += 5 * time.Second
		v.run(readInterval)
		Expect(c.Now().Sub(startTime)).To(Equal(6*time.Second + readInterval))
		Expect(c.Suspended()).To(Equal(5 * time.Second))
		v.boot += time.Second
		v.run(time.Minute)
		Expect(c.Now().Sub(startTime)).To(Equal(67*time.Second + readInterval))
	})

	It("includes a suspension at once in a time from a new reading", func() {
		v := &vm{boot: time.Hour}
		c := v.clock()
		v.run(time.Second)
		Expect(c.Now()).To(Equal(startTime.Add(time.Second)))
		v.boot += time.Minute
		Expect(c.Now()).To(Equal(startTime.Add(time.Second)))
		Expect(c.ReadNow()).To(Equal(startTime.Add(time.Second + time.Minute)))
	})

	It("follows the monotonic clock if the boot-time clock can't be read", func() {
		v := &vm{err: errors.New("none")}
		c := v.clock()
		v.run(time.Second)
		Expect(c.Now().Sub(startTime)).To(Equal(time.Second))
		Expect(c.failedReadings.Load()).To(BeEquivalentTo(2))
	})

	It("never decreases, and never exceeds the time since the start", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			v := &vm{boot: time.Hour}
			c := v.clock()
			last := c.Now()
			for _, ms := range rapid.SliceOfN(rapid.IntRange(-5000, 50), 1, 30).Draw(t, "runs, or is suspended") {
				if ms < 0 {
					v.boot += time.Duration(-ms) * time.Millisecond
				} else {
					v.run(time.Duration(ms) * time.Millisecond)
				}
				now := c.Now()
				if now.Before(last) || now.Sub(startTime) > v.boot-time.Hour {
					t.Fatalf("%v after %v at %v", now.Sub(startTime), last.Sub(startTime), v.boot-time.Hour)
				}
				last = now
			}
		})
	})

	It("reads the clocks of this VM", func() {
		Expect(Now().Sub(time.Now())).To(BeNumerically("~", Suspended(), 10*time.Millisecond))
		Expect(FailedReadings()).To(BeZero())
	})
})

func BenchmarkNow(b *testing.B) {
	b.Run("Now", func(b *testing.B) {
		for b.Loop() {
			Now()
		}
	})
	b.Run("standard library", func(b *testing.B) {
		for b.Loop() {
			_ = time.Now()
		}
	})
	b.Run("reading the boot-time clock", func(b *testing.B) {
		for b.Loop() {
			systemClock.readClocks()
		}
	})
}
