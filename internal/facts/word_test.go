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
		return &Instance{ID: n, Address: "a", Seen: seen}
	}
	leaving := func() bool { return f.Instances()[0].Leaving }
	left := func(offset id.Position) Word { return Word{Instance: "i", Address: "a", Left: true, At: offset} }
	back := func(offset id.Position) Word { return Word{Instance: "i", Address: "a", At: offset} }

	It("make an upstream leave that the own list has as ready, until the list has it as ready from later on", func() {
		f.SetInstance(ready("i", 3))
		Expect(f.Hear(left(9))).To(BeTrue())
		Expect(leaving()).To(BeTrue())
		Expect(f.Instance("i").Leaving).To(BeFalse(), "what the own list says stays apart")
		Expect(f.Hear(left(9))).To(BeFalse(), "the same word is no news")
		f.SetInstance(ready("i", 7))
		Expect(leaving()).To(BeTrue(), "a list that catches up with what was written before does not bring it back")
		f.SetInstance(ready("i", 10))
		Expect(leaving()).To(BeFalse())
		Expect(f.Hear(left(9))).To(BeFalse())
		Expect(leaving()).To(BeFalse())
	})

	It("count where the list comes later than they do, and of its first entry", func() {
		Expect(f.Hear(left(0))).To(BeFalse())
		f.SetInstance(ready("i", 0))
		Expect(leaving()).To(BeTrue())
	})

	It("bring an upstream back whose new entry the own list can't tell from the old one", func() {
		f.SetInstance(ready("i", 3))
		f.Hear(left(9))
		Expect(f.Hear(back(9))).To(BeFalse(), "an entry that the word has taken account of")
		Expect(f.Hear(back(10))).To(BeTrue())
		Expect(leaving()).To(BeFalse())
		f.Hear(left(9))
		Expect(leaving()).To(BeFalse())
		f.Hear(left(11))
		Expect(leaving()).To(BeTrue())
	})

	It("come to the same in any order, however often they come: the one on the newest state of the list is right", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			f := New(time.Now)
			f.SetInstance(ready("i", 1))
			offsets := rapid.SliceOfNDistinct(rapid.Uint64Range(2, 1000), 1, 8, rapid.ID).Draw(t, "offsets")
			newest := Word{}
			var all []Word
			anyLeft := false
			for i, o := range offsets {
				w := Word{Instance: "i", Address: "a", At: id.Position(o), Left: rapid.Bool().Draw(t, fmt.Sprint("left ", i))}
				anyLeft = anyLeft || w.Left
				if id.Position(o) > newest.At {
					newest = w
				}
				all = append(all, w, w)
			}
			for _, w := range rapid.Permutation(all).Draw(t, "order") {
				f.Hear(w)
			}
			if got := f.Instances()[0].Leaving; got != (newest.Left && anyLeft) {
				t.Fatalf("leaving is %v after %v", got, newest)
			}
		})
	})

	It("do not touch the next instance at the address, nor one at another address", func() {
		f.SetInstance(ready("i", 3))
		f.Hear(left(9))
		f.SetInstance(ready("next", 4))
		Expect(f.Instances()[0].ID).To(Equal(id.Instance("next")))
		Expect(leaving()).To(BeFalse())
		Expect(f.Hear(Word{Instance: "next", Address: "b", Left: true, At: 20})).To(BeFalse())
		Expect(leaving()).To(BeFalse())
	})

	It("are kept as long as the own list has the instance, and for a bounded time and number without", func() {
		f.SetInstance(ready("i", 3))
		f.Hear(left(9))
		for n := range 2 * mostHeard {
			f.Hear(Word{Instance: id.Instance(fmt.Sprint(n)), Address: "b", Left: true})
		}
		Expect(len(f.words)).To(BeNumerically("<=", mostHeard))
		now = now.Add(wordLife + time.Second)
		f.SweepWords()
		Expect(f.words).To(HaveLen(1))
		Expect(leaving()).To(BeTrue())
		f.DropInstance("i", 12)
		f.SweepWords()
		Expect(f.words).To(BeEmpty())
	})
})

var _ = Describe("the words on a watched address", func() {
	var now time.Time
	var f *Facts
	var a *Absences
	told := func() []Word {
		l, _ := f.Told(time.Time{})
		return l
	}
	entry := func(n id.Instance, seen id.Position, leaving bool) {
		f.SetInstance(&Instance{ID: n, Address: "a", Seen: seen, Leaving: leaving})
	}
	BeforeEach(func() {
		now = time.Unix(1000, 0)
		f = New(func() time.Time { return now })
		f.Watch("a")
		a = NewAbsences(f, func() time.Time { return now }, &log.Logger{Level: log.PanicLevel})
	})

	It("are none while nothing leaves, and wake who tells them", func() {
		_, changed := f.Told(time.Time{})
		entry("i", 3, false)
		f.SetInstance(&Instance{ID: "far", Address: "b", Seen: 4, Leaving: true})
		f.DropInstance("far", 5)
		Expect(told()).To(BeEmpty())
		Expect(changed).NotTo(BeClosed())
		entry("i", 6, true)
		Expect(changed).To(BeClosed())
		Expect(told()).To(Equal([]Word{{Instance: "i", Address: "a", Left: true, At: 6}}))
	})

	It("name an instance that is gone after it was listed, at what the list had been read to", func() {
		entry("i", 3, false)
		f.ReadTo(8)
		a.Note("i", false)
		a.Sweep()
		entry("next", 9, false)
		Expect(told()).To(Equal([]Word{{Instance: "i", Address: "a", Left: true, At: 8}}))
	})

	It("name none whose entry lapsed while the list was away before the grace is over, and none that is back by then", func() {
		entry("i", 3, false)
		a.Returned()
		f.ReadTo(8)
		a.Note("i", false)
		a.Sweep()
		Expect(told()).To(BeEmpty())
		entry("i", 9, false)
		a.Note("i", true)
		now = now.Add(2 * lapseGrace)
		a.Sweep()
		Expect(told()).To(BeEmpty())
	})

	// An entry came back after the grace, which other stagers' entries had followed in the list. Whoever had believed that the
	// upstream was gone has to take it back.
	It("take an instance back whose entry is there again, at a place after what they said before", func() {
		entry("i", 3, false)
		a.Returned()
		f.ReadTo(8)
		a.Note("i", false)
		now = now.Add(lapseGrace)
		f.ReadTo(20)
		a.Sweep()
		Expect(told()).To(Equal([]Word{{Instance: "i", Address: "a", Left: true, At: 8}}))
		entry("i", 12, false)
		Expect(told()).To(Equal([]Word{{Instance: "i", Address: "a", At: 12}}))
		other := New(time.Now)
		other.SetInstance(&Instance{ID: "i", Address: "a", Seen: 3})
		other.Hear(Word{Instance: "i", Address: "a", Left: true, At: 8})
		Expect(other.Hear(told()[0])).To(BeTrue())
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
		l, _ := f.Told(now)
		Expect(l).To(Equal([]Word{{Instance: "11", Address: "a", Left: true, At: 11}}))
	})

	It("are none where no address is watched, also of an entry without an address", func() {
		f = New(func() time.Time { return now })
		f.Watch("")
		f.SetInstance(&Instance{ID: "i", Leaving: true})
		f.DropInstance("i", 1)
		Expect(told()).To(BeEmpty())
	})

	It("are there of what had left before the address was watched", func() {
		f.SetInstance(&Instance{ID: "far", Address: "b", Seen: 4, Leaving: true})
		f.Watch("b")
		Expect(told()).To(HaveLen(1))
	})
})
