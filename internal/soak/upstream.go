package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/standin"
)

const (
	// beatEvery is how often an upstream writes its record.
	beatEvery = time.Second
	// serveOn is how long an upstream serves after it has left: what reaches it late must be seen.
	serveOn = 14 * time.Second
	// lapse is how long a record stays after its upstream has crashed.
	lapse = 2 * time.Second
	// awayMost bounds the time until a new upstream comes to the address of one that has gone.
	awayMost = 3 * time.Second
	// slots is what an upstream runs at once.
	slots = 64
)

// The states that upstreams write.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

// Slot is an address at which one upstream after the other serves.
type Slot struct {
	address, pool, domain string
	history               *History
	store                 *standin.KeyedStore
	event                 time.Duration

	// busy is held while an upstream leaves or comes.
	busy sync.Mutex
	mu   sync.Mutex
	// id is that of the newest upstream here; listed is true while it has a record.
	id     string
	state  string
	listed bool
	came   time.Time
	starts int
	server *standin.ModelServer
	link   *Link
}

// Start starts a new upstream at the address, with a new id.
func (s *Slot) Start(ctx context.Context) error {
	l, err := listenLink(s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts++
	s.id = fmt.Sprintf("%s-%d", s.address, s.starts)
	server := &standin.ModelServer{
		Instance: s.id, StartMillis: time.Now().UnixMilli(), Slots: slots, EventInterval: s.event, OnRun: s.history.RecordRun,
		Weights:     standin.ModelOrigin{Model: model, Chunks: chunks, ChunkBytes: chunkBytes},
		OnViolation: func(what string) { s.history.RecordViolation("weights", s.address, "", "%s", what) },
	}
	server.OnRetryAfter = func(request, retryAfter string) { s.history.RecordRestRequest(request, server.Instance, retryAfter) }
	s.crashes(ctx, server)
	s.server, s.link, s.state, s.listed, s.came = server, l, stateReady, true, time.Now()
	go func() { _ = standin.ServeOn(ctx, l, &recorder{slot: s.address, server: server, history: s.history}) }()
	s.write()
	return nil
}

// recorder notes each request that reaches an upstream.
type recorder struct {
	slot    string
	server  *standin.ModelServer
	history *History
}

// ServeHTTP implements http.Handler.
func (h *recorder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, "/v1/") {
		h.history.RecordArrival(r.Header.Get("Request-Id"), r.Header.Get("Target-Instance"), h.slot)
	}
	h.server.ServeHTTP(w, r)
}

// write puts the record of the upstream; the caller holds the lock.
func (s *Slot) write() {
	b, err := json.Marshal(map[string]any{
		"service": s.pool, "address": s.address, "zone": s.domain, "slots": slots, "state": s.state, "models": s.server.Models(),
		"born": s.server.StartMillis,
	})
	if err == nil {
		s.store.Put(serverTopic, s.id, b)
	}
}

// beat keeps the record up to date until the context ends.
func (s *Slot) beat(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		if s.listed {
			s.write()
		}
		s.mu.Unlock()
		kernel.Pause(ctx, beatEvery)
	}
}

// drop takes the record away. Its upstream has left by then at the latest.
func (s *Slot) drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.listed {
		return
	}
	s.listed = false
	s.store.Put(serverTopic, s.id, nil)
	s.history.RecordDeparture(s.id, "record went")
}

// Leave lets the upstream say that it leaves, or its record just go; it serves on for a while, and a new one comes.
func (s *Slot) Leave(ctx context.Context, says bool, away time.Duration) {
	if says {
		s.mu.Lock()
		s.state = stateDraining
		s.server.SetLeaving(true, s.starts%2 == 0)
		s.write()
		s.history.RecordDeparture(s.id, stateDraining)
		s.mu.Unlock()
	} else {
		s.drop()
	}
	kernel.Pause(ctx, serveOn)
	s.drop()
	s.renew(ctx, away)
}

// Crash ends the upstream at once; its record lapses.
func (s *Slot) Crash(ctx context.Context, away time.Duration) {
	defer s.history.BeginFault(s.address, "crashed")()
	s.link.Close()
	s.mu.Lock()
	s.listed = false
	id := s.id
	s.mu.Unlock()
	time.AfterFunc(lapse, func() {
		if ctx.Err() == nil {
			s.store.Put(serverTopic, id, nil)
			s.history.RecordDeparture(id, "record lapsed")
		}
	})
	s.renew(ctx, away)
}

// renew ends what serves at the address and starts a new upstream after a time.
func (s *Slot) renew(ctx context.Context, away time.Duration) {
	defer s.history.BeginFault(s.address, "renewed")()
	s.link.Close()
	kernel.Pause(ctx, away)
	if ctx.Err() != nil {
		return
	}
	if err := s.Start(ctx); err != nil {
		s.history.RecordEvent("no upstream comes to %s: %v", s.address, err)
	}
}

// ServedVersion is the version that the upstream serves; 0 is none.
func (s *Slot) ServedVersion() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.server.ServedVersion()
}
