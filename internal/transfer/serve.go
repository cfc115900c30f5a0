package transfer

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
)

const (
	chunkPath    = "/swarm/chunk/"
	manifestPath = "/swarm/manifest/"
	// writeSize is the number of bytes per paced write. It bounds the data that may be ahead of a live response on the
	// same link: 18 ms on links of 7.3 Mbit/s.
	writeSize = 16 << 10
	// maxPollWait bounds the long polls of neighbours.
	maxPollWait = 5 * time.Second
	// haveBatchDelay merges chunks that arrive close together into one response.
	haveBatchDelay = 10 * time.Millisecond
)

// Uploads serves chunks to neighbours. It bounds concurrent uploads, limits their rate, and rejects further requests as
// busy.
type Uploads struct {
	holdings *HoldingStore
	slots    chan struct{}
	pace     *rate.Limiter
	stats    *Stats
	// SlowAfter is the upload time of one chunk above which uploads run one at a time: on a slow link, concurrent
	// uploads would delay live responses; 0 sets no bound.
	SlowAfter time.Duration
	slow      atomic.Bool
}

// NewUploads returns an Uploads that serves from a holding store with a number of upload slots; pace is in bytes per
// second.
func NewUploads(s *HoldingStore, slots int, pace *rate.Limiter, t *Stats) *Uploads {
	return &Uploads{holdings: s, slots: make(chan struct{}, slots), pace: pace, stats: t}
}

// Register adds the HTTP handlers.
func (u *Uploads) Register(handle func(path string, h http.Handler)) {
	handle("GET "+chunkPath+"{rollout}/{chunk}", http.HandlerFunc(u.chunk))
	handle("GET "+manifestPath+"{rollout}", http.HandlerFunc(u.manifest))
}

func (u *Uploads) chunk(w http.ResponseWriter, r *http.Request) {
	h := u.holdings.Find(id.Rollout(r.PathValue("rollout")))
	n, err := strconv.ParseUint(r.PathValue("chunk"), 10, 32)
	if h == nil || err != nil {
		http.Error(w, "unknown rollout or chunk", http.StatusNotFound)
		return
	}
	data := h.Chunk(id.Chunk(n))
	if data == nil {
		http.Error(w, "chunk not held", http.StatusNotFound)
		return
	}
	if !u.acquireSlot() {
		u.stats.busy.Add(1)
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	defer func() { <-u.slots }()
	start := time.Now()
	defer func() { u.slow.Store(u.SlowAfter > 0 && time.Since(start) > u.SlowAfter) }()
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	u.write(r.Context(), w, data)
}

func (u *Uploads) write(ctx context.Context, w http.ResponseWriter, data []byte) {
	for len(data) > 0 {
		n := min(writeSize, len(data))
		if u.pace.WaitN(ctx, n) != nil {
			return
		}
		if _, err := w.Write(data[:n]); err != nil {
			return
		}
		u.stats.sent.Add(int64(n))
		data = data[n:]
	}
}

// acquireSlot takes an upload slot without waiting; while uploads are slow there is only one.
func (u *Uploads) acquireSlot() bool {
	if u.slow.Load() && len(u.slots) > 0 {
		return false
	}
	select {
	case u.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

// manifest serves the manifest of a rollout. It answers as a long poll once the manifest has arrived, so that manifests
// spread through the swarm without polling delays.
func (u *Uploads) manifest(w http.ResponseWriter, r *http.Request) {
	h := u.holdings.Find(id.Rollout(r.PathValue("rollout")))
	if h == nil {
		http.Error(w, "unknown rollout", http.StatusNotFound)
		return
	}
	timeout := time.After(maxPollWait)
	for {
		changed := h.Changed()
		if raw := h.Manifest(); raw != nil {
			_, _ = w.Write(raw)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timeout:
			http.Error(w, "no manifest yet", http.StatusServiceUnavailable)
			return
		case <-changed:
		}
	}
}

// Have implements the SwarmService: a long poll for the chunks that the caller does not know of.
func (u *Uploads) Have(ctx context.Context, r *pb.HaveRequest) (*pb.HaveResponse, error) {
	h := u.holdings.Find(id.Rollout(r.GetRollout()))
	if h == nil {
		return &pb.HaveResponse{Missing: true}, nil
	}
	ctx, stop := context.WithTimeout(ctx, min(time.Duration(r.GetWaitMs())*time.Millisecond, maxPollWait))
	defer stop()
	for {
		changed := h.Changed()
		fresh := h.AddedSince(r.GetEpoch(), r.GetFrom())
		if len(fresh) > 0 || ctx.Err() != nil {
			from := r.GetFrom()
			if r.GetEpoch() != h.epoch {
				from = 0
			}
			return &pb.HaveResponse{Chunks: fresh, Epoch: h.epoch, Next: from + uint32(len(fresh))}, nil
		}
		select {
		case <-ctx.Done():
		case <-changed:
			kernel.Pause(ctx, haveBatchDelay)
		}
	}
}
