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

// followAll makes a follower without a cursor merge everything that the source holds, encoded as on the wire.
func followAll(source, follower *Log, now time.Time) {
	c, _, _ := source.ChangesSince(Cursor{Epoch: source.epoch, Change: requestSnapshot})
	f := &Follower{now: func() time.Time { return now }}
	merged, err := f.mergeChanges(follower, topicChanges(source.topic.Name, c), now)
	Expect(err).NotTo(HaveOccurred())
	Expect(merged).To(BeTrue())
}

// Guards against dates that are too late at a process that starts after an outage. It dated everything that it read,
// however old, by the end of its source's outage. Older versions of weights that had been superseded 20 s before were
// then valid for their whole time again, and reports spread that date to processes without one.
var _ = Describe("a process that starts beside one whose outage of the store has ended", func() {
	It("does not date records by the outage that its source had read before it", func() {
		now := time.Now()
		clock := func() time.Time { return now }
		var got Record
		topic := Topic{Name: "t", Apply: func(r Record) error {
			got = r
			return nil
		}}
		publication := Record{Key: "version", Value: []byte("3"), Position: 3}
		source := NewLog(topic, facts.New(clock), clock, silentLogger)
		source.Merge(Batch{Snapshot: true, Records: []Record{publication}, Next: 4, ConfirmedAt: now, CaughtUpAt: now, FromStore: true})
		now = now.Add(4 * time.Second)
		source.NoteStoreFailure(platform.ErrUnavailable)
		source.Merge(Batch{Next: 4, ConfirmedAt: now, CaughtUpAt: now, LastFailedAt: now, FromStore: true, Uninterrupted: true})
		Expect(source.lastOutage).To(Equal(outageEnd{at: now, next: 4}))

		now = now.Add(time.Second)
		followAll(source, NewLog(topic, facts.New(clock), clock, silentLogger), now)
		Expect(got.Value).To(Equal(publication.Value))
		Expect([]time.Time{got.After, got.UnreadSince}).To(Equal(make([]time.Time, 2)), "it is unknown when the record was written")
	})
})

var _ = Describe("a record that a read returns at once", func() {
	It("may be older than the request, as its reader was behind or was not woken", func() {
		start := time.Now()
		now := start
		clock := func() time.Time { return now }
		var got Record
		l := NewLog(Topic{Name: "t", Apply: func(r Record) error {
			got = r
			return nil
		}}, facts.New(clock), clock, silentLogger)
		l.Merge(Batch{Snapshot: true, Next: 1, ConfirmedAt: now, CaughtUpAt: now})
		now = now.Add(800 * time.Millisecond)
		r := &Reader{
			store: &Store{Read: func(_ context.Context, _ string, from id.Position, _ time.Duration) (ReadResult, error) {
				now = now.Add(5 * time.Millisecond)
				return ReadResult{Records: []Record{{Key: "version", Value: []byte("3"), Position: from}}, Next: from + 1, End: from + 1}, nil
			}},
			log: l, facts: facts.New(clock), gate: &gate{}, now: clock, onStoreRead: func() {}, wait: time.Second,
		}
		_, err := r.readOnce(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(got.After).To(Equal(start))
	})
})
