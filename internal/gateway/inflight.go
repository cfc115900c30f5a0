package gateway

import (
	"sync"
	"time"

	"github.com/phuslu/log"
)

// stage is how far a request in flight has come.
type stage int

const (
	// stageArriving is a request that is not admitted yet, and stageReceiving one whose body is not complete.
	stageArriving stage = iota
	stageReceiving
	// stageWaiting is a complete request that was sent to no upstream.
	stageWaiting
	// stageSent is one that was sent to an upstream and has no response header.
	stageSent
	// stageAnswering is one whose caller has the response header.
	stageAnswering
)

var stageNames = [...]string{stageArriving: "arriving", stageReceiving: "receiving", stageWaiting: "waiting", stageSent: "sent", stageAnswering: "answering"}

// progress is a request's stage, with the times at which it came there. It may be read while the request runs.
type progress struct {
	mu    sync.Mutex
	stage stage
	// receivedAt is when the body was complete and sentAt when the request was last sent to an upstream; zero before.
	receivedAt, sentAt time.Time
}

func (p *progress) noteReceived(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stage, p.receivedAt = stageWaiting, now
}

func (p *progress) noteSent(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stage, p.sentAt = max(p.stage, stageSent), now
}

func (p *progress) noteAnswering() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stage = stageAnswering
}

func (p *progress) currentStage() stage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stage
}

// logProgress adds the times from the request's arrival to its complete body and to its newest send.
func (f *callerRequest) logProgress(e *log.Entry) *log.Entry {
	p := &f.progress
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.receivedAt.IsZero() {
		e = e.Int64("body_ms", p.receivedAt.Sub(f.arrived).Milliseconds())
	}
	if !p.sentAt.IsZero() {
		e = e.Int64("sent_ms", p.sentAt.Sub(f.arrived).Milliseconds())
	}
	return e
}

// logAbandoned logs a request that the end of the process cuts off.
func (f *callerRequest) logAbandoned(now time.Time) {
	s := f.progress.currentStage()
	e := f.gateway.log.Warn().Str("request", string(f.meta.Request)).Str("stage", stageNames[s]).Int64("took_ms", now.Sub(f.arrived).Milliseconds())
	f.logProgress(e).Msg("abandoned at the end of the process")
}

// inFlightRequests holds all requests whose handlers run.
type inFlightRequests struct {
	mu       sync.Mutex
	requests map[*callerRequest]struct{}
}

func newInFlightRequests() *inFlightRequests {
	return &inFlightRequests{requests: map[*callerRequest]struct{}{}}
}

func (l *inFlightRequests) add(f *callerRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[f] = struct{}{}
}

func (l *inFlightRequests) remove(f *callerRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.requests, f)
}

func (l *inFlightRequests) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.requests)
}

// countBefore returns the number of requests that arrived before a time.
func (l *inFlightRequests) countBefore(t time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for f := range l.requests {
		if f.arrived.Before(t) {
			n++
		}
	}
	return n
}

// each calls a function for each request while holding the mutex.
func (l *inFlightRequests) each(visit func(f *callerRequest)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for f := range l.requests {
		visit(f)
	}
}
