package transfer

import (
	"errors"
	"sync"

	"github.com/gravitational/trace"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/id"
)

// ErrNoMemory says that the cap on memory for chunks leaves no room for a version.
var ErrNoMemory = errors.New("no memory left for chunks")

// HoldingStore keeps the holdings of a VM under one cap on memory.
type HoldingStore struct {
	capacity int64
	mu       sync.Mutex
	holdings map[id.Rollout]*Holding
	reserved map[id.Rollout]int64
	// ended lists holdings kept only for rolling back and for sharing chunks, oldest first.
	ended []id.Rollout
}

// NewHoldingStore makes an empty shelf of a capacity in bytes.
func NewHoldingStore(capacity int64) *HoldingStore {
	return &HoldingStore{capacity: capacity, holdings: map[id.Rollout]*Holding{}, reserved: map[id.Rollout]int64{}}
}

// Open returns the holding of a rollout, making it where there is room. Ended holdings are dropped for room, oldest
// first.
func (s *HoldingStore) Open(r *pb.Rollout) (*Holding, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := id.Rollout(r.GetId())
	if h := s.holdings[name]; h != nil {
		return h, nil
	}
	need := int64(r.GetVersion().GetTotalBytes())
	for s.used()+need > s.capacity && len(s.ended) > 0 {
		s.drop(s.ended[0])
	}
	if s.used()+need > s.capacity {
		return nil, trace.Wrap(ErrNoMemory, "%d bytes wanted, %d of %d used", need, s.used(), s.capacity)
	}
	h := NewHolding(r, epochNow())
	s.holdings[name] = h
	s.reserved[name] = need
	return h, nil
}

// used is the memory reserved, in bytes. Chunks that holdings share are counted in each.
func (s *HoldingStore) used() int64 {
	var n int64
	for _, b := range s.reserved {
		n += b
	}
	return n
}

// Used is the memory reserved for chunks, in bytes.
func (s *HoldingStore) Used() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used()
}

// MarkEvictable keeps a holding only as long as nothing needs its room.
func (s *HoldingStore) MarkEvictable(r id.Rollout) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.ended {
		if e == r {
			return
		}
	}
	if s.holdings[r] != nil {
		s.ended = append(s.ended, r)
	}
}

// Remove frees a holding.
func (s *HoldingStore) Remove(r id.Rollout) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(r)
}

func (s *HoldingStore) drop(r id.Rollout) {
	delete(s.holdings, r)
	delete(s.reserved, r)
	for i, e := range s.ended {
		if e == r {
			s.ended = append(s.ended[:i:i], s.ended[i+1:]...)
			return
		}
	}
}

// Find returns the holding of a rollout or nil.
func (s *HoldingStore) Find(r id.Rollout) *Holding {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holdings[r]
}

// CopySharedChunks fills a holding that has its manifest with the chunks of the same organisation's other holdings, and returns
// how many it found.
func (s *HoldingStore) CopySharedChunks(h *Holding) int {
	s.mu.Lock()
	known := map[string][]byte{}
	for _, other := range s.holdings {
		if other != h && other.rollout.GetOrganisation() == h.rollout.GetOrganisation() {
			other.collect(known)
		}
	}
	s.mu.Unlock()
	found := 0
	for c := range h.chunks {
		data := known[string(h.hash(id.Chunk(c)))]
		if data == nil {
			continue
		}
		if fresh, err := h.Add(id.Chunk(c), data); err == nil && fresh {
			found++
		}
	}
	return found
}

// collect adds the holding's chunks by hash.
func (h *Holding) collect(known map[string][]byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for c, data := range h.chunks {
		if data != nil {
			known[string(h.hash(id.Chunk(c)))] = data
		}
	}
}
