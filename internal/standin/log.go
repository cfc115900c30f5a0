package standin

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// appendsPerSecond is the append rate limit of the platform's log.
const appendsPerSecond = 100

// LogFaults selects the faults of the log.
type LogFaults struct {
	// Outage answers all calls with 503.
	Outage bool `json:"outage"`
	// LoseAnswers is the number of appends that take effect although their answers are lost.
	LoseAnswers int `json:"lose_answers"`
	// DelayMs is the delay in milliseconds that is added to every call.
	DelayMs int `json:"delay_ms"`
}

// Log simulates the platform's append-only log. Its retention is a number of records.
type Log struct {
	retention   int
	limiter     *rate.Limiter
	mu          sync.Mutex
	faults      LogFaults
	firstOffset uint64
	records     [][]byte
	changed     chan struct{}
}

// NewLog returns an empty log that retains a number of records.
func NewLog(retention int) *Log {
	return &Log{
		retention: retention, limiter: rate.NewLimiter(appendsPerSecond, appendsPerSecond), firstOffset: 1,
		changed: make(chan struct{}),
	}
}

// SetFaults replaces the simulated faults.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Append appends a record and returns its offset.
func (l *Log) Append(data []byte) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, data)
	if extra := len(l.records) - l.retention; extra > 0 {
		l.records = l.records[extra:]
		l.firstOffset += uint64(extra)
	}
	close(l.changed)
	l.changed = make(chan struct{})
	return l.firstOffset + uint64(len(l.records)) - 1
}

// Expire removes all records except the newest ones.
func (l *Log) Expire(keep int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if extra := len(l.records) - keep; extra > 0 {
		l.records = l.records[extra:]
		l.firstOffset += uint64(extra)
	}
}

// Register adds the log's HTTP handlers.
func (l *Log) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /log/append", l.handleAppend)
	mux.HandleFunc("GET /log/read", l.handleRead)
}

// unavailable delays the call as the faults say and, during an outage, answers it with 503 and returns true.
func (l *Log) unavailable(w http.ResponseWriter) bool {
	l.mu.Lock()
	f := l.faults
	l.mu.Unlock()
	time.Sleep(time.Duration(f.DelayMs) * time.Millisecond)
	if f.Outage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
	}
	return f.Outage
}

func (l *Log) handleAppend(w http.ResponseWriter, r *http.Request) {
	if l.unavailable(w) {
		return
	}
	if !l.limiter.Allow() {
		http.Error(w, "append rate limit exceeded", http.StatusTooManyRequests)
		return
	}
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	offset := l.Append(data)
	if l.shouldLoseAnswer() {
		abortConnection()
	}
	writeJSON(w, appendAnswer{Offset: offset})
}

func (l *Log) shouldLoseAnswer() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.LoseAnswers == 0 {
		return false
	}
	l.faults.LoseAnswers--
	return true
}

type appendAnswer struct {
	Offset uint64 `json:"offset"`
}

type logRecord struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

type readAnswer struct {
	First   uint64      `json:"first"`
	Next    uint64      `json:"next"`
	Records []logRecord `json:"records"`
}

func (l *Log) handleRead(w http.ResponseWriter, r *http.Request) {
	if l.unavailable(w) {
		return
	}
	q := r.URL.Query()
	from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
	limit, _ := strconv.Atoi(q.Get("limit"))
	wait, _ := time.ParseDuration(q.Get("wait"))
	timeout := time.After(wait)
	for {
		a, change := l.recordsFrom(from, limit)
		if len(a.Records) > 0 || from < a.First || wait <= 0 {
			writeJSON(w, a)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timeout:
			wait = 0
		case <-change:
		}
	}
}

func (l *Log) recordsFrom(from uint64, limit int) (readAnswer, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := readAnswer{First: l.firstOffset, Next: l.firstOffset + uint64(len(l.records))}
	for o := max(from, l.firstOffset); o < a.Next && from >= l.firstOffset && len(a.Records) < limit; o++ {
		a.Records = append(a.Records, logRecord{Offset: o, Data: l.records[o-l.firstOffset]})
	}
	return a, l.changed
}
