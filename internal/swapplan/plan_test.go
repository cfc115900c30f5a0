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

// drawInputs draws inputs with a version staged some time before or after the end of the one that is served.
func drawInputs(t *rapid.T) Inputs {
	size := rapid.IntRange(1, 60).Draw(t, "size")
	return Inputs{
		StagedAt:      start.Add(time.Duration(rapid.IntRange(0, 9000).Draw(t, "staged")) * time.Millisecond),
		ServableUntil: start.Add(time.Duration(rapid.IntRange(0, 9000).Draw(t, "until")) * time.Millisecond),
		Size:          size, Rank: rapid.IntRange(0, size-1).Draw(t, "rank"),
		SwapDuration: time.Duration(rapid.IntRange(1, 3000).Draw(t, "out")) * time.Millisecond,
	}
}

var _ = Describe("the time at which an upstream swaps", func() {
	It("is after the version is staged, and before the old one ends if possible", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			inputs := drawInputs(t)
			at := LoadAt(inputs)
			switch {
			case at.Before(inputs.StagedAt):
				t.Fatalf("%v before the version is staged", inputs.StagedAt.Sub(at))
			case inputs.StagedAt.Before(inputs.ServableUntil) && at.After(inputs.ServableUntil):
				t.Fatalf("%v after the old version's end", at.Sub(inputs.ServableUntil))
			case !inputs.StagedAt.Before(inputs.ServableUntil) && !at.Equal(inputs.StagedAt):
				t.Fatalf("waits although nothing is served")
			}
		})
	})

	It("lets the upstreams of the domain swap one after the other if there is time", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			inputs := drawInputs(t)
			inputs.ServableUntil = inputs.StagedAt.Add(time.Duration(inputs.Size) * inputs.SwapDuration)
			for inputs.Rank = 0; inputs.Rank+1 < inputs.Size; inputs.Rank++ {
				next := inputs
				next.Rank++
				if gap := LoadAt(next).Sub(LoadAt(inputs)); gap < inputs.SwapDuration {
					t.Fatalf("only %v between two that take %v", gap, inputs.SwapDuration)
				}
			}
		})
	})

	It("is later for upstreams whose version may be served longer than an older one", func() {
		inputs := Inputs{StagedAt: start, ServableUntil: start.Add(5 * time.Second), OlderServableUntil: start.Add(time.Second), Size: 4, SwapDuration: time.Second}
		Expect(LoadAt(inputs)).To(Equal(start.Add(time.Second)))
		inputs.OlderServableUntil = time.Time{}
		Expect(LoadAt(inputs)).To(Equal(start))
	})

	It("is after the old version's end for some upstreams if the version only bridges a gap", func() {
		inputs := Inputs{StagedAt: start, ServableUntil: start.Add(3500 * time.Millisecond), Size: 7, SwapDuration: 1300 * time.Millisecond, BridgeOnly: true}
		loading := 0
		for inputs.Rank = range inputs.Size {
			if !LoadAt(inputs).After(inputs.ServableUntil) {
				loading++
			}
		}
		Expect(loading).To(Equal(3))
	})
})

var _ = Describe("a superseded version", func() {
	const swapDuration = 1300 * time.Millisecond
	need := func(n NextVersion, now, until time.Duration) Need {
		n.StartedAt = start
		return NeedFor(start.Add(until), swapDuration, n, start.Add(now))
	}

	It("is not needed if the newer one is available in time", func() {
		Expect(need(NextVersion{ChunksTotal: 64, ChunksHeld: 32, UsualDuration: 3 * time.Second}, time.Second, 4*time.Second)).To(Equal(Unneeded))
	})

	It("bridges the gap if the newer one is available soon after", func() {
		Expect(need(NextVersion{ChunksTotal: 64, UsualDuration: 3200 * time.Millisecond}, 0, 2600*time.Millisecond)).To(Equal(BridgesGap))
	})

	It("is needed once the transfer of the newer one stalls, however many chunks are available", func() {
		for _, held := range []int{0, 10, 40} {
			n := NextVersion{ChunksTotal: 64, ChunksHeld: held, UsualDuration: 3 * time.Second}
			Expect(need(n, 6*time.Second, 7*time.Second)).To(Equal(Needed), "with %d chunks", held)
		}
	})
})
