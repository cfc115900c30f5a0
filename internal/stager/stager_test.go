package stager

import (
	"context"
	"net"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/phuslu/log"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/dating"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/reports"
	"github.com/springrail/springrail/internal/spec"
	"github.com/springrail/springrail/internal/swapplan"
	"github.com/springrail/springrail/internal/swarm"
	"github.com/springrail/springrail/internal/transfer"
)

func TestStager(t *testing.T) {
	spec.Run(t, "The stager")
}

// startStager runs a stager without neighbours.
func startStager(e *fakeUpstream, within time.Duration) (*Stager, *facts.Facts) {
	s, f, _ := startReporting(e, within)
	return s, f
}

// startReporting also returns the address at which gateways may subscribe to the stager's reports.
func startReporting(e *fakeUpstream, within time.Duration) (*Stager, *facts.Facts, *net.UDPAddr) {
	f := facts.New(e.now)
	f.SetCatalog(catalog.New(1, nil, []*catalog.Service{{Name: "p", Engine: &catalog.Engine{
		Models: []id.Model{"m"}, Chunks: chunks, ChunkBytes: chunkBytes,
	}}, {Name: "o", Origin: "origin"}}, nil, catalog.Limits{}))
	quiet := &log.Logger{Level: log.PanicLevel}
	events := kernel.NewEventRing(kernel.NewClock(time.Now), 64)
	s := New(&Settings{Pool: "p", PeerPort: 1, SwapWithin: within, MemoryBytes: 1 << 20}, e.ports(), f, transfer.Transport{
		FetchChunk:    func(context.Context, string, id.Rollout, id.Chunk, int64) ([]byte, error) { return nil, errUnavailable },
		FetchManifest: func(context.Context, string, id.Rollout) ([]byte, error) { return nil, errUnavailable },
		Have:          func(context.Context, string, *pb.HaveRequest) (*pb.HaveResponse, error) { return nil, errUnavailable },
	}, swarm.Member{Domain: "d"}, events, quiet)
	s.now = e.now
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = c.Close() })
	s.reporter = reports.NewReporter(c, "d", f, time.Now, quiet)
	s.reporter.OnReservation = s.pollForReservation
	ctx, stop := context.WithCancel(context.Background())
	DeferCleanup(stop)
	go func() { _ = s.reporter.Run(ctx) }()
	go func() { _ = s.Run(ctx) }()
	return s, f, c.LocalAddr().(*net.UDPAddr)
}

const waitTimeout = 5 * time.Second

