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
	return NewLog(Topic{Name: "t", Upstreams: true, Apply: func(r Record) error {
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
			source.Take(Batch{Whole: true, Confirmed: now})
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				key := rapid.SampledFrom([]string{"k", "l", "m"}).Draw(t, "key")
				r := Record{Key: key, At: offset}
				if rapid.Bool().Draw(t, "kept") {
					r.Value = []byte(rapid.SampledFrom([]string{"x", "y", ""}).Draw(t, "value"))
				}
				if rapid.IntRange(0, 5).Draw(t, "stale") == 0 && offset > 3 {
					r = written[offset-3]
				} else {
					written = append(written, r)
					offset++
				}
				source.Take(Batch{Records: []Record{r}, Next: offset, Confirmed: now})
				if rapid.IntRange(0, 20).Draw(t, "forget") == 0 {
					source.mu.Lock()
					source.forget()
					source.mu.Unlock()
				}
				if rapid.Bool().Draw(t, "follows") {
					c, _, _ := source.Since(Position{Epoch: epoch, From: from})
					var l []Record
					for _, r := range c.Records {
						l = append(l, r.Record)
					}
					follower.Take(Batch{Records: l, Whole: c.Whole, Next: c.Next, Confirmed: now})
					epoch, from = source.epoch, c.Last
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
		o.Reduce = func(v []byte) []byte { return v[:1] }
		l := NewLog(o, facts.New(time.Now), time.Now, quiet)
		l.Take(Batch{Whole: true, Records: []Record{{Key: "k", Value: []byte("a1")}}, Next: 1})
		c, changed, _ := l.Since(Position{Epoch: l.epoch})
		l.Take(Batch{Records: []Record{{Key: "k", Value: []byte("a2"), At: 1}}, Next: 2})
		Expect(changed).NotTo(BeClosed())
		l.Take(Batch{Records: []Record{{Key: "k", Value: []byte("b3"), At: 2}}, Next: 3})
		Expect(changed).To(BeClosed())
		l.Take(Batch{Records: []Record{{Key: "k", Value: []byte("a2"), At: 1}}, Next: 2})
		Expect(got).To(Equal(map[string]string{"k": "b"}), "an older record does not come back")
		c, _, _ = l.Since(Position{Epoch: l.epoch, From: c.Last})
		Expect(c.Records).To(HaveLen(1))
	})

	It("gives no grace where only this process can't reach the store and another one hands fresh records on", func() {
		now := time.Now()
		f := facts.New(time.Now)
		l := newList(f, func() time.Time { return now })
		l.Take(Batch{Whole: true, Records: []Record{{Key: "k", Value: []byte("a")}, {Key: "l", Value: []byte("a")}}, Next: 1, Confirmed: now})
		l.Lost(errOwn)
		l.Take(Batch{Records: []Record{{Key: "k", At: 1}}, Next: 2, Confirmed: now, Own: true})
		Expect(f.Instance("k")).To(BeNil())
		now = now.Add(freshMost + time.Millisecond)
		l.Lost(errOwn)
		l.Take(Batch{Records: []Record{{Key: "l", At: 2}}, Next: 3, Confirmed: now, Own: true})
		Expect(f.Instance("l")).NotTo(BeNil(), "the store was away for all")
	})

	It("keeps upstreams whose records went while its source had lost the store for the source's grace", func() {
		now := time.Now()
		f := facts.New(time.Now)
		l := newList(f, func() time.Time { return now })
		l.Take(Batch{Whole: true, Records: []Record{{Key: "k", Value: []byte("a")}}, Next: 1, Confirmed: now})
		now = now.Add(freshMost + time.Second)
		l.Take(Batch{Records: []Record{{Key: "k", At: 1}}, Next: 2, Confirmed: now, Grace: now.Add(time.Second)})
		Expect(f.Instance("k")).NotTo(BeNil())
		now = now.Add(2 * time.Second)
		l.Take(Batch{Next: 2, Confirmed: now})
		Expect(f.Instance("k")).To(BeNil())
	})

	// An upstream whose record went was kept for two more seconds where the first reader of the domain, cut off alone, had
	// its way to the store back: it took the store for away and gave its grace to processes that had had fresh records from
	// another one all the time. With two readers cut off the last process knew after 4.5 s.
	It("takes over no grace of a source that alone had lost the store", func() {
		now := time.Now()
		f := facts.New(time.Now)
		l := newList(f, func() time.Time { return now })
		l.Take(Batch{Whole: true, Records: []Record{{Key: "k", Value: []byte("a")}}, Next: 1, Confirmed: now})
		now = now.Add(freshMost - time.Millisecond)
		l.Take(Batch{Records: []Record{{Key: "k", At: 1}}, Next: 2, Confirmed: now, Grace: now.Add(2 * time.Second)})
		Expect(f.Instance("k")).To(BeNil())
	})

	It("starts no grace of its own where another process hands on what it has read meanwhile", func() {
		now := time.Now()
		f := facts.New(time.Now)
		l := newList(f, func() time.Time { return now })
		l.Take(Batch{Whole: true, Records: []Record{{Key: "k", Value: []byte("a")}}, Next: 1, Confirmed: now})
		now = now.Add(freshMost + time.Second)
		l.Lost(errOwn)
		l.Take(Batch{Records: []Record{{Key: "k", At: 1}}, Next: 2, Confirmed: now})
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
		source.Take(Batch{Whole: true, Records: []Record{{Key: "k", Value: long(0)}}, Next: 1})
		return source, follower
	}

	It("is handed on compressed, and as a patch to those that have the one before", func() {
		source, follower := newPair()
		c, _, _ := source.Since(Position{})
		m := tell("t", c).GetRecords()[0]
		Expect(len(m.GetValue())).To(BeNumerically("<", len(long(0))/2))
		Expect(follower.valueOf(m)).To(Equal(long(0)))
		follower.Take(Batch{Whole: true, Records: []Record{{Key: "k", Value: long(0)}}, Next: 1})
		source.Take(Batch{Records: []Record{{Key: "k", Value: long(1), At: 1}}, Next: 2})
		c, _, _ = source.Since(Position{Epoch: source.epoch, From: c.Last})
		m = tell("t", c).GetRecords()[0]
		Expect(len(m.GetValue())).To(BeNumerically("<", 2000))
		Expect(follower.valueOf(m)).To(Equal(long(1)))
		follower.Take(Batch{Records: []Record{{Key: "k", Value: long(5), At: 5}}, Next: 6})
		_, err := follower.valueOf(m)
		Expect(errors.Is(err, errNoBase)).To(BeTrue())
		source.Take(Batch{Records: []Record{{Key: "k", Value: long(2), At: 2}}, Next: 3})
		c, _, _ = source.Since(Position{Epoch: source.epoch, From: 1})
		Expect(tell("t", c).GetRecords()[0].GetPatched()).To(BeFalse(), "the follower lacks the one before")
		c, _, _ = source.Since(Position{})
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
	gone := Batch{Records: []Record{{Key: "k", At: 1}}, Next: 2}
	BeforeEach(func() {
		now = time.Now()
		f = facts.New(func() time.Time { return now })
		l = newList(f, func() time.Time { return now })
		l.Take(Batch{Whole: true, Records: []Record{{Key: "k", Value: []byte("a")}}, Next: 1, Confirmed: now})
		now = now.Add(freshMost + time.Second)
	})

	It("is kept for a while where a call went through after all without an error", func() {
		b := gone
		b.Confirmed, b.Settled, b.Own, b.Steady = now, now, true, true
		l.Take(b)
		Expect(f.Instance("k")).NotTo(BeNil())
	})

	It("is gone at once where this process stood still meanwhile, and not the store", func() {
		b := gone
		b.Confirmed, b.Settled, b.Own = now, now, true
		l.Take(b)
		Expect(f.Instance("k")).To(BeNil())
	})

	It("is kept for a while where the source has started since, which can't tell", func() {
		b := gone
		b.Confirmed, b.Began = now, now.Add(-time.Second)
		l.Take(b)
		Expect(f.Instance("k")).NotTo(BeNil())
	})

	It("is gone at once where the source has read all the time and gives no grace", func() {
		b := gone
		b.Confirmed, b.Began = now, now.Add(-time.Hour)
		l.Take(b)
		Expect(f.Instance("k")).To(BeNil())
	})
})

var _ = Describe("a long record that is written again as it was", func() {
	It("is still a base for the next patch", func() {
		f := facts.New(time.Now)
		t := Topic{Name: "t", Apply: func(Record) error { return nil }}
		source, follower := NewLog(t, f, time.Now, quiet), NewLog(t, f, time.Now, quiet)
		long := bytes.Repeat([]byte("abcdefgh"), packFrom)
		p := Position{Epoch: source.epoch}
		pass := func() {
			c, _, _ := source.Since(p)
			for _, m := range tell("t", c).GetRecords() {
				v, err := follower.valueOf(m)
				Expect(err).NotTo(HaveOccurred())
				follower.Take(Batch{Records: []Record{{Key: m.GetKey(), Value: v, At: id.Position(m.GetOffset())}}, Next: c.Next})
			}
			p.From = c.Last
		}
		source.Take(Batch{Whole: true, Records: []Record{{Key: "k", Value: long}}, Next: 1})
		pass()
		source.Take(Batch{Records: []Record{{Key: "k", Value: long, At: 1}}, Next: 2})
		pass()
		source.Take(Batch{Records: []Record{{Key: "k", Value: append([]byte("new"), long...), At: 2}}, Next: 3})
		pass()
	})
})
