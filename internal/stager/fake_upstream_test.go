package stager

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/manifest"
)

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
