package standin

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// ModelOrigin are what the origin of the users' platform gives: versions of one model, made from their numbers.
type ModelOrigin struct {
	Model      string
	Chunks     int
	ChunkBytes int
}

// Chunk returns a chunk of a version.
func (w ModelOrigin) Chunk(version, n int) []byte {
	b := make([]byte, w.ChunkBytes)
	_, _ = rand.NewChaCha8([32]byte{byte(version), byte(version >> 8), byte(n), byte(n >> 8)}).Read(b)
	return b
}

// ServeHTTP answers as the origin does.
func (w ModelOrigin) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	version, _ := strconv.Atoi(r.URL.Query().Get("version"))
	switch {
	case strings.HasPrefix(r.URL.Path, "/v1/manifest/"):
		var digests []string
		for n := range w.Chunks {
			sum := sha256.Sum256(w.Chunk(version, n))
			digests = append(digests, hex.EncodeToString(sum[:]))
		}
		writeJSON(out, map[string]any{"model": w.Model, "version": version, "chunk_bytes": w.ChunkBytes, "digests": digests})
	case strings.HasPrefix(r.URL.Path, "/v1/piece/"):
		n, _ := strconv.Atoi(r.URL.Query().Get("n"))
		_, _ = out.Write(w.Chunk(version, n))
	default:
		out.WriteHeader(http.StatusNotFound)
	}
}

// RequestRun is one run of a request at a model server.
type RequestRun struct {
	Request      string
	Instance     string
	Version      int
	ResumedAfter int
	At           time.Time
}

const (
	// modelWarm is how long a model server takes to load what is staged.
	modelWarm = 100 * time.Millisecond
	// modelEvent is the time between two events of a stream.
	modelEvent = 20 * time.Millisecond
	// modelEvents is the length of a stream in events.
	modelEvents = 12
)

// ModelServer plays a model server of the users' platform. Its fields may change only while nothing is served.
type ModelServer struct {
	Instance string
	// StartMillis is the Unix millisecond of its start; 0 leaves it out of what it says.
	StartMillis int64
	Slots       int
	Weights     ModelOrigin
	// EventInterval is the time between two events of a stream; 0 takes the usual one.
	EventInterval time.Duration
	// OnRun is told of each run, and Broken of each promise that the system has broken towards it.
	OnRun       func(r RequestRun)
	OnViolation func(what string)
	// CrashPoint says whether the server's process ends under a request's body, and after how many events: BeforeHead ends
	// it before the head of its answer. Crash then ends it. Both are nil for a server that bears every request.
	CrashPoint func(body string) (events int, ends bool)
	OnCrash    func(body string)
	// OnRetryAfter is told of each request that is answered 503 with a Retry-After; nil for nobody.
	OnRetryAfter func(request, retryAfter string)
	// OnRequest is told of each request that reaches the server, run or refused; nil for nobody.
	OnRequest func(request string)

	mu sync.Mutex
	// limit is what the server names in its answers to requests, and in its reports too where reported; empty for no limit.
	limit    string
	reported bool
	// leaving is named in answers to requests, and in reports too where leavingReported. While retryAfter is set, every
	// request is answered 503 with it.
	leaving, leavingReported bool
	retryAfter               string
	version                  int
	staged                   map[int][]byte
	busy                     bool
	orders                   int
	running                  int
	// loading is the version of the order that is being carried out; 0 is none.
	loading int
	// cutting is closed when an order ends the requests that run.
	cutting chan struct{}
}

// BeforeHead is the number of events after which a process ends that sends nothing of its answer at all.
const BeforeHead = -1

// ServedVersion returns the version that is served; 0 is none.
func (s *ModelServer) ServedVersion() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// SetVersion makes the server serve a version, as one does that the users' platform has filled.
func (s *ModelServer) SetVersion(version int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = version
}

// SetLimit has the server name a limit in its answers to requests, and in its reports too where reported; an empty text ends it.
func (s *ModelServer) SetLimit(text string, reported bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit, s.reported = text, reported
}

// SetLeaving has the server say in its answers to requests that it leaves, and in its reports too where reported.
func (s *ModelServer) SetLeaving(leaving, reported bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving, s.leavingReported = leaving, reported
}

// SetRetryAfter has the server turn all requests away with 503 and a Retry-After; an empty text ends it.
func (s *ModelServer) SetRetryAfter(retryAfter string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryAfter = retryAfter
}

// name writes into an answer what the server says of itself.
func (s *ModelServer) name(h http.Header, isReport bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving && (s.leavingReported || !isReport) {
		h.Set("Server-Leaving", "1")
	}
	if s.limit != "" && (s.reported || !isReport) {
		h.Set("Server-Limit", s.limit)
	}
}

// ServeHTTP implements http.Handler.
func (s *ModelServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/v1/report":
		s.report(w)
	case r.URL.Path == "/v1/order":
		s.order(w, r)
	case strings.HasPrefix(r.URL.Path, "/v1/stage-"):
		s.stage(w, r)
	default:
		s.request(w, r)
	}
}

// Models is what the server says of itself in its report and in the list.
func (s *ModelServer) Models() []map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.version == 0 {
		return []map[string]any{}
	}
	return []map[string]any{{"name": s.Weights.Model, "version": s.version}}
}

func (s *ModelServer) report(w http.ResponseWriter) {
	models := s.Models()
	s.name(w.Header(), true)
	s.mu.Lock()
	defer s.mu.Unlock()
	said := map[string]any{
		"stage": "both", "models": models, "busy": s.busy, "sequence": s.orders, "waiting": 0, "running": s.running,
		"kvUsed": 0, "kvTotal": 1, "pace": 1,
	}
	if s.StartMillis > 0 {
		said["born"] = s.StartMillis
	}
	writeJSON(w, said)
}

