package quarantine

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/platform"
	"github.com/springrail/springrail/internal/records"
)

// shelf plays a topic of the platform's store.
type shelf struct {
	mu      sync.Mutex
	records []records.Record
	away    bool
	// gone makes the history before its end unreadable.
	gone   bool
	era    uint64
	writes int
	change chan struct{}
}

func newShelf() *shelf {
	return &shelf{change: make(chan struct{})}
}

func (s *shelf) store() records.Store {
	return records.Store{Snapshot: s.newest, Read: s.read, Append: s.add}
}

func (s *shelf) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.change)
	s.change = make(chan struct{})
}

func (s *shelf) add(_ context.Context, _ string, r records.Record) (id.Position, error) {
	s.mu.Lock()
	if s.away {
		s.mu.Unlock()
		return 0, platform.ErrUnavailable
	}
	s.mu.Unlock()
	var at id.Position
	s.set(func() {
		s.writes++
		r.Position = s.at(len(s.records))
		at = r.Position
		s.records = append(s.records, r)
	})
	return at, nil
}

// at is the position of a record in the era of now; the caller holds the lock.
func (s *shelf) at(offset int) id.Position {
	p, err := id.PositionAt(s.era, uint64(offset))
	Expect(err).NotTo(HaveOccurred())
	return p
}

// copyOf has the store come back from a copy of its first records.
func (s *shelf) copyOf(n int) {
	s.set(func() {
		s.era++
		s.records = slices.Clone(s.records[:n])
		for i := range s.records {
			s.records[i].Position = s.at(i)
		}
	})
}

// count is the number of records that have been written.
func (s *shelf) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

// has says whether the newest record of a key has a value.
func (s *shelf) has(key string) bool {
	l, _, _ := s.newest(context.Background(), "t", nil)
	return slices.ContainsFunc(l, func(r records.Record) bool { return r.Key == key })
}

func (s *shelf) newest(context.Context, string, records.Progress) (l []records.Record, end id.Position, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return nil, 0, platform.ErrUnavailable
	}
	s.gone = false
	last := map[string]records.Record{}
	for _, r := range s.records {
		last[r.Key] = r
	}
	for _, r := range last {
		if r.Value != nil {
			l = append(l, r)
		}
	}
	return l, s.at(len(s.records)), nil
}

func (s *shelf) read(ctx context.Context, _ string, from id.Position, _ time.Duration) (records.ReadResult, error) {
	for {
		s.mu.Lock()
		change := s.change
		switch {
		case s.away:
			s.mu.Unlock()
			return records.ReadResult{}, platform.ErrUnavailable
		case s.gone:
			s.mu.Unlock()
			return records.ReadResult{}, platform.ErrOffsetExpired
		case int(from.Offset()) > len(s.records):
			s.mu.Unlock()
			return records.ReadResult{}, platform.ErrOffsetExpired
		case int(from.Offset()) < len(s.records) || from.Era() < s.era:
			l, next := s.records[from.Offset():], s.at(len(s.records))
			s.mu.Unlock()
			return records.ReadResult{Records: l, Next: next}, nil
		}
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			return records.ReadResult{}, errors.Join(platform.ErrUnavailable, ctx.Err())
		case <-change:
		}
	}
}

