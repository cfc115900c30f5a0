package facts

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/phuslu/log"
	"pgregory.net/rapid"

	"github.com/springrail/springrail/internal/id"
)

var _ = Describe("announcements of a stager", func() {
	var now time.Time
	var f *Facts
	BeforeEach(func() {
		now = time.Unix(1000, 0)
		f = New(func() time.Time { return now })
	})
	ready := func(n id.Instance, position id.Position) *Instance {
		return &Instance{ID: n, Address: "a", ListPosition: position}
	}
	leaving := func() bool { return f.Instances()[0].Leaving }
	left := func(offset id.Position) Announcement {
		return Announcement{Instance: "i", Address: "a", Left: true, Position: offset}
	}
	back := func(offset id.Position) Announcement {
		return Announcement{Instance: "i", Address: "a", Position: offset}
	}

	It("make an upstream leave that the local list has as ready, until a later entry of the list is ready", func() {
		f.SetInstance(ready("i", 3))
		Expect(f.ApplyAnnouncement(left(9))).To(BeTrue())
		Expect(leaving()).To(BeTrue())
		Expect(f.Instance("i").Leaving).To(BeFalse(), "the local entry is unchanged")
		Expect(f.ApplyAnnouncement(left(9))).To(BeFalse(), "the same announcement changes nothing")
		f.SetInstance(ready("i", 7))
		Expect(leaving()).To(BeTrue(), "an entry written before the announcement does not bring it back")
		f.SetInstance(ready("i", 10))
		Expect(leaving()).To(BeFalse())
		Expect(f.ApplyAnnouncement(left(9))).To(BeFalse())
		Expect(leaving()).To(BeFalse())
	})

	It("apply to an entry that arrives after them, and to the first entry of the list", func() {
		Expect(f.ApplyAnnouncement(left(0))).To(BeFalse())
		f.SetInstance(ready("i", 0))
		Expect(leaving()).To(BeTrue())
	})

	It("bring an upstream back whose new entry has not reached the local list", func() {
		f.SetInstance(ready("i", 3))
		f.ApplyAnnouncement(left(9))
		Expect(f.ApplyAnnouncement(back(9))).To(BeFalse(), "an entry that the announcement has taken into account")
		Expect(f.ApplyAnnouncement(back(10))).To(BeTrue())
		Expect(leaving()).To(BeFalse())
		f.ApplyAnnouncement(left(9))
		Expect(leaving()).To(BeFalse())
		f.ApplyAnnouncement(left(11))
		Expect(leaving()).To(BeTrue())
	})

	It("reach the same state in any order, duplicated or not: the one with the highest position wins", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			f := New(time.Now)
			f.SetInstance(ready("i", 1))
			offsets := rapid.SliceOfNDistinct(rapid.Uint64Range(2, 1000), 1, 8, rapid.ID).Draw(t, "offsets")
			newest := Announcement{}
			var announcements []Announcement
			anyLeft := false
			for i, o := range offsets {
				w := Announcement{Instance: "i", Address: "a", Position: id.Position(o), Left: rapid.Bool().Draw(t, fmt.Sprint("left ", i))}
				anyLeft = anyLeft || w.Left
				if id.Position(o) > newest.Position {
					newest = w
				}
				announcements = append(announcements, w, w)
			}
			for _, w := range rapid.Permutation(announcements).Draw(t, "order") {
				f.ApplyAnnouncement(w)
			}
			if got := f.Instances()[0].Leaving; got != (newest.Left && anyLeft) {
				t.Fatalf("leaving is %v after %v", got, newest)
			}
		})
	})

	It("do not affect the next instance at the address, nor one at another address", func() {
		f.SetInstance(ready("i", 3))
		f.ApplyAnnouncement(left(9))
		f.SetInstance(ready("next", 4))
		Expect(f.Instances()[0].ID).To(Equal(id.Instance("next")))
		Expect(leaving()).To(BeFalse())
		Expect(f.ApplyAnnouncement(Announcement{Instance: "next", Address: "b", Left: true, Position: 20})).To(BeFalse())
		Expect(leaving()).To(BeFalse())
	})

	It("are kept while the local list has the instance, and otherwise for a bounded time and in bounded number", func() {
		f.SetInstance(ready("i", 3))
		f.ApplyAnnouncement(left(9))
		for n := range 2 * maxAnnounced {
			f.ApplyAnnouncement(Announcement{Instance: id.Instance(fmt.Sprint(n)), Address: "b", Left: true})
		}
		Expect(len(f.announcements)).To(BeNumerically("<=", maxAnnounced))
		now = now.Add(announcementTTL + time.Second)
		f.SweepAnnouncements()
		Expect(f.announcements).To(HaveLen(1))
		Expect(leaving()).To(BeTrue())
		f.DropInstance("i", 12)
		f.SweepAnnouncements()
		Expect(f.announcements).To(BeEmpty())
	})
})

