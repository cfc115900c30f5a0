package stager

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
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
	"github.com/springrail/springrail/internal/manifest"
	"github.com/springrail/springrail/internal/reports"
	"github.com/springrail/springrail/internal/spec"
	"github.com/springrail/springrail/internal/swapplan"
	"github.com/springrail/springrail/internal/swarm"
	"github.com/springrail/springrail/internal/transfer"
)

func TestStager(t *testing.T) {
	spec.Run(t, "The stager")
}

const (
	chunks     = 8
	chunkBytes = 512
)

var errAway = errors.New("away")

// content is what a version of the model consists of.
func content(r id.Revision) []byte {
	b := make([]byte, chunks*chunkBytes)
	_, _ = rand.NewChaCha8([32]byte{byte(r)}).Read(b)
	return b
}

// engine plays the upstream beside the stager, and the origin.
type engine struct {
	mu     sync.Mutex
	state  State
	staged map[id.Chunk][]byte
	orders []Order
	drawn  int
	// loaded are the bytes that lay staged when each order was taken.
	loaded [][]byte
	// loseAnswer makes the next order be taken without an answer.
	loseAnswer bool
	// orderedAt is when the newest order came.
	orderedAt time.Time
	// refuse makes the next orders be refused.
	refuse int
	// spoil damages chunks that the origin gives; rot damages what has been put.
	spoil, rot map[id.Chunk]bool
	down       bool
	// away are versions that the origin does not give; held, where set, holds back the second half of what it gives.
	away map[id.Revision]bool
	held chan struct{}
	// newest is the version that the origin calls the newest; 0 where it does not say.
	newest id.Revision
	// gotLast runs once, when the last chunk has been read back.
	gotLast func()
}

func newEngine(held ...facts.Held) *engine {
	return &engine{staged: map[id.Chunk][]byte{}, state: State{Held: held}, spoil: map[id.Chunk]bool{}, rot: map[id.Chunk]bool{}}
}

func (e *engine) do(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f()
}

func (e *engine) ports() *Ports {
	return &Ports{Address: "127.0.0.1:9", Upstream: Upstream{
		State: func(context.Context) (State, error) {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.down {
				return State{}, errAway
			}
			return e.state, nil
		},
		StagedChunks: func(context.Context, id.Model) ([]id.Chunk, error) {
			e.mu.Lock()
			defer e.mu.Unlock()
			var l []id.Chunk
			for c := range e.staged {
				l = append(l, c)
			}
			return l, nil
		},
		ReadChunk: func(_ context.Context, _ id.Model, c id.Chunk) ([]byte, error) {
			e.mu.Lock()
			defer e.mu.Unlock()
			if f := e.gotLast; f != nil && c == chunks-1 {
				e.gotLast = nil
				defer f()
			}
			if e.staged[c] == nil {
				return nil, ErrChunkNotStaged
			}
			return e.staged[c], nil
		},
		StageChunk: func(_ context.Context, _ id.Model, c id.Chunk, data []byte) error {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.staged[c] = bytes.Clone(data)
			if e.rot[c] {
				e.staged[c][0] ^= 1
				delete(e.rot, c)
			}
			return nil
		},
		Load: e.load,
	}, Origin: Origin{
		Manifest: func(_ context.Context, _ string, _ id.Model, r id.Revision) (*pb.Manifest, id.Revision, error) {
			if r == 0 {
				r = e.newest
			}
			m, err := manifest.New(bytes.NewReader(content(r)), chunkBytes)
			return m, r, err
		},
		Chunk: func(ctx context.Context, _ string, _ id.Model, r id.Revision, c id.Chunk) ([]byte, error) {
			if e.held != nil && c >= chunks/2 {
				select {
				case <-ctx.Done():
					return nil, ctx.Err()
				case <-e.held:
				}
			}
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.away[r] {
				return nil, errAway
			}
			e.drawn++
			b := content(r)[int(c)*chunkBytes:][:chunkBytes]
			if e.spoil[c] {
				delete(e.spoil, c)
				b[0] ^= 1
			}
			return b, nil
		},
	}}
}

func (e *engine) load(_ context.Context, o Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.refuse > 0 || o.OrdersBefore != e.state.Orders || o.Incarnation != e.state.Incarnation {
		e.refuse--
		return ErrOrderRefused
	}
	e.orders, e.orderedAt = append(e.orders, o), time.Now()
	e.state.Orders++
	var all []byte
	for c := range id.Chunk(chunks) {
		all = append(all, e.staged[c]...)
	}
	e.loaded = append(e.loaded, all)
	e.state.Busy = true
	time.AfterFunc(30*time.Millisecond, func() {
		e.do(func() {
			e.state.Busy = false
			e.state.Held = []facts.Held{{Model: o.Model, Revision: o.Revision}}
		})
	})
	if e.loseAnswer {
		e.loseAnswer = false
		return errAway
	}
	return nil
}

func (e *engine) serves() id.Revision {
	e.mu.Lock()
	defer e.mu.Unlock()
	return facts.HeldRevision(e.state.Held, "m")
}

