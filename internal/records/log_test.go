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

// newUpstreamsLog returns a log of upstreams that applies them to facts.
func newUpstreamsLog(f *facts.Facts, now func() time.Time) *Log {
	return NewLog(Topic{Name: "t", KeysAreUpstreams: true, Apply: func(r Record) error {
		if r.Value != nil {
			f.SetInstance(&facts.Instance{ID: id.Instance(r.Key)})
		}
		return nil
	}}, f, now, silentLogger)
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

	It("brings any follower to its own state, whatever is polled when and even if its source reads outdated records", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			a, b := map[string]string{}, map[string]string{}
			f := facts.New(time.Now)
			now := time.Now()
			clock := func() time.Time { return now }
			source, follower := NewLog(topic(a), f, clock, silentLogger), NewLog(topic(b), f, clock, silentLogger)
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
					source.forgetDropped()
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
		l := NewLog(o, facts.New(time.Now), time.Now, silentLogger)
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

	It("gives no grace period if only this process cannot reach the store and another one provides fresh records", func() {
		now := time.Now()
		f := facts.New(time.Now)
		l := newUpstreamsLog(f, func() time.Time { return now })
		l.Merge(Batch{Snapshot: true, Records: []Record{{Key: "k", Value: []byte("a")}, {Key: "l", Value: []byte("a")}}, Next: 1, ConfirmedAt: now})
		l.NoteStoreFailure(errFollowsSelf)
		l.Merge(Batch{Records: []Record{{Key: "k", Position: 1}}, Next: 2, ConfirmedAt: now, FromStore: true})
		Expect(f.Instance("k")).To(BeNil())
		now = now.Add(maxFreshAge + time.Millisecond)
		l.NoteStoreFailure(errFollowsSelf)
		l.Merge(Batch{Records: []Record{{Key: "l", Position: 2}}, Next: 3, ConfirmedAt: now, FromStore: true})
		Expect(f.Instance("l")).NotTo(BeNil(), "the store was unavailable to all")
	})

	It("keeps upstreams that were removed while its source had lost the store for the source's grace period", func() {
		now := time.Now()
		f := facts.New(time.Now)
		l := newUpstreamsLog(f, func() time.Time { return now })
		l.Merge(Batch{Snapshot: true, Records: []Record{{Key: "k", Value: []byte("a")}}, Next: 1, ConfirmedAt: now})
		now = now.Add(maxFreshAge + time.Second)
		l.Merge(Batch{Records: []Record{{Key: "k", Position: 1}}, Next: 2, ConfirmedAt: now, GraceUntil: now.Add(time.Second)})
		Expect(f.Instance("k")).NotTo(BeNil())
		now = now.Add(2 * time.Second)
		l.Merge(Batch{Next: 2, ConfirmedAt: now})
		Expect(f.Instance("k")).To(BeNil())
	})

	// Guards against grace periods passed on needlessly. The first reader of a domain had been cut off alone, took that
	// for an outage and gave its grace period to processes that had fresh records from another reader: they kept a
	// removed upstream for two more seconds. With two readers cut off the last process learned of the removal
	// after 4.5 s.
	It("ignores the grace period of a source that alone had lost the store", func() {
		now := time.Now()
		f := facts.New(time.Now)
		l := newUpstreamsLog(f, func() time.Time { return now })
		l.Merge(Batch{Snapshot: true, Records: []Record{{Key: "k", Value: []byte("a")}}, Next: 1, ConfirmedAt: now})
		now = now.Add(maxFreshAge - time.Millisecond)
		l.Merge(Batch{Records: []Record{{Key: "k", Position: 1}}, Next: 2, ConfirmedAt: now, GraceUntil: now.Add(2 * time.Second)})
		Expect(f.Instance("k")).To(BeNil())
	})

	It("starts no grace period of its own if another process has read the store meanwhile", func() {
		now := time.Now()
		f := facts.New(time.Now)
		l := newUpstreamsLog(f, func() time.Time { return now })
		l.Merge(Batch{Snapshot: true, Records: []Record{{Key: "k", Value: []byte("a")}}, Next: 1, ConfirmedAt: now})
		now = now.Add(maxFreshAge + time.Second)
		l.NoteStoreFailure(errFollowsSelf)
		l.Merge(Batch{Records: []Record{{Key: "k", Position: 1}}, Next: 2, ConfirmedAt: now})
		Expect(f.Instance("k")).To(BeNil())
	})
})

