package standin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/engine"
	"github.com/springrail/springrail/internal/id"
)

// EngineFaults are the faults of a model engine.
type EngineFaults struct {
	// Stuck takes requests and gives no tokens.
	Stuck bool `json:"stuck"`
	// CutStreams ends each stream after its first token.
	CutStreams bool `json:"cut_streams"`
	// CrossAnswers puts another request's ID on answers.
	CrossAnswers bool `json:"cross_answers"`
	// WrongVersion names another version on answers.
	WrongVersion bool `json:"wrong_version"`
	// FailLoads fails each load half-way.
	FailLoads bool `json:"fail_loads"`
	// NoFence obeys orders of any fence.
	NoFence bool `json:"no_fence"`
}

// EngineSettings are the speeds of a stand-in engine.
type EngineSettings struct {
	// Step is the time of one decoding step.
	Step time.Duration
	// Batch is the number of requests that decode together.
	Batch int
	// PrefillTokens is the number of prompt tokens read in one step.
	PrefillTokens int
	// CachePrefixes is the number of prompt prefixes that the cache holds.
	CachePrefixes int
	// ReportLag is how old the load report is.
	ReportLag time.Duration
	// LoadTime is added to each load.
	LoadTime time.Duration
}

// DefaultEngine is an engine as the users describe it: about nine milliseconds a step.
func DefaultEngine() EngineSettings {
	return EngineSettings{
		Step: 9 * time.Millisecond, Batch: 32, PrefillTokens: 512, CachePrefixes: 256, ReportLag: 300 * time.Millisecond,
	}
}

// modelKey names a model of an organisation.
type modelKey struct {
	organisation id.Organisation
	model        id.Model
}

// Engine plays a model engine.
type Engine struct {
	settings EngineSettings
	client   *http.Client
	boot     string

	mu      sync.Mutex
	faults  EngineFaults
	models  map[modelKey]engine.ModelState
	fences  map[modelKey]id.Fence
	cancels map[modelKey]context.CancelFunc
	batch   *batch
	stats   EngineStats
	role    engine.RoleOrder
}

// EngineStats counts what matters for proof.
type EngineStats struct {
	// Runs counts the runs of each request ID.
	Runs map[string]int `json:"runs"`
	// Tokens counts the tokens served of each version.
	Tokens map[string]int `json:"tokens"`
	// Loads counts the loads that ended well, by manifest hash.
	Loads map[string]int `json:"loads"`
	// Refused counts orders that were fenced off.
	Refused int `json:"refused"`
}

// NewEngine makes an engine that has nothing loaded. It decodes until the context ends.
func NewEngine(ctx context.Context, s EngineSettings) *Engine {
	e := &Engine{
		settings: s, client: &http.Client{}, boot: uuid.NewString(), models: map[modelKey]engine.ModelState{},
		fences: map[modelKey]id.Fence{}, cancels: map[modelKey]context.CancelFunc{}, batch: newBatch(s),
		stats: EngineStats{Runs: map[string]int{}, Tokens: map[string]int{}, Loads: map[string]int{}},
	}
	go e.batch.run(ctx)
	return e
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.batch.setStuck(f.Stuck)
}

// Faults returns the faults.
func (e *Engine) Faults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// Stats returns a copy of the counters.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	var s EngineStats
	b, _ := json.Marshal(e.stats)
	_ = json.Unmarshal(b, &s)
	return s
}

// Handler returns the engine's HTTP.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	handleFaults(mux, func() any { return e.Faults() }, func(d *json.Decoder) error {
		var f EngineFaults
		if err := d.Decode(&f); err != nil {
			return err
		}
		e.SetFaults(f)
		return nil
	})
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Stats()) })
	mux.HandleFunc("GET /admin/state", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.State()) })
	mux.HandleFunc("POST /admin/load", e.handleLoad)
	mux.HandleFunc("POST /admin/unload", e.handleUnload)
	mux.HandleFunc("POST /admin/role", e.handleRole)
	mux.HandleFunc("GET /admin/cache-events", e.batch.handleEvents)
	mux.HandleFunc("GET /admin/kv", e.batch.handleExport)
	mux.HandleFunc("PUT /admin/kv", e.batch.handleImport)
	mux.HandleFunc("POST /v1/chat/completions", e.chat)
	return mux
}

// State is what the engine says of itself; the load lags.
func (e *Engine) State() engine.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := engine.State{BootID: e.boot, Role: e.role.Name, Load: e.batch.laggingLoad()}
	for _, l := range e.models {
		s.Models = append(s.Models, l)
	}
	return s
}

// decode reads an order, or refuses it.
func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(r.Body).Decode(into)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

