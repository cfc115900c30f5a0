package records

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/dating"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
)

var _ = Describe("a record that somebody had before its date", func() {
	var (
		now, last time.Time
		got       Record
		l         *Log
	)
	clock := func() time.Time { return now }
	record := func(d dating.TimeBounds) []Record {
		return []Record{{Key: "version", Value: []byte("3"), Position: 4, TimeBounds: d}}
	}

	BeforeEach(func() {
		now = time.Now()
		last = now
		l = NewLog(Topic{Name: "t", Apply: func(r Record) error {
			got = r
			return nil
		}}, facts.New(clock), clock, quiet)
		l.Merge(Batch{Snapshot: true, Next: 4, ConfirmedAt: now, CaughtUpAt: now, FromStore: true})
		now = now.Add(awayFor + 2*time.Second)
	})

	It("is dated by the last reading where the store was away for this process alone", func() {
		l.returned = outageEnd{at: now.Add(-time.Second), next: 4}
		l.Merge(Batch{Records: record(dating.TimeBounds{KnownAt: last.Add(time.Second)}), Next: 5, ConfirmedAt: now})
		Expect([]time.Time{got.After, got.UnreadSince}).To(Equal([]time.Time{last, last}))
		Expect(got.Source.Evidence).To(Equal(dating.EarlierRead))
	})

	It("is dated by the last reading where what its source tells contradicts itself", func() {
		told := dating.TimeBounds{After: now.Add(-time.Second), KnownAt: now.Add(-2 * time.Second)}
		l.Merge(Batch{Records: record(told), Next: 5, ConfirmedAt: now})
		Expect(got.After).To(Equal(last))
	})

	It("keeps its first date where the same value is written again", func() {
		l.Merge(Batch{Records: record(dating.TimeBounds{}), Next: 5, ConfirmedAt: now, CaughtUpAt: now})
		now = now.Add(time.Second)
		again := record(dating.TimeBounds{})
		again[0].Position = 5
		l.Merge(Batch{Records: again, Next: 6, ConfirmedAt: now, CaughtUpAt: now})
		Expect(l.entries["version"].Position).To(Equal(id.Position(5)))
		Expect(l.entries["version"].After).To(Equal(last))
	})

	It("has no date by the return of a source that does not tell how far it had read before", func() {
		f := &Follower{now: clock}
		returned := int64(500)
		_, err := f.take(l, &pb.TopicChanges{
			Topic: "t", From: 1, Next: 5, ReturnedMs: &returned,
			Records: []*pb.RelayedRecord{{Key: "version", Value: []byte("3"), Offset: 4}},
		}, now)
		Expect(err).NotTo(HaveOccurred())
		Expect(got.After).To(Equal(last))
	})

	It("is told with since when somebody has it, and with how far its source had read before the store was away", func() {
		source := NewLog(Topic{Name: "t", Apply: func(Record) error { return nil }}, facts.New(clock), clock, quiet)
		read := now.Add(-awayFor - time.Second)
		back := now
		source.Merge(Batch{Snapshot: true, Next: 4, ConfirmedAt: read, CaughtUpAt: read, FromStore: true})
		source.Merge(Batch{Records: record(dating.TimeBounds{}), Next: 5, ConfirmedAt: now, CaughtUpAt: now, LastFailedAt: back, FromStore: true, Uninterrupted: true})
		now = now.Add(time.Second + 1500*time.Microsecond)
		c, _, _ := source.ChangesSince(Cursor{Epoch: source.epoch, Next: 4})
		t := tell("t", c)
		Expect(t.GetReturnedNext()).To(Equal(uint64(4)))
		Expect([]int64{t.GetRecords()[0].GetHadMs(), t.GetRecords()[0].GetAbsentMs()}).To(Equal([]int64{1001, 1002}), "rounded away from each other")
		f := &Follower{now: clock}
		_, err := f.take(l, t, now)
		Expect(err).NotTo(HaveOccurred())
		Expect(got.Source.Evidence).To(Equal(dating.StoreReturn))
		Expect(got.After).To(BeTemporally("~", back, time.Millisecond))
		Expect(got.KnownAt).To(BeTemporally("~", back, time.Millisecond))
		Expect(got.KnownAt).To(BeTemporally(">=", got.After))
	})
})
