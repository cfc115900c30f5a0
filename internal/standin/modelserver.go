package standin

import (
	"cmp"
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

	"github.com/springrail/springrail/internal/kernel"
)

// ModelOrigin simulates the origin of the platform: it serves versions of one model, whose content is generated from the
// version number.
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

// ServeHTTP serves manifests and chunks with the origin's API.
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

// RequestRun is one execution of a request at a model server.
type RequestRun struct {
	Request      string
	Instance     string
	Version      int
	ResumedAfter int
	At           time.Time
}

const (
	// modelLoadTime is the time that a model server needs to load staged weights.
	modelLoadTime = 100 * time.Millisecond
	// defaultEventInterval is the default time between two events of a stream.
	defaultEventInterval = 20 * time.Millisecond
	// eventsPerStream is the number of events in a complete stream.
	eventsPerStream = 12
)

// ModelServer simulates a model server of the platform. Its exported fields may change only while no request is served.
type ModelServer struct {
	Instance string
	// StartMillis is the Unix time in milliseconds at which the server's incarnation started; 0 omits it from reports.
	StartMillis int64
	Slots       int
	Weights     ModelOrigin
	// EventInterval is the time between two events of a stream; 0 selects the default.
	EventInterval time.Duration
	// OnRun is called for each execution of a request, and OnViolation for each guarantee that springrail has broken
	// towards the server.
	OnRun       func(r RequestRun)
	OnViolation func(what string)
	// CrashPoint decides whether the server's process crashes while it runs a request with this body, and after how many
	// events; BeforeHead crashes it before the response header. OnCrash then ends the process. Both are nil for a server
	// that never crashes.
	CrashPoint func(body string) (events int, ends bool)
	OnCrash    func(body string)
	// Unframed decides by the body whether a stream is sent without a length, so that it ends with its connection. It may be
	// nil.
	Unframed func(body string) bool
	// AnswerTime returns how long the complete answer to a request takes; 0 selects the default. It may be nil.
	AnswerTime func(request string) time.Duration
	// OnRetryAfter is called for each request that is answered 503 with a Retry-After header; it may be nil.
	OnRetryAfter func(request, retryAfter string)
	// OnChunkRead is called after each read of a staged chunk; it may be nil.
	OnChunkRead func(n int)
	// OnRequest is called for each request that reaches the server, executed or refused; it may be nil.
	OnRequest func(request string)

	mu sync.Mutex
	// limit is the rate limit that the server announces in its answers to requests, and in its reports if limitInReports
	// is set; empty means no limit.
	limit          string
	limitInReports bool
	// leaving is announced in answers to requests, and in reports if leavingInReports is set. While retryAfter is set,
	// every request is answered 503 with it.
	leaving, leavingInReports bool
	retryAfter                string
	version                   int
	staged                    map[int][]byte
	// corrupt holds the staged chunks that have turned corrupt.
	corrupt    map[int]corruption
	busy       bool
	orderCount int
	running    int
	// loadingVersion is the version that the current order loads; 0 means none.
	loadingVersion int
	// abortRunning is closed when an order aborts the running requests.
	abortRunning chan struct{}
}

// ServedVersion returns the version that is served; 0 means none.
func (s *ModelServer) ServedVersion() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// SetVersion makes the server serve a version without an order, like a server that the platform has loaded.
func (s *ModelServer) SetVersion(version int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = version
}

// SetLimit makes the server announce a rate limit in its answers to requests, and in its reports if inReports is set; an
// empty text removes the limit.
func (s *ModelServer) SetLimit(text string, inReports bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit, s.limitInReports = text, inReports
}

// SetLeaving makes the server announce that it is draining in its answers to requests, and in its reports if inReports is
// set.
func (s *ModelServer) SetLeaving(leaving, inReports bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving, s.leavingInReports = leaving, inReports
}

// SetRetryAfter makes the server refuse all requests with 503 and a Retry-After header; an empty text ends it.
func (s *ModelServer) SetRetryAfter(retryAfter string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryAfter = retryAfter
}

// writeAnnouncements sets the headers that announce draining and the rate limit.
func (s *ModelServer) writeAnnouncements(h http.Header, isReport bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving && (s.leavingInReports || !isReport) {
		h.Set("Server-Leaving", "1")
	}
	if s.limit != "" && (s.limitInReports || !isReport) {
		h.Set("Server-Limit", s.limit)
	}
}

// ServeHTTP implements http.Handler.
func (s *ModelServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/v1/report":
		s.handleReport(w)
	case r.URL.Path == "/v1/order":
		s.handleOrder(w, r)
	case strings.HasPrefix(r.URL.Path, "/v1/stage-"):
		s.handleStage(w, r)
	default:
		s.handleRequest(w, r)
	}
}

