package records

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/dating"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/platform"
)

var _ = Describe("a process that takes over reading the store", func() {
	It("does not wait for a change in its first read", func() {
		waits := make(chan time.Duration, 8)
		g := &gate{}
		r := &Reader{
			store: &Store{Read: func(ctx context.Context, _ string, from id.Position, wait time.Duration) (ReadResult, error) {
				waits <- wait
				kernel.Pause(ctx, 20*time.Millisecond)
				return ReadResult{Next: from, End: from}, nil
			}},
			log: NewLog(Topic{Name: "t"}, facts.New(time.Now), time.Now, silentLogger), facts: facts.New(time.Now), gate: g,
			now: time.Now, onStoreRead: func() {}, backoff: func() time.Duration { return retryPause }, wait: time.Second,
			requestLease: func(context.Context, *Log, bool) bool { return true },
		}
		r.log.Merge(Batch{Snapshot: true, Next: 1, ConfirmedAt: time.Now()})
		g.set(false)
		ctx, stop := context.WithCancel(context.Background())
		DeferCleanup(stop)
		go r.Run(ctx)
		time.Sleep(20 * time.Millisecond)
		g.set(true)
		Expect(<-waits).To(BeZero())
		Expect(<-waits).To(Equal(time.Second))
	})
})

var _ = Describe("the time bounds of a record from another process", func() {
	It("include a time at which the store did not hold the record yet", func() {
		first, second, _ := pair(nil)
		Eventually(func() string { return second.value("u") }).Should(Equal("here"))
		writtenBefore := time.Now()
		first.store.write("op", "version", "2")
		Eventually(func() string { return second.value("version") }).Should(Equal("2"))
		l := second.service.logs[0]
		l.mu.Lock()
		defer l.mu.Unlock()
		Expect(l.entries["version"].After).To(BeTemporally("<=", writtenBefore))
		Expect(l.entries["version"].After).To(BeTemporally("~", writtenBefore, time.Second))
	})

	It("begin at the end of an outage of the store that all processes saw, and UnreadSince is no earlier", func() {
		now := time.Now()
		var got Record
		topic := Topic{Name: "t", Apply: func(r Record) error {
			got = r
			return nil
		}}
		l := NewLog(topic, facts.New(time.Now), func() time.Time { return now }, silentLogger)
		l.Merge(Batch{Snapshot: true, Next: 4, ConfirmedAt: now, CaughtUpAt: now, FromStore: true})
		now = now.Add(outageThreshold + time.Second)
		l.NoteStoreFailure(platform.ErrUnavailable)
		outageEndAt := now.Add(-200 * time.Millisecond)
		r := Record{Key: "version", Value: []byte("2"), Position: 4}
		l.Merge(Batch{Records: []Record{r}, Next: 5, ConfirmedAt: now, CaughtUpAt: now, LastFailedAt: outageEndAt, FromStore: true, Uninterrupted: true})
		Expect([]time.Time{got.After, got.UnreadSince}).To(Equal([]time.Time{outageEndAt, outageEndAt}))

		shortOutage := NewLog(topic, facts.New(time.Now), func() time.Time { return now }, silentLogger)
		lastRead := now.Add(-outageThreshold)
		shortOutage.Merge(Batch{Snapshot: true, Next: 4, ConfirmedAt: lastRead, CaughtUpAt: lastRead, FromStore: true})
		shortOutage.NoteStoreFailure(platform.ErrUnavailable)
		shortOutage.Merge(Batch{Records: []Record{r}, Next: 5, ConfirmedAt: now, CaughtUpAt: now, LastFailedAt: outageEndAt, FromStore: true, Uninterrupted: true})
		Expect([]time.Time{got.After, got.UnreadSince}).To(Equal([]time.Time{lastRead, lastRead}), "the outage was too short: others may have read what was written meanwhile")

		suspended := NewLog(topic, facts.New(time.Now), func() time.Time { return now }, silentLogger)
		lastCall := now.Add(-outageThreshold - time.Second)
		suspended.Merge(Batch{Snapshot: true, Next: 4, ConfirmedAt: lastCall, CaughtUpAt: lastCall, FromStore: true})
		suspended.NoteStoreFailure(platform.ErrUnavailable)
		suspended.Merge(Batch{Records: []Record{r}, Next: 5, ConfirmedAt: now, CaughtUpAt: now, LastFailedAt: outageEndAt, FromStore: true})
		Expect(got.After).To(Equal(lastCall), "this process was suspended itself")

		follower := NewLog(topic, facts.New(time.Now), func() time.Time { return now }, silentLogger)
		follower.Merge(Batch{Snapshot: true, Next: 4, ConfirmedAt: lastCall, CaughtUpAt: lastCall})
		sourceBounds := dating.TimeBounds{After: outageEndAt}
		follower.Merge(Batch{
			Records: []Record{{Key: "version", Value: []byte("2"), Position: 4, TimeBounds: sourceBounds}}, Next: 5, ConfirmedAt: now,
			OutageEnd: outageEnd{at: outageEndAt, next: 4},
		})
		Expect([]time.Time{got.After, got.UnreadSince}).To(Equal([]time.Time{outageEndAt, outageEndAt}))

		behindSource := NewLog(topic, facts.New(time.Now), func() time.Time { return now }, silentLogger)
		behindSource.Merge(Batch{Snapshot: true, Next: 4, ConfirmedAt: lastCall, CaughtUpAt: lastCall})
		behindSource.Merge(Batch{Records: []Record{r}, Next: 6, ConfirmedAt: now, OutageEnd: outageEnd{at: outageEndAt, next: 5}})
		Expect(got.After).To(Equal(lastCall), "its source had read the record before the outage")

		freshLog := NewLog(topic, facts.New(time.Now), func() time.Time { return now }, silentLogger)
		confirmedAt := now.Add(-maxFreshAge + time.Millisecond)
		freshLog.Merge(Batch{Snapshot: true, Next: 4, ConfirmedAt: confirmedAt, CaughtUpAt: confirmedAt})
		freshLog.Merge(Batch{Records: []Record{{Key: "version", Value: []byte("2"), Position: 4}}, Next: 5, ConfirmedAt: now, OutageEnd: outageEnd{at: outageEndAt, next: 4}})
		Expect(got.After).To(Equal(confirmedAt), "its source alone had lost the store")
	})

	It("are taken from a source if this process read the record in its first snapshot", func() {
		now := time.Now()
		var got []time.Time
		l := NewLog(Topic{Name: "t", Apply: func(r Record) error {
			got = append(got, r.After)
			return nil
		}}, facts.New(time.Now), func() time.Time { return now }, silentLogger)
		r := Record{Key: "version", Value: []byte("2"), Position: 3}
		l.Merge(Batch{Snapshot: true, Records: []Record{r}, Next: 4, ConfirmedAt: now})
		r.After = now.Add(-3 * time.Second)
		l.Merge(Batch{Snapshot: true, Records: []Record{r}, Next: 4, ConfirmedAt: now})
		l.Merge(Batch{Snapshot: true, Records: []Record{r}, Next: 4, ConfirmedAt: now})
		Expect(got).To(Equal([]time.Time{{}, r.After}))
	})
})

