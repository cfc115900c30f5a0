package stager

import (
	"bytes"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/phuslu/log"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/dating"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/manifest"
	"github.com/springrail/springrail/internal/reports"
	"github.com/springrail/springrail/internal/swarm"
	"github.com/springrail/springrail/internal/transfer"
)

var _ = Describe("an upstream that is about to load", func() {
	It("receives no order while a request is queued that was sent before the gateways were notified", func() {
		e := newFakeUpstream(facts.Held{Model: "m", Revision: 1})
		s, f := startStager(e, 4*time.Second)
		Eventually(func() bool { _, up := s.upstreamState(); return up }).Should(BeTrue())
		f.SetWanted("m", publishedNow(2))
		closed := func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.closed }
		Eventually(closed).WithPolling(time.Millisecond).WithTimeout(waitTimeout).Should(BeTrue())
		// The first report to the gateways was lost, and the request arrived on a link that it shares with chunks.
		time.Sleep(150 * time.Millisecond)
		e.withLock(func() { e.state.Waiting = 1 })
		Consistently(func() int { e.mu.Lock(); defer e.mu.Unlock(); return len(e.orders) }).
			WithTimeout(200 * time.Millisecond).Should(BeZero())
		e.withLock(func() { e.state.Waiting = 0 })
		Eventually(e.servedRevision).WithTimeout(waitTimeout).Should(Equal(id.Revision(2)))
	})

	It("is closed shortly before its version is complete, and reopened if the rest is late", func() {
		now := time.Now()
		f := facts.New(time.Now)
		f.SetWanted("m", publishedNow(2))
		quiet := &log.Logger{Level: log.PanicLevel}
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		s := &Stager{
			facts: f, ports: &Ports{Address: "127.0.0.1:9"}, log: quiet, now: func() time.Time { return now },
			settings: &Settings{SwapWithin: 8 * time.Second},
			state:    State{Held: []facts.Held{{Model: "m", Revision: 1}}},
			reporter: reports.NewReporter(c, "d", f, time.Now, quiet),
		}
		s.dependencies.Self = swarm.Member{VM: "127.0.0.1:9", Domain: "d"}
		holdings := transfer.NewHoldingStore(1 << 20)
		g := &targetVersion{model: "m", pool: "p", wanted: facts.Wanted{Revision: 2, LearntAt: now.Add(-time.Second)}}
		g.holding, err = holdings.Open(&pb.Rollout{Id: "m@2", Version: &pb.Version{TotalBytes: chunks * chunkBytes, ChunkBytes: chunkBytes}})
		Expect(err).NotTo(HaveOccurred())
		m, err := manifest.New(bytes.NewReader(content(2)), chunkBytes)
		Expect(err).NotTo(HaveOccurred())
		raw, err := manifest.Encode(m)
		Expect(err).NotTo(HaveOccurred())
		Expect(g.holding.SetManifest(raw)).To(Succeed())
		closed := func() bool { return s.closed }
		for c := range id.Chunk(chunks - 1) {
			s.closeEarly(g)
			Expect(closed()).To(BeFalse(), "after %d chunks", c)
			_, err := g.holding.Add(c, content(2)[int(c)*chunkBytes:][:chunkBytes])
			Expect(err).NotTo(HaveOccurred())
		}
		s.closeEarly(g)
		Expect(closed()).To(BeTrue())
		now = now.Add(maxEarlyClose + time.Millisecond)
		s.closeEarly(g)
		Expect(closed()).To(BeFalse())
		s.closeEarly(g)
		Expect(closed()).To(BeFalse())
	})
})

// publishedNow returns a publication as of now.
func publishedNow(r id.Revision) facts.Publication {
	return publishedAt(r, time.Now())
}

// publishedAt returns a publication as of the given time.
func publishedAt(r id.Revision, t time.Time) facts.Publication {
	return facts.Publication{Revision: r, PublishTime: dating.TimeBounds{After: t}, CompleteUntil: t}
}
