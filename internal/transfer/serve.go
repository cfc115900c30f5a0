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
	// writeBytes is the piece that pacing works on. It is what may stand in front of a live answer on the same link:
	// 18 ms on links of 7.3 Mbit/s.
	writeBytes = 16 << 10
	// maxWait bounds a neighbour's long poll.
	maxWait = 5 * time.Second
	// haveSettle joins chunks that arrive close together into one answer.
	haveSettle = 10 * time.Millisecond
)

// Uploads serves chunks to neighbours: a bounded number at a time, paced, and "busy" at once beyond that.
type Uploads struct {
	shelf *HoldingStore
	slots chan struct{}
	pace  *rate.Limiter
	stats *Stats
	// SlowAfter is the time of one chunk from which on uploads go one at a time, as on a link that has become narrow
	// several would hold up the live answers that leave by it; 0 sets no bound.
	SlowAfter time.Duration
	slow      atomic.Bool
}

// NewUploads serves from a shelf with a number of slots; pace is in bytes a second.
func NewUploads(s *HoldingStore, slots int, pace *rate.Limiter, t *Stats) *Uploads {
	return &Uploads{shelf: s, slots: make(chan struct{}, slots), pace: pace, stats: t}
}

// Register adds the handlers.
func (u *Uploads) Register(handle func(path string, h http.Handler)) {
	handle("GET "+chunkPath+"{rollout}/{chunk}", http.HandlerFunc(u.chunk))
	handle("GET "+manifestPath+"{rollout}", http.HandlerFunc(u.manifest))
}

func (u *Uploads) chunk(w http.ResponseWriter, r *http.Request) {
	h := u.shelf.Find(id.Rollout(r.PathValue("rollout")))
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
	if !u.enter() {
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
		n := min(writeBytes, len(data))
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

// enter takes an upload slot, or only the first one while uploads are slow.
func (u *Uploads) enter() bool {
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

// manifest waits a while for the manifest, so that it runs through the swarm as fast as its links.
func (u *Uploads) manifest(w http.ResponseWriter, r *http.Request) {
	h := u.shelf.Find(id.Rollout(r.PathValue("rollout")))
	if h == nil {
		http.Error(w, "unknown rollout", http.StatusNotFound)
		return
	}
	timeout := time.After(maxWait)
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

// Have implements the swarm service: it returns the chunks that the caller does not know of, once there are some.
func (u *Uploads) Have(ctx context.Context, r *pb.HaveRequest) (*pb.HaveResponse, error) {
	h := u.shelf.Find(id.Rollout(r.GetRollout()))
	if h == nil {
		return &pb.HaveResponse{Missing: true}, nil
	}
	ctx, stop := context.WithTimeout(ctx, min(time.Duration(r.GetWaitMs())*time.Millisecond, maxWait))
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
			kernel.Pause(ctx, haveSettle)
		}
	}
}
