package transfer

import (
	"errors"
	"sync"

	"github.com/gravitational/trace"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/id"
)

// ErrNoMemory means that a version does not fit into the memory for chunks.
var ErrNoMemory = errors.New("not enough memory for chunks")

// HoldingStore stores the holdings of a VM within a memory limit.
type HoldingStore struct {
	capacity int64
	mu       sync.Mutex
	holdings map[id.Rollout]*Holding
	reserved map[id.Rollout]int64
	// evictable lists holdings that are kept only for rollbacks and for sharing chunks, oldest first.
	evictable []id.Rollout
}

// NewHoldingStore returns an empty store with a capacity in bytes.
func NewHoldingStore(capacity int64) *HoldingStore {
	return &HoldingStore{capacity: capacity, holdings: map[id.Rollout]*Holding{}, reserved: map[id.Rollout]int64{}}
}

// Open returns the holding of a rollout and creates it if necessary. It evicts evictable holdings, oldest first, to make
// room.
func (s *HoldingStore) Open(r *pb.Rollout) (*Holding, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := id.Rollout(r.GetId())
	if h := s.holdings[name]; h != nil {
		return h, nil
	}
	need := int64(r.GetVersion().GetTotalBytes())
	for s.reservedBytes()+need > s.capacity && len(s.evictable) > 0 {
		s.remove(s.evictable[0])
	}
	if s.reservedBytes()+need > s.capacity {
		return nil, trace.Wrap(ErrNoMemory, "%d bytes needed, %d of %d reserved", need, s.reservedBytes(), s.capacity)
	}
	h := NewHolding(r, newEpoch())
	s.holdings[name] = h
	s.reserved[name] = need
	return h, nil
}

// reservedBytes returns the reserved memory in bytes. Chunks that holdings share count in each. The caller holds the
// lock.
func (s *HoldingStore) reservedBytes() int64 {
	var n int64
	for _, b := range s.reserved {
		n += b
	}
	return n
}

// Used returns the memory reserved for chunks, in bytes.
func (s *HoldingStore) Used() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reservedBytes()
}

// MarkEvictable keeps a holding only until its memory is needed.
func (s *HoldingStore) MarkEvictable(r id.Rollout) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.evictable {
		if e == r {
			return
		}
	}
	if s.holdings[r] != nil {
		s.evictable = append(s.evictable, r)
	}
}

// Remove frees a holding.
func (s *HoldingStore) Remove(r id.Rollout) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(r)
}

func (s *HoldingStore) remove(r id.Rollout) {
	delete(s.holdings, r)
	delete(s.reserved, r)
	for i, e := range s.evictable {
		if e == r {
			s.evictable = append(s.evictable[:i:i], s.evictable[i+1:]...)
			return
		}
	}
}

// Find returns the holding of a rollout, or nil.
func (s *HoldingStore) Find(r id.Rollout) *Holding {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holdings[r]
}

// CopySharedChunks adds chunks of the same organisation's other holdings to a holding that has its manifest, and returns
// how many it added.
func (s *HoldingStore) CopySharedChunks(h *Holding) int {
	s.mu.Lock()
	known := map[string][]byte{}
	for _, other := range s.holdings {
		if other != h && other.rollout.GetOrganisation() == h.rollout.GetOrganisation() {
			other.collectByHash(known)
		}
	}
	s.mu.Unlock()
	found := 0
	for c := range h.chunks {
		data := known[string(h.hashOf(id.Chunk(c)))]
		if data == nil {
			continue
		}
		if fresh, err := h.Add(id.Chunk(c), data); err == nil && fresh {
			found++
		}
	}
	return found
}

// collectByHash adds the holding's chunks to a map by hash.
func (h *Holding) collectByHash(known map[string][]byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for c, data := range h.chunks {
		if data != nil {
			known[string(h.chunkHash(id.Chunk(c)))] = data
		}
	}
}
