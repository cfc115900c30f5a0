package standin

import (
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// pieceBytes is the piece that link shaping works on.
const pieceBytes = 16 << 10

// WeightsFaults are the faults of a store or origin.
type WeightsFaults struct {
	Outage bool `json:"outage"`
	// Stall holds each answer after its head.
	Stall bool `json:"stall"`
	// CorruptEvery damages one of so many answers; 0 damages none.
	CorruptEvery int `json:"corrupt_every"`
	// Swap serves other content under the same version.
	Swap bool `json:"swap"`
}

// Weights plays the store or the origin: versions under paths, over a link that all answers share.
type Weights struct {
	dir     string
	link    *rate.Limiter
	mu      sync.Mutex
	faults  WeightsFaults
	memory  map[string][]byte
	answers int
	drawn   atomic.Int64
}

// NewWeights serves a folder, and what Put adds, at a rate in bytes a second; 0 is unlimited.
func NewWeights(dir string, bytesPerSecond int) *Weights {
	w := &Weights{dir: dir, link: rate.NewLimiter(rate.Inf, pieceBytes), memory: map[string][]byte{}}
	if bytesPerSecond > 0 {
		w.link = rate.NewLimiter(rate.Limit(bytesPerSecond), pieceBytes)
	}
	return w
}

// Put adds an object.
func (o *Weights) Put(path string, data []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.memory[path] = data
}

// BytesSent is the number of bytes of content that were sent.
func (o *Weights) BytesSent() int64 {
	return o.drawn.Load()
}

// SetFaults replaces the faults.
func (o *Weights) SetFaults(f WeightsFaults) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults = f
}

// Faults returns the faults.
func (o *Weights) Faults() WeightsFaults {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.faults
}

// Register adds the handler under a prefix such as "/origin/".
func (o *Weights) Register(mux *http.ServeMux, prefix string) {
	mux.HandleFunc("GET "+prefix+"{path...}", o.serve)
}

func (o *Weights) object(path string) ([]byte, error) {
	o.mu.Lock()
	data := o.memory[path]
	o.mu.Unlock()
	if data != nil {
		return data, nil
	}
	if o.dir == "" || !filepath.IsLocal(path) {
		return nil, os.ErrNotExist
	}
	return os.ReadFile(filepath.Join(o.dir, path))
}

func (o *Weights) serve(w http.ResponseWriter, r *http.Request) {
	f := o.Faults()
	if f.Outage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	path := r.PathValue("path")
	data, err := o.slice(path, r.Header.Get("Range"))
	if err != nil {
		http.NotFound(w, r)
		return
	}
	content := strings.HasSuffix(path, "/content")
	if content {
		data = o.damage(data, f)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(http.StatusPartialContent)
	if f.Stall {
		_ = http.NewResponseController(w).Flush()
		stalled(r.Context())
		return
	}
	o.send(r.Context(), w, data, content)
}

// slice returns the range "bytes=a-b" of an object, or all of it.
func (o *Weights) slice(path, asked string) ([]byte, error) {
	data, err := o.object(path)
	if err != nil {
		return nil, err
	}
	from, to, ok := strings.Cut(strings.TrimPrefix(asked, "bytes="), "-")
	if !ok {
		return data, nil
	}
	a, errA := strconv.Atoi(from)
	b, errB := strconv.Atoi(to)
	if errA != nil || errB != nil || a > b || b >= len(data) {
		return nil, os.ErrNotExist
	}
	return data[a : b+1], nil
}

func (o *Weights) damage(data []byte, f WeightsFaults) []byte {
	o.mu.Lock()
	o.answers++
	corrupt := f.CorruptEvery > 0 && o.answers%f.CorruptEvery == 0
	o.mu.Unlock()
	if !corrupt && !f.Swap {
		return data
	}
	bad := append([]byte(nil), data...)
	bad[len(bad)/2] ^= 0xff
	return bad
}

func (o *Weights) send(ctx context.Context, w io.Writer, data []byte, count bool) {
	for len(data) > 0 {
		n := min(pieceBytes, len(data))
		if o.link.WaitN(ctx, n) != nil {
			return
		}
		if _, err := w.Write(data[:n]); err != nil {
			return
		}
		if count {
			o.drawn.Add(int64(n))
		}
		data = data[n:]
	}
}

// stalled waits until the caller gives up.
func stalled(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Minute):
	}
}
