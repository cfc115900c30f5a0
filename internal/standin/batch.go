package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/springrail/springrail/internal/engine"
)

// sequence is one request that the engine decodes.
type sequence struct {
	priority  int
	prefix    string
	prefill   int
	remaining int
	tokens    chan int
	ctx       context.Context
}

// batch runs continuous batching: running sequences get one token each per step, and prompts are prefilled in between.
type batch struct {
	settings EngineSettings
	mu       sync.Mutex
	queue    []*sequence
	running  []*sequence
	stuck    bool
	cache    []string
	events   []cacheEvent
	reports  []loadReport
}

// cacheEvent reports a prompt prefix that was added to or evicted from the cache.
type cacheEvent struct {
	Number  int    `json:"number"`
	Prefix  string `json:"prefix"`
	Evicted bool   `json:"evicted"`
	at      time.Time
}

type loadReport struct {
	at   time.Time
	load engine.Load
}

func newBatch(s EngineSettings) *batch {
	return &batch{settings: s}
}

func (b *batch) setStuck(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stuck = on
}

// add queues a sequence by priority. A sequence whose prefix is cached skips the prefill.
func (b *batch) add(s *sequence) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.Index(b.cache, s.prefix); i >= 0 {
		s.prefill = 0
		b.cache = append(slices.Delete(b.cache, i, i+1), s.prefix)
	} else {
		b.cachePrefix(s.prefix)
	}
	at := len(b.queue)
	for at > 0 && b.queue[at-1].priority < s.priority {
		at--
	}
	b.queue = slices.Insert(b.queue, at, s)
}

func (b *batch) cachePrefix(prefix string) {
	b.cache = append(b.cache, prefix)
	b.recordEvent(cacheEvent{Prefix: prefix})
	if len(b.cache) > b.settings.CachePrefixes {
		b.recordEvent(cacheEvent{Prefix: b.cache[0], Evicted: true})
		b.cache = b.cache[1:]
	}
}

// recordEvent appends a cache event and discards the oldest ones beyond the limit, as real engines do.
func (b *batch) recordEvent(e cacheEvent) {
	const maxEvents = 1024
	e.at = time.Now()
	if len(b.events) > 0 {
		e.Number = b.events[len(b.events)-1].Number + 1
	}
	b.events = append(b.events, e)
	if len(b.events) > maxEvents {
		b.events = b.events[1:]
	}
}

// run executes steps until the context ends. An idle batch polls for work ten times per step time, as an idle engine
// does.
func (b *batch) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := b.settings.Step
		if !b.step() {
			pause = b.settings.Step / 10
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// step produces one token for each running sequence and reports whether any sequence is running.
func (b *batch) step() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recordLoad()
	if b.stuck {
		return true
	}
	for len(b.running) < b.settings.Batch && len(b.queue) > 0 {
		b.running = append(b.running, b.queue[0])
		b.queue = b.queue[1:]
	}
	prefill := b.settings.PrefillTokens
	b.running = slices.DeleteFunc(b.running, func(s *sequence) bool {
		if s.ctx.Err() != nil {
			close(s.tokens)
			return true
		}
		if s.prefill > 0 {
			n := min(prefill, s.prefill)
			s.prefill -= n
			prefill -= n
			return false
		}
		s.remaining--
		s.tokens <- s.remaining
		if s.remaining == 0 {
			close(s.tokens)
		}
		return s.remaining == 0
	})
	return len(b.running) > 0
}

func (b *batch) recordLoad() {
	now := time.Now()
	b.reports = append(b.reports, loadReport{at: now, load: engine.Load{
		Running: len(b.running), Queued: len(b.queue), Capacity: b.settings.Batch,
	}})
	for len(b.reports) > 1 && now.Sub(b.reports[1].at) > b.settings.ReportLag {
		b.reports = b.reports[1:]
	}
}

func (b *batch) delayedLoad() engine.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.reports) == 0 {
		return engine.Load{Capacity: b.settings.Batch}
	}
	return b.reports[0].load
}

func (b *batch) handleEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	b.mu.Lock()
	defer b.mu.Unlock()
	var l []cacheEvent
	for _, e := range b.events {
		if e.Number > since && time.Since(e.at) > b.settings.ReportLag {
			l = append(l, e)
		}
	}
	writeJSON(w, l)
}

// handleExport and handleImport transfer the cached prefixes, which represent the KV cache.
func (b *batch) handleExport(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	writeJSON(w, b.cache)
}

func (b *batch) handleImport(w http.ResponseWriter, r *http.Request) {
	var l []string
	if err := json.NewDecoder(r.Body).Decode(&l); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range l {
		if !slices.Contains(b.cache, p) {
			b.cachePrefix(p)
		}
	}
	w.WriteHeader(http.StatusNoContent)
}
