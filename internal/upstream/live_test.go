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

// suite is the test that runs all specs; those in virtual time need it.
var suite *testing.T

func TestUpstream(t *testing.T) {
	suite = t
	spec.Run(t, "An upstream")
}

var _ = Describe("a live version", func() {
	k := modelKey{organisation: "gym", model: "desk"}

	It("is held by its requests until they end, and admits no new ones once withdrawn", func() {
		l := NewLiveVersions()
		l.Announce(k, "v1", "r1")
		var wait sync.WaitGroup
		for range 8 {
			_, release, ok := l.Acquire(k, "r1")
			Expect(ok).To(BeTrue())
			wait.Go(func() {
				time.Sleep(20 * time.Millisecond)
				release()
			})
		}
		Expect(l.Withdraw(k)).To(BeTrue())
		_, _, ok := l.Acquire(k, "r1")
		Expect(ok).To(BeFalse())
		Expect(l.List()).To(BeEmpty())
		shortCtx, stop := context.WithTimeout(context.Background(), time.Millisecond)
		defer stop()
		Expect(l.WaitIdle(shortCtx, k)).To(BeFalse())
		Expect(l.WaitIdle(context.Background(), k)).To(BeTrue())
		wait.Wait()
	})

	It("still counts the requests on it after it was withdrawn and announced again", func() {
		l := NewLiveVersions()
		l.Announce(k, "v1", "r1")
		_, release, ok := l.Acquire(k, "r1")
		Expect(ok).To(BeTrue())
		Expect(l.Withdraw(k)).To(BeTrue())
		Expect(l.Announce(k, "v1", "r1")).To(BeTrue())
		shortCtx, stop := context.WithTimeout(context.Background(), time.Millisecond)
		defer stop()
		Expect(l.WaitIdle(shortCtx, k)).To(BeFalse())
		release()
		Expect(l.WaitIdle(context.Background(), k)).To(BeTrue())
	})

	It("is not acquired for another rollout", func() {
		l := NewLiveVersions()
		l.Announce(k, "v2", "r2")
		_, _, ok := l.Acquire(k, "r1")
		Expect(ok).To(BeFalse())
	})
})

var _ = Describe("an idempotency key", func() {
	It("is claimed once, retained for a limited time, and available again when its request was not run", func() {
		now := time.Unix(0, 0)
		o := NewIdempotencyCache(func() time.Time { return now })
		k := idempotencyKey{organisation: "gym", key: "k"}
		e, first := o.claim(k)
		Expect(first).To(BeTrue())
		_, again := o.claim(k)
		Expect(again).To(BeFalse())
		_, other := o.claim(idempotencyKey{organisation: "hut", key: "k"})
		Expect(other).To(BeTrue(), "the same key of another organisation")
		e.setState(recordNotRun)
		o.removeIfNotRun(k, e)
		e, first = o.claim(k)
		Expect(first).To(BeTrue())
		e.setState(recordDone)
		o.removeIfNotRun(k, e)
		now = now.Add(outcomeRetention - time.Second)
		_, first = o.claim(k)
		Expect(first).To(BeFalse())
		now = now.Add(2 * outcomeRetention)
		_, first = o.claim(k)
		Expect(first).To(BeTrue())
	})
})