var _ = Describe("a large record", func() {
	largeValue := func(n int) []byte {
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
		source, follower = NewLog(t, f, time.Now, silentLogger), NewLog(t, f, time.Now, silentLogger)
		source.Merge(Batch{Snapshot: true, Records: []Record{{Key: "k", Value: largeValue(0)}}, Next: 1})
		return source, follower
	}

	It("is sent compressed, and as a patch to followers that have the previous one", func() {
		source, follower := newPair()
		c, _, _ := source.ChangesSince(Cursor{})
		m := topicChanges("t", c).GetRecords()[0]
		Expect(len(m.GetValue())).To(BeNumerically("<", len(largeValue(0))/2))
		Expect(follower.valueOf(m)).To(Equal(largeValue(0)))
		follower.Merge(Batch{Snapshot: true, Records: []Record{{Key: "k", Value: largeValue(0)}}, Next: 1})
		source.Merge(Batch{Records: []Record{{Key: "k", Value: largeValue(1), Position: 1}}, Next: 2})
		c, _, _ = source.ChangesSince(Cursor{Epoch: source.epoch, Change: c.LastChange})
		m = topicChanges("t", c).GetRecords()[0]
		Expect(len(m.GetValue())).To(BeNumerically("<", 2000))
		Expect(follower.valueOf(m)).To(Equal(largeValue(1)))
		follower.Merge(Batch{Records: []Record{{Key: "k", Value: largeValue(5), Position: 5}}, Next: 6})
		_, err := follower.valueOf(m)
		Expect(errors.Is(err, errNoPatchBase)).To(BeTrue())
		source.Merge(Batch{Records: []Record{{Key: "k", Value: largeValue(2), Position: 2}}, Next: 3})
		c, _, _ = source.ChangesSince(Cursor{Epoch: source.epoch, Change: 1})
		Expect(topicChanges("t", c).GetRecords()[0].GetPatched()).To(BeFalse(), "the follower lacks the previous one")
		c, _, _ = source.ChangesSince(Cursor{})
		Expect(topicChanges("t", c).GetRecords()[0].GetPatched()).To(BeFalse())
	})

	It("that is corrupt or too large is refused", func() {
		_, follower := newPair()
		_, err := follower.valueOf(&pb.RelayedRecord{Packed: true, Value: []byte("no zstd")})
		Expect(err).To(HaveOccurred())
		oversized, err := compress(make([]byte, maxUnpackedBytes+1), nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = follower.valueOf(&pb.RelayedRecord{Packed: true, Value: oversized})
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("an upstream whose record expired during an outage of the store", func() {
	var now time.Time
	var f *facts.Facts
	var l *Log
	removal := Batch{Records: []Record{{Key: "k", Position: 1}}, Next: 2}
	BeforeEach(func() {
		now = time.Now()
		f = facts.New(func() time.Time { return now })
		l = newUpstreamsLog(f, func() time.Time { return now })
		l.Merge(Batch{Snapshot: true, Records: []Record{{Key: "k", Value: []byte("a")}}, Next: 1, ConfirmedAt: now})
		now = now.Add(maxFreshAge + time.Second)
	})

	It("is kept for a grace period if a slow call succeeded in the end", func() {
		b := removal
		b.ConfirmedAt, b.CaughtUpAt, b.FromStore, b.Uninterrupted = now, now, true, true
		l.Merge(b)
		Expect(f.Instance("k")).NotTo(BeNil())
	})

	It("is removed at once if this process was suspended and the store was not down", func() {
		b := removal
		b.ConfirmedAt, b.CaughtUpAt, b.FromStore = now, now, true
		l.Merge(b)
		Expect(f.Instance("k")).To(BeNil())
	})

	It("is kept for a grace period if the source has started since, as it cannot tell", func() {
		b := removal
		b.ConfirmedAt, b.FirstReadAt = now, now.Add(-time.Second)
		l.Merge(b)
		Expect(f.Instance("k")).NotTo(BeNil())
	})

	It("is removed at once if the source has read throughout and reports no grace period", func() {
		b := removal
		b.ConfirmedAt, b.FirstReadAt = now, now.Add(-time.Hour)
		l.Merge(b)
		Expect(f.Instance("k")).To(BeNil())
	})
})

var _ = Describe("a large record that is written again unchanged", func() {
	It("still serves as base of the next patch", func() {
		f := facts.New(time.Now)
		t := Topic{Name: "t", Apply: func(Record) error { return nil }}
		source, follower := NewLog(t, f, time.Now, silentLogger), NewLog(t, f, time.Now, silentLogger)
		largeValue := bytes.Repeat([]byte("abcdefgh"), compressThreshold)
		p := Cursor{Epoch: source.epoch}
		followOnce := func() {
			c, _, _ := source.ChangesSince(p)
			for _, m := range topicChanges("t", c).GetRecords() {
				v, err := follower.valueOf(m)
				Expect(err).NotTo(HaveOccurred())
				follower.Merge(Batch{Records: []Record{{Key: m.GetKey(), Value: v, Position: id.Position(m.GetOffset())}}, Next: c.Next})
			}
			p.Change = c.LastChange
		}
		source.Merge(Batch{Snapshot: true, Records: []Record{{Key: "k", Value: largeValue}}, Next: 1})
		followOnce()
		source.Merge(Batch{Records: []Record{{Key: "k", Value: largeValue, Position: 1}}, Next: 2})
		followOnce()
		source.Merge(Batch{Records: []Record{{Key: "k", Value: append([]byte("new"), largeValue...), Position: 2}}, Next: 3})
		followOnce()
	})
})