// Models returns the served models as the server's report and its record in the store contain them.
func (s *ModelServer) Models() []map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.version == 0 {
		return []map[string]any{}
	}
	return []map[string]any{{"name": s.Weights.Model, "version": s.version}}
}

func (s *ModelServer) handleReport(w http.ResponseWriter) {
	models := s.Models()
	s.writeAnnouncements(w.Header(), true)
	s.mu.Lock()
	defer s.mu.Unlock()
	report := map[string]any{
		"stage": "both", "models": models, "busy": s.busy, "sequence": s.orderCount, "waiting": 0, "running": s.running,
		"kvUsed": 0, "kvTotal": 1, "pace": 1,
	}
	if s.StartMillis > 0 {
		report["born"] = s.StartMillis
	}
	writeJSON(w, report)
}

// handleOrder loads the staged version once no request is running; an order in cut mode aborts the running requests.
func (s *ModelServer) handleOrder(w http.ResponseWriter, r *http.Request) {
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
	case s.busy || o.ExpectedSequence != s.orderCount:
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.checkStaged(o.Version)
	s.orderCount++
	s.busy, s.loadingVersion = true, o.Version
	if o.How == orderModeCut && s.abortRunning != nil {
		close(s.abortRunning)
		s.abortRunning = nil
	}
	s.startLoading()
	w.WriteHeader(http.StatusAccepted)
}

// orderModeCut is the order mode that aborts running requests.
const orderModeCut = "cut"

// startLoading starts the ordered load once no request is running. The caller holds the lock.
func (s *ModelServer) startLoading() {
	if s.loadingVersion == 0 || s.running > 0 {
		return
	}
	version := s.loadingVersion
	s.loadingVersion = 0
	time.AfterFunc(modelLoadTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.busy, s.version = false, version
	})
}

// handleRequest runs a caller's request: it streams events if the request names a model, and sends a short answer
// otherwise.
func (s *ModelServer) handleRequest(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	if s.OnRequest != nil {
		s.OnRequest(r.Header.Get("Request-Id"))
	}
	s.writeAnnouncements(w.Header(), false)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	version, aborted, refusal := s.acquireSlot(r)
	if refusal != 0 {
		w.Header().Set("Not-Executed", "1")
		s.writeRetryAfter(w.Header(), r.Header.Get("Request-Id"), refusal)
		w.WriteHeader(refusal)
		return
	}
	defer s.releaseSlot()
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	s.OnRun(RequestRun{Request: r.Header.Get("Request-Id"), Instance: s.Instance, Version: version, ResumedAfter: after, At: time.Now()})
	events, crashes := s.crashPoint(string(body))
	if crashes && events == BeforeHead {
		s.endProcess(string(body))
	}
	w.Header().Set("Response-Seal", s.Instance+"."+r.Header.Get("Request-Id"))
	took := s.answerTime(r.Header.Get("Request-Id"))
	if r.Header.Get("Model") == "" {
		kernel.Pause(r.Context(), cmp.Or(took, defaultEventInterval))
		_, _ = fmt.Fprintf(w, "%s %s", r.Header.Get("Request-Id"), body)
		return
	}
	w.Header().Set("Versions", strconv.Itoa(version))
	w.Header().Set("Content-Type", "text/event-stream")
	if s.Unframed != nil && s.Unframed(string(body)) {
		w.Header().Set("Transfer-Encoding", "identity")
	}
	interval := cmp.Or(took/eventsPerStream, s.EventInterval, defaultEventInterval)
	_ = http.NewResponseController(w).Flush()
	for n := after + 1; n <= eventsPerStream && r.Context().Err() == nil; n++ {
		select {
		case <-time.After(interval):
		case <-aborted:
			abortConnection()
		}
		if crashes && n > after+events {
			s.endProcess(string(body))
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d %d\n\n", n, r.Header.Get("Request-Id"), version, n)
		_ = http.NewResponseController(w).Flush()
	}
}

func (s *ModelServer) answerTime(request string) time.Duration {
	if s.AnswerTime == nil {
		return 0
	}
	return s.AnswerTime(request)
}

// StreamOf returns the complete body of a stream that a version generates for a request.
func StreamOf(request string, version int) string {
	var b strings.Builder
	for n := 1; n <= eventsPerStream; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s %d %d\n\n", n, request, version, n)
	}
	return b.String()
}

// acquireSlot takes an execution slot, or returns the status with which the request is refused.
func (s *ModelServer) acquireSlot(r *http.Request) (version int, cutting <-chan struct{}, reason int) {
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
	if s.abortRunning == nil {
		s.abortRunning = make(chan struct{})
	}
	return s.version, s.abortRunning, 0
}

// writeRetryAfter sets the Retry-After header of a 503 answer if one is configured.
func (s *ModelServer) writeRetryAfter(h http.Header, request string, status int) {
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

func (s *ModelServer) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.startLoading()
}
