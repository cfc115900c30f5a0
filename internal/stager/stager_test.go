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

var errUnavailable = errors.New("unavailable")

// content returns the weights of a version.
func content(r id.Revision) []byte {
	b := make([]byte, chunks*chunkBytes)
	_, _ = rand.NewChaCha8([32]byte{byte(r)}).Read(b)
	return b
}

// fakeUpstream simulates the upstream beside the stager, and the origin.
type fakeUpstream struct {
	mu            sync.Mutex
	state         State
	staged        map[id.Chunk][]byte
	orders        []Order
	originFetches int
	// loaded holds the staged bytes at the time of each accepted order.
	loaded [][]byte
	// loseResponse makes the upstream accept the next order without a response.
	loseResponse bool
	// orderedAt is the time of the newest order.
	orderedAt time.Time
	// refuseCount is how many of the next orders are refused.
	refuseCount int
	// corruptOrigin damages chunks that the origin returns; corruptStaged is how often a chunk is damaged when it is staged.
	corruptOrigin map[id.Chunk]bool
	corruptStaged map[id.Chunk]int
	down          bool
	// unavailable holds the versions that the origin does not return. If releaseSecondHalf is set, the origin returns
	// the second half of the chunks only once it is closed.
	unavailable       map[id.Revision]bool
	releaseSecondHalf chan struct{}
	// chunkDelay is how long the origin takes for a chunk; fetching is the number of its requests in progress by version.
	chunkDelay time.Duration
	fetching   map[id.Revision]int
	// newest is the newest version of the origin; 0 if it does not report one.
	newest id.Revision
	// misstated is what the next answer about the newest version states instead, and unpublished the first version without a
	// manifest; 0 for none.
	misstated, unpublished id.Revision
	// misread holds the versions that the next reports state instead of the served one.
	misread []id.Revision
	// onLastChunkRead runs once, when the last staged chunk has been read.
	onLastChunkRead func()
	// onPoll runs before each read of the state.
	onPoll func()
	// onRead runs after each read of a staged chunk and holds the lock.
	onRead func(c id.Chunk)
	// onOrder runs when an order is accepted, before its chunks are taken, and holds the lock.
	onOrder func()
	// badSince is when staged chunks turned corrupt, and takenBadFor for how long each chunk had been corrupt that an order
	// took.
	badSince    map[id.Chunk]time.Time
	takenBadFor []time.Duration
	// refusedAtOrder counts the waiting requests that orders have made the upstream refuse.
	refusedAtOrder int
	// now is the clock of the stager and of the upstream.
	now func() time.Time
}

func newFakeUpstream(held ...facts.Held) *fakeUpstream {
	return &fakeUpstream{staged: map[id.Chunk][]byte{}, state: State{Held: held}, corruptOrigin: map[id.Chunk]bool{}, corruptStaged: map[id.Chunk]int{}, fetching: map[id.Revision]int{}, badSince: map[id.Chunk]time.Time{}, now: time.Now}
}

func (e *fakeUpstream) withLock(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f()
}

func (e *fakeUpstream) ports() *Ports {
	return &Ports{Address: "127.0.0.1:9", Upstream: Upstream{
		State: func(context.Context) (State, error) {
			e.mu.Lock()
			onPoll := e.onPoll
			e.mu.Unlock()
			if onPoll != nil {
				onPoll()
			}
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.down {
				return State{}, errUnavailable
			}
			state := e.state
			if len(e.misread) > 0 {
				state.Held = []facts.Held{{Model: "m", Revision: e.misread[0]}}
				e.misread = e.misread[1:]
			}
			return state, nil
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
			if f := e.onLastChunkRead; f != nil && c == chunks-1 {
				e.onLastChunkRead = nil
				defer f()
			}
			if e.onRead != nil {
				defer e.onRead(c)
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
			delete(e.badSince, c)
			if e.corruptStaged[c] > 0 {
				e.spoil(c)
				e.corruptStaged[c]--
			}
			return nil
		},
		Load: e.load,
	}, Origin: Origin{
		Manifest: func(_ context.Context, _ string, _ id.Model, r id.Revision) (*pb.Manifest, id.Revision, error) {
			e.mu.Lock()
			defer e.mu.Unlock()
			stated := r
			if r == 0 {
				r, stated = e.newest, e.newest
				if e.misstated > 0 {
					stated, e.misstated = e.misstated, 0
				}
			}
			if e.unpublished > 0 && r >= e.unpublished {
				return nil, 0, errUnavailable
			}
			m, err := manifest.New(bytes.NewReader(content(r)), chunkBytes)
			return m, stated, err
		},
		Chunk: func(ctx context.Context, _ string, _ id.Model, r id.Revision, c id.Chunk) ([]byte, error) {
			e.withLock(func() { e.fetching[r]++ })
			defer e.withLock(func() { e.fetching[r]-- })
			kernel.Pause(ctx, e.chunkDelay)
			if e.releaseSecondHalf != nil && c >= chunks/2 {
				select {
				case <-ctx.Done():
					return nil, ctx.Err()
				case <-e.releaseSecondHalf:
				}
			}
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.unavailable[r] {
				return nil, errUnavailable
			}
			e.originFetches++
			b := content(r)[int(c)*chunkBytes:][:chunkBytes]
			if e.corruptOrigin[c] {
				delete(e.corruptOrigin, c)
				b[0] ^= 1
			}
			return b, nil
		},
	}}
}

func (e *fakeUpstream) load(_ context.Context, o Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.refuseCount > 0 || o.OrdersBefore != e.state.Orders || o.Incarnation != e.state.Incarnation {
		e.refuseCount--
		return ErrOrderRefused
	}
	e.orders, e.orderedAt = append(e.orders, o), time.Now()
	e.state.Orders++
	e.refusedAtOrder += e.state.Waiting
	if e.onOrder != nil {
		e.onOrder()
	}
	var all []byte
	for c := range id.Chunk(chunks) {
		all = append(all, e.staged[c]...)
	}
	for _, t := range e.badSince {
		e.takenBadFor = append(e.takenBadFor, e.now().Sub(t))
	}
	e.loaded = append(e.loaded, all)
	e.state.Busy = true
	time.AfterFunc(30*time.Millisecond, func() {
		e.withLock(func() {
			e.state.Busy = false
			e.state.Held = []facts.Held{{Model: o.Model, Revision: o.Revision}}
		})
	})
	if e.loseResponse {
		e.loseResponse = false
		return errUnavailable
	}
	return nil
}

// spoil makes a staged chunk corrupt; the caller holds the lock.
func (e *fakeUpstream) spoil(c id.Chunk) {
	e.staged[c] = bytes.Clone(e.staged[c])
	e.staged[c][0] ^= 1
	e.badSince[c] = e.now()
}

func (e *fakeUpstream) servedRevision() id.Revision {
	e.mu.Lock()
	defer e.mu.Unlock()
	return facts.HeldRevision(e.state.Held, "m")
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
