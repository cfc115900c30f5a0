package facts

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/id"
)

// An upstream may restart under its previous ID. Facts about the earlier incarnation can arrive late in several ways:
// from a list or a replica of it that lags, or in a duplicated datagram.
var _ = Describe("the incarnations of one instance", func() {
	var now time.Time
	var f *Facts
	BeforeEach(func() {
		now = time.Unix(1000, 0)
		f = New(func() time.Time { return now })
	})
	entry := func(born id.Incarnation, position id.Position, leaving bool) *Instance {
		return &Instance{ID: "i", Born: born, Address: "a", ListPosition: position, Leaving: leaving}
	}
	left := func(born id.Incarnation, offset id.Position) Announcement {
		return Announcement{Instance: "i", Born: born, Address: "a", Left: true, Position: offset}
	}
	leaving := func() bool { return f.Instances()[0].Leaving }

	It("never return to an earlier one, whatever the position of its entry", func() {
		Expect(f.SetInstance(entry(20, 5, false))).To(BeTrue())
		Expect(f.SetInstance(entry(10, 9, true))).To(BeFalse())
		Expect(f.Instance("i").Born).To(Equal(id.Incarnation(20)))
		Expect(leaving()).To(BeFalse())
	})

	It("never return to an earlier one after the later one was removed, for as long as a list may lag", func() {
		f.SetInstance(entry(20, 5, false))
		f.DropInstance("i", 6)
		Expect(f.SetInstance(entry(10, 4, false))).To(BeFalse())
		Expect(f.Instances()).To(BeEmpty())
		Expect(f.SetInstance(entry(20, 7, false))).To(BeTrue(), "its entry had expired, and it is alive")
		f.DropInstance("i", 8)
		now = now.Add(2 * announcementTTL)
		f.SetInstance(&Instance{ID: "j", Born: 1, Address: "b"})
		f.DropInstance("j", 9)
		Expect(f.ended).To(HaveLen(1), "expired incarnations are forgotten")
	})

	It("follow the order of the list if entries have no incarnation", func() {
		f.SetInstance(entry(20, 5, false))
		Expect(f.SetInstance(entry(0, 9, true))).To(BeTrue())
		Expect(leaving()).To(BeTrue())
	})

	It("notify waiters of a later one, which holds none of the earlier one's versions", func() {
		f.SetInstance(entry(10, 5, false))
		c := f.Changed()
		f.SetInstance(entry(20, 6, false))
		Expect(c).To(BeClosed())
	})

	It("have announcements of their own: the departure of an earlier one does not affect a later one", func() {
		f.SetInstance(entry(20, 5, false))
		Expect(f.ApplyAnnouncement(left(10, 99))).To(BeFalse())
		Expect(leaving()).To(BeFalse())
		Expect(f.ApplyAnnouncement(left(20, 99))).To(BeTrue())
		Expect(leaving()).To(BeTrue())
		Expect(f.SetInstance(entry(30, 98, false))).To(BeTrue())
		Expect(leaving()).To(BeFalse(), "a later incarnation takes precedence over a higher position")
	})

	It("leave when a later one, not yet in the local list, is announced to have left", func() {
		f.SetInstance(entry(10, 5, false))
		Expect(f.ApplyAnnouncement(left(20, 9))).To(BeTrue())
		Expect(leaving()).To(BeTrue())
	})

	It("are distinguished in the announcements about the watched address", func() {
		f.WatchAddress("a")
		f.SetInstance(entry(10, 3, true))
		f.SetInstance(entry(20, 4, false))
		l, _ := f.Announcements(time.Time{})
		Expect(l).To(Equal([]Announcement{{Instance: "i", Born: 20, Address: "a", Position: 4}}))
		f.SetInstance(entry(10, 9, true))
		l, _ = f.Announcements(time.Time{})
		Expect(l[0].Left).To(BeFalse())
	})

	It("reach the same state in any order of duplicated entries, announcements and departures of two of them", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			f := New(time.Now)
			laterLeaves := rapid.Bool().Draw(t, "the later one leaves")
			earlierLeaves := rapid.Bool().Draw(t, "the earlier one leaves")
			steps := map[string]func(){
				"earlier entry": func() { f.SetInstance(entry(10, 1, false)) },
				"later entry":   func() { f.SetInstance(entry(20, 3, false)) },
			}
			if earlierLeaves {
				steps["earlier leaving"] = func() { f.SetInstance(entry(10, 2, true)) }
				steps["announcement about the earlier"] = func() { f.ApplyAnnouncement(left(10, 7)) }
			}
			if laterLeaves {
				steps["announcement about the later"] = func() { f.ApplyAnnouncement(left(20, 5)) }
			}
			var all []string
			for k := range steps {
				all = append(all, k, k)
			}
			order := rapid.Permutation(all).Draw(t, "order")
			for _, k := range order {
				steps[k]()
			}
			i := f.Instances()[0]
			if i.Born != 20 || i.Leaving != laterLeaves {
				t.Fatalf("born %d, leaving %v, after %v", i.Born, i.Leaving, order)
			}
		})
	})
})

var _ = Describe("an entry of a pool that is not in the configuration", func() {
	It("is not used, and does not take the address of another entry", func() {
		f := New(time.Now)
		f.SetInstance(&Instance{ID: "good", Pool: "p", Address: "a", ListPosition: 1})
		f.SetInstance(&Instance{ID: "other", Pool: "nobody's", Address: "a", ListPosition: 2})
		f.SetCatalog(catalog.New(1, nil, []*catalog.Service{{Name: "p"}}, nil, catalog.Limits{}))
		Expect(f.Instances()).To(HaveLen(1))
		Expect(f.Instances()[0].ID).To(Equal(id.Instance("good")))
		f.SetCatalog(catalog.New(2, nil, []*catalog.Service{{Name: "p"}, {Name: "nobody's"}}, nil, catalog.Limits{}))
		Expect(f.Instances()[0].ID).To(Equal(id.Instance("other")), "a later configuration may contain the pool")
	})
})
