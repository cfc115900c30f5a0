package records

import (
	"fmt"
	"maps"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
)

// replica is a log with the resulting values, and its cursor at the source that it follows.
type replica struct {
	*Log
	values map[string]string
	source *replica
	cursor uint64
}

func newReplica(f *facts.Facts, now func() time.Time) *replica {
	r := &replica{values: map[string]string{}}
	r.Log = NewLog(Topic{Name: "t", Apply: func(c Record) error {
		if c.Value == nil {
			delete(r.values, c.Key)
			return nil
		}
		r.values[c.Key] = string(c.Value)
		return nil
	}}, f, now, silentLogger)
	return r
}

// poll returns the source's changes, as Follower requests them. Unless resumes is true, it does not report its offset.
func (r *replica) poll(source *replica, now time.Time, resumes bool) (Batch, bool) {
	epoch := source.epoch
	if r.source != source {
		r.source, r.cursor, epoch = source, 0, 0
	}
	next, _ := r.Position()
	if !resumes {
		next = 0
	}
	c, _, started := source.ChangesSince(Cursor{Epoch: epoch, Change: r.cursor, Next: next})
	if !started {
		r.source = nil
		return Batch{}, false
	}
	b := Batch{Snapshot: c.Snapshot, Next: c.Next, ConfirmedAt: now, HasGap: c.HasGap, GapFrom: c.GapFrom}
	for _, t := range c.Records {
		b.Records = append(b.Records, t.Record)
	}
	r.cursor = c.LastChange
	return b, true
}

// follow merges a source's changes, or its snapshot if these are refused, as Follower does.
func (r *replica) follow(source *replica, now time.Time, resumes bool) {
	if b, ok := r.poll(source, now, resumes); ok && !r.Merge(b) {
		r.cursor = requestSnapshot
		b, _ = r.poll(source, now, resumes)
		r.Merge(b)
	}
}

// Guards against drops that followers ignore, so that upstreams get requests after they have left. A reader that was
// cut off for eight seconds read a snapshot, found three upstreams missing and dropped them at the positions of their
// last records. Each follower held a record at that position and took the drop for known. None of 67 followers removed
// the three; only processes that read the store themselves did.
var _ = Describe("a key that is dropped while its reader is cut off from the store", func() {
	var now time.Time
	var f *facts.Facts
	BeforeEach(func() {
		now = time.Now()
		f = facts.New(time.Now)
	})
	clock := func() time.Time { return now }

	It("is dropped at followers once the reader has read a snapshot", func() {
		source, follower := newReplica(f, clock), newReplica(f, clock)
		source.Merge(Batch{Snapshot: true, Records: []Record{{Key: "u", Value: []byte("ready"), Position: 3}}, Next: 4, ConfirmedAt: now})
		follower.follow(source, now, true)
		source.Merge(Batch{Snapshot: true, Next: 9, ConfirmedAt: now})
		follower.follow(source, now, true)
		Expect(follower.values).To(BeEmpty())
	})

	It("is dropped at a follower that has read a newer record of it from the store", func() {
		source, follower := newReplica(f, clock), newReplica(f, clock)
		source.Merge(Batch{Snapshot: true, Records: []Record{{Key: "u", Value: []byte("ready"), Position: 3}}, Next: 4, ConfirmedAt: now})
		follower.follow(source, now, true)
		follower.Merge(Batch{Records: []Record{{Key: "u", Value: []byte("busy"), Position: 6}}, Next: 7, ConfirmedAt: now})
		source.Merge(Batch{Snapshot: true, Next: 9, ConfirmedAt: now})
		follower.follow(source, now, true)
		Expect(follower.values).To(BeEmpty())
	})

	It("is dropped at a follower if its record is the last one before the snapshot", func() {
		source, follower := newReplica(f, clock), newReplica(f, clock)
		source.Merge(Batch{Snapshot: true, Records: []Record{{Key: "u", Value: []byte("ready"), Position: 3}}, Next: 4, ConfirmedAt: now})
		follower.follow(source, now, true)
		source.Merge(Batch{Snapshot: true, Next: 4, ConfirmedAt: now})
		follower.follow(source, now, true)
		Expect(follower.values).To(BeEmpty())
	})

	It("is restored if it was written again after the snapshot, and an older snapshot does not drop it", func() {
		source, follower := newReplica(f, clock), newReplica(f, clock)
		source.Merge(Batch{Snapshot: true, Records: []Record{{Key: "u", Value: []byte("ready"), Position: 3}}, Next: 4, ConfirmedAt: now})
		follower.follow(source, now, true)
		source.Merge(Batch{Snapshot: true, Next: 9, ConfirmedAt: now})
		source.Merge(Batch{Records: []Record{{Key: "u", Value: []byte("back"), Position: 9}}, Next: 10, ConfirmedAt: now})
		follower.follow(source, now, true)
		Expect(follower.values).To(Equal(map[string]string{"u": "back"}))
		follower.Merge(Batch{Snapshot: true, Next: 9, ConfirmedAt: now})
		Expect(follower.values).To(Equal(map[string]string{"u": "back"}), "an older snapshot does not drop it")
	})

	It("leaves all replicas equal, whatever the order of reads, requests and answers", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			w := &fakeWorld{now: now}
			for range 3 {
				w.replicas = append(w.replicas, newReplica(f, clock))
			}
			for range rapid.IntRange(10, 60).Draw(t, "steps") {
				w.step(t)
			}
			want := w.expected()
			w.read(w.replicas[0])
			for _, r := range w.replicas[1:] {
				r.follow(w.replicas[0], now, true)
			}
			for i, r := range w.replicas {
				if !maps.Equal(r.values, want) {
					t.Fatalf("replica %d has %v, the store %v, after %v", i, r.values, want, w.trace)
				}
			}
		})
	})
})

