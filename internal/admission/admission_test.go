package admission

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/spec"
)

func TestAdmission(t *testing.T) {
	spec.Run(t, "admission")
}

// standIn is the rule without ranks, organisations and overload: by prediction alone.
func standIn(o Offer, target time.Duration, l Load) Decision {
	if o.Begun || (l.Predicted <= time.Duration(0.9*float64(target)) && (!o.Late || l.Occupied < l.Slots)) {
		return Decision{}
	}
	return Decision{Refusal: Busy, RoomIn: l.Predicted - target}
}

// drawOffer draws an offer of a few ranks and organisations, drawLoad the load that it finds.
func drawOffer(t *rapid.T, ranks int) Offer {
	return Offer{
		Rank: 7 * rapid.IntRange(0, ranks-1).Draw(t, "rank"), Organisation: id.Organisation(rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "organisation")),
		Asked: rapid.IntRange(0, 3).Draw(t, "asked"), Late: rapid.Bool().Draw(t, "late"), Begun: rapid.IntRange(0, 9).Draw(t, "begun") == 0,
	}
}

func drawLoad(t *rapid.T, perSecond float64) Load {
	waiting := rapid.IntRange(-12, 6).Draw(t, "waiting")
	return Load{
		Slots: 12, Occupied: 12 + waiting, AheadInQueue: rapid.IntRange(0, max(0, waiting)).Draw(t, "ahead"), PerSecond: perSecond, ReadTime: 150 * time.Millisecond,
		Predicted: time.Duration(150+rapid.IntRange(0, 129).Draw(t, "noise")*max(0, waiting+1)) * time.Millisecond,
	}
}

// sequence plays offers to a controller, up to a gap of maxGap apart.
func sequence(t *rapid.T, ranks int, perSecond float64, minGap, maxGap int, check func(o Offer, target time.Duration, l Load, d Decision)) {
	now := time.Unix(1, 0)
	c := New(func() time.Time { return now })
	for range rapid.IntRange(1, 40).Draw(t, "offers") {
		now = now.Add(time.Duration(rapid.IntRange(minGap, maxGap).Draw(t, "gap")) * time.Millisecond)
		o, l, target := drawOffer(t, ranks), drawLoad(t, perSecond), time.Duration(rapid.SampledFrom([]int{300, 400, 1000}).Draw(t, "target"))*time.Millisecond
		check(o, target, l, c.Decide(o, target, l))
	}
}

var _ = Describe("admission", func() {
	// A deployment with one rank must be served exactly as before while it has room.
	It("decides by prediction alone with one rank and without overload", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			sequence(t, 1, 60, 20, 100, func(o Offer, target time.Duration, l Load, d Decision) {
				if want := standIn(o, target, l); d.Overloaded || d.Refusal != want.Refusal || d.RoomIn != want.RoomIn {
					t.Fatalf("%+v with %+v: %+v instead of %+v", o, l, d, want)
				}
			})
		})
	})

	// A rate of a few questions is mostly noise, whatever the engine's capacity.
	It("sees no overload in nine questions", func() {
		now := time.Unix(1, 0)
		c := New(func() time.Time { return now })
		for i := range 9 {
			d := c.Decide(Offer{Rank: i % 3, Organisation: "a", Asked: 1}, time.Second, Load{Slots: 12, Occupied: 11, PerSecond: 0.1})
			Expect(d.Refusal).To(Equal(Admitted))
			Expect(d.Overloaded).To(BeFalse())
		}
	})

	// Ranks must not hold back requests for which there is room.
	It("admits at any rank what the shortest target admits without overload, and refuses no stream that has begun", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			sequence(t, 3, rapid.SampledFrom([]float64{1, 5, 60}).Draw(t, "capacity"), 0, 100, func(o Offer, target time.Duration, l Load, d Decision) {
				if d.Refusal != Admitted && (o.Begun || !d.Overloaded && standIn(o, min(target, 300*time.Millisecond), l).Refusal == Admitted) {
					t.Fatalf("%+v with %+v is refused: %+v", o, l, d)
				}
			})
		})
	})

	// A late request that queues delays those that can still be on time.
	It("gives late requests only a free slot, also what is reserved for a rank", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			sequence(t, 3, rapid.SampledFrom([]float64{1, 5, 60}).Draw(t, "capacity"), 0, 100, func(o Offer, _ time.Duration, l Load, d Decision) {
				if o.Late && !o.Begun && l.Occupied >= l.Slots && d.Refusal == Admitted {
					t.Fatalf("%+v with %+v is admitted", o, l)
				}
			})
		})
	})

	// Callers choose neither the number of organisations nor of ranks, but a fault may send any.
	It("remembers at most 256 organisations, the most recent ones, and takes any rank", func() {
		now := time.Unix(1, 0)
		c := New(func() time.Time { return now })
		for i := range 1000 {
			now = now.Add(time.Millisecond)
			c.Decide(Offer{Rank: 1000 * (i%3 - 1), Organisation: id.Organisation(fmt.Sprint(i)), Asked: 3}, time.Second, Load{Slots: 12, PerSecond: 10})
		}
		Expect(c.shares.entries).To(HaveLen(256))
		Expect(c.shares.entries).To(HaveKey(shareKey{0, "999"}))
		Expect(c.Stats().Organisations).To(HaveLen(8))
		Expect(c.Stats().OfferedByRank).To(HaveLen(2))
	})

	// Where more urgent offers alone exceed the capacity, a rank could otherwise wait for good.
	It("admits each rank that is asked for within 20 service times, and lets it have the next slot", func() {
		now := time.Unix(1, 0)
		c := New(func() time.Time { return now })
		l := Load{Slots: 12, Occupied: 13, AheadInQueue: 0, PerSecond: 10, ReadTime: 150 * time.Millisecond, Predicted: 400 * time.Millisecond}
		last := now
		for i := range 5000 {
			now = now.Add(10 * time.Millisecond)
			held := now.Before(c.ranks.holdUntil)
			urgent := c.Decide(Offer{Asked: 3}, 400*time.Millisecond, l)
			if i > 500 && held && urgent.Refusal == Admitted && !urgent.fromReserve {
				Fail(fmt.Sprintf("a more urgent request may queue: %+v, held: %v", urgent, held))
			}
			if c.Decide(Offer{Rank: 2, Asked: 3}, time.Second, l).Refusal == Admitted && i > 500 {
				Expect(now.Sub(last)).To(BeNumerically("<=", 2010*time.Millisecond))
				last = now
			} else if i <= 500 {
				last = now
			}
		}
		Expect(now.Sub(last)).To(BeNumerically("<=", 2*time.Second))
	})
})
