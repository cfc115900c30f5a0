package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// ServiceFaults selects the faults of a plain service.
type ServiceFaults struct {
	Outage bool `json:"outage"`
	// LoseAnswers is the number of calls that take effect although their answers are lost.
	LoseAnswers int `json:"lose_answers"`
	DelayMs     int `json:"delay_ms"`
}

// Service simulates a plain service whose calls must not be retried. It counts how often each call took effect.
type Service struct {
	mu     sync.Mutex
	faults ServiceFaults
	runs   map[string]int
}

// NewService returns a service without faults.
func NewService() *Service {
	return &Service{runs: map[string]int{}}
}

// serviceAnswer is the body of an answer to a call.
type serviceAnswer struct {
	Path string `json:"path"`
	Key  string `json:"key"`
	Run  int    `json:"run"`
	Body string `json:"body"`
}

// Runs returns how often the call with an idempotency key took effect.
func (s *Service) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

// SetFaults replaces the simulated faults.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Handler returns the HTTP handler of the service.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	handleFaults(mux, func() any { s.mu.Lock(); defer s.mu.Unlock(); return s.faults }, func(d *json.Decoder) error {
		var f ServiceFaults
		if err := d.Decode(&f); err != nil {
			return err
		}
		s.SetFaults(f)
		return nil
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		writeJSON(w, s.runs)
	})
	mux.HandleFunc("/", s.handleCall)
	return mux
}

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	key := r.Header.Get("Idempotency-Key")
	if key == "" {
		key = r.Header.Get("X-Request-Id")
	}
	s.mu.Lock()
	f := s.faults
	if f.Outage {
		s.mu.Unlock()
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	s.runs[key]++
	run := s.runs[key]
	loseAnswer := s.faults.LoseAnswers > 0
	if loseAnswer {
		s.faults.LoseAnswers--
	}
	s.mu.Unlock()
	time.Sleep(time.Duration(f.DelayMs) * time.Millisecond)
	if loseAnswer {
		abortConnection()
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	writeJSON(w, serviceAnswer{Path: r.URL.Path, Key: key, Run: run, Body: string(body)})
}
