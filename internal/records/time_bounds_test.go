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

var _ = Describe("a record that some process held before its lower time bound", func() {
	var (
		now, initialRead time.Time
		got              Record
		l                *Log
	)
	clock := func() time.Time { return now }
	record := func(d dating.TimeBounds) []Record {
		return []Record{{Key: "version", Value: []byte("3"), Position: 4, TimeBounds: d}}
	}

	BeforeEach(func() {
		now = time.Now()
		initialRead = now
		l = NewLog(Topic{Name: "t", Apply: func(r Record) error {
			got = r
			return nil
		}}, facts.New(clock), clock, silentLogger)
		l.Merge(Batch{Snapshot: true, Next: 4, ConfirmedAt: now, CaughtUpAt: now, FromStore: true})
		now = now.Add(outageThreshold + 2*time.Second)
	})

	It("is dated by the last read if the store was unavailable to this process only", func() {
		l.lastOutage = outageEnd{at: now.Add(-time.Second), next: 4}
		l.Merge(Batch{Records: record(dating.TimeBounds{KnownAt: initialRead.Add(time.Second)}), Next: 5, ConfirmedAt: now})
		Expect([]time.Time{got.After, got.UnreadSince}).To(Equal([]time.Time{initialRead, initialRead}))
		Expect(got.Source.Evidence).To(Equal(dating.EarlierRead))
	})

	It("is dated by the last read if its source's time bounds contradict each other", func() {
		sourceBounds := dating.TimeBounds{After: now.Add(-time.Second), KnownAt: now.Add(-2 * time.Second)}
		l.Merge(Batch{Records: record(sourceBounds), Next: 5, ConfirmedAt: now})
		Expect(got.After).To(Equal(initialRead))
	})

	It("keeps its first time bounds if the same value is written again", func() {
		l.Merge(Batch{Records: record(dating.TimeBounds{}), Next: 5, ConfirmedAt: now, CaughtUpAt: now})
		now = now.Add(time.Second)
		rewritten := record(dating.TimeBounds{})
		rewritten[0].Position = 5
		l.Merge(Batch{Records: rewritten, Next: 6, ConfirmedAt: now, CaughtUpAt: now})
		Expect(l.entries["version"].Position).To(Equal(id.Position(5)))
		Expect(l.entries["version"].After).To(Equal(initialRead))
	})

	It("is not dated by the outage of a source that does not report its offset before it", func() {
		f := &Follower{now: clock}
		outageEndAge := int64(500)
		_, err := f.mergeChanges(l, &pb.TopicChanges{
			Topic: "t", From: 1, Next: 5, ReturnedMs: &outageEndAge,
			Records: []*pb.RelayedRecord{{Key: "version", Value: []byte("3"), Offset: 4}},
		}, now)
		Expect(err).NotTo(HaveOccurred())
		Expect(got.After).To(Equal(initialRead))
	})

	It("is sent with the time since it was held, and with the offset of its source before the outage", func() {
		source := NewLog(Topic{Name: "t", Apply: func(Record) error { return nil }}, facts.New(clock), clock, silentLogger)
		lastRead := now.Add(-outageThreshold - time.Second)
		outageEndAt := now
		source.Merge(Batch{Snapshot: true, Next: 4, ConfirmedAt: lastRead, CaughtUpAt: lastRead, FromStore: true})
		source.Merge(Batch{Records: record(dating.TimeBounds{}), Next: 5, ConfirmedAt: now, CaughtUpAt: now, LastFailedAt: outageEndAt, FromStore: true, Uninterrupted: true})
		now = now.Add(time.Second + 1500*time.Microsecond)
		c, _, _ := source.ChangesSince(Cursor{Epoch: source.epoch, Next: 4})
		t := topicChanges("t", c)
		Expect(t.GetReturnedNext()).To(Equal(uint64(4)))
		Expect([]int64{t.GetRecords()[0].GetHadMs(), t.GetRecords()[0].GetAbsentMs()}).To(Equal([]int64{1001, 1002}), "rounded apart")
		f := &Follower{now: clock}
		_, err := f.mergeChanges(l, t, now)
		Expect(err).NotTo(HaveOccurred())
		Expect(got.Source.Evidence).To(Equal(dating.StoreReturn))
		Expect(got.After).To(BeTemporally("~", outageEndAt, time.Millisecond))
		Expect(got.KnownAt).To(BeTemporally("~", outageEndAt, time.Millisecond))
		Expect(got.KnownAt).To(BeTemporally(">=", got.After))
	})
})