// start runs a stager alone in its swarm.
func start(e *engine, within time.Duration) (*Stager, *facts.Facts) {
	s, f, _ := startReporting(e, within)
	return s, f
}

// startReporting also returns where gateways may subscribe to the stager's reports.
func startReporting(e *engine, within time.Duration) (*Stager, *facts.Facts, *net.UDPAddr) {
	f := facts.New(time.Now)
	f.SetCatalog(catalog.New(1, nil, []*catalog.Service{{Name: "p", Engine: &catalog.Engine{
		Models: []id.Model{"m"}, Chunks: chunks, ChunkBytes: chunkBytes,
	}}, {Name: "o", Origin: "origin"}}, nil, catalog.Limits{}))
	quiet := &log.Logger{Level: log.PanicLevel}
	events := kernel.NewEventRing(kernel.NewClock(time.Now), 64)
	s := New(&Settings{Pool: "p", PeerPort: 1, SwapWithin: within, MemoryBytes: 1 << 20}, e.ports(), f, transfer.Transport{
		FetchChunk:    func(context.Context, string, id.Rollout, id.Chunk, int64) ([]byte, error) { return nil, errAway },
		FetchManifest: func(context.Context, string, id.Rollout) ([]byte, error) { return nil, errAway },
		Have:          func(context.Context, string, *pb.HaveRequest) (*pb.HaveResponse, error) { return nil, errAway },
	}, swarm.Member{Domain: "d"}, events, quiet)
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = c.Close() })
	s.reporter = reports.NewReporter(c, "d", f, time.Now, quiet)
	ctx, stop := context.WithCancel(context.Background())
	DeferCleanup(stop)
	go func() { _ = s.reporter.Run(ctx) }()
	go func() { _ = s.Run(ctx) }()
	return s, f, c.LocalAddr().(*net.UDPAddr)
}

const soon = 5 * time.Second

var _ = Describe("a stager", func() {
	It("fills an empty upstream, and only with whole and verified chunks", func() {
		e := newEngine()
		e.spoil[3], e.rot[5] = true, true
		start(e, time.Second)
		Eventually(e.serves).WithTimeout(soon).Should(Equal(id.Revision(1)))
		e.do(func() {
			Expect(e.loaded).To(HaveLen(1))
			Expect(e.loaded[0]).To(Equal(content(1)))
		})
	})

	It("takes over what lies staged, and draws only what is missing or bad", func() {
		e := newEngine(facts.Held{Model: "m", Revision: 1})
		for c := range id.Chunk(chunks - 1) {
			e.staged[c] = content(1)[int(c)*chunkBytes:][:chunkBytes]
		}
		e.staged[2] = []byte("bad")
		s, _ := start(e, time.Second)
		Eventually(func() bool {
			h := s.env.Holdings.Find("m@1")
			return h != nil && h.Complete()
		}).WithTimeout(soon).Should(BeTrue())
		e.do(func() {
			Expect(e.drawn).To(Equal(2))
			Expect(e.orders).To(BeEmpty())
		})
	})

	It("waits for its upstream before it draws anything", func() {
		e := newEngine()
		e.down = true
		start(e, time.Second)
		Consistently(func() (n int) { e.do(func() { n = e.drawn }); return }).WithTimeout(300 * time.Millisecond).Should(BeZero())
		e.do(func() { e.down = false })
		Eventually(e.serves).WithTimeout(soon).Should(Equal(id.Revision(1)))
	})

	It("reads back an order whose answer was lost instead of sending it twice", func() {
		e := newEngine()
		e.loseAnswer = true
		start(e, time.Second)
		Eventually(e.serves).WithTimeout(soon).Should(Equal(id.Revision(1)))
		e.do(func() { Expect(e.orders).To(HaveLen(1)) })
	})

	It("tries again after an order was refused, with the upstream's own count", func() {
		e := newEngine()
		e.refuse = 2
		start(e, time.Second)
		Eventually(e.serves).WithTimeout(soon).Should(Equal(id.Revision(1)))
	})

	It("tells since when a version is named while that matters, and only where it knows it", func() {
		s, f := start(newEngine(facts.Held{Model: "m", Revision: 1}), time.Second)
		Expect(s.named()).To(BeNil(), "nothing was named")
		f.SetWanted("m", facts.Publication{Revision: 2})
		Expect(s.named().GetAgeMs()).To(BeNumerically("<", 0), "it is not known since when")
		Expect(s.named().GetHadMs()).To(BeNumerically("<", 1000), "that this process has read of it is")
		f.MergePublishTime("m", 2, dating.TimeBounds{After: time.Now().Add(-2 * time.Second)})
		Expect(s.named().GetRevision()).To(Equal(uint64(2)))
		Expect(s.named().GetAgeMs()).To(BeNumerically("~", 2000, 500))
		f.SetWanted("m", facts.Publication{Revision: 3, PublishTime: dating.TimeBounds{After: time.Now().Add(-2 * tellNaming)}})
		Expect(s.named()).To(BeNil(), "it is over")
	})

	It("goes to the newest of several versions named in quick succession", func() {
		e := newEngine(facts.Held{Model: "m", Revision: 1})
		s, f := start(e, time.Second)
		Eventually(func() bool { _, up := s.current(); return up }).Should(BeTrue())
		for r := range id.Revision(4) {
			f.SetWanted("m", named(r+2))
		}
		Eventually(e.serves).WithTimeout(soon).Should(Equal(id.Revision(5)))
		e.do(func() {
			Expect(slices.ContainsFunc(e.orders, func(o Order) bool { return o.Revision == 2 })).To(BeFalse())
			Expect(e.loaded[len(e.loaded)-1]).To(Equal(content(5)))
		})
	})

	It("fills an upstream again that has lost its weights, from what it holds itself", func() {
		e := newEngine()
		start(e, time.Second)
		Eventually(e.serves).WithTimeout(soon).Should(Equal(id.Revision(1)))
		drawn := 0
		e.do(func() {
			drawn = e.drawn
			e.state.Held, e.state.Orders, e.staged = nil, 0, map[id.Chunk][]byte{}
		})
		Eventually(e.serves).WithTimeout(soon).Should(Equal(id.Revision(1)))
		e.do(func() { Expect(e.drawn).To(Equal(drawn)) })
	})

	It("tells the gateways that it takes nothing new before it orders a load, and opens again", func() {
		e := newEngine(facts.Held{Model: "m", Revision: 1})
		e.state.Running = 1
		s, f := start(e, 4*time.Second)
		Eventually(func() bool { _, up := s.current(); return up }).Should(BeTrue())
		f.SetWanted("m", named(2))
		closed := func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.closed }
		Eventually(closed).WithTimeout(soon).Should(BeTrue())
		e.do(func() { Expect(e.orders).To(BeEmpty()) })
		s.mu.Lock()
		closedAt := s.closedAt
		s.mu.Unlock()
		Eventually(e.serves).WithTimeout(soon).Should(Equal(id.Revision(2)))
		e.do(func() {
			Expect(e.orderedAt.Sub(closedAt)).To(BeNumerically("<", swapplan.MaxDrain), "what runs is left to the upstream")
		})
		Eventually(closed).WithTimeout(soon).Should(BeFalse())
	})
})

