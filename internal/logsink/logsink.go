// Package logsink writes log lines without ever holding up the caller: a reader that does not keep up costs lines, which
// are counted, and not requests.
package logsink

import (
	"expvar"
	"io"
	"slices"
	"strconv"
	"sync"

	"golang.org/x/time/rate"
)

const (
	// queued bounds the lines that wait to be written; at about 300 bytes each it is 1.2 MB.
	queued = 4096
	// linesPerSecond and burst bound what is written under load. A process of today's deployments handles about 30
	// requests a second, each with a line.
	linesPerSecond = 400
	burst          = 2000
	// batchBytes is the most that one write takes.
	batchBytes = 32 << 10
)

// Sink is an io.Writer for one line a call.
type Sink struct {
	lines chan []byte
	limit *rate.Limiter
	// Dropped counts lines by why they were dropped.
	Dropped *expvar.Map

	mu   sync.Mutex
	gaps int
}

// New makes a sink over a writer that may block.
func New(w io.Writer) *Sink {
	s := &Sink{
		lines: make(chan []byte, queued), limit: rate.NewLimiter(linesPerSecond, burst), Dropped: new(expvar.Map),
	}
	go s.drain(w)
	return s
}

// Write implements io.Writer; it never blocks and never fails.
func (s *Sink) Write(b []byte) (int, error) {
	if !s.limit.Allow() {
		s.drop("over_rate")
		return len(b), nil
	}
	line := make([]byte, len(b))
	copy(line, b)
	select {
	case s.lines <- line:
	default:
		s.drop("queue_full")
	}
	return len(b), nil
}

func (s *Sink) drop(why string) {
	s.Dropped.Add(why, 1)
	s.mu.Lock()
	s.gaps++
	s.mu.Unlock()
}

// drain writes what is queued, several lines at once where they wait.
func (s *Sink) drain(w io.Writer) {
	for line := range s.lines {
		if _, err := w.Write(s.batch(line)); err != nil {
			s.Dropped.Add("write_failed", 1)
		}
	}
}

// batch puts what is queued behind a line. What was dropped meanwhile comes after that: a line is dropped because those
// before it are still queued. Told in front, the gap at the end of a burst that went out as one batch was not told
// until somebody logged again.
func (s *Sink) batch(line []byte) []byte {
	b := slices.Clone(line)
	for len(b) < batchBytes {
		select {
		case next := <-s.lines:
			b = append(b, next...)
		default:
			return append(b, s.gap()...)
		}
	}
	return append(b, s.gap()...)
}

// gap tells the reader how many lines are missing here.
func (s *Sink) gap() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gaps == 0 {
		return nil
	}
	n := s.gaps
	s.gaps = 0
	return []byte(`{"level":"warn","lines":` + strconv.Itoa(n) + `,"message":"log lines dropped here"}` + "\n")
}