// stage keeps chunks.
func (s *ModelServer) stage(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.staged == nil {
		s.staged = map[int][]byte{}
	}
	n, err := strconv.Atoi(r.URL.Query().Get("n"))
	switch {
	case r.Method == http.MethodPut && err == nil:
		s.staged[n], _ = io.ReadAll(r.Body)
	case err == nil && s.staged[n] != nil:
		_, _ = w.Write(s.staged[n])
	case err == nil:
		w.WriteHeader(http.StatusNotFound)
	default:
		held := []int{}
		for n := range s.staged {
			held = append(held, n)
		}
		writeJSON(w, map[string]any{"held": held})
	}
}

// order loads what is staged once nothing runs; one that cuts ends what runs. Chunks of another version or spoilt ones
// are a broken promise.
func (s *ModelServer) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op               string `json:"op"`
		Version          int    `json:"version"`
		How              string `json:"how"`
		ExpectedSequence int    `json:"expectedRevision"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Op != "start" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.version == o.Version:
		w.WriteHeader(http.StatusOK)
		return
	case s.busy || o.ExpectedSequence != s.orders:
		w.WriteHeader(http.StatusConflict)
		return
	}
	for n := range s.Weights.Chunks {
		if !bytes.Equal(s.staged[n], s.Weights.Chunk(o.Version, n)) {
			s.OnViolation(fmt.Sprintf("%s was ordered to load version %d with a wrong chunk %d", s.Instance, o.Version, n))
			break
		}
	}
	s.orders++
	s.busy, s.loading = true, o.Version
	if o.How == orderCut && s.cutting != nil {
		close(s.cutting)
		s.cutting = nil
	}
	s.warm()
	w.WriteHeader(http.StatusAccepted)
}

// orderCut is the word of an order that ends the requests that run.
const orderCut = "cut"

// warm begins to load once nothing runs; the caller holds the lock.
func (s *ModelServer) warm() {
	if s.loading == 0 || s.running > 0 {
		return
	}
	version := s.loading
	s.loading = 0
	time.AfterFunc(modelWarm, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.busy, s.version = false, version
	})
}

// request runs a caller's request: a stream where it names a model, a short answer elsewhere.
func (s *ModelServer) request(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	if s.OnRequest != nil {
		s.OnRequest(r.Header.Get("Request-Id"))
	}
	s.name(w.Header(), false)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	version, cutting, reason := s.enter(r)
	if reason != 0 {
		w.Header().Set("Not-Executed", "1")
		s.askForRest(w.Header(), r.Header.Get("Request-Id"), reason)
		w.WriteHeader(reason)
		return
	}
	defer s.leave()
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	s.OnRun(RequestRun{Request: r.Header.Get("Request-Id"), Instance: s.Instance, Version: version, ResumedAfter: after, At: time.Now()})
	events, ends := s.crashes(string(body))
	if ends && events == BeforeHead {
		s.crash(string(body))
	}
	w.Header().Set("Response-Seal", s.Instance+"."+r.Header.Get("Request-Id"))
	if r.Header.Get("Model") == "" {
		time.Sleep(modelEvent)
		_, _ = fmt.Fprintf(w, "%s %s", r.Header.Get("Request-Id"), body)
		return
	}
	w.Header().Set("Versions", strconv.Itoa(version))
	w.Header().Set("Content-Type", "text/event-stream")
	pause := modelEvent
	if s.EventInterval > 0 {
		pause = s.EventInterval
	}
	_ = http.NewResponseController(w).Flush()
	for n := after + 1; n <= modelEvents && r.Context().Err() == nil; n++ {
		select {
		case <-time.After(pause):
		case <-cutting:
			cut()
		}
		if ends && n > after+events {
			s.crash(string(body))
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d %d\n\n", n, r.Header.Get("Request-Id"), version, n)
		_ = http.NewResponseController(w).Flush()
	}
}

// crashes says whether the process ends under a body, and after how many events.
func (s *ModelServer) crashes(body string) (events int, ends bool) {
	if s.CrashPoint == nil {
		return 0, false
	}
	return s.CrashPoint(body)
}

// crash ends the process, and with it the answer that it was at.
func (s *ModelServer) crash(body string) {
	s.OnCrash(body)
	cut()
}

// StreamOf is the body of a whole stream of a version.
func StreamOf(request string, version int) string {
	var b strings.Builder
	for n := 1; n <= modelEvents; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s %d %d\n\n", n, request, version, n)
	}
	return b.String()
}

// enter takes a slot, or says with which status the request is refused.
func (s *ModelServer) enter(r *http.Request) (version int, cutting <-chan struct{}, reason int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	expected := r.Header.Get("Expect-Version")
	switch {
	case r.Header.Get("Target-Instance") != s.Instance:
		return 0, nil, http.StatusMisdirectedRequest
	case r.Header.Get("Model") != "" && (s.version == 0 || expected != "" && expected != strconv.Itoa(s.version)):
		return 0, nil, http.StatusMisdirectedRequest
	case s.running >= s.Slots || s.busy || s.retryAfter != "":
		return 0, nil, http.StatusServiceUnavailable
	}
	s.running++
	if s.cutting == nil {
		s.cutting = make(chan struct{})
	}
	return s.version, s.cutting, 0
}

// askForRest writes into an answer when the caller may come back.
func (s *ModelServer) askForRest(h http.Header, request string, status int) {
	s.mu.Lock()
	after := s.retryAfter
	s.mu.Unlock()
	if after == "" || status != http.StatusServiceUnavailable {
		return
	}
	h.Set("Retry-After", after)
	if s.OnRetryAfter != nil {
		s.OnRetryAfter(request, after)
	}
}

func (s *ModelServer) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.warm()
}
