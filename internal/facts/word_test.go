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

var _ = Describe("words of a stager", func() {
	var now time.Time
	var f *Facts
	BeforeEach(func() {
		now = time.Unix(1000, 0)
		f = New(func() time.Time { return now })
	})
	ready := func(n id.Instance, seen id.Position) *Instance {
		return &Instance{ID: n, Address: "a", ListPosition: seen}
	}
	leaving := func() bool { return f.Instances()[0].Leaving }
	left := func(offset id.Position) Announcement {
		return Announcement{Instance: "i", Address: "a", Left: true, Position: offset}
	}
	back := func(offset id.Position) Announcement {
		return Announcement{Instance: "i", Address: "a", Position: offset}
	}

	It("make an upstream leave that the own list has as ready, until the list has it as ready from later on", func() {
		f.SetInstance(ready("i", 3))
		Expect(f.ApplyAnnouncement(left(9))).To(BeTrue())
		Expect(leaving()).To(BeTrue())
		Expect(f.Instance("i").Leaving).To(BeFalse(), "what the own list says stays apart")
		Expect(f.ApplyAnnouncement(left(9))).To(BeFalse(), "the same word is no news")
		f.SetInstance(ready("i", 7))
		Expect(leaving()).To(BeTrue(), "a list that catches up with what was written before does not bring it back")
		f.SetInstance(ready("i", 10))
		Expect(leaving()).To(BeFalse())
		Expect(f.ApplyAnnouncement(left(9))).To(BeFalse())
		Expect(leaving()).To(BeFalse())
	})

	It("count where the list comes later than they do, and of its first entry", func() {
		Expect(f.ApplyAnnouncement(left(0))).To(BeFalse())
		f.SetInstance(ready("i", 0))
		Expect(leaving()).To(BeTrue())
	})

	It("bring an upstream back whose new entry the own list can't tell from the old one", func() {
		f.SetInstance(ready("i", 3))
		f.ApplyAnnouncement(left(9))
		Expect(f.ApplyAnnouncement(back(9))).To(BeFalse(), "an entry that the word has taken account of")
		Expect(f.ApplyAnnouncement(back(10))).To(BeTrue())
		Expect(leaving()).To(BeFalse())
		f.ApplyAnnouncement(left(9))
		Expect(leaving()).To(BeFalse())
		f.ApplyAnnouncement(left(11))
		Expect(leaving()).To(BeTrue())
	})

	It("come to the same in any order, however often they come: the one on the newest state of the list is right", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			f := New(time.Now)
			f.SetInstance(ready("i", 1))
			offsets := rapid.SliceOfNDistinct(rapid.Uint64Range(2, 1000), 1, 8, rapid.ID).Draw(t, "offsets")
			newest := Announcement{}
			var all []Announcement
			anyLeft := false
			for i, o := range offsets {
				w := Announcement{Instance: "i", Address: "a", Position: id.Position(o), Left: rapid.Bool().Draw(t, fmt.Sprint("left ", i))}
				anyLeft = anyLeft || w.Left
				if id.Position(o) > newest.Position {
					newest = w
				}
				all = append(all, w, w)
			}
			for _, w := range rapid.Permutation(all).Draw(t, "order") {
				f.ApplyAnnouncement(w)
			}
			if got := f.Instances()[0].Leaving; got != (newest.Left && anyLeft) {
				t.Fatalf("leaving is %v after %v", got, newest)
			}
		})
	})

	It("do not touch the next instance at the address, nor one at another address", func() {
		f.SetInstance(ready("i", 3))
		f.ApplyAnnouncement(left(9))
		f.SetInstance(ready("next", 4))
		Expect(f.Instances()[0].ID).To(Equal(id.Instance("next")))
		Expect(leaving()).To(BeFalse())
		Expect(f.ApplyAnnouncement(Announcement{Instance: "next", Address: "b", Left: true, Position: 20})).To(BeFalse())
		Expect(leaving()).To(BeFalse())
	})

	It("are kept as long as the own list has the instance, and for a bounded time and number without", func() {
		f.SetInstance(ready("i", 3))
		f.ApplyAnnouncement(left(9))
		for n := range 2 * mostHeard {
			f.ApplyAnnouncement(Announcement{Instance: id.Instance(fmt.Sprint(n)), Address: "b", Left: true})
		}
		Expect(len(f.words)).To(BeNumerically("<=", mostHeard))
		now = now.Add(wordLife + time.Second)
		f.SweepAnnouncements()
		Expect(f.words).To(HaveLen(1))
		Expect(leaving()).To(BeTrue())
		f.DropInstance("i", 12)
		f.SweepAnnouncements()
		Expect(f.words).To(BeEmpty())
	})
})