var _ = Describe("the announcements about a watched address", func() {
	var now time.Time
	var f *Facts
	var a *AbsenceTracker
	announced := func() []Announcement {
		l, _ := f.Announcements(time.Time{})
		return l
	}
	entry := func(n id.Instance, position id.Position, leaving bool) {
		f.SetInstance(&Instance{ID: n, Address: "a", ListPosition: position, Leaving: leaving})
	}
	BeforeEach(func() {
		now = time.Unix(1000, 0)
		f = New(func() time.Time { return now })
		f.WatchAddress("a")
		a = NewAbsenceTracker(f, func() time.Time { return now }, &log.Logger{Level: log.PanicLevel})
	})

	It("are empty while nothing leaves, and notify waiters", func() {
		_, changed := f.Announcements(time.Time{})
		entry("i", 3, false)
		f.SetInstance(&Instance{ID: "far", Address: "b", ListPosition: 4, Leaving: true})
		f.DropInstance("far", 5)
		Expect(announced()).To(BeEmpty())
		Expect(changed).NotTo(BeClosed())
		entry("i", 6, true)
		Expect(changed).To(BeClosed())
		Expect(announced()).To(Equal([]Announcement{{Instance: "i", Address: "a", Left: true, Position: 6}}))
	})

	It("contain an instance that was removed from the list, with the position up to which the list was read", func() {
		entry("i", 3, false)
		f.NoteListPosition(8)
		a.NoteEntry("i", false)
		a.Sweep()
		entry("next", 9, false)
		Expect(announced()).To(Equal([]Announcement{{Instance: "i", Address: "a", Left: true, Position: 8}}))
	})

	It("contain no instance whose entry expired while the list was unavailable before the grace period is over, and none that returns in it", func() {
		entry("i", 3, false)
		a.NoteListReturned()
		f.NoteListPosition(8)
		a.NoteEntry("i", false)
		a.Sweep()
		Expect(announced()).To(BeEmpty())
		entry("i", 9, false)
		a.NoteEntry("i", true)
		now = now.Add(2 * absenceGrace)
		a.Sweep()
		Expect(announced()).To(BeEmpty())
	})

	// An entry returns after the grace period, when entries of other stagers have followed it in the list. Processes
	// that took the upstream for gone must accept it again.
	It("announce the return of an instance whose entry is back, with a position after that of its departure", func() {
		entry("i", 3, false)
		a.NoteListReturned()
		f.NoteListPosition(8)
		a.NoteEntry("i", false)
		now = now.Add(absenceGrace)
		f.NoteListPosition(20)
		a.Sweep()
		Expect(announced()).To(Equal([]Announcement{{Instance: "i", Address: "a", Left: true, Position: 8}}))
		entry("i", 12, false)
		Expect(announced()).To(Equal([]Announcement{{Instance: "i", Address: "a", Position: 12}}))
		other := New(time.Now)
		other.SetInstance(&Instance{ID: "i", Address: "a", ListPosition: 3})
		other.ApplyAnnouncement(Announcement{Instance: "i", Address: "a", Left: true, Position: 8})
		Expect(other.ApplyAnnouncement(announced()[0])).To(BeTrue())
		Expect(other.Instances()[0].Leaving).To(BeFalse())
	})

	It("do not announce the return of an instance whose old entry arrives from a source that lags", func() {
		entry("i", 3, false)
		f.DropInstance("i", 8)
		entry("i", 5, false)
		Expect(announced()[0].Left).To(BeTrue())
	})

	It("cover a bounded number of the newest instances, or those that changed since a given time", func() {
		for n := range 3 * uint64(maxWatched) {
			now = now.Add(time.Second)
			entry(id.Instance(fmt.Sprint(n)), id.Position(n), true)
		}
		Expect(announced()).To(HaveLen(maxWatched))
		l, _ := f.Announcements(now)
		Expect(l).To(Equal([]Announcement{{Instance: "11", Address: "a", Left: true, Position: 11}}))
	})

	It("are empty if no address is watched, also for an entry without an address", func() {
		f = New(func() time.Time { return now })
		f.WatchAddress("")
		f.SetInstance(&Instance{ID: "i", Leaving: true})
		f.DropInstance("i", 1)
		Expect(announced()).To(BeEmpty())
	})

	It("include instances that left before the address was watched", func() {
		f.SetInstance(&Instance{ID: "far", Address: "b", ListPosition: 4, Leaving: true})
		f.WatchAddress("b")
		Expect(announced()).To(HaveLen(1))
	})
})
