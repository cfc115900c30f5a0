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

var _ = Describe("a process that takes over the reading", func() {
	It("does not wait at the store first, as the others wait for what it has read", func() {
		waits := make(chan time.Duration, 8)
		g := &gate{}
		r := &Reader{
			store: &Store{Read: func(ctx context.Context, _ string, from id.Position, wait time.Duration) (ReadResult, error) {
				waits <- wait
				kernel.Pause(ctx, 20*time.Millisecond)
				return ReadResult{Next: from, End: from}, nil
			}},
			log: NewLog(Topic{Name: "t"}, facts.New(time.Now), time.Now, quiet), facts: facts.New(time.Now), gate: g,
			now: time.Now, own: func() {}, tryPause: func() time.Duration { return retryPause }, wait: time.Second,
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

var _ = Describe("a record that a process has from another one", func() {
	It("comes with a moment at which the store did not have it yet", func() {
		first, second, _ := pair(nil)
		Eventually(func() string { return second.value("u") }).Should(Equal("here"))
		put := time.Now()
		first.store.put("op", "version", "2")
		Eventually(func() string { return second.value("version") }).Should(Equal("2"))
		l := second.service.logs[0]
		l.mu.Lock()
		defer l.mu.Unlock()
		Expect(l.entries["version"].After).To(BeTemporally("<=", put))
		Expect(l.entries["version"].After).To(BeTemporally("~", put, time.Second))
	})

	It("is dated by the store's return where nobody could read it before, and no earlier one is taken for missed", func() {
		now := time.Now()
		var got Record
		topic := Topic{Name: "t", Apply: func(r Record) error {
			got = r
			return nil
		}}
		l := NewLog(topic, facts.New(time.Now), func() time.Time { return now }, quiet)
		l.Merge(Batch{Snapshot: true, Next: 4, ConfirmedAt: now, CaughtUpAt: now, FromStore: true})
		now = now.Add(awayFor + time.Second)
		l.NoteStoreFailure(platform.ErrUnavailable)
		back := now.Add(-200 * time.Millisecond)
		r := Record{Key: "version", Value: []byte("2"), Position: 4}
		l.Merge(Batch{Records: []Record{r}, Next: 5, ConfirmedAt: now, CaughtUpAt: now, LastFailedAt: back, FromStore: true, Uninterrupted: true})
		Expect([]time.Time{got.After, got.UnreadSince}).To(Equal([]time.Time{back, back}))

		short := NewLog(topic, facts.New(time.Now), func() time.Time { return now }, quiet)
		last := now.Add(-awayFor)
		short.Merge(Batch{Snapshot: true, Next: 4, ConfirmedAt: last, CaughtUpAt: last, FromStore: true})
		short.NoteStoreFailure(platform.ErrUnavailable)
		short.Merge(Batch{Records: []Record{r}, Next: 5, ConfirmedAt: now, CaughtUpAt: now, LastFailedAt: back, FromStore: true, Uninterrupted: true})
		Expect([]time.Time{got.After, got.UnreadSince}).To(Equal([]time.Time{last, last}), "others may have read what was written meanwhile")

		stood := NewLog(topic, facts.New(time.Now), func() time.Time { return now }, quiet)
		asked := now.Add(-awayFor - time.Second)
		stood.Merge(Batch{Snapshot: true, Next: 4, ConfirmedAt: asked, CaughtUpAt: asked, FromStore: true})
		stood.NoteStoreFailure(platform.ErrUnavailable)
		stood.Merge(Batch{Records: []Record{r}, Next: 5, ConfirmedAt: now, CaughtUpAt: now, LastFailedAt: back, FromStore: true})
		Expect(got.After).To(Equal(asked), "it stood still itself")

		follower := NewLog(topic, facts.New(time.Now), func() time.Time { return now }, quiet)
		follower.Merge(Batch{Snapshot: true, Next: 4, ConfirmedAt: asked, CaughtUpAt: asked})
		told := dating.TimeBounds{After: back}
		follower.Merge(Batch{
			Records: []Record{{Key: "version", Value: []byte("2"), Position: 4, TimeBounds: told}}, Next: 5, ConfirmedAt: now,
			OutageEnd: outageEnd{at: back, next: 4},
		})
		Expect([]time.Time{got.After, got.UnreadSince}).To(Equal([]time.Time{back, back}))

		behind := NewLog(topic, facts.New(time.Now), func() time.Time { return now }, quiet)
		behind.Merge(Batch{Snapshot: true, Next: 4, ConfirmedAt: asked, CaughtUpAt: asked})
		behind.Merge(Batch{Records: []Record{r}, Next: 6, ConfirmedAt: now, OutageEnd: outageEnd{at: back, next: 5}})
		Expect(got.After).To(Equal(asked), "its source had read that before the outage")

		fresh := NewLog(topic, facts.New(time.Now), func() time.Time { return now }, quiet)
		since := now.Add(-freshMost + time.Millisecond)
		fresh.Merge(Batch{Snapshot: true, Next: 4, ConfirmedAt: since, CaughtUpAt: since})
		fresh.Merge(Batch{Records: []Record{{Key: "version", Value: []byte("2"), Position: 4}}, Next: 5, ConfirmedAt: now, OutageEnd: outageEnd{at: back, next: 4}})
		Expect(got.After).To(Equal(since), "its source alone had lost the store")
	})

	It("that this process had read at its start, so that it knew none, is dated by it", func() {
		now := time.Now()
		var got []time.Time
		l := NewLog(Topic{Name: "t", Apply: func(r Record) error {
			got = append(got, r.After)
			return nil
		}}, facts.New(time.Now), func() time.Time { return now }, quiet)
		r := Record{Key: "version", Value: []byte("2"), Position: 3}
		l.Merge(Batch{Snapshot: true, Records: []Record{r}, Next: 4, ConfirmedAt: now})
		r.After = now.Add(-3 * time.Second)
		l.Merge(Batch{Snapshot: true, Records: []Record{r}, Next: 4, ConfirmedAt: now})
		l.Merge(Batch{Snapshot: true, Records: []Record{r}, Next: 4, ConfirmedAt: now})
		Expect(got).To(Equal([]time.Time{{}, r.After}))
	})
})

var _ = Describe("a reading", func() {
	It("that leaves records for the next, or lacks what others have read, says nothing of what comes after it", func() {
		f := facts.New(time.Now)
		l := NewLog(Topic{Name: "t", Apply: func(Record) error { return nil }}, f, time.Now, quiet)
		l.Merge(Batch{Snapshot: true, Next: 1, ConfirmedAt: time.Now()})
		end := id.Position(3)
		r := &Reader{
			store: &Store{Read: func(_ context.Context, _ string, from id.Position, _ time.Duration) (ReadResult, error) {
				return ReadResult{Records: []Record{{Key: "k", Value: []byte("v"), Position: from}}, Next: from + 1, End: end}, nil
			}},
			log: l, facts: f, gate: &gate{}, now: time.Now, own: func() {}, wait: time.Second, prompt: true,
		}
		ctx := context.Background()
		more, err := r.step(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(more).To(BeTrue())
		Expect(l.settled).To(BeZero())
		more, err = r.step(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(more).To(BeFalse())
		settled := l.settled
		Expect(settled).NotTo(BeZero())
		f.NoteConfigOffset(9)
		end = 4
		_, err = r.step(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(l.settled).To(Equal(settled), "others have read up to 9")
		Expect(l.Age()).To(BeNumerically("<", time.Second), "the store has answered all the same")
	})
})

var _ = Describe("a record that wakes a waiting reader", func() {
	It("was written just then; one of several, or one that came with the end of the wait, may be older", func() {
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
			}}, f, func() time.Time { return now }, quiet)
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
				log: l, facts: f, gate: &gate{}, now: func() time.Time { return now }, own: func() {}, wait: time.Second,
			}
			_, err := r.step(context.Background())
			Expect(err).NotTo(HaveOccurred())
			Expect(got.After).To(Equal(start.Add(c.want)))
			Expect(got.UnreadSince).To(Equal(got.After))
		}
	})
})
