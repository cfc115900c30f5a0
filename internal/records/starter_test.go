package records

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/platform"
)

// handOn lets a follower that has nothing of a source yet take all that it holds, as it goes over the wire.
func handOn(source, follower *Log, now time.Time) {
	c, _, _ := source.ChangesSince(Cursor{Epoch: source.epoch, Change: askWhole})
	f := &Follower{now: func() time.Time { return now }}
	taken, err := f.take(follower, tell(source.topic.Name, c), now)
	Expect(err).NotTo(HaveOccurred())
	Expect(taken).To(BeTrue())
}

// A process that starts took the moment at which its source had the store again for the date of everything that it
// read, however old: the older versions of weights that had been named 20 s before got their whole time anew, and
// reports carried that date to all processes without one. Found by reading; no run of the whole system has shown
// requests that began late for it.
var _ = Describe("a process that starts beside one that has lost the store and has it again", func() {
	It("dates nothing by that which its source had read before", func() {
		now := time.Now()
		clock := func() time.Time { return now }
		var got Record
		topic := Topic{Name: "t", Apply: func(r Record) error {
			got = r
			return nil
		}}
		version := Record{Key: "version", Value: []byte("3"), Position: 3}
		source := NewLog(topic, facts.New(clock), clock, quiet)
		source.Merge(Batch{Snapshot: true, Records: []Record{version}, Next: 4, ConfirmedAt: now, CaughtUpAt: now, FromStore: true})
		now = now.Add(4 * time.Second)
		source.NoteStoreFailure(platform.ErrUnavailable)
		source.Merge(Batch{Next: 4, ConfirmedAt: now, CaughtUpAt: now, LastFailedAt: now, FromStore: true, Uninterrupted: true})
		Expect(source.returned).To(Equal(outageEnd{at: now, next: 4}))

		now = now.Add(time.Second)
		handOn(source, NewLog(topic, facts.New(clock), clock, quiet), now)
		Expect(got.Value).To(Equal(version.Value))
		Expect([]time.Time{got.After, got.UnreadSince}).To(Equal(make([]time.Time, 2)), "nobody knows since when it is there")
	})
})

var _ = Describe("a record that comes at once", func() {
	It("may have been there before the question: its reader may not have had the newest, or was passed over", func() {
		start := time.Now()
		now := start
		clock := func() time.Time { return now }
		var got Record
		l := NewLog(Topic{Name: "t", Apply: func(r Record) error {
			got = r
			return nil
		}}, facts.New(clock), clock, quiet)
		l.Merge(Batch{Snapshot: true, Next: 1, ConfirmedAt: now, CaughtUpAt: now})
		now = now.Add(800 * time.Millisecond)
		r := &Reader{
			store: &Store{Read: func(_ context.Context, _ string, from id.Position, _ time.Duration) (ReadResult, error) {
				now = now.Add(5 * time.Millisecond)
				return ReadResult{Records: []Record{{Key: "version", Value: []byte("3"), Position: from}}, Next: from + 1, End: from + 1}, nil
			}},
			log: l, facts: facts.New(clock), gate: &gate{}, now: clock, own: func() {}, wait: time.Second,
		}
		_, err := r.step(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(got.After).To(Equal(start))
	})
})