// fenced refuses an order of a lower fence than the last; the caller holds the lock.
func (e *Engine) fenced(w http.ResponseWriter, fence, last id.Fence) bool {
	if fence >= last || e.faults.NoFence {
		return false
	}
	e.stats.Refused++
	http.Error(w, "fenced", http.StatusConflict)
	return true
}

func (e *Engine) handleLoad(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if !decode(w, r, &o) {
		return
	}
	k := modelKey{organisation: o.Organisation, model: o.Model}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fenced(w, o.Fence, e.fences[k]) {
		return
	}
	e.fences[k] = o.Fence
	if stop := e.cancels[k]; stop != nil {
		stop()
	}
	ctx, stop := context.WithCancel(context.Background())
	e.cancels[k] = stop
	e.models[k] = engine.ModelState{
		Organisation: o.Organisation, Model: o.Model, Version: o.Version, Fence: o.Fence, Status: engine.StatusLoading,
	}
	go e.load(ctx, k, o)
	w.WriteHeader(http.StatusAccepted)
}

func (e *Engine) handleUnload(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if !decode(w, r, &o) {
		return
	}
	k := modelKey{organisation: o.Organisation, model: o.Model}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fenced(w, o.Fence, e.fences[k]) {
		return
	}
	delete(e.models, k)
	w.WriteHeader(http.StatusNoContent)
}

// handleRole changes the engine's role; orders of a lower fence are refused.
func (e *Engine) handleRole(w http.ResponseWriter, r *http.Request) {
	var o engine.RoleOrder
	if !decode(w, r, &o) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fenced(w, o.Fence, e.role.Fence) {
		return
	}
	e.role = o
	w.WriteHeader(http.StatusNoContent)
}

// hasBase says whether the model that an adapter applies to is ready.
func (e *Engine) hasBase(o engine.Order) bool {
	if o.BaseModel == "" {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.models[modelKey{organisation: o.Organisation, model: o.BaseModel}].Status == engine.StatusReady
}

// load reads the content and checks every byte of it against the manifest.
func (e *Engine) load(ctx context.Context, k modelKey, o engine.Order) {
	sum, err := e.read(ctx, o)
	if err == nil && !e.hasBase(o) {
		err = fmt.Errorf("%w: the base model is not loaded", errLoad)
	}
	if err == nil {
		select {
		case <-ctx.Done():
			err = ctx.Err()
		case <-time.After(e.settings.LoadTime):
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.models[k]
	if ctx.Err() != nil || l.Fence != o.Fence {
		return
	}
	l.Status, l.ManifestSHA256 = engine.StatusReady, sum
	if err != nil {
		l.Status, l.Reason = engine.StatusFailed, err.Error()
	} else {
		e.stats.Loads[sum]++
	}
	e.models[k] = l
}

var errLoad = errors.New("load failed")

func (e *Engine) read(ctx context.Context, o engine.Order) (string, error) {
	raw, err := e.get(ctx, o.ManifestURL)
	if err != nil {
		return "", err
	}
	defer raw.Close()
	b, err := io.ReadAll(raw)
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(b)
	if hex.EncodeToString(sum[:]) != o.ManifestSHA256 {
		return "", fmt.Errorf("%w: the manifest has another hash", errLoad)
	}
	m := &pb.Manifest{}
	if err := proto.Unmarshal(b, m); err != nil {
		return "", err
	}
	content, err := e.get(ctx, o.ContentURL)
	if err != nil {
		return "", err
	}
	defer content.Close()
	return hex.EncodeToString(sum[:]), e.check(m, content)
}

func (e *Engine) check(m *pb.Manifest, content io.Reader) error {
	left := m.GetTotalBytes()
	for i, want := range m.GetChunkSha256() {
		if e.Faults().FailLoads && i >= len(m.GetChunkSha256())/2 {
			return fmt.Errorf("%w: as asked", errLoad)
		}
		h := sha256.New()
		n, err := io.CopyN(h, content, int64(min(left, m.GetChunkBytes())))
		if err != nil {
			return err
		}
		if string(h.Sum(nil)) != string(want) {
			return fmt.Errorf("%w: chunk %d has another hash", errLoad, i)
		}
		left -= uint64(n)
	}
	return nil
}

func (e *Engine) get(ctx context.Context, url string) (io.ReadCloser, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	a, err := e.client.Do(r)
	if err != nil {
		return nil, err
	}
	if a.StatusCode != http.StatusOK {
		a.Body.Close()
		return nil, fmt.Errorf("%w: %s", errLoad, a.Status)
	}
	return a.Body, nil
}
