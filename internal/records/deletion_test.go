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

// replica is a log with what it has made of the records, and its place at the source that it follows.
type replica struct {
	*Log
	got    map[string]string
	source *replica
	from   uint64
}

func newReplica(f *facts.Facts, now func() time.Time) *replica {
	r := &replica{got: map[string]string{}}
	r.Log = NewLog(Topic{Name: "t", Apply: func(c Record) error {
		if c.Value == nil {
			delete(r.got, c.Key)
			return nil
		}
		r.got[c.Key] = string(c.Value)
		return nil
	}}, f, now, quiet)
	return r
}

// ask returns what a source tells this replica, as Follower takes it; one that does not resume does not say how far it has
// read.
func (r *replica) ask(source *replica, now time.Time, resumes bool) (Batch, bool) {
	epoch := source.epoch
	if r.source != source {
		r.source, r.from, epoch = source, 0, 0
	}
	next, _ := r.Position()
	if !resumes {
		next = 0
	}
	c, _, started := source.ChangesSince(Cursor{Epoch: epoch, Change: r.from, Next: next})
	if !started {
		r.source = nil
		return Batch{}, false
	}
	b := Batch{Snapshot: c.Snapshot, Next: c.Next, ConfirmedAt: now, HasGap: c.HasGap, GapFrom: c.GapFrom}
	for _, t := range c.Records {
		b.Records = append(b.Records, t.Record)
	}
	r.from = c.LastChange
	return b, true
}

// follow asks a source, and for the whole where its changes do not do, as Follower does.
func (r *replica) follow(source *replica, now time.Time, resumes bool) {
	if b, ok := r.ask(source, now, resumes); ok && !r.Merge(b) {
		r.from = askWhole
		b, _ = r.ask(source, now, resumes)
		r.Merge(b)
	}
}

// Upstreams were sent requests for as long as they served after they had left. The first reader of a failure domain was cut
// off from the store for eight seconds and followed the second; others of the domain followed it. Just before the cut healed
// three upstreams left whose records went, and three that wrote it in theirs. The first reader then read all records anew and
// concluded from their absence that the three had gone. It gave that word the offset of the record that it ended; each
// follower had a record of that offset and took the word for known. Evidence: the three that had written it were named by all
// processes of the domain, the three others by none of 67 that followed, and by those that had read the store themselves.
var _ = Describe("a key whose record goes while its reader does not read", func() {
	var now time.Time
	var f *facts.Facts
	BeforeEach(func() {
		now = time.Now()
		f = facts.New(time.Now)
	})
	clock := func() time.Time { return now }

	It("is gone at the followers too once the reader has read all records anew", func() {
		source, follower := newReplica(f, clock), newReplica(f, clock)
		source.Merge(Batch{Snapshot: true, Records: []Record{{Key: "u", Value: []byte("ready"), Position: 3}}, Next: 4, ConfirmedAt: now})
		follower.follow(source, now, true)
		source.Merge(Batch{Snapshot: true, Next: 9, ConfirmedAt: now})
		follower.follow(source, now, true)
		Expect(follower.got).To(BeEmpty())
	})

	It("is gone at a follower that has read a newer record of it itself", func() {
		source, follower := newReplica(f, clock), newReplica(f, clock)
		source.Merge(Batch{Snapshot: true, Records: []Record{{Key: "u", Value: []byte("ready"), Position: 3}}, Next: 4, ConfirmedAt: now})
		follower.follow(source, now, true)
		follower.Merge(Batch{Records: []Record{{Key: "u", Value: []byte("busy"), Position: 6}}, Next: 7, ConfirmedAt: now})
		source.Merge(Batch{Snapshot: true, Next: 9, ConfirmedAt: now})
		follower.follow(source, now, true)
		Expect(follower.got).To(BeEmpty())
	})

	It("is gone at a follower where its record was the last one written before the reading", func() {
		source, follower := newReplica(f, clock), newReplica(f, clock)
		source.Merge(Batch{Snapshot: true, Records: []Record{{Key: "u", Value: []byte("ready"), Position: 3}}, Next: 4, ConfirmedAt: now})
		follower.follow(source, now, true)
		source.Merge(Batch{Snapshot: true, Next: 4, ConfirmedAt: now})
		follower.follow(source, now, true)
		Expect(follower.got).To(BeEmpty())
	})

	It("is back where it was written again after the reading, and stays where that was before", func() {
		source, follower := newReplica(f, clock), newReplica(f, clock)
		source.Merge(Batch{Snapshot: true, Records: []Record{{Key: "u", Value: []byte("ready"), Position: 3}}, Next: 4, ConfirmedAt: now})
		follower.follow(source, now, true)
		source.Merge(Batch{Snapshot: true, Next: 9, ConfirmedAt: now})
		source.Merge(Batch{Records: []Record{{Key: "u", Value: []byte("back"), Position: 9}}, Next: 10, ConfirmedAt: now})
		follower.follow(source, now, true)
		Expect(follower.got).To(Equal(map[string]string{"u": "back"}))
		follower.Merge(Batch{Snapshot: true, Next: 9, ConfirmedAt: now})
		Expect(follower.got).To(Equal(map[string]string{"u": "back"}), "an older reading does not end it")
	})

	It("leaves all replicas alike, whoever read what when, followed whom, and whenever an answer came", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			w := &world{now: now}
			for range 3 {
				w.replicas = append(w.replicas, newReplica(f, clock))
			}
			for range rapid.IntRange(10, 60).Draw(t, "steps") {
				w.step(t)
			}
			want := w.state()
			w.read(w.replicas[0])
			for _, r := range w.replicas[1:] {
				r.follow(w.replicas[0], now, true)
			}
			for i, r := range w.replicas {
				if !maps.Equal(r.got, want) {
					t.Fatalf("replica %d has %v, the store %v, after %v", i, r.got, want, w.did)
				}
			}
		})
	})
})

