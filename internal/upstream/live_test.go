package upstream

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/spec"
)

func TestUpstream(t *testing.T) {
	spec.Run(t, "An upstream")
}

var _ = Describe("a live version", func() {
	k := modelKey{organisation: "gym", model: "desk"}

	It("is held by its requests: a swap waits for them, and takes no new ones", func() {
		l := NewLiveVersions()
		l.Announce(k, "v1", "r1")
		var wait sync.WaitGroup
		for range 8 {
			_, leave, ok := l.Acquire(k, "r1")
			Expect(ok).To(BeTrue())
			wait.Go(func() {
				time.Sleep(20 * time.Millisecond)
				leave()
			})
		}
		Expect(l.Withdraw(k)).To(BeTrue())
		_, _, ok := l.Acquire(k, "r1")
		Expect(ok).To(BeFalse())
		Expect(l.List()).To(BeEmpty())
		short, stop := context.WithTimeout(context.Background(), time.Millisecond)
		defer stop()
		Expect(l.WaitIdle(short, k)).To(BeFalse())
		Expect(l.WaitIdle(context.Background(), k)).To(BeTrue())
		wait.Wait()
	})

	It("is not entered for another rollout", func() {
		l := NewLiveVersions()
		l.Announce(k, "v2", "r2")
		_, _, ok := l.Acquire(k, "r1")
		Expect(ok).To(BeFalse())
	})
})

var _ = Describe("a key", func() {
	It("is claimed once, kept for its time, and free again where nothing ran", func() {
		now := time.Unix(0, 0)
		o := NewIdempotencyCache(func() time.Time { return now })
		k := onceKey{organisation: "gym", key: "k"}
		e, first := o.begin(k)
		Expect(first).To(BeTrue())
		_, again := o.begin(k)
		Expect(again).To(BeFalse())
		_, other := o.begin(onceKey{organisation: "hut", key: "k"})
		Expect(other).To(BeTrue(), "organisations do not meet")
		e.finish(onceNotRun)
		o.end(k, e)
		e, first = o.begin(k)
		Expect(first).To(BeTrue())
		e.finish(onceDone)
		o.end(k, e)
		now = now.Add(onceKept - time.Second)
		_, first = o.begin(k)
		Expect(first).To(BeFalse())
		now = now.Add(2 * onceKept)
		_, first = o.begin(k)
		Expect(first).To(BeTrue())
	})
})
