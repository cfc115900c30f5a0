package swapplan

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/springrail/springrail/internal/spec"
)

func TestSwapPlan(t *testing.T) {
	spec.Run(t, "The plan of a swap")
}

var start = time.Unix(1000, 0)

// drawn is a view with a version staged some time before or after the end of the one that is served.
func drawn(t *rapid.T) Inputs {
	size := rapid.IntRange(1, 60).Draw(t, "size")
	return Inputs{
		StagedAt:      start.Add(time.Duration(rapid.IntRange(0, 9000).Draw(t, "staged")) * time.Millisecond),
		ServableUntil: start.Add(time.Duration(rapid.IntRange(0, 9000).Draw(t, "until")) * time.Millisecond),
		Size:          size, Rank: rapid.IntRange(0, size-1).Draw(t, "rank"),
		SwapDuration: time.Duration(rapid.IntRange(1, 3000).Draw(t, "out")) * time.Millisecond,
	}
}

var _ = Describe("the moment at which an upstream changes over", func() {
	It("is after the version is there, and before the old one ends if that is possible at all", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			v := drawn(t)
			at := LoadAt(v)
			switch {
			case at.Before(v.StagedAt):
				t.Fatalf("%v before the version is there", v.StagedAt.Sub(at))
			case v.StagedAt.Before(v.ServableUntil) && at.After(v.ServableUntil):
				t.Fatalf("%v after the old version's end", at.Sub(v.ServableUntil))
			case !v.StagedAt.Before(v.ServableUntil) && !at.Equal(v.StagedAt):
				t.Fatalf("waits although nothing is served")
			}
		})
	})

	It("leaves the others of the domain their change-over, where there is time for one after the other", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			v := drawn(t)
			v.ServableUntil = v.StagedAt.Add(time.Duration(v.Size) * v.SwapDuration)
			for v.Rank = 0; v.Rank+1 < v.Size; v.Rank++ {
				next := v
				next.Rank++
				if gap := LoadAt(next).Sub(LoadAt(v)); gap < v.SwapDuration {
					t.Fatalf("only %v between two that take %v", gap, v.SwapDuration)
				}
			}
		})
	})

	It("comes later for those whose version still holds when an older one ends", func() {
		v := Inputs{StagedAt: start, ServableUntil: start.Add(5 * time.Second), OlderServableUntil: start.Add(time.Second), Size: 4, SwapDuration: time.Second}
		Expect(LoadAt(v)).To(Equal(start.Add(time.Second)))
		v.OlderServableUntil = time.Time{}
		Expect(LoadAt(v)).To(Equal(start))
	})

	It("is beyond the old version's end for some upstreams where the version only bridges a gap", func() {
		v := Inputs{StagedAt: start, ServableUntil: start.Add(3500 * time.Millisecond), Size: 7, SwapDuration: 1300 * time.Millisecond, BridgeOnly: true}
		loading := 0
		for v.Rank = range v.Size {
			if !LoadAt(v).After(v.ServableUntil) {
				loading++
			}
		}
		Expect(loading).To(Equal(3))
	})
})

var _ = Describe("a superseded version", func() {
	const out = 1300 * time.Millisecond
	use := func(n NextVersion, now, until time.Duration) Need {
		n.StartedAt = start
		return NeedFor(start.Add(until), out, n, start.Add(now))
	}

	It("is needless where the newer one comes in time", func() {
		Expect(use(NextVersion{ChunksTotal: 64, ChunksHeld: 32, UsualDuration: 3 * time.Second}, time.Second, 4*time.Second)).To(Equal(Unneeded))
	})

	It("bridges the gap where the newer one comes soon after", func() {
		Expect(use(NextVersion{ChunksTotal: 64, UsualDuration: 3200 * time.Millisecond}, 0, 2600*time.Millisecond)).To(Equal(BridgesGap))
	})

	It("is needed once the newer one stands still, whatever has come of it", func() {
		for _, held := range []int{0, 10, 40} {
			n := NextVersion{ChunksTotal: 64, ChunksHeld: held, UsualDuration: 3 * time.Second}
			Expect(use(n, 6*time.Second, 7*time.Second)).To(Equal(Needed), "with %d chunks", held)
		}
	})
})