// world is a store that forgets its history and comes back from older copies, with replicas of it.
type world struct {
	now      time.Time
	records  []Record
	era      uint64
	first    int
	replicas []*replica
	// late is an answer on its way, and whose it is.
	late   *Batch
	lateTo *replica
	// did tells what happened, for a failure.
	did []string
}

func (w *world) state() map[string]string {
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

// whole is what a reading of all records returns; dropped keys are not among them.
func (w *world) whole() Batch {
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

// read is a reader's step: the newest records, or all where these are no longer to be had.
func (w *world) read(r *replica) {
	next, started := r.Position()
	if !started || next.Era() != w.era || next < w.at(w.first) {
		r.Merge(w.whole())
		return
	}
	r.Merge(Batch{Records: append([]Record(nil), w.records[next.Offset():]...), Next: w.at(len(w.records)), ConfirmedAt: w.now})
}

// at is the position of an offset in the era of now.
func (w *world) at(offset int) id.Position {
	p, err := id.PositionAt(w.era, uint64(offset))
	Expect(err).NotTo(HaveOccurred())
	return p
}

// back has the store come back from a copy of its first records.
func (w *world) back(n int) {
	w.era++
	w.records, w.first = slices.Clone(w.records[:n]), min(w.first, n)
	for i := range w.records {
		w.records[i].Position = w.at(i)
	}
}

// step draws what happens next.
func (w *world) step(t *rapid.T) {
	n := rapid.IntRange(0, len(w.replicas)-1).Draw(t, "replica")
	r := w.replicas[n]
	step := rapid.SampledFrom([]string{
		"write", "write", "drop", "drop", "forget", "read", "read", "read", "whole", "follow", "follow", "follow", "ask", "answer", "tidy", "back",
	}).Draw(t, "step")
	w.did = append(w.did, fmt.Sprint(n, " ", step))
	switch step {
	case "write":
		v := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "value")
		w.write(w.key(t), []byte(v))
	case "drop":
		w.write(w.key(t), nil)
	case "forget":
		w.first = len(w.records)
	case "read":
		w.read(r)
	case "whole":
		r.Merge(w.whole())
	case "follow":
		o := w.other(t, n)
		w.did = append(w.did, fmt.Sprint("of ", o))
		r.follow(w.replicas[o], w.now, rapid.Bool().Draw(t, "resumes"))
	case "tidy":
		r.mu.Lock()
		r.forget()
		r.mu.Unlock()
	case "back":
		w.back(rapid.IntRange(0, len(w.records)).Draw(t, "held"))
		w.did = append(w.did, fmt.Sprint("to ", len(w.records)))
	case "ask":
		b := w.whole()
		w.late, w.lateTo = &b, r
	case "answer":
		if w.late != nil {
			w.lateTo.Merge(*w.late)
			w.late = nil
		}
	}
}

func (w *world) write(key string, value []byte) {
	r := Record{Key: key, Value: value, Position: w.at(len(w.records))}
	w.did = append(w.did, fmt.Sprintf("%s=%s@%s", key, value, r.Position))
	w.records = append(w.records, r)
}

func (w *world) key(t *rapid.T) string {
	return rapid.SampledFrom([]string{"k", "l"}).Draw(t, "key")
}

// other draws a replica that is not the n-th.
func (w *world) other(t *rapid.T, n int) int {
	return (n + rapid.IntRange(1, len(w.replicas)-1).Draw(t, "source")) % len(w.replicas)
}
