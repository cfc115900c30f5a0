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

// fakeTopic simulates a topic of the platform's store.
type fakeTopic struct {
	mu          sync.Mutex
	records     []records.Record
	unavailable bool
	// expired makes the records before the current end unreadable.
	expired bool
	era     uint64
	writes  int
	changed chan struct{}
}

func newFakeTopic() *fakeTopic {
	return &fakeTopic{changed: make(chan struct{})}
}

func (s *fakeTopic) store() records.Store {
	return records.Store{Snapshot: s.newest, Read: s.read, Append: s.add}
}

func (s *fakeTopic) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeTopic) add(_ context.Context, _ string, r records.Record) (id.Position, error) {
	s.mu.Lock()
	if s.unavailable {
		s.mu.Unlock()
		return 0, platform.ErrUnavailable
	}
	s.mu.Unlock()
	var at id.Position
	s.update(func() {
		s.writes++
		r.Position = s.at(len(s.records))
		at = r.Position
		s.records = append(s.records, r)
	})
	return at, nil
}

// at returns the position of a record in the current era; the caller holds the lock.
func (s *fakeTopic) at(offset int) id.Position {
	p, err := id.PositionAt(s.era, uint64(offset))
	Expect(err).NotTo(HaveOccurred())
	return p
}

// restore simulates that the store is restored from a copy of its first records.
func (s *fakeTopic) restore(n int) {
	s.update(func() {
		s.era++
		s.records = slices.Clone(s.records[:n])
		for i := range s.records {
			s.records[i].Position = s.at(i)
		}
	})
}

// writeCount returns the number of records written.
func (s *fakeTopic) writeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

// has reports whether the newest record of a key has a value.
func (s *fakeTopic) has(key string) bool {
	l, _, _ := s.newest(context.Background(), "t", nil)
	return slices.ContainsFunc(l, func(r records.Record) bool { return r.Key == key })
}

func (s *fakeTopic) newest(context.Context, string, records.Progress) (l []records.Record, shutDown id.Position, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return nil, 0, platform.ErrUnavailable
	}
	s.expired = false
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

