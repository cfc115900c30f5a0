package records

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
)

// newList makes a log of upstreams that puts them into facts.
func newList(f *facts.Facts, now func() time.Time) *Log {
	return NewLog(Topic{Name: "t", KeysAreUpstreams: true, Apply: func(r Record) error {
		if r.Value != nil {
			f.SetInstance(&facts.Instance{ID: id.Instance(r.Key)})
		}
		return nil
	}}, f, now, quiet)
}

var _ = Describe("a log", func() {
	topic := func(got map[string]string) Topic {
		return Topic{Name: "t", Apply: func(r Record) error {
			if r.Value == nil {
				delete(got, r.Key)
				return nil
			}
			got[r.Key] = string(r.Value)
			return nil
		}}
	}

	It("leads any follower to its own state, whatever was asked when and however old what the source reads is", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			a, b := map[string]string{}, map[string]string{}
			f := facts.New(time.Now)
			now := time.Now()
			clock := func() time.Time { return now }
			source, follower := NewLog(topic(a), f, clock, quiet), NewLog(topic(b), f, clock, quiet)
			offset, epoch, from := id.Position(0), uint64(0), uint64(0)
			var written []Record
			source.Merge(Batch{Snapshot: true, ConfirmedAt: now})
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				key := rapid.SampledFrom([]string{"k", "l", "m"}).Draw(t, "key")
				r := Record{Key: key, Position: offset}
				if rapid.Bool().Draw(t, "kept") {
					r.Value = []byte(rapid.SampledFrom([]string{"x", "y", ""}).Draw(t, "value"))
				}
				if rapid.IntRange(0, 5).Draw(t, "stale") == 0 && offset > 3 {
					r = written[offset-3]
				} else {
					written = append(written, r)
					offset++
				}
				source.Merge(Batch{Records: []Record{r}, Next: offset, ConfirmedAt: now})
				if rapid.IntRange(0, 20).Draw(t, "forget") == 0 {
					source.mu.Lock()
					source.forget()
					source.mu.Unlock()
				}
				if rapid.Bool().Draw(t, "follows") {
					c, _, _ := source.ChangesSince(Cursor{Epoch: epoch, Change: from})
					var l []Record
					for _, r := range c.Records {
						l = append(l, r.Record)
					}
					follower.Merge(Batch{Records: l, Snapshot: c.Snapshot, Next: c.Next, ConfirmedAt: now})
					epoch, from = source.epoch, c.LastChange
					if len(follower.entries) > 0 && !maps.Equal(a, b) {
						t.Fatalf("source %v, follower %v", a, b)
					}
				}
			}
		})
	})

	It("does not count a heartbeat as a change", func() {
		got := map[string]string{}
		o := topic(got)
		o.Normalise = func(v []byte) []byte { return v[:1] }
		l := NewLog(o, facts.New(time.Now), time.Now, quiet)
		l.Merge(Batch{Snapshot: true, Records: []Record{{Key: "k", Value: []byte("a1")}}, Next: 1})
		c, changed, _ := l.ChangesSince(Cursor{Epoch: l.epoch})
		l.Merge(Batch{Records: []Record{{Key: "k", Value: []byte("a2"), Position: 1}}, Next: 2})
		Expect(changed).NotTo(BeClosed())
		l.Merge(Batch{Records: []Record{{Key: "k", Value: []byte("b3"), Position: 2}}, Next: 3})
		Expect(changed).To(BeClosed())
		l.Merge(Batch{Records: []Record{{Key: "k", Value: []byte("a2"), Position: 1}}, Next: 2})
		Expect(got).To(Equal(map[string]string{"k": "b"}), "an older record does not come back")
		c, _, _ = l.ChangesSince(Cursor{Epoch: l.epoch, Change: c.LastChange})
		Expect(c.Records).To(HaveLen(1))
	})

	It("gives no grace where only this process can't reach the store and another one hands fresh records on", func() {
		now := time.Now()
		f := facts.New(time.Now)
		l := newList(f, func() time.Time { return now })
		l.Merge(Batch{Snapshot: true, Records: []Record{{Key: "k", Value: []byte("a")}, {Key: "l", Value: []byte("a")}}, Next: 1, ConfirmedAt: now})
		l.NoteStoreFailure(errOwn)
		l.Merge(Batch{Records: []Record{{Key: "k", Position: 1}}, Next: 2, ConfirmedAt: now, FromStore: true})
		Expect(f.Instance("k")).To(BeNil())
		now = now.Add(freshMost + time.Millisecond)
		l.NoteStoreFailure(errOwn)
		l.Merge(Batch{Records: []Record{{Key: "l", Position: 2}}, Next: 3, ConfirmedAt: now, FromStore: true})
		Expect(f.Instance("l")).NotTo(BeNil(), "the store was away for all")
	})

	It("keeps upstreams whose records went while its source had lost the store for the source's grace", func() {
		now := time.Now()
		f := facts.New(time.Now)
		l := newList(f, func() time.Time { return now })
		l.Merge(Batch{Snapshot: true, Records: []Record{{Key: "k", Value: []byte("a")}}, Next: 1, ConfirmedAt: now})
		now = now.Add(freshMost + time.Second)
		l.Merge(Batch{Records: []Record{{Key: "k", Position: 1}}, Next: 2, ConfirmedAt: now, GraceUntil: now.Add(time.Second)})
		Expect(f.Instance("k")).NotTo(BeNil())
		now = now.Add(2 * time.Second)
		l.Merge(Batch{Next: 2, ConfirmedAt: now})
		Expect(f.Instance("k")).To(BeNil())
	})

	// An upstream whose record went was kept for two more seconds where the first reader of the domain, cut off alone, had
	// its way to the store back: it took the store for away and gave its grace to processes that had had fresh records from
	// another one all the time. With two readers cut off the last process knew after 4.5 s.
	It("takes over no grace of a source that alone had lost the store", func() {
		now := time.Now()
		f := facts.New(time.Now)
		l := newList(f, func() time.Time { return now })
		l.Merge(Batch{Snapshot: true, Records: []Record{{Key: "k", Value: []byte("a")}}, Next: 1, ConfirmedAt: now})
		now = now.Add(freshMost - time.Millisecond)
		l.Merge(Batch{Records: []Record{{Key: "k", Position: 1}}, Next: 2, ConfirmedAt: now, GraceUntil: now.Add(2 * time.Second)})
		Expect(f.Instance("k")).To(BeNil())
	})

	It("starts no grace of its own where another process hands on what it has read meanwhile", func() {
		now := time.Now()
		f := facts.New(time.Now)
		l := newList(f, func() time.Time { return now })
		l.Merge(Batch{Snapshot: true, Records: []Record{{Key: "k", Value: []byte("a")}}, Next: 1, ConfirmedAt: now})
		now = now.Add(freshMost + time.Second)
		l.NoteStoreFailure(errOwn)
		l.Merge(Batch{Records: []Record{{Key: "k", Position: 1}}, Next: 2, ConfirmedAt: now})
		Expect(f.Instance("k")).To(BeNil())
	})
})