var _ = Describe("a read of the store", func() {
	It("that leaves records in the store, or lacks what others have read, sets no caught-up time", func() {
		f := facts.New(time.Now)
		l := NewLog(Topic{Name: "t", Apply: func(Record) error { return nil }}, f, time.Now, silentLogger)
		l.Merge(Batch{Snapshot: true, Next: 1, ConfirmedAt: time.Now()})
		end := id.Position(3)
		r := &Reader{
			store: &Store{Read: func(_ context.Context, _ string, from id.Position, _ time.Duration) (ReadResult, error) {
				return ReadResult{Records: []Record{{Key: "k", Value: []byte("v"), Position: from}}, Next: from + 1, End: end}, nil
			}},
			log: l, facts: f, gate: &gate{}, now: time.Now, onStoreRead: func() {}, wait: time.Second, noWait: true,
		}
		ctx := context.Background()
		more, err := r.readOnce(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(more).To(BeTrue())
		Expect(l.caughtUpAt).To(BeZero())
		more, err = r.readOnce(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(more).To(BeFalse())
		caughtUpAt := l.caughtUpAt
		Expect(caughtUpAt).NotTo(BeZero())
		f.NoteConfigOffset(9)
		end = 4
		_, err = r.readOnce(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(l.caughtUpAt).To(Equal(caughtUpAt), "others have read up to 9")
		Expect(l.Age()).To(BeNumerically("<", time.Second), "the answer still confirms the records")
	})
})

var _ = Describe("a record that wakes a waiting reader", func() {
	It("was written just before; one of several, or one that came with the end of the wait, may be older", func() {
		start := time.Now()
		for _, c := range []struct {
			records int
			took    time.Duration
			want    time.Duration
		}{{1, 600 * time.Millisecond, 400 * time.Millisecond}, {1, 100 * time.Millisecond, 0}, {1, time.Second, 0}, {2, 600 * time.Millisecond, 0}} {
			now := start
			f := facts.New(time.Now)
			var got Record
			l := NewLog(Topic{Name: "t", Apply: func(r Record) error {
				got = r
				return nil
			}}, f, func() time.Time { return now }, silentLogger)
			l.Merge(Batch{Snapshot: true, Next: 1, ConfirmedAt: now, CaughtUpAt: now})
			r := &Reader{
				store: &Store{Read: func(_ context.Context, _ string, from id.Position, _ time.Duration) (ReadResult, error) {
					now = now.Add(c.took)
					a := ReadResult{Next: from, End: from + id.Position(c.records)}
					for range c.records {
						a.Records = append(a.Records, Record{Key: "version", Value: []byte{byte(a.Next)}, Position: a.Next})
						a.Next++
					}
					return a, nil
				}},
				log: l, facts: f, gate: &gate{}, now: func() time.Time { return now }, onStoreRead: func() {}, wait: time.Second,
			}
			_, err := r.readOnce(context.Background())
			Expect(err).NotTo(HaveOccurred())
			Expect(got.After).To(Equal(start.Add(c.want)))
			Expect(got.UnreadSince).To(Equal(got.After))
		}
	})
})