var _ = Describe("a stager", func() {
	It("loads an empty upstream, only with complete and verified chunks", func() {
		e := newFakeUpstream()
		e.corruptOrigin[3], e.corruptStaged[5] = true, 1
		startStager(e, time.Second)
		Eventually(e.servedRevision).WithTimeout(waitTimeout).Should(Equal(id.Revision(1)))
		e.withLock(func() {
			Expect(e.loaded).To(HaveLen(1))
			Expect(e.loaded[0]).To(Equal(content(1)))
		})
	})

	It("takes over staged chunks and fetches only missing or corrupt ones", func() {
		e := newFakeUpstream(facts.Held{Model: "m", Revision: 1})
		for c := range id.Chunk(chunks - 1) {
			e.staged[c] = content(1)[int(c)*chunkBytes:][:chunkBytes]
		}
		e.staged[2] = []byte("bad")
		s, _ := startStager(e, time.Second)
		Eventually(func() bool {
			h := s.dependencies.Holdings.Find("m@1")
			return h != nil && h.Complete()
		}).WithTimeout(waitTimeout).Should(BeTrue())
		e.withLock(func() {
			Expect(e.originFetches).To(Equal(2))
			Expect(e.orders).To(BeEmpty())
		})
	})

	It("fetches nothing from the origin before its upstream responds", func() {
		e := newFakeUpstream()
		e.down = true
		startStager(e, time.Second)
		Consistently(func() (n int) { e.withLock(func() { n = e.originFetches }); return }).WithTimeout(300 * time.Millisecond).Should(BeZero())
		e.withLock(func() { e.down = false })
		Eventually(e.servedRevision).WithTimeout(waitTimeout).Should(Equal(id.Revision(1)))
	})

	It("checks the upstream's state after a lost response instead of sending the order twice", func() {
		e := newFakeUpstream()
		e.loseResponse = true
		startStager(e, time.Second)
		Eventually(e.servedRevision).WithTimeout(waitTimeout).Should(Equal(id.Revision(1)))
		e.withLock(func() { Expect(e.orders).To(HaveLen(1)) })
	})

	It("retries a refused order with the upstream's order count", func() {
		e := newFakeUpstream()
		e.refuseCount = 2
		startStager(e, time.Second)
		Eventually(e.servedRevision).WithTimeout(waitTimeout).Should(Equal(id.Revision(1)))
	})

	It("reports the age of a publication if it is known, for as long as it matters", func() {
		s, f := startStager(newFakeUpstream(facts.Held{Model: "m", Revision: 1}), time.Second)
		Expect(s.newestVersion()).To(BeNil(), "nothing was published")
		f.SetWanted("m", facts.Publication{Revision: 2})
		Expect(s.newestVersion().GetAgeMs()).To(BeNumerically("<", 0), "the publication time is unknown")
		Expect(s.newestVersion().GetHadMs()).To(BeNumerically("<", 1000), "the time since this process learnt of it is known")
		f.MergePublishTime("m", 2, dating.TimeBounds{After: time.Now().Add(-2 * time.Second)})
		Expect(s.newestVersion().GetRevision()).To(Equal(uint64(2)))
		Expect(s.newestVersion().GetAgeMs()).To(BeNumerically("~", 2000, 500))
		f.SetWanted("m", facts.Publication{Revision: 3, PublishTime: dating.TimeBounds{After: time.Now().Add(-2 * maxReportedAge)}})
		Expect(s.newestVersion()).To(BeNil(), "the publication is too old to be reported")
	})

	It("loads the newest of several versions published in quick succession", func() {
		e := newFakeUpstream(facts.Held{Model: "m", Revision: 1})
		s, f := startStager(e, time.Second)
		Eventually(func() bool { _, up := s.upstreamState(); return up }).Should(BeTrue())
		for r := range id.Revision(4) {
			f.SetWanted("m", publishedNow(r+2))
		}
		Eventually(e.servedRevision).WithTimeout(waitTimeout).Should(Equal(id.Revision(5)))
		e.withLock(func() {
			Expect(slices.ContainsFunc(e.orders, func(o Order) bool { return o.Revision == 2 })).To(BeFalse())
			Expect(e.loaded[len(e.loaded)-1]).To(Equal(content(5)))
		})
	})

	It("reloads an upstream that has lost its weights from the chunks in memory", func() {
		e := newFakeUpstream()
		startStager(e, time.Second)
		Eventually(e.servedRevision).WithTimeout(waitTimeout).Should(Equal(id.Revision(1)))
		originFetches := 0
		e.withLock(func() {
			originFetches = e.originFetches
			e.state.Held, e.state.Orders, e.staged = nil, 0, map[id.Chunk][]byte{}
		})
		Eventually(e.servedRevision).WithTimeout(waitTimeout).Should(Equal(id.Revision(1)))
		e.withLock(func() { Expect(e.originFetches).To(Equal(originFetches)) })
	})

	It("reports that the upstream accepts no requests before it orders a load, and reopens it afterwards", func() {
		e := newFakeUpstream(facts.Held{Model: "m", Revision: 1})
		e.state.Running = 1
		s, f := startStager(e, 4*time.Second)
		Eventually(func() bool { _, up := s.upstreamState(); return up }).Should(BeTrue())
		f.SetWanted("m", publishedNow(2))
		closed := func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.closed }
		Eventually(closed).WithTimeout(waitTimeout).Should(BeTrue())
		e.withLock(func() { Expect(e.orders).To(BeEmpty()) })
		s.mu.Lock()
		closedAt := s.closedAt
		s.mu.Unlock()
		Eventually(e.servedRevision).WithTimeout(waitTimeout).Should(Equal(id.Revision(2)))
		e.withLock(func() {
			Expect(e.orderedAt.Sub(closedAt)).To(BeNumerically("<", swapplan.MaxDrain), "the upstream finishes running requests itself")
		})
		Eventually(closed).WithTimeout(waitTimeout).Should(BeFalse())
	})
})
