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

// burstBytes is the burst size of the bandwidth limiter, and the size of each write.
const burstBytes = 16 << 10

// WeightsFaults selects the faults of a weight store or origin.
type WeightsFaults struct {
	Outage bool `json:"outage"`
	// Stall blocks each answer after its header.
	Stall bool `json:"stall"`
	// CorruptEvery corrupts every n-th answer; 0 corrupts none.
	CorruptEvery int `json:"corrupt_every"`
	// Swap serves different content under the same version.
	Swap bool `json:"swap"`
}

// Weights simulates the weight store or the origin: it serves versions by path, with a bandwidth limit that all answers
// share.
type Weights struct {
	dir         string
	limiter     *rate.Limiter
	mu          sync.Mutex
	faults      WeightsFaults
	objects     map[string][]byte
	answerCount int
	bytesSent   atomic.Int64
}

// NewWeights serves the files of a directory and the objects added by Put, at a rate in bytes per second; 0 is unlimited.
func NewWeights(dir string, bytesPerSecond int) *Weights {
	w := &Weights{dir: dir, limiter: rate.NewLimiter(rate.Inf, burstBytes), objects: map[string][]byte{}}
	if bytesPerSecond > 0 {
		w.limiter = rate.NewLimiter(rate.Limit(bytesPerSecond), burstBytes)
	}
	return w
}

// Put adds an object.
func (o *Weights) Put(path string, data []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.objects[path] = data
}

// BytesSent returns the number of content bytes sent.
func (o *Weights) BytesSent() int64 {
	return o.bytesSent.Load()
}

// SetFaults replaces the simulated faults.
func (o *Weights) SetFaults(f WeightsFaults) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults = f
}

// Faults returns the simulated faults.
func (o *Weights) Faults() WeightsFaults {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.faults
}

// Register adds the handler under a path prefix such as "/origin/".
func (o *Weights) Register(mux *http.ServeMux, prefix string) {
	mux.HandleFunc("GET "+prefix+"{path...}", o.serve)
}

func (o *Weights) readObject(path string) ([]byte, error) {
	o.mu.Lock()
	data := o.objects[path]
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
	data, err := o.readRange(path, r.Header.Get("Range"))
	if err != nil {
		http.NotFound(w, r)
		return
	}
	content := strings.HasSuffix(path, "/content")
	if content {
		data = o.corrupt(data, f)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(http.StatusPartialContent)
	if f.Stall {
		_ = http.NewResponseController(w).Flush()
		waitForCancel(r.Context())
		return
	}
	o.send(r.Context(), w, data, content)
}

// readRange returns the range "bytes=a-b" of an object, or the complete object.
func (o *Weights) readRange(path, rangeHeader string) ([]byte, error) {
	data, err := o.readObject(path)
	if err != nil {
		return nil, err
	}
	from, to, ok := strings.Cut(strings.TrimPrefix(rangeHeader, "bytes="), "-")
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

func (o *Weights) corrupt(data []byte, f WeightsFaults) []byte {
	o.mu.Lock()
	o.answerCount++
	corrupt := f.CorruptEvery > 0 && o.answerCount%f.CorruptEvery == 0
	o.mu.Unlock()
	if !corrupt && !f.Swap {
		return data
	}
	bad := append([]byte(nil), data...)
	bad[len(bad)/2] ^= 0xff
	return bad
}

func (o *Weights) send(ctx context.Context, w io.Writer, data []byte, countBytes bool) {
	for len(data) > 0 {
		n := min(burstBytes, len(data))
		if o.limiter.WaitN(ctx, n) != nil {
			return
		}
		if _, err := w.Write(data[:n]); err != nil {
			return
		}
		if countBytes {
			o.bytesSent.Add(int64(n))
		}
		data = data[n:]
	}
}

// waitForCancel blocks until the request is cancelled, or for a minute.
func waitForCancel(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Minute):
	}
}
