// Package logsink writes log lines without blocking the caller. If the reader of the log is too slow, lines are dropped
// and counted, so that requests are not delayed.
package logsink

import (
	"context"
	"expvar"
	"io"
	"slices"
	"strconv"
	"sync"

	"golang.org/x/time/rate"
)

const (
	// queueLines is the capacity of the queue of lines to be written; at about 300 bytes a line it holds 1.2 MB.
	queueLines = 4096
	// linesPerSecond and burst are the rate and size of the token bucket that limits the log volume. A process handles
	// about 30 requests a second and logs one line for each.
	linesPerSecond = 400
	burst          = 2000
	// batchBytes is the size in bytes from which no further line is added to a write.
	batchBytes = 32 << 10
)

// Sink is a non-blocking io.Writer that queues lines for a writer goroutine. Each call to Write takes one line.
type Sink struct {
	lines   chan []byte
	flushes chan chan<- struct{}
	limit   *rate.Limiter
	// Dropped counts dropped lines by reason: over_rate or queue_full. write_failed counts failed writes, each of which may
	// hold several lines.
	Dropped *expvar.Map

	mu         sync.Mutex
	unreported int
}

// New returns a sink for a writer that may block, and starts the goroutine that writes to it.
func New(w io.Writer) *Sink {
	s := &Sink{
		lines: make(chan []byte, queueLines), flushes: make(chan chan<- struct{}),
		limit: rate.NewLimiter(linesPerSecond, burst), Dropped: new(expvar.Map),
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

func (s *Sink) drop(reason string) {
	s.Dropped.Add(reason, 1)
	s.mu.Lock()
	s.unreported++
	s.mu.Unlock()
}

// Flush returns once the lines that are queued have been written or the context has ended.
func (s *Sink) Flush(ctx context.Context) {
	written := make(chan struct{})
	select {
	case s.flushes <- written:
	case <-ctx.Done():
		return
	}
	select {
	case <-written:
	case <-ctx.Done():
	}
}

// drain writes the queued lines, several in one write where more than one is queued.
func (s *Sink) drain(w io.Writer) {
	for {
		select {
		case line := <-s.lines:
			s.write(w, line)
		case written := <-s.flushes:
			for len(s.lines) > 0 {
				s.write(w, <-s.lines)
			}
			close(written)
		}
	}
}

// write writes a line and those that are queued after it.
func (s *Sink) write(w io.Writer, line []byte) {
	if _, err := w.Write(s.batch(line)); err != nil {
		s.Dropped.Add("write_failed", 1)
	}
}

// batch appends the queued lines to a line, and then the notice of dropped lines. The notice comes last because a line
// is dropped while the lines before it are still queued. If the notice came first, lines dropped at the end of a burst
// that is written as one batch would not be reported until the next line was logged.
func (s *Sink) batch(line []byte) []byte {
	b := slices.Clone(line)
	for len(b) < batchBytes {
		select {
		case next := <-s.lines:
			b = append(b, next...)
		default:
			return append(b, s.dropNotice()...)
		}
	}
	return append(b, s.dropNotice()...)
}

// dropNotice returns a log line with the number of lines dropped since the last notice, or nil if none were.
func (s *Sink) dropNotice() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unreported == 0 {
		return nil
	}
	n := s.unreported
	s.unreported = 0
	return []byte(`{"level":"warn","lines":` + strconv.Itoa(n) + `,"message":"log lines dropped here"}` + "\n")
}