var _ = Describe("held requests in the platform's store", func() {
	bad := request("bad")
	// keep runs a gateway's list and keeper.
	keep := func(s *shelf) (*SuspectTracker, *Persister, func()) {
		l := NewSuspectTracker("vm", time.Now, quiet)
		k := NewPersister(s.store(), "t", l, time.Now, quiet)
		l.OnHeld = append(l.OnHeld, k.Persist)
		l.OnServed = k.Remove
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = k.Run(ctx)
		}()
		end := func() {
			stop()
			<-ended
		}
		DeferCleanup(end)
		return l, k, end
	}
	crash := func(l *SuspectTracker) {
		for n := range 3 {
			l.RecordCrash(endOf(n, "bad"))
		}
	}
	held := func(l *SuspectTracker) func() bool { return func() bool { return l.Check(bad) == Held } }

	It("outlast all gateways, and reach those that have seen none of the ends", func() {
		s := newShelf()
		l, _, end := keep(s)
		far, _, _ := keep(s)
		crash(l)
		Eventually(held(far)).WithTimeout(3 * time.Second).Should(BeTrue())
		Expect(far.HeldRequests()[0].Incarnations).To(HaveLen(3))
		Expect(far.HeldRequests()[0].HeldBy).To(BeEquivalentTo("vm"))
		end()
		later, _, _ := keep(s)
		Eventually(held(later)).Should(BeTrue())
	})

	It("are written once or twice, not by each gateway that holds them", func() {
		s := newShelf()
		for range 12 {
			l, _, _ := keep(s)
			crash(l)
		}
		time.Sleep(settleTime + writeWithin + 300*time.Millisecond)
		s.mu.Lock()
		defer s.mu.Unlock()
		Expect(s.writes).To(BeNumerically(">=", 1))
		Expect(s.writes).To(BeNumerically("<=", 2))
	})

	It("are written once the store is back, and read again where its history has gone", func() {
		s := newShelf()
		s.set(func() { s.away = true })
		l, _, _ := keep(s)
		crash(l)
		Eventually(held(l)).Should(BeTrue())
		time.Sleep(writeWithin)
		s.set(func() { s.away, s.gone = false, true })
		far, _, _ := keep(s)
		Eventually(held(far)).WithTimeout(3 * (retryAfter + retryAfter)).Should(BeTrue())
	})

	It("are let through everywhere once their record has gone, also while a gateway was away from the store", func() {
		s := newShelf()
		l, k, _ := keep(s)
		far, _, _ := keep(s)
		crash(l)
		Eventually(held(far)).WithTimeout(3 * time.Second).Should(BeTrue())
		s.set(func() { s.gone = true })
		l.Lift(bad)
		k.Remove(bad)
		Eventually(held(far)).WithTimeout(3 * (retryAfter + retryAfter)).Should(BeFalse())
	})

	It("are written again by few, once the store has come back from an older copy that lacks them", func() {
		s := newShelf()
		l, _, _ := keep(s)
		var others []*SuspectTracker
		for range 6 {
			o, _, _ := keep(s)
			others = append(others, o)
		}
		crash(l)
		for _, o := range others {
			Eventually(held(o)).WithTimeout(3 * time.Second).Should(BeTrue())
		}
		time.Sleep(writeWithin)
		before := s.count()
		s.copyOf(0)
		Eventually(func() bool { return s.has(bad.String()) }).WithTimeout(3 * (retryAfter + retryAfter)).Should(BeTrue())
		time.Sleep(2 * retryAfter)
		Expect(s.count() - before).To(BeNumerically("<=", 3))
		for _, o := range others {
			Expect(held(o)()).To(BeTrue())
		}
	})

	It("that have been lifted stay so once the store has come back from a copy that still has them", func() {
		s := newShelf()
		l, k, _ := keep(s)
		far, _, _ := keep(s)
		crash(l)
		Eventually(held(far)).WithTimeout(3 * time.Second).Should(BeTrue())
		time.Sleep(writeWithin)
		n := s.count()
		l.Lift(bad)
		k.Remove(bad)
		Eventually(held(far)).WithTimeout(3 * time.Second).Should(BeFalse())
		s.copyOf(n)
		Expect(s.has(bad.String())).To(BeTrue())
		Eventually(func() bool { return s.has(bad.String()) }).WithTimeout(3 * (retryAfter + retryAfter)).Should(BeFalse())
		Consistently(func() bool { return held(l)() || held(far)() }).WithTimeout(2 * retryAfter).Should(BeFalse())
	})

	It("that have been served after all are dropped from it", func() {
		s := newShelf()
		l, _, _ := keep(s)
		far, _, _ := keep(s)
		crash(l)
		Eventually(held(far)).WithTimeout(3 * time.Second).Should(BeTrue())
		far.Served(bad)
		Eventually(held(l)).WithTimeout(time.Second).Should(BeFalse())
	})

	It("are known by their records alone: what can't be read is passed over and counted", func() {
		s := newShelf()
		for _, r := range []records.Record{
			{Key: "no fingerprint", Value: []byte("x")}, {Key: bad.String(), Value: []byte{0xff}}, {Key: request("good").String(), Value: []byte{}},
		} {
			_, err := s.add(context.Background(), "t", r)
			Expect(err).NotTo(HaveOccurred())
		}
		l, _, _ := keep(s)
		Eventually(func() bool { return l.Check(request("good")) == Held }).Should(BeTrue())
		Expect(l.Check(bad)).To(Equal(Pass))
		Expect(l.vars.Get("records_skipped").String()).To(Equal("2"))
	})
})