func (s *fakeTopic) read(ctx context.Context, _ string, from id.Position, _ time.Duration) (records.ReadResult, error) {
	for {
		s.mu.Lock()
		change := s.changed
		switch {
		case s.unavailable:
			s.mu.Unlock()
			return records.ReadResult{}, platform.ErrUnavailable
		case s.expired:
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
	// start runs a gateway's suspect tracker and persister.
	start := func(s *fakeTopic) (*SuspectTracker, *Persister, func()) {
		l := NewSuspectTracker("vm", time.Now, discardLog)
		k := NewPersister(s.store(), "t", l, time.Now, discardLog)
		l.OnHeld = append(l.OnHeld, k.Persist)
		l.OnReleased = (&Quarantine{Persister: k, Broadcast: func(CrashNews) {}}).release
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = k.Run(ctx)
		}()
		shutDown := func() {
			stop()
			<-ended
		}
		DeferCleanup(shutDown)
		return l, k, shutDown
	}
	crash := func(l *SuspectTracker) {
		for n := range 3 {
			l.RecordCrash(crashOf(n, "bad"))
		}
	}
	held := func(l *SuspectTracker) func() bool { return func() bool { return l.Check(known(bad)) == Held } }

	It("survive all gateways, and reach those that have seen none of the crashes", func() {
		s := newFakeTopic()
		l, _, shutDown := start(s)
		remote, _, _ := start(s)
		crash(l)
		Eventually(held(remote)).WithTimeout(3 * time.Second).Should(BeTrue())
		Expect(remote.HeldRequests()[0].Incarnations).To(HaveLen(3))
		Expect(remote.HeldRequests()[0].HeldBy).To(BeEquivalentTo("vm"))
		shutDown()
		later, _, _ := start(s)
		Eventually(held(later)).Should(BeTrue())
	})

	It("hold a part of prompts at gateways that have seen none of the crashes, until it is served at one", func() {
		s := newFakeTopic()
		l, _, shutDown := start(s)
		for n := range minPartCrashes {
			l.RecordCrash(promptCrash(n, []string{"p", "bad"}))
			time.Sleep(sameCauseWindow)
		}
		l.Served(known(request("other"), partNamed("p")))
		verdict := func(l *SuspectTracker) func() Verdict {
			return func() Verdict { return l.Check(known(request("new"), partNamed("p"), partNamed("bad"))) }
		}
		Eventually(verdict(l)).Should(Equal(Held))
		Eventually(func() bool { return s.has(partNamed("bad").String()) }).WithTimeout(3 * time.Second).Should(BeTrue())
		shutDown()
		later, _, _ := start(s)
		Eventually(verdict(later)).Should(Equal(Held))
		Expect(later.Check(known(request("new"), partNamed("p")))).To(Equal(Pass))
		later.Served(known(request("new"), partNamed("bad")))
		Expect(verdict(later)()).To(Equal(Pass))
		Eventually(func() bool { return s.has(partNamed("bad").String()) }).Should(BeFalse())
	})

	It("are written once or twice, not by every gateway that holds them", func() {
		s := newFakeTopic()
		for range 12 {
			l, _, _ := start(s)
			crash(l)
		}
		time.Sleep(settleDelay + writeSpread + 300*time.Millisecond)
		s.mu.Lock()
		defer s.mu.Unlock()
		Expect(s.writes).To(BeNumerically(">=", 1))
		Expect(s.writes).To(BeNumerically("<=", 2))
	})

	It("are written once the store is available again, and read again if its history has expired", func() {
		s := newFakeTopic()
		s.update(func() { s.unavailable = true })
		l, _, _ := start(s)
		crash(l)
		Eventually(held(l)).Should(BeTrue())
		time.Sleep(writeSpread)
		s.update(func() { s.unavailable, s.expired = false, true })
		remote, _, _ := start(s)
		Eventually(held(remote)).WithTimeout(3 * (retryDelay + retryDelay)).Should(BeTrue())
	})

	It("are released everywhere once their record is deleted, also if a gateway missed the deletion", func() {
		s := newFakeTopic()
		l, k, _ := start(s)
		remote, _, _ := start(s)
		crash(l)
		Eventually(held(remote)).WithTimeout(3 * time.Second).Should(BeTrue())
		s.update(func() { s.expired = true })
		l.Lift(bad)
		k.Remove(bad)
		Eventually(held(remote)).WithTimeout(3 * (retryDelay + retryDelay)).Should(BeFalse())
	})

	It("are written again by few gateways after the store is restored from an older copy that lacks them", func() {
		s := newFakeTopic()
		l, _, _ := start(s)
		var others []*SuspectTracker
		for range 6 {
			o, _, _ := start(s)
			others = append(others, o)
		}
		crash(l)
		for _, o := range others {
			Eventually(held(o)).WithTimeout(3 * time.Second).Should(BeTrue())
		}
		time.Sleep(writeSpread)
		before := s.writeCount()
		s.restore(0)
		Eventually(func() bool { return s.has(bad.String()) }).WithTimeout(3 * (retryDelay + retryDelay)).Should(BeTrue())
		time.Sleep(2 * retryDelay)
		Expect(s.writeCount() - before).To(BeNumerically("<=", 3))
		for _, o := range others {
			Expect(held(o)()).To(BeTrue())
		}
	})

	It("that were lifted stay lifted after the store is restored from an older copy that contains them", func() {
		s := newFakeTopic()
		l, k, _ := start(s)
		remote, _, _ := start(s)
		crash(l)
		Eventually(held(remote)).WithTimeout(3 * time.Second).Should(BeTrue())
		time.Sleep(writeSpread)
		n := s.writeCount()
		l.Lift(bad)
		k.Remove(bad)
		Eventually(held(remote)).WithTimeout(3 * time.Second).Should(BeFalse())
		s.restore(n)
		Expect(s.has(bad.String())).To(BeTrue())
		Eventually(func() bool { return s.has(bad.String()) }).WithTimeout(3 * (retryDelay + retryDelay)).Should(BeFalse())
		Consistently(func() bool { return held(l)() || held(remote)() }).WithTimeout(2 * retryDelay).Should(BeFalse())
	})

	It("that were served are removed from the store", func() {
		s := newFakeTopic()
		l, _, _ := start(s)
		remote, _, _ := start(s)
		crash(l)
		Eventually(held(remote)).WithTimeout(3 * time.Second).Should(BeTrue())
		remote.Served(known(bad))
		Eventually(held(l)).WithTimeout(time.Second).Should(BeFalse())
	})

	It("are released again if another process says that they are recorded and the store lacks them", func() {
		s := newFakeTopic()
		l, k, _ := start(s)
		Eventually(l.recordsRead.Load).Should(BeTrue())
		Expect(k.accepts(bad, true)).To(BeTrue())
		l.AddHeld(HeldRequest{Fingerprint: bad})
		Consistently(held(l)).WithTimeout(recordReadTime / 2).Should(BeTrue())
		Eventually(held(l)).WithTimeout(recordReadTime).Should(BeFalse())
		Expect(s.writeCount()).To(BeZero())
	})

	It("are not held again by what another process says while they are being lifted", func() {
		s := newFakeTopic()
		l, k, _ := start(s)
		crash(l)
		Eventually(func() bool { return s.has(bad.String()) }).WithTimeout(3 * time.Second).Should(BeTrue())
		s.update(func() { s.unavailable = true })
		l.Lift(bad)
		k.Remove(bad)
		Expect(k.accepts(bad, false)).To(BeFalse())
		Expect(k.accepts(bad, true)).To(BeFalse())
	})

	It("are read from valid records; invalid ones are counted and skipped", func() {
		s := newFakeTopic()
		for _, r := range []records.Record{
			{Key: "no fingerprint", Value: []byte("x")}, {Key: bad.String(), Value: []byte{0xff}}, {Key: request("good").String(), Value: []byte{}},
		} {
			_, err := s.add(context.Background(), "t", r)
			Expect(err).NotTo(HaveOccurred())
		}
		l, _, _ := start(s)
		Eventually(func() bool { return l.Check(known(request("good"))) == Held }).Should(BeTrue())
		// A snapshot has no order, so the valid record may be applied before the invalid ones.
		Eventually(func() string { return l.vars.Get("records_skipped").String() }).Should(Equal("2"))
		Expect(l.Check(known(bad))).To(Equal(Pass))
	})
})
