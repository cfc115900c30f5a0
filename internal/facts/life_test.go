package facts

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/id"
)

// An upstream may start again under the ID that it had. What was said of its earlier start comes late by many ways: a list that
// lags behind, a source that does, a datagram that is doubled.
var _ = Describe("the starts of one instance", func() {
	var now time.Time
	var f *Facts
	BeforeEach(func() {
		now = time.Unix(1000, 0)
		f = New(func() time.Time { return now })
	})
	entry := func(born id.Incarnation, seen id.Position, leaving bool) *Instance {
		return &Instance{ID: "i", Born: born, Address: "a", ListPosition: seen, Leaving: leaving}
	}
	left := func(born id.Incarnation, offset id.Position) Announcement {
		return Announcement{Instance: "i", Born: born, Address: "a", Left: true, Position: offset}
	}
	leaving := func() bool { return f.Instances()[0].Leaving }

	It("never go back to an earlier one, wherever its entry stands in the list", func() {
		Expect(f.SetInstance(entry(20, 5, false))).To(BeTrue())
		Expect(f.SetInstance(entry(10, 9, true))).To(BeFalse())
		Expect(f.Instance("i").Born).To(Equal(id.Incarnation(20)))
		Expect(leaving()).To(BeFalse())
	})

	It("never go back to an earlier one after the later one has gone, for as long as a list may lag behind", func() {
		f.SetInstance(entry(20, 5, false))
		f.DropInstance("i", 6)
		Expect(f.SetInstance(entry(10, 4, false))).To(BeFalse())
		Expect(f.Instances()).To(BeEmpty())
		Expect(f.SetInstance(entry(20, 7, false))).To(BeTrue(), "its record had lapsed, and it lives")
		f.DropInstance("i", 8)
		now = now.Add(2 * wordLife)
		f.SetInstance(&Instance{ID: "j", Born: 1, Address: "b"})
		f.DropInstance("j", 9)
		Expect(f.ended).To(HaveLen(1), "the memory is bounded")
	})

	It("go by the order of the list where entries say no start", func() {
		f.SetInstance(entry(20, 5, false))
		Expect(f.SetInstance(entry(0, 9, true))).To(BeTrue())
		Expect(leaving()).To(BeTrue())
	})

	It("wake who waits for a change, as the later one holds nothing of the earlier", func() {
		f.SetInstance(entry(10, 5, false))
		c := f.Changed()
		f.SetInstance(entry(20, 6, false))
		Expect(c).To(BeClosed())
	})

	It("have words of their own: that an earlier one has left says nothing of a later one", func() {
		f.SetInstance(entry(20, 5, false))
		Expect(f.ApplyAnnouncement(left(10, 99))).To(BeFalse())
		Expect(leaving()).To(BeFalse())
		Expect(f.ApplyAnnouncement(left(20, 99))).To(BeTrue())
		Expect(leaving()).To(BeTrue())
		Expect(f.SetInstance(entry(30, 98, false))).To(BeTrue())
		Expect(leaving()).To(BeFalse(), "the list's order of that word was of a position, and the start is later for sure")
	})

	It("are over with a word that a later one has left, of which the own list knows nothing yet", func() {
		f.SetInstance(entry(10, 5, false))
		Expect(f.ApplyAnnouncement(left(20, 9))).To(BeTrue())
		Expect(leaving()).To(BeTrue())
	})

	It("are told apart in what is said of the watched address", func() {
		f.WatchAddress("a")
		f.SetInstance(entry(10, 3, true))
		f.SetInstance(entry(20, 4, false))
		l, _ := f.Announcements(time.Time{})
		Expect(l).To(Equal([]Announcement{{Instance: "i", Born: 20, Address: "a", Position: 4}}))
		f.SetInstance(entry(10, 9, true))
		l, _ = f.Announcements(time.Time{})
		Expect(l[0].Left).To(BeFalse())
	})

	It("come to the same in any order in which entries, words and departures of two of them arrive, however often", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			f := New(time.Now)
			laterLeaves := rapid.Bool().Draw(t, "the later one leaves")
			earlierLeaves := rapid.Bool().Draw(t, "the earlier one leaves")
			does := map[string]func(){
				"earlier entry": func() { f.SetInstance(entry(10, 1, false)) },
				"later entry":   func() { f.SetInstance(entry(20, 3, false)) },
			}
			if earlierLeaves {
				does["earlier leaving"] = func() { f.SetInstance(entry(10, 2, true)) }
				does["word on the earlier"] = func() { f.ApplyAnnouncement(left(10, 7)) }
			}
			if laterLeaves {
				does["word on the later"] = func() { f.ApplyAnnouncement(left(20, 5)) }
			}
			var all []string
			for k := range does {
				all = append(all, k, k)
			}
			order := rapid.Permutation(all).Draw(t, "order")
			for _, k := range order {
				does[k]()
			}
			i := f.Instances()[0]
			if i.Born != 20 || i.Leaving != laterLeaves {
				t.Fatalf("born %d, leaving %v, after %v", i.Born, i.Leaving, order)
			}
		})
	})
})

var _ = Describe("an entry of a pool that the configuration does not name", func() {
	It("names no upstream to use, and does not take the address of one", func() {
		f := New(time.Now)
		f.SetInstance(&Instance{ID: "good", Pool: "p", Address: "a", ListPosition: 1})
		f.SetInstance(&Instance{ID: "other", Pool: "nobody's", Address: "a", ListPosition: 2})
		f.SetCatalog(catalog.New(1, nil, []*catalog.Service{{Name: "p"}}, nil, catalog.Limits{}))
		Expect(f.Instances()).To(HaveLen(1))
		Expect(f.Instances()[0].ID).To(Equal(id.Instance("good")))
		f.SetCatalog(catalog.New(2, nil, []*catalog.Service{{Name: "p"}, {Name: "nobody's"}}, nil, catalog.Limits{}))
		Expect(f.Instances()[0].ID).To(Equal(id.Instance("other")), "a later configuration may name it")
	})
})
