package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/springrail/springrail/internal/standin"
)

const (
	// eventInterval is the usual time between two events of a stream, and eventsPerStream the number of events in one.
	eventInterval   = 50 * time.Millisecond
	eventsPerStream = 20
	// badLongEnough is the time before an order within which a piece may turn bad without breaking the rule WHOLE.
	badLongEnough = 3 * time.Second
)

// engine is a model server of the platform.
type engine struct {
	name, address, domain string
	record                *record
	store                 *standin.KeyedStore
	// interval is the time between two events of a stream.
	interval time.Duration

	mu sync.Mutex
	// id identifies the current start.
	id     string
	staged map[int][]byte
	// badSince is when a staged piece turned bad.
	badSince map[int]time.Time
	// version is what the engine serves, with the weights taken for it; wrong says what is wrong with these.
	version int
	weights string
	wrong   string
	orders  int
	busy    bool
	// pending is the version that is loaded once nothing runs, with its weights.
	pending                      int
	pendingWeights, pendingWrong string
	running                      int
	lastRead                     int
	onVerified, onOrder          func()
	badRuns                      int
	// life counts the starts; down is true from a crash to the next start, and server serves the current life.
	life   int
	down   bool
	server *http.Server
	// onRun is called for each request that begins, and onCrash for each crash.
	onRun   func(id string)
	onCrash func()
}

// weightsOf names the content of a version's pieces.
func weightsOf(piece func(n int) []byte) string {
	h := sha256.New()
	for n := range chunkCount {
		h.Write(piece(n))
	}
	return fmt.Sprintf("%x", h.Sum(nil)[:6])
}

func newEngine(id, address, domain string, r *record) *engine {
	e := &engine{name: id, id: id, interval: eventInterval, address: address, domain: domain, record: r, staged: map[int][]byte{}, badSince: map[int]time.Time{}, version: firstVersion, lastRead: -1}
	for n := range chunkCount {
		e.staged[n] = chunkOf(firstVersion, n)
	}
	e.weights = weightsOf(func(n int) []byte { return e.staged[n] })
	e.onVerified, e.onOrder, e.onRun, e.onCrash = func() {}, func() {}, func(string) {}, func() {}
	return e
}

// models lists what the engine serves.
func (e *engine) models() []map[string]any {
	if e.version == 0 {
		return []map[string]any{}
	}
	layers := []map[string]any{{"from": 0, "targetVersion": layerCount, "version": e.version}}
	return []map[string]any{{"name": modelName, "version": e.version, "adapters": []string{}, "layers": layers}}
}

// entry is the engine's entry in the store.
func (e *engine) entry(sequence int) map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return map[string]any{
		"service": engineService, "address": e.address, "zone": e.domain, "version": "v1", "slots": engineSlots, "state": "ready",
		"coldRemainingMs": 0, "stage": "both", "models": e.models(), "sequence": sequence,
	}
}

// servedVersion returns the version that the engine serves.
func (e *engine) servedVersion() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/v1/report":
		e.mu.Lock()
		defer e.mu.Unlock()
		writeJSON(w, map[string]any{
			"stage": "both", "models": e.models(), "busy": e.busy, "sequence": e.orders, "waiting": 0, "running": e.running,
			"kvUsed": e.running * 1000, "kvTotal": 317000, "handles": 0,
		})
	case r.URL.Path == "/v1/order":
		e.handleOrder(w, r)
	case strings.HasPrefix(r.URL.Path, "/v1/stage-"):
		e.handleStage(w, r)
	case r.URL.Path == "/health":
		w.Header().Set("Instance-Id", e.id)
	default:
		e.handleRequest(w, r)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// handleStage stores a piece, returns one, or lists the staged pieces.
func (e *engine) handleStage(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	n, err := strconv.Atoi(r.URL.Query().Get("n"))
	switch {
	case err == nil && r.Method == http.MethodPut:
		e.staged[n] = body
		delete(e.badSince, n)
		e.lastRead = -1
	case err == nil && e.staged[n] != nil:
		_, _ = w.Write(e.staged[n])
		if n == e.lastRead+1 {
			e.lastRead = n
		}
		if n == chunkCount-1 && e.lastRead == n {
			e.lastRead = -1
			go e.onVerified()
		}
	case err == nil:
		w.WriteHeader(http.StatusNotFound)
	default:
		held := []int{}
		for n := range e.staged {
			held = append(held, n)
		}
		writeJSON(w, map[string]any{"held": held})
	}
}