var _ = Describe("an upstream that is about to load", func() {
	It("is given no order while a request waits there that was sent before the gateways knew", func() {
		e := newEngine(facts.Held{Model: "m", Revision: 1})
		s, f := start(e, 4*time.Second)
		Eventually(func() bool { _, up := s.current(); return up }).Should(BeTrue())
		f.SetWanted("m", named(2))
		closed := func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.closed }
		Eventually(closed).WithPolling(time.Millisecond).WithTimeout(soon).Should(BeTrue())
		// The gateways' first report was lost, and the request came on a link that is shared with chunks.
		time.Sleep(150 * time.Millisecond)
		e.do(func() { e.state.Waiting = 1 })
		Consistently(func() int { e.mu.Lock(); defer e.mu.Unlock(); return len(e.orders) }).
			WithTimeout(200 * time.Millisecond).Should(BeZero())
		e.do(func() { e.state.Waiting = 0 })
		Eventually(e.serves).WithTimeout(soon).Should(Equal(id.Revision(2)))
	})

	It("is closed shortly before its version is there, and opened again where the rest is late", func() {
		now := time.Now()
		f := facts.New(time.Now)
		f.SetWanted("m", named(2))
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
		s.env.Self = swarm.Member{VM: "127.0.0.1:9", Domain: "d"}
		shelf := transfer.NewHoldingStore(1 << 20)
		g := &goal{model: "m", pool: "p", wanted: facts.Wanted{Revision: 2, LearntAt: now.Add(-time.Second)}}
		g.holding, err = shelf.Open(&pb.Rollout{Id: "m@2", Version: &pb.Version{TotalBytes: chunks * chunkBytes, ChunkBytes: chunkBytes}})
		Expect(err).NotTo(HaveOccurred())
		m, err := manifest.New(bytes.NewReader(content(2)), chunkBytes)
		Expect(err).NotTo(HaveOccurred())
		raw, err := manifest.Encode(m)
		Expect(err).NotTo(HaveOccurred())
		Expect(g.holding.SetManifest(raw)).To(Succeed())
		closed := func() bool { return s.closed }
		for c := range id.Chunk(chunks - 1) {
			s.closeAhead(g)
			Expect(closed()).To(BeFalse(), "after %d chunks", c)
			_, err := g.holding.Add(c, content(2)[int(c)*chunkBytes:][:chunkBytes])
			Expect(err).NotTo(HaveOccurred())
		}
		s.closeAhead(g)
		Expect(closed()).To(BeTrue())
		now = now.Add(aheadMost + time.Millisecond)
		s.closeAhead(g)
		Expect(closed()).To(BeFalse())
		s.closeAhead(g)
		Expect(closed()).To(BeFalse())
	})
})

// named is what a process has read of weights that are named just now.
func named(r id.Revision) facts.Publication {
	return namedAt(r, time.Now())
}

// namedAt is the naming of a version at a moment.
func namedAt(r id.Revision, t time.Time) facts.Publication {
	return facts.Publication{Revision: r, PublishTime: dating.TimeBounds{After: t}, CompleteUntil: t}
}
