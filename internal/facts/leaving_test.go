package facts

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/springrail/springrail/internal/id"
)

var _ = Describe("a start that has said itself that it leaves", func() {
	var now time.Time
	var f *Facts
	BeforeEach(func() {
		now = time.Unix(1000, 0)
		f = New(func() time.Time { return now })
		f.SetInstance(&Instance{ID: "i", Address: "a", ListPosition: 3})
	})
	leaving := func() bool { return f.Instances()[0].Leaving }

	It("leaves whatever its entries say, and is news once", func() {
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

	It("leaves still where its entry goes for a time and comes again", func() {
		f.MarkLeaving("i", 0)
		now = now.Add(10 * wordLife)
		f.SweepAnnouncements()
		f.DropInstance("i", 4)
		now = now.Add(wordLife)
		f.SweepAnnouncements()
		f.SetInstance(&Instance{ID: "i", Address: "a", ListPosition: 5})
		Expect(leaving()).To(BeTrue())
	})

	It("is forgotten once its entry has been gone for long", func() {
		f.MarkLeaving("i", 0)
		f.DropInstance("i", 4)
		f.SweepAnnouncements()
		now = now.Add(wordLife + time.Second)
		f.SweepAnnouncements()
		Expect(f.leavers).To(BeEmpty())
	})

	It("is forgotten also by a process that does not sweep, once there are many", func() {
		for n := range 3 * mostHeard {
			i := id.Instance(fmt.Sprint("left-", n))
			f.SetInstance(&Instance{ID: i, Address: "b", ListPosition: id.Position(n)})
			f.MarkLeaving(i, 0)
			f.DropInstance(i, id.Position(n))
			now = now.Add(time.Second)
		}
		Expect(len(f.leavers)).To(BeNumerically("<=", mostHeard+1))
	})

	It("leaves by an entry that a list which has come back older calls ready, and is back by one of the same list", func() {
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

	It("says nothing of another start of its ID, nor of another instance at its address", func() {
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

	It("never comes back, in whatever order entries, departures and words follow", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			g := New(func() time.Time { return now })
			g.SetInstance(&Instance{ID: "i", Address: "a", Born: 1, ListPosition: 1})
			said := false
			for n := range rapid.IntRange(1, 12).Draw(t, "steps") {
				seen := id.Position(rapid.Uint64Range(1, 20).Draw(t, "offset"))
				switch rapid.IntRange(0, 4).Draw(t, "step") {
				case 0:
					said = true
					g.MarkLeaving("i", 1)
				case 1:
					g.SetInstance(&Instance{ID: "i", Address: "a", Born: id.Incarnation(1), ListPosition: seen, Leaving: n%2 == 0})
				case 2:
					g.DropInstance("i", seen)
				case 3:
					g.ApplyAnnouncement(Announcement{Instance: "i", Address: "a", Born: 1, Position: seen, Left: n%2 == 0})
				default:
					g.SweepAnnouncements()
				}
				for _, i := range g.Instances() {
					if said && !i.Leaving {
						t.Fatalf("%s has come back", i.ID)
					}
				}
			}
		})
	})
})