var _ = Describe("a long record", func() {
	long := func(n int) []byte {
		r := rand.New(rand.NewPCG(1, 2))
		var b bytes.Buffer
		for i := range 4000 {
			if i == 2000 {
				fmt.Fprintf(&b, "changed %d", n)
			}
			fmt.Fprintf(&b, `{"name":"r-%x","host":"h.example"},`, r.Uint64())
		}
		return b.Bytes()
	}
	newPair := func() (source, follower *Log) {
		f := facts.New(time.Now)
		t := Topic{Name: "t", Apply: func(Record) error { return nil }}
		source, follower = NewLog(t, f, time.Now, quiet), NewLog(t, f, time.Now, quiet)
		source.Merge(Batch{Snapshot: true, Records: []Record{{Key: "k", Value: long(0)}}, Next: 1})
		return source, follower
	}

	It("is handed on compressed, and as a patch to those that have the one before", func() {
		source, follower := newPair()
		c, _, _ := source.ChangesSince(Cursor{})
		m := tell("t", c).GetRecords()[0]
		Expect(len(m.GetValue())).To(BeNumerically("<", len(long(0))/2))
		Expect(follower.valueOf(m)).To(Equal(long(0)))
		follower.Merge(Batch{Snapshot: true, Records: []Record{{Key: "k", Value: long(0)}}, Next: 1})
		source.Merge(Batch{Records: []Record{{Key: "k", Value: long(1), Position: 1}}, Next: 2})
		c, _, _ = source.ChangesSince(Cursor{Epoch: source.epoch, Change: c.LastChange})
		m = tell("t", c).GetRecords()[0]
		Expect(len(m.GetValue())).To(BeNumerically("<", 2000))
		Expect(follower.valueOf(m)).To(Equal(long(1)))
		follower.Merge(Batch{Records: []Record{{Key: "k", Value: long(5), Position: 5}}, Next: 6})
		_, err := follower.valueOf(m)
		Expect(errors.Is(err, errNoBase)).To(BeTrue())
		source.Merge(Batch{Records: []Record{{Key: "k", Value: long(2), Position: 2}}, Next: 3})
		c, _, _ = source.ChangesSince(Cursor{Epoch: source.epoch, Change: 1})
		Expect(tell("t", c).GetRecords()[0].GetPatched()).To(BeFalse(), "the follower lacks the one before")
		c, _, _ = source.ChangesSince(Cursor{})
		Expect(tell("t", c).GetRecords()[0].GetPatched()).To(BeFalse())
	})

	It("that is spoilt or endless is refused", func() {
		_, follower := newPair()
		_, err := follower.valueOf(&pb.RelayedRecord{Packed: true, Value: []byte("no zstd")})
		Expect(err).To(HaveOccurred())
		endless, err := pack(make([]byte, unpackMost+1), nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = follower.valueOf(&pb.RelayedRecord{Packed: true, Value: endless})
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("an upstream whose entry lapsed while the store was away for all", func() {
	var now time.Time
	var f *facts.Facts
	var l *Log
	gone := Batch{Records: []Record{{Key: "k", Position: 1}}, Next: 2}
	BeforeEach(func() {
		now = time.Now()
		f = facts.New(func() time.Time { return now })
		l = newList(f, func() time.Time { return now })
		l.Merge(Batch{Snapshot: true, Records: []Record{{Key: "k", Value: []byte("a")}}, Next: 1, ConfirmedAt: now})
		now = now.Add(freshMost + time.Second)
	})

	It("is kept for a while where a call went through after all without an error", func() {
		b := gone
		b.ConfirmedAt, b.CaughtUpAt, b.FromStore, b.Uninterrupted = now, now, true, true
		l.Merge(b)
		Expect(f.Instance("k")).NotTo(BeNil())
	})

	It("is gone at once where this process stood still meanwhile, and not the store", func() {
		b := gone
		b.ConfirmedAt, b.CaughtUpAt, b.FromStore = now, now, true
		l.Merge(b)
		Expect(f.Instance("k")).To(BeNil())
	})

	It("is kept for a while where the source has started since, which can't tell", func() {
		b := gone
		b.ConfirmedAt, b.FirstReadAt = now, now.Add(-time.Second)
		l.Merge(b)
		Expect(f.Instance("k")).NotTo(BeNil())
	})

	It("is gone at once where the source has read all the time and gives no grace", func() {
		b := gone
		b.ConfirmedAt, b.FirstReadAt = now, now.Add(-time.Hour)
		l.Merge(b)
		Expect(f.Instance("k")).To(BeNil())
	})
})

var _ = Describe("a long record that is written again as it was", func() {
	It("is still a base for the next patch", func() {
		f := facts.New(time.Now)
		t := Topic{Name: "t", Apply: func(Record) error { return nil }}
		source, follower := NewLog(t, f, time.Now, quiet), NewLog(t, f, time.Now, quiet)
		long := bytes.Repeat([]byte("abcdefgh"), packFrom)
		p := Cursor{Epoch: source.epoch}
		pass := func() {
			c, _, _ := source.ChangesSince(p)
			for _, m := range tell("t", c).GetRecords() {
				v, err := follower.valueOf(m)
				Expect(err).NotTo(HaveOccurred())
				follower.Merge(Batch{Records: []Record{{Key: m.GetKey(), Value: v, Position: id.Position(m.GetOffset())}}, Next: c.Next})
			}
			p.Change = c.LastChange
		}
		source.Merge(Batch{Snapshot: true, Records: []Record{{Key: "k", Value: long}}, Next: 1})
		pass()
		source.Merge(Batch{Records: []Record{{Key: "k", Value: long, Position: 1}}, Next: 2})
		pass()
		source.Merge(Batch{Records: []Record{{Key: "k", Value: append([]byte("new"), long...), Position: 2}}, Next: 3})
		pass()
	})
})
