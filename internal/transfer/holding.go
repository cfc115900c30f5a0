// Package transfer carries out the swarm's decisions: it fetches, verifies, holds and serves chunks.
package transfer

import (
	"crypto/sha256"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/gravitational/trace"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/manifest"
	"github.com/springrail/springrail/internal/swarm"
)

var (
	// ErrCorrupt says that bytes do not match the hash that the rollout pins; they were thrown away.
	ErrCorrupt = errors.New("bytes do not match the pinned hash")
	// ErrIncomplete says that a holding lacks chunks.
	ErrIncomplete = errors.New("not all chunks are held")
)

// Holding is what a VM holds of one rollout's version. Only verified bytes get in.
type Holding struct {
	rollout  *pb.Rollout
	epoch    uint64
	mu       sync.Mutex
	manifest *pb.Manifest
	// raw is the manifest as pinned.
	raw    []byte
	chunks [][]byte
	have   *swarm.Set
	order  []uint32
	change chan struct{}
}

// NewHolding makes an empty holding. The epoch tells it from an earlier one of the same rollout.
func NewHolding(r *pb.Rollout, epoch uint64) *Holding {
	return &Holding{rollout: r, epoch: epoch, have: swarm.NewSet(0), change: make(chan struct{})}
}

// SetManifest takes the manifest if it has the hash that the rollout pins and fits its sizes. Where the rollout pins
// none, the first manifest of the right sizes is the pin from then on.
func (h *Holding) SetManifest(raw []byte) error {
	m, err := manifest.Decode(raw, h.rollout.GetVersion())
	if err != nil {
		return trace.Wrap(errors.Join(ErrCorrupt, err))
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.manifest != nil {
		return nil
	}
	h.manifest, h.raw = m, raw
	h.chunks = make([][]byte, len(m.GetChunkSha256()))
	h.have = swarm.NewSet(len(h.chunks))
	h.notify()
	return nil
}

func (h *Holding) notify() {
	close(h.change)
	h.change = make(chan struct{})
}

// Changed returns a channel that closes when the manifest or a chunk arrives.
func (h *Holding) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.change
}

// Manifest returns the manifest as pinned, or nil.
func (h *Holding) Manifest() []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.raw
}

// Size is the length of a chunk in bytes.
func (h *Holding) Size(c id.Chunk) int64 {
	v := h.rollout.GetVersion()
	start := uint64(c) * v.GetChunkBytes()
	return int64(min(v.GetChunkBytes(), v.GetTotalBytes()-start))
}

// Add verifies a chunk and keeps it. It says whether the chunk is new.
func (h *Holding) Add(c id.Chunk, data []byte) (bool, error) {
	sum := sha256.Sum256(data)
	h.mu.Lock()
	defer h.mu.Unlock()
	if int(c) >= len(h.chunks) || string(sum[:]) != string(h.manifest.GetChunkSha256()[c]) {
		return false, trace.Wrap(ErrCorrupt, "chunk %d", c)
	}
	if !h.have.Add(c) {
		return false, nil
	}
	h.chunks[c] = data
	h.order = append(h.order, uint32(c))
	h.notify()
	return true, nil
}

// Chunk returns a chunk's bytes or nil.
func (h *Holding) Chunk(c id.Chunk) []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	if int(c) >= len(h.chunks) {
		return nil
	}
	return h.chunks[c]
}

// hash returns the pinned hash of a chunk.
func (h *Holding) hash(c id.Chunk) []byte {
	return h.manifest.GetChunkSha256()[c]
}

// Count returns the number of chunks held and in all; all is 0 before the manifest is there.
func (h *Holding) Count() (held, all int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.have.Len(), len(h.chunks)
}

// Complete says whether all chunks are held.
func (h *Holding) Complete() bool {
	held, all := h.Count()
	return all > 0 && held == all
}

// AddedSince returns the chunks that were added after the first from, for a neighbour that knows those of an epoch.
func (h *Holding) AddedSince(epoch uint64, from uint32) []uint32 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if epoch != h.epoch || int(from) > len(h.order) {
		from = 0
	}
	return h.order[from:]
}

// WriteTo writes the whole content; it is ErrIncomplete while chunks are missing.
func (h *Holding) WriteTo(w io.Writer) (int64, error) {
	if !h.Complete() {
		return 0, trace.Wrap(ErrIncomplete)
	}
	var n int64
	for c := range h.chunks {
		k, err := w.Write(h.Chunk(id.Chunk(c)))
		n += int64(k)
		if err != nil {
			return n, trace.Wrap(err)
		}
	}
	return n, nil
}

// epochNow makes an epoch for a new holding.
func epochNow() uint64 {
	return uint64(time.Now().UnixNano())
}

// Epoch tells this holding from an earlier one of the same rollout.
func (h *Holding) Epoch() uint64 {
	return h.epoch
}
