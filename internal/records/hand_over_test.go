package records

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/platform"
)

// handOver is a failure domain whose reader loses the store, a process that follows it, and one that starts then.
type handOver struct {
	store             *fakeStore
	reader, elsewhere *fakeStore
	follower          *process

	// unanswered is a process that gets no answers from the other failure domain.
	unanswered string

	mu     sync.Mutex
	byName map[string]*process
}

// newHandOver starts the reader, the follower, which the store refuses, and a process of another failure domain.
func newHandOver() *handOver {
	s := &fakeStore{logs: map[string][]Record{}}
	s.write("op", "config", "1")
	s.write("up", "u", servingWeights)
	h := &handOver{store: s, byName: map[string]*process{}, reader: &fakeStore{logs: s.logs, shared: s}, elsewhere: &fakeStore{logs: s.logs, shared: s}}
	h.add("a", h.reader, "a")
	h.add("elsewhere", h.elsewhere)
	Eventually(h.byName["a"].follower.allRead).Should(BeTrue())
	h.follower = h.add("follower", &fakeStore{logs: s.logs, shared: s, down: true}, "a", "b")
	Eventually(func() *facts.Instance { return h.follower.facts.Instance("u") }).WithTimeout(3 * time.Second).ShouldNot(BeNil())
	return h
}

