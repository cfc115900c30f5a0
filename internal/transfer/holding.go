// Package transfer carries out the decisions of package swarm: it fetches, verifies, stores and serves chunks.
package transfer

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/manifest"
	"github.com/springrail/springrail/internal/swarm"
)

var (
	// ErrCorrupt means that bytes do not match the hash that the rollout pins; they are discarded.
	ErrCorrupt = errors.New("bytes do not match the pinned hash")
	// ErrIncomplete means that a holding lacks chunks.
	ErrIncomplete = errors.New("not all chunks are held")
)

// Holding stores the chunks that a VM holds of one rollout's version. It accepts only verified bytes.
type Holding struct {
	rollout  *pb.Rollout
	epoch    uint64
	mu       sync.Mutex
	manifest *pb.Manifest
	// raw is the encoded manifest whose hash is pinned.
	raw []byte
	// alternatives are the hashes of chunks in further manifests, where the rollout pins none.
	alternatives map[id.Chunk][][]byte
	chunks       [][]byte
	have         *swarm.Set
	arrivals     []uint32
	changed      chan struct{}
}

// NewHolding returns an empty holding. The epoch distinguishes it from earlier holdings of the same rollout.
func NewHolding(r *pb.Rollout, epoch uint64) *Holding {
	return &Holding{rollout: r, epoch: epoch, have: swarm.NewSet(0), changed: make(chan struct{})}
}

// SetManifest stores the manifest if it has the hash that the rollout pins and matches its sizes. If the rollout pins no
// hash, the first manifest of the right sizes is used; see AddAlternative.
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

// maxAlternatives limits the hashes of one chunk that differ from the manifest's.
const maxAlternatives = 4

// IsPinned reports whether the rollout pins the manifest's hash.
func (h *Holding) IsPinned() bool {
	return len(h.rollout.GetVersion().GetManifestSha256()) > 0
}

// AddAlternative notes the hashes in another manifest of the source that differ, where the rollout pins no hash: either may be
// corrupt. Bytes decide which, as none match a corrupt hash.
func (h *Holding) AddAlternative(raw []byte) error {
	m, err := manifest.Decode(raw, h.rollout.GetVersion())
	if err != nil {
		return trace.Wrap(errors.Join(ErrCorrupt, err))
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.manifest == nil || h.IsPinned() {
		return nil
	}
	if h.alternatives == nil {
		h.alternatives = map[id.Chunk][][]byte{}
	}
	for n, sum := range m.GetChunkSha256() {
		c := id.Chunk(n)
		if h.chunks[c] == nil && !h.expects(c, sum) && len(h.alternatives[c]) < maxAlternatives {
			h.alternatives[c] = append(h.alternatives[c], sum)
		}
	}
	return nil
}

// expects reports whether a chunk may have a hash. The caller holds the lock.
func (h *Holding) expects(c id.Chunk, sum []byte) bool {
	return bytes.Equal(sum, h.chunkHash(c)) || slices.ContainsFunc(h.alternatives[c], func(o []byte) bool { return bytes.Equal(sum, o) })
}

// correct replaces the hash of a chunk in the manifest by the one that its bytes have. The caller holds the lock.
func (h *Holding) correct(c id.Chunk, sum []byte) error {
	m := proto.CloneOf(h.manifest)
	m.ChunkSha256[c] = bytes.Clone(sum)
	raw, err := manifest.Encode(m)
	if err != nil {
		return trace.Wrap(err)
	}
	h.manifest, h.raw = m, raw
	return nil
}

func (h *Holding) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// Changed returns a channel that is closed when the manifest or a chunk arrives.
func (h *Holding) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Manifest returns the encoded manifest, or nil before it has arrived.
func (h *Holding) Manifest() []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.raw
}

// Size returns the size of a chunk in bytes.
func (h *Holding) Size(c id.Chunk) int64 {
	v := h.rollout.GetVersion()
	start := uint64(c) * v.GetChunkBytes()
	return int64(min(v.GetChunkBytes(), v.GetTotalBytes()-start))
}

// Add verifies a chunk, stores it and reports whether it is new.
func (h *Holding) Add(c id.Chunk, data []byte) (bool, error) {
	sum := sha256.Sum256(data)
	h.mu.Lock()
	defer h.mu.Unlock()
	if int(c) >= len(h.chunks) || !h.expects(c, sum[:]) {
		return false, trace.Wrap(ErrCorrupt, "chunk %d", c)
	}
	if !h.have.Add(c) {
		return false, nil
	}
	if !bytes.Equal(sum[:], h.chunkHash(c)) {
		if err := h.correct(c, sum[:]); err != nil {
			return false, err
		}
	}
	h.chunks[c] = data
	h.arrivals = append(h.arrivals, uint32(c))
	h.notify()
	return true, nil
}

// Chunk returns the bytes of a chunk, or nil if it is not held.
func (h *Holding) Chunk(c id.Chunk) []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	if int(c) >= len(h.chunks) {
		return nil
	}
	return h.chunks[c]
}

// hashOf returns the hash of a chunk in the manifest.
func (h *Holding) hashOf(c id.Chunk) []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.chunkHash(c)
}

// chunkHash is hashOf for a caller that holds the lock.
func (h *Holding) chunkHash(c id.Chunk) []byte {
	return h.manifest.GetChunkSha256()[c]
}

// Count returns the number of chunks held and the total number, which is 0 before the manifest has arrived.
func (h *Holding) Count() (held, all int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.have.Len(), len(h.chunks)
}

// Complete reports whether all chunks are held.
func (h *Holding) Complete() bool {
	held, all := h.Count()
	return all > 0 && held == all
}

// AddedSince returns the chunks in order of arrival, without the first ones up to the offset from. If the caller's epoch
// is another one, it returns all chunks.
func (h *Holding) AddedSince(epoch uint64, from uint32) []uint32 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if epoch != h.epoch || int(from) > len(h.arrivals) {
		from = 0
	}
	return h.arrivals[from:]
}

// WriteTo writes the whole content; it fails with ErrIncomplete while chunks are missing.
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

// newEpoch returns an epoch for a new holding.
func newEpoch() uint64 {
	return uint64(time.Now().UnixNano())
}

// Epoch returns the number that distinguishes this holding from earlier ones of the same rollout.
func (h *Holding) Epoch() uint64 {
	return h.epoch
}
