package facts

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/springrail/springrail/internal/id"
)

var _ = Describe("an incarnation that has declared itself that it leaves", func() {
	var now time.Time
	var f *Facts
	BeforeEach(func() {
		now = time.Unix(1000, 0)
		f = New(func() time.Time { return now })
		f.SetInstance(&Instance{ID: "i", Address: "a", ListPosition: 3})
	})
	leaving := func() bool { return f.Instances()[0].Leaving }

	It("is leaving whatever its entries contain, and is reported as new once", func() {
		changed := f.Changed()
		Expect(f.MarkLeaving("i", 0)).To(BeTrue())
		Expect(changed).To(BeClosed())
		Expect(f.MarkLeaving("i", 0)).To(BeFalse())
		Expect(leaving()).To(BeTrue())
		f.SetInstance(&Instance{ID: "i", Address: "a", ListPosition: 9})
		f.ApplyAnnouncement(Announcement{Instance: "i", Address: "a", Position: 20})
		Expect(leaving()).To(BeTrue())
		Expect(f.AnnouncedLeaving("i", 0)).To(BeTrue())
	})

	It("is still leaving when its entry disappears for a time and returns", func() {
		f.MarkLeaving("i", 0)
		now = now.Add(10 * announcementTTL)
		f.SweepAnnouncements()
		f.DropInstance("i", 4)
		now = now.Add(announcementTTL)
		f.SweepAnnouncements()
		f.SetInstance(&Instance{ID: "i", Address: "a", ListPosition: 5})
		Expect(leaving()).To(BeTrue())
	})

	It("is forgotten once its entry has been missing for longer than the TTL", func() {
		f.MarkLeaving("i", 0)
		f.DropInstance("i", 4)
		f.SweepAnnouncements()
		now = now.Add(announcementTTL + time.Second)
		f.SweepAnnouncements()
		Expect(f.leaving).To(BeEmpty())
	})

	It("is forgotten without a sweep once there are too many", func() {
		for n := range 3 * maxAnnounced {
			i := id.Instance(fmt.Sprint("left-", n))
			f.SetInstance(&Instance{ID: i, Address: "b", ListPosition: id.Position(n)})
			f.MarkLeaving(i, 0)
			f.DropInstance(i, id.Position(n))
			now = now.Add(time.Second)
		}
		Expect(len(f.leaving)).To(BeNumerically("<=", maxAnnounced+1))
	})

	It("is leaving although a list restored from an older copy has it as ready; an entry of the same list brings it back", func() {
		at := func(era, offset uint64) id.Position {
			p, err := id.PositionAt(era, offset)
			Expect(err).NotTo(HaveOccurred())
			return p
		}
		f.SetInstance(&Instance{ID: "i", Address: "a", ListPosition: 5, Leaving: true})
		f.SetInstance(&Instance{ID: "i", Address: "a", ListPosition: 6})
		Expect(leaving()).To(BeFalse())
		f.SetInstance(&Instance{ID: "i", Address: "a", ListPosition: 7, Leaving: true})
		f.SetInstance(&Instance{ID: "i", Address: "a", ListPosition: at(1, 2)})
		Expect(leaving()).To(BeTrue())
		f.SetInstance(&Instance{ID: "i", Address: "a", ListPosition: at(1, 3)})
		Expect(leaving()).To(BeTrue())
	})

	It("does not affect another incarnation of its ID, nor another instance at its address", func() {
		f.SetInstance(&Instance{ID: "j", Address: "b", Born: 5, ListPosition: 4})
		f.MarkLeaving("i", 0)
		f.MarkLeaving("j", 5)
		f.SetInstance(&Instance{ID: "k", Address: "a", ListPosition: 8})
		f.SetInstance(&Instance{ID: "j", Address: "b", Born: 6, ListPosition: 9})
		for _, i := range f.Instances() {
			Expect(i.Leaving).To(BeFalse(), string(i.ID))
		}
		Expect(f.AnnouncedLeaving("j", 6)).To(BeFalse())
		Expect(f.AnnouncedLeaving("j", 5)).To(BeTrue())
	})

	It("never becomes ready again, in any order of entries, removals and announcements", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			g := New(func() time.Time { return now })
			g.SetInstance(&Instance{ID: "i", Address: "a", Born: 1, ListPosition: 1})
			declared := false
			for n := range rapid.IntRange(1, 12).Draw(t, "steps") {
				position := id.Position(rapid.Uint64Range(1, 20).Draw(t, "offset"))
				switch rapid.IntRange(0, 4).Draw(t, "step") {
				case 0:
					declared = true
					g.MarkLeaving("i", 1)
				case 1:
					g.SetInstance(&Instance{ID: "i", Address: "a", Born: id.Incarnation(1), ListPosition: position, Leaving: n%2 == 0})
				case 2:
					g.DropInstance("i", position)
				case 3:
					g.ApplyAnnouncement(Announcement{Instance: "i", Address: "a", Born: 1, Position: position, Left: n%2 == 0})
				default:
					g.SweepAnnouncements()
				}
				for _, i := range g.Instances() {
					if declared && !i.Leaving {
						t.Fatalf("%s is ready again", i.ID)
					}
				}
			}
		})
	})
})