// spoil turns a share of the staged pieces bad.
func (e *engine) spoil(pieces int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for n := range pieces {
		b := bytes.Clone(e.staged[n])
		b[0] ^= 1
		e.staged[n], e.badSince[n] = b, time.Now()
	}
	e.record.add("%s: %d of %d staged pieces turned bad", e.id, pieces, chunkCount)
}

// handleOrder takes what is staged, and serves it once what runs has ended and loadTime has passed.
func (e *engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op       string `json:"op"`
		Version  int    `json:"version"`
		Expected *int   `json:"expectedRevision"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Op != "start" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.version == o.Version:
		return
	case e.busy || (o.Expected != nil && *o.Expected != e.orders):
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.orders++
	e.busy, e.pending = true, o.Version
	e.pendingWeights, e.pendingWrong = weightsOf(func(n int) []byte { return e.staged[n] }), e.wrongPieces(o.Version)
	e.record.add("%s: takes version %d, weights %s %s", e.id, o.Version, e.pendingWeights, e.pendingWrong)
	go e.onOrder()
	e.loadIfIdle()
	w.WriteHeader(http.StatusAccepted)
}

// wrongPieces says which pieces the rule WHOLE forbids to take: those that are not the version's, but for such as turned
// bad within badLongEnough.
func (e *engine) wrongPieces(version int) string {
	wrong := ""
	for n := range chunkCount {
		if bytes.Equal(e.staged[n], chunkOf(version, n)) {
			continue
		}
		since, bad := e.badSince[n]
		if bad && time.Since(since) <= badLongEnough {
			continue
		}
		wrong += fmt.Sprintf("piece %d bad for %.2f s; ", n, time.Since(since).Seconds())
	}
	return wrong
}

// loadIfIdle loads the pending version once nothing runs. The caller holds the lock.
func (e *engine) loadIfIdle() {
	if e.pending == 0 || e.running > 0 {
		return
	}
	version, weights, wrong := e.pending, e.pendingWeights, e.pendingWrong
	e.pending = 0
	life := e.life
	time.AfterFunc(loadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.life != life {
			return
		}
		e.busy, e.version, e.weights, e.wrong = false, version, weights, wrong
		e.record.add("%s: serves version %d", e.id, version)
	})
}

// begin admits a request, or returns the status with which it is refused.
func (e *engine) begin(r *http.Request) (version int, weights, wrong string, refused int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return 0, "", "", http.StatusServiceUnavailable
	}
	expected := r.Header.Get("Expect-Version")
	switch {
	case r.Header.Get("Target-Instance") != e.id, e.version == 0, expected != "" && expected != strconv.Itoa(e.version):
		return 0, "", "", http.StatusMisdirectedRequest
	case e.busy || e.running >= engineSlots:
		return 0, "", "", http.StatusServiceUnavailable
	}
	e.running++
	return e.version, e.weights, e.wrong, 0
}

// handleRequest streams events that name the weights with which they were made.
func (e *engine) handleRequest(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	version, weights, wrong, refused := e.begin(r)
	if refused != 0 {
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("At-Server", e.address)
		w.WriteHeader(refused)
		e.record.add("%s: %s not run, %d", e.id, id, refused)
		return
	}
	defer e.end(e.currentLife())
	e.record.add("%s: runs %s on version %d", e.id, id, version)
	e.onRun(id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Versions", strconv.Itoa(version))
	w.Header().Set("Response-Seal", sealOf(e.id, id))
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if wrong != "" {
		e.mu.Lock()
		e.badRuns++
		e.mu.Unlock()
		e.record.add("%s: %s gets tokens made with wrong weights: %s", e.id, id, wrong)
	}
	for n := after + 1; n <= eventsPerStream && r.Context().Err() == nil; n++ {
		pause(r.Context(), e.interval)
		if n > after+1 && strings.Contains(r.Header.Get("Prompt-Prefix"), crashPart) {
			e.crash(id)
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d %s\n\n", n, id, version, weights)
		_ = http.NewResponseController(w).Flush()
	}
}

func (e *engine) currentLife() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.life
}

// end ends a request of a life.
func (e *engine) end(life int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life == life && !e.down {
		e.running--
		e.loadIfIdle()
	}
}

// badRunCount returns the number of requests whose tokens were made with weights that the rule WHOLE forbids.
func (e *engine) badRunCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.badRuns
}

func sealOf(server, request string) string {
	return server + "." + request
}