// fakeWorld is a store that forgets its history and is restored from older copies, with replicas of it.
type fakeWorld struct {
	now       time.Time
	records   []Record
	era       uint64
	firstKept int
	replicas  []*replica
	// delayed is an answer in transfer, and delayedTo the replica that it is for.
	delayed   *Batch
	delayedTo *replica
	// trace lists the steps taken, for failure messages.
	trace []string
}

func (w *fakeWorld) expected() map[string]string {
	m := map[string]string{}
	for _, r := range w.records {
		if r.Value == nil {
			delete(m, r.Key)
			continue
		}
		m[r.Key] = string(r.Value)
	}
	return m
}

// snapshot returns the newest records; dropped keys are not among them.
func (w *fakeWorld) snapshot() Batch {
	newest := map[string]Record{}
	for _, r := range w.records {
		newest[r.Key] = r
	}
	b := Batch{Snapshot: true, Next: w.at(len(w.records)), ConfirmedAt: w.now}
	for _, r := range newest {
		if r.Value != nil {
			b.Records = append(b.Records, r)
		}
	}
	return b
}

// read makes a replica read the newer records, or a snapshot if the store has forgotten them.
func (w *fakeWorld) read(r *replica) {
	next, started := r.Position()
	if !started || next.Era() != w.era || next < w.at(w.firstKept) {
		r.Merge(w.snapshot())
		return
	}
	r.Merge(Batch{Records: append([]Record(nil), w.records[next.Offset():]...), Next: w.at(len(w.records)), ConfirmedAt: w.now})
}

// at returns the position of an offset in the current era.
func (w *fakeWorld) at(offset int) id.Position {
	p, err := id.PositionAt(w.era, uint64(offset))
	Expect(err).NotTo(HaveOccurred())
	return p
}

// restore restores the store from a copy of its first n records.
func (w *fakeWorld) restore(n int) {
	w.era++
	w.records, w.firstKept = slices.Clone(w.records[:n]), min(w.firstKept, n)
	for i := range w.records {
		w.records[i].Position = w.at(i)
	}
}

// step executes a random step.
func (w *fakeWorld) step(t *rapid.T) {
	n := rapid.IntRange(0, len(w.replicas)-1).Draw(t, "replica")
	r := w.replicas[n]
	step := rapid.SampledFrom([]string{
		"write", "write", "drop", "drop", "forget", "read", "read", "read", "whole", "follow", "follow", "follow", "ask", "answer", "tidy", "back",
	}).Draw(t, "step")
	w.trace = append(w.trace, fmt.Sprint(n, " ", step))
	switch step {
	case "write":
		value := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "value")
		w.write(w.key(t), []byte(value))
	case "drop":
		w.write(w.key(t), nil)
	case "forget":
		w.firstKept = len(w.records)
	case "read":
		w.read(r)
	case "whole":
		r.Merge(w.snapshot())
	case "follow":
		o := w.other(t, n)
		w.trace = append(w.trace, fmt.Sprint("of ", o))
		r.follow(w.replicas[o], w.now, rapid.Bool().Draw(t, "resumes"))
	case "tidy":
		r.mu.Lock()
		r.forgetDropped()
		r.mu.Unlock()
	case "back":
		w.restore(rapid.IntRange(0, len(w.records)).Draw(t, "held"))
		w.trace = append(w.trace, fmt.Sprint("to ", len(w.records)))
	case "ask":
		b := w.snapshot()
		w.delayed, w.delayedTo = &b, r
	case "answer":
		if w.delayed != nil {
			w.delayedTo.Merge(*w.delayed)
			w.delayed = nil
		}
	}
}

func (w *fakeWorld) write(key string, value []byte) {
	r := Record{Key: key, Value: value, Position: w.at(len(w.records))}
	w.trace = append(w.trace, fmt.Sprintf("%s=%s@%s", key, value, r.Position))
	w.records = append(w.records, r)
}

func (w *fakeWorld) key(t *rapid.T) string {
	return rapid.SampledFrom([]string{"k", "l"}).Draw(t, "key")
}

// other returns a random replica other than the n-th.
func (w *fakeWorld) other(t *rapid.T, n int) int {
	return (n + rapid.IntRange(1, len(w.replicas)-1).Draw(t, "source")) % len(w.replicas)
}