// add starts a process that knows the given gateways, and can ask the one of the other failure domain.
func (h *handOver) add(name string, s *fakeStore, gateways ...string) *process {
	ask := func(ctx context.Context, address string, q *pb.FollowRequest) (*pb.FollowResponse, error) {
		h.mu.Lock()
		to := h.byName[address]
		h.mu.Unlock()
		if to == nil || (address == "elsewhere" && name == h.unanswered) {
			return nil, platform.ErrUnavailable
		}
		return to.service.Follow(ctx, q)
	}
	p, _ := startProcess(name, 0, s.store(), ask, func(ctx context.Context, p *process) {
		for ; ctx.Err() == nil; kernel.Pause(ctx, time.Second) {
			for _, g := range gateways {
				p.facts.NoteGateway(g)
			}
		}
	}, func(p *process) {
		p.follower.witnesses = func() []string { return []string{"elsewhere"} }
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	h.byName[name] = p
	return p
}

// turnAwayReader lets the store refuse the reader, lets the upstream's entry go meanwhile, and starts another process that
// reads. It returns once the follower has its records.
func (h *handOver) turnAwayReader(alsoElsewhere bool) {
	h.reader.setDown(true)
	h.elsewhere.setDown(alsoElsewhere)
	h.store.write("up", "u", "")
	h.store.write("up", "v", "here")
	time.Sleep(maxFreshAge + 300*time.Millisecond)
	h.elsewhere.setDown(false)
	h.add("b", &fakeStore{logs: h.store.logs, shared: h.store}, "b")
	Eventually(func() *facts.Instance { return h.follower.facts.Instance("v") }).WithTimeout(2 * time.Second).WithPolling(5 * time.Millisecond).ShouldNot(BeNil())
}

var _ = Describe("an upstream whose entry goes while the store turns away the reader of a failure domain", func() {
	It("is not kept for a grace period if a process that has just started takes over, as the store served other domains", func() {
		h := newHandOver()
		h.turnAwayReader(false)
		Expect(h.follower.facts.Instance("u")).To(BeNil())
	})

	It("is not kept for a grace period if that process gets no answers from other domains, but its followers do", func() {
		h := newHandOver()
		h.unanswered = "b"
		h.turnAwayReader(false)
		Expect(h.follower.facts.Instance("u")).To(BeNil())
	})

	It("is kept for a grace period if no other domain reached the store either", func() {
		h := newHandOver()
		h.turnAwayReader(true)
		Expect(h.follower.facts.Instance("u")).NotTo(BeNil())
		Eventually(func() *facts.Instance { return h.follower.facts.Instance("u") }).WithTimeout(3 * time.Second).Should(BeNil())
	})
})

var _ = Describe("a removal after a break between two readings", func() {
	var (
		now time.Time
		f   *facts.Facts
		l   *Log
	)
	removal := func(missed time.Duration, availableFor time.Duration) Batch {
		now = now.Add(missed)
		return Batch{Records: []Record{{Key: "k", Position: 1}}, Next: 2, ConfirmedAt: now, FirstReadAt: now, AvailableSince: now.Add(-availableFor)}
	}

	BeforeEach(func() {
		now = time.Now()
		f = facts.New(func() time.Time { return now })
		l = newUpstreamsLog(f, func() time.Time { return now })
		l.Merge(Batch{Snapshot: true, Records: []Record{{Key: "k", Value: []byte("a")}}, Next: 1, ConfirmedAt: now})
	})

	DescribeTable("is taken for a hand-over or an outage", func(missed, availableFor time.Duration, ownRead, kept bool) {
		b := removal(missed, availableFor)
		if ownRead {
			l.NoteStoreFailure(platform.ErrUnavailable)
			b.FromStore, b.FirstReadAt = true, time.Time{}
		}
		l.Merge(b)
		Expect(f.Instance("k") != nil).To(Equal(kept))
	},
		Entry("the store was available throughout", 2*time.Second, time.Minute, false, false),
		Entry("the store was available throughout, own read", 2*time.Second, time.Minute, true, false),
		Entry("available from shortly after the last reading on", 2*time.Second, 2*time.Second-maxFreshAge, false, false),
		Entry("available from later on", 2*time.Second, 2*time.Second-maxFreshAge-time.Millisecond, false, true),
		Entry("available from later on, own read", 2*time.Second, time.Second/2, true, true),
		Entry("the whole domain was cut off for longer than a hand-over takes", outageThreshold+time.Millisecond, time.Minute, false, true),
		Entry("the whole domain was cut off for longer, own read", outageThreshold+time.Millisecond, time.Minute, true, true),
	)

	It("ends the period over which the store is known to have been available, unless others know better", func() {
		began, last := l.availableSince, now
		Expect(began).To(Equal(last))
		now = now.Add(2 * time.Second)
		l.Merge(Batch{Next: 1, ConfirmedAt: now, FromStore: true})
		Expect(l.availableSince).To(Equal(now))
		l.Merge(Batch{Next: 1, ConfirmedAt: now.Add(-500 * time.Millisecond), AvailableSince: began})
		Expect(l.availableSince).To(Equal(began), "a source that has read throughout")
		now = now.Add(2 * time.Second)
		l.Merge(Batch{Next: 1, ConfirmedAt: now, FromStore: true})
		l.Merge(Batch{Next: 1, ConfirmedAt: now.Add(-1500 * time.Millisecond), AvailableSince: began})
		Expect(l.availableSince).To(Equal(now), "a source that lost the store, too, before this process read again")
	})
})

var _ = Describe("the processes that are asked whether the store was available", func() {
	It("are stagers of as many other failure domains as possible", func() {
		f := facts.New(time.Now)
		add := func(name, domain string, holdsWeights bool) {
			i := &facts.Instance{ID: id.Instance(name), Address: name + ":8000", Domain: id.Domain(domain)}
			if holdsWeights {
				i.Held = []facts.Held{{Model: "m", Revision: 1}}
			}
			f.SetInstance(i)
		}
		w := witnesses(f, "d", "10.0.0.1:7700")
		add("10.0.0.2", "d", true)
		add("10.0.1.2", "e", false)
		Expect(w()).To(BeEmpty())
		for _, host := range []string{"10.0.1.1", "10.0.1.3", "10.0.1.4", "10.0.1.5"} {
			add(host, "e", true)
		}
		add("10.0.2.1", "f", true)
		Expect(w()).To(HaveLen(maxWitnesses))
		Expect(w()).To(ContainElement("10.0.2.1:7700"))
	})
})

var _ = Describe("a process without a transport to others", func() {
	It("reads a list that names stagers of other failure domains without a crash", func() {
		s := &fakeStore{logs: map[string][]Record{}}
		s.write("up", "10.0.1.1:8000", servingWeights)
		f := facts.New(time.Now)
		p := New(&Settings{ConfigWait: 50 * time.Millisecond, ListEvery: 20 * time.Millisecond}, &Platform{
			Store:     s.store(),
			Operators: Topic{Name: "op", Apply: func(Record) error { return nil }},
			Upstreams: Topic{Name: "up", KeysAreUpstreams: true, Apply: func(r Record) error {
				f.SetInstance(&facts.Instance{ID: id.Instance(r.Key), Address: r.Key, Domain: "other", Held: []facts.Held{{Model: "m", Revision: 1}}})
				return nil
			}},
		}, f, "d", "10.0.0.1:7700", time.Now, silentLogger)
		ctx, stop := context.WithCancel(context.Background())
		DeferCleanup(stop)
		go func() { _ = p.Run(ctx) }()
		Eventually(p.follower.allRead).WithTimeout(3 * time.Second).Should(BeTrue())
		Eventually(func() bool {
			_, _, read := p.follower.logs[1].ChangesSince(Cursor{})
			return read
		}).WithTimeout(3 * time.Second).Should(BeTrue())
	})
})
