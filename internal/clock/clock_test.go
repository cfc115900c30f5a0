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

// vm plays the clocks of a VM that may be suspended.
type vm struct {
	steady, boot time.Duration
	err          error
}

var began = time.Now()

func (v *vm) clock() *Clock {
	return New(func() time.Time { return began.Add(v.steady) }, func() (time.Duration, error) { return v.boot, v.err })
}

func (v *vm) runs(d time.Duration) {
	v.steady += d
	v.boot += d
}

var _ = Describe("the clock", func() {
	It("counts suspensions, from 2 ms after waking on", func() {
		v := &vm{boot: time.Hour}
		c := v.clock()
		v.runs(time.Second)
		Expect(c.Now().Sub(began)).To(Equal(time.Second))
		v.boot += 5 * time.Second
		v.runs(readEvery)
		Expect(c.Now().Sub(began)).To(Equal(6*time.Second + readEvery))
		Expect(c.Suspended()).To(Equal(5 * time.Second))
		v.boot += time.Second
		v.runs(time.Minute)
		Expect(c.Now().Sub(began)).To(Equal(67*time.Second + readEvery))
	})

	It("goes on as the steady clock where the system does not tell", func() {
		v := &vm{err: errors.New("none")}
		c := v.clock()
		v.runs(time.Second)
		Expect(c.Now().Sub(began)).To(Equal(time.Second))
		Expect(c.failed.Load()).To(BeEquivalentTo(2))
	})

	It("never goes back, and never ahead of the time since the start", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			v := &vm{boot: time.Hour}
			c := v.clock()
			last := c.Now()
			for _, ms := range rapid.SliceOfN(rapid.IntRange(-5000, 50), 1, 30).Draw(t, "runs, or is suspended") {
				if ms < 0 {
					v.boot += time.Duration(-ms) * time.Millisecond
				} else {
					v.runs(time.Duration(ms) * time.Millisecond)
				}
				now := c.Now()
				if now.Before(last) || now.Sub(began) > v.boot-time.Hour {
					t.Fatalf("%v after %v at %v", now.Sub(began), last.Sub(began), v.boot-time.Hour)
				}
				last = now
			}
		})
	})

	It("is that of this VM", func() {
		Expect(Now().Sub(time.Now())).To(BeNumerically("~", Suspended(), 10*time.Millisecond))
		Expect(FailedReadings()).To(BeZero())
	})
})

func BenchmarkNow(b *testing.B) {
	b.Run("usual", func(b *testing.B) {
		for b.Loop() {
			Now()
		}
	})
	b.Run("standard library", func(b *testing.B) {
		for b.Loop() {
			_ = time.Now()
		}
	})
	b.Run("reading the system's", func(b *testing.B) {
		for b.Loop() {
			system.look()
		}
	})
}