var _ = Describe("the words on a watched address", func() {
	var now time.Time
	var f *Facts
	var a *AbsenceTracker
	told := func() []Announcement {
		l, _ := f.Announcements(time.Time{})
		return l
	}
	entry := func(n id.Instance, seen id.Position, leaving bool) {
		f.SetInstance(&Instance{ID: n, Address: "a", ListPosition: seen, Leaving: leaving})
	}
	BeforeEach(func() {
		now = time.Unix(1000, 0)
		f = New(func() time.Time { return now })
		f.WatchAddress("a")
		a = NewAbsenceTracker(f, func() time.Time { return now }, &log.Logger{Level: log.PanicLevel})
	})

	It("are none while nothing leaves, and wake who tells them", func() {
		_, changed := f.Announcements(time.Time{})
		entry("i", 3, false)
		f.SetInstance(&Instance{ID: "far", Address: "b", ListPosition: 4, Leaving: true})
		f.DropInstance("far", 5)
		Expect(told()).To(BeEmpty())
		Expect(changed).NotTo(BeClosed())
		entry("i", 6, true)
		Expect(changed).To(BeClosed())
		Expect(told()).To(Equal([]Announcement{{Instance: "i", Address: "a", Left: true, Position: 6}}))
	})

	It("name an instance that is gone after it was listed, at what the list had been read to", func() {
		entry("i", 3, false)
		f.NoteListPosition(8)
		a.NoteEntry("i", false)
		a.Sweep()
		entry("next", 9, false)
		Expect(told()).To(Equal([]Announcement{{Instance: "i", Address: "a", Left: true, Position: 8}}))
	})

	It("name none whose entry lapsed while the list was away before the grace is over, and none that is back by then", func() {
		entry("i", 3, false)
		a.NoteListReturned()
		f.NoteListPosition(8)
		a.NoteEntry("i", false)
		a.Sweep()
		Expect(told()).To(BeEmpty())
		entry("i", 9, false)
		a.NoteEntry("i", true)
		now = now.Add(2 * lapseGrace)
		a.Sweep()
		Expect(told()).To(BeEmpty())
	})

	// An entry came back after the grace, which other stagers' entries had followed in the list. Whoever had believed that the
	// upstream was gone has to take it back.
	It("take an instance back whose entry is there again, at a place after what they said before", func() {
		entry("i", 3, false)
		a.NoteListReturned()
		f.NoteListPosition(8)
		a.NoteEntry("i", false)
		now = now.Add(lapseGrace)
		f.NoteListPosition(20)
		a.Sweep()
		Expect(told()).To(Equal([]Announcement{{Instance: "i", Address: "a", Left: true, Position: 8}}))
		entry("i", 12, false)
		Expect(told()).To(Equal([]Announcement{{Instance: "i", Address: "a", Position: 12}}))
		other := New(time.Now)
		other.SetInstance(&Instance{ID: "i", Address: "a", ListPosition: 3})
		other.ApplyAnnouncement(Announcement{Instance: "i", Address: "a", Left: true, Position: 8})
		Expect(other.ApplyAnnouncement(told()[0])).To(BeTrue())
		Expect(other.Instances()[0].Leaving).To(BeFalse())
	})

	It("do not take one back whose old entry comes again from a source that lags behind", func() {
		entry("i", 3, false)
		f.DropInstance("i", 8)
		entry("i", 5, false)
		Expect(told()[0].Left).To(BeTrue())
	})

	It("are of a bounded number of instances, the newest ones, and those new since a moment", func() {
		for n := range 3 * uint64(mostTold) {
			now = now.Add(time.Second)
			entry(id.Instance(fmt.Sprint(n)), id.Position(n), true)
		}
		Expect(told()).To(HaveLen(mostTold))
		l, _ := f.Announcements(now)
		Expect(l).To(Equal([]Announcement{{Instance: "11", Address: "a", Left: true, Position: 11}}))
	})

	It("are none where no address is watched, also of an entry without an address", func() {
		f = New(func() time.Time { return now })
		f.WatchAddress("")
		f.SetInstance(&Instance{ID: "i", Leaving: true})
		f.DropInstance("i", 1)
		Expect(told()).To(BeEmpty())
	})

	It("are there of what had left before the address was watched", func() {
		f.SetInstance(&Instance{ID: "far", Address: "b", ListPosition: 4, Leaving: true})
		f.WatchAddress("b")
		Expect(told()).To(HaveLen(1))
	})
})
