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
	// heartbeatInterval is how often an upstream writes its record.
	heartbeatInterval = time.Second
	// serveAfterLeaving is how long an upstream still serves after it has left, so that requests which reach it late are
	// detected.
	serveAfterLeaving = 14 * time.Second
	// recordLapse is the time after which the record of a crashed upstream is deleted.
	recordLapse = 2 * time.Second
	// maxDowntime bounds the time until a new upstream replaces one that has left.
	maxDowntime = 3 * time.Second
	// slots is the number of requests that an upstream runs concurrently.
	slots = 64
)

// The states that upstreams write.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

// Slot is an address at which upstreams serve, one after the other.
type Slot struct {
	address, pool, domain string
	history               *History
	store                 *standin.KeyedStore
	eventInterval         time.Duration

	// busy is held while an upstream leaves, crashes or is replaced.
	busy sync.Mutex
	mu   sync.Mutex
	// id identifies the current upstream; listed is true while it has a record.
	id         string
	state      string
	listed     bool
	startedAt  time.Time
	startCount int
	server     *standin.ModelServer
	link       *Link
	// onChunkRead is called after each read of a staged chunk; it may be nil.
	onChunkRead func(m *standin.ModelServer, chunk int)
}

// Start starts a new upstream at the address, with a new ID.
func (s *Slot) Start(ctx context.Context) error {
	l, err := listenLink(s.address)
	if err != nil {
		return err
	}
	l.onFaultyRead = s.history.RecordOffered
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startCount++
	s.id = fmt.Sprintf("%s-%d", s.address, s.startCount)
	server := &standin.ModelServer{
		Instance: s.id, StartMillis: time.Now().UnixMilli(), Slots: slots, EventInterval: s.eventInterval, OnRun: s.history.RecordRun,
		Weights:     standin.ModelOrigin{Model: model, Chunks: chunks, ChunkBytes: chunkBytes},
		OnViolation: func(what string) { s.history.RecordViolation("weights", s.address, "", "%s", what) },
	}
	server.OnChunkRead = func(n int) { s.chunkRead(server, n) }
	server.AnswerTime = s.history.answerTimeOf
	server.OnRetryAfter = func(request, retryAfter string) { s.history.RecordRestRequest(request, server.Instance, retryAfter) }
	s.setCrashHandlers(ctx, server)
	s.server, s.link, s.state, s.listed, s.startedAt = server, l, stateReady, true, time.Now()
	go func() {
		_ = standin.ServeOn(ctx, l, &recorder{slot: s.address, pool: s.pool, server: server, history: s.history})
	}()
	s.writeRecord()
	return nil
}

// recorder records each request that reaches an upstream.
type recorder struct {
	slot    string
	pool    string
	server  *standin.ModelServer
	history *History
}

// ServeHTTP implements http.Handler.
func (h *recorder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, "/v1/") {
		h.history.RecordArrival(r.Header.Get("Request-Id"), r.Header.Get("Target-Instance"), h.slot)
		defer h.history.RecordWorkEnd(r.Header.Get("Request-Id"))
		h.history.RecordDeadline(r.Header.Get("Request-Id"), r.Header.Get("Target-Instance"), h.slot, r.Header.Get("Deadline-Ms"))
		h.history.RecordPriority(r.Header.Get("Request-Id"), r.Header.Values("Priority"))
		if h.pool == plainPool && h.history.losesAnswer() {
			h.serveLost(w, r)
			return
		}
	}
	h.server.ServeHTTP(w, r)
}

// writeRecord writes the upstream's record to the store. The caller holds the lock.
func (s *Slot) writeRecord() {
	b, err := json.Marshal(map[string]any{
		"service": s.pool, "address": s.address, "zone": s.domain, "slots": slots, "state": s.state, "models": s.server.Models(),
		"born": s.server.StartMillis,
	})
	if err == nil {
		s.store.Put(serverTopic, s.id, b)
	}
}

// heartbeat renews the record until the context ends.
func (s *Slot) heartbeat(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		if s.listed {
			s.writeRecord()
		}
		s.mu.Unlock()
		kernel.Pause(ctx, heartbeatInterval)
	}
}

// removeRecord deletes the record. From then on at the latest, the upstream counts as having left.
func (s *Slot) removeRecord() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.listed {
		return
	}
	s.listed = false
	s.store.Put(serverTopic, s.id, nil)
	s.history.RecordDeparture(s.id, "record went")
}

// Leave makes the upstream announce that it drains, or only deletes its record. The upstream serves for a while longer
// and is then replaced.
func (s *Slot) Leave(ctx context.Context, says bool, away time.Duration) {
	if says {
		s.mu.Lock()
		s.state = stateDraining
		s.server.SetLeaving(true, s.startCount%2 == 0)
		s.writeRecord()
		s.history.RecordDeparture(s.id, stateDraining)
		s.mu.Unlock()
	} else {
		s.removeRecord()
	}
	kernel.Pause(ctx, serveAfterLeaving)
	s.removeRecord()
	s.replace(ctx, away)
}

// Crash ends the upstream at once; its record is deleted after recordLapse.
func (s *Slot) Crash(ctx context.Context, away time.Duration) {
	defer s.history.BeginFault(s.address, "crashed")()
	s.link.Close()
	s.unlist(ctx)
	s.replace(ctx, away)
}

// unlist deletes the record of an upstream that has ended, after recordLapse.
func (s *Slot) unlist(ctx context.Context) {
	s.mu.Lock()
	s.listed = false
	id := s.id
	s.mu.Unlock()
	time.AfterFunc(recordLapse, func() {
		if ctx.Err() == nil {
			s.store.Put(serverTopic, id, nil)
			s.history.RecordDeparture(id, "record lapsed")
		}
	})
}

// replace ends the upstream at the address and starts a new one after a while.
func (s *Slot) replace(ctx context.Context, away time.Duration) {
	defer s.history.BeginFault(s.address, "renewed")()
	s.link.Close()
	s.mu.Lock()
	s.history.RecordUpstreamEnd(s.id)
	s.mu.Unlock()
	kernel.Pause(ctx, away)
	s.startAgain(ctx)
}

// startAgain starts a new upstream at the address.
func (s *Slot) startAgain(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	if err := s.Start(ctx); err != nil {
		s.history.RecordEvent("no new upstream could start at %s: %v", s.address, err)
	}
}

// ServedVersion returns the version that the upstream serves; 0 means none.
func (s *Slot) ServedVersion() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.server.ServedVersion()
}
