package quarantine

import (
	"sync"
	"time"
)

const (
	// minSilence is how long an upstream must have sent nothing for it to count as silent.
	minSilence = BeginningTime
	// sweepInterval is the time between two searches for silent upstreams.
	sweepInterval = 250 * time.Millisecond
)

// upstreamProcess is what a gateway knows of an upstream's process by its own requests there.
type upstreamProcess struct {
	mu sync.Mutex
	// lastSign is when anything was last received from the process, and idleSince since when no request is in flight there.
	lastSign, idleSince time.Time
	attempts            map[*Attempt]struct{}
	// ended is true once its end was reported, with the requests in flight.
	ended bool
}

// Attempt is a request that was sent to an upstream. It is safe for concurrent use.
type Attempt struct {
	detector    *CrashDetector
	incarnation Incarnation
	process     *upstreamProcess
	// request is guarded by the mutex of the process.
	request InFlightRequest
}

// Begin notes that a request is sent to an upstream now.
func (w *CrashDetector) Begin(s Incarnation, r InFlightRequest) *Attempt {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	r.Times = AnswerTimes{SentAt: now}
	a := &Attempt{detector: w, incarnation: s, process: w.processOf(s), request: r}
	a.process.mu.Lock()
	defer a.process.mu.Unlock()
	a.process.attempts[a] = struct{}{}
	if !w.sweeping {
		w.sweeping = true
		w.after(sweepInterval, w.sweep)
	}
	return a
}

// sweep opens a question about each process that has become silent under requests, and counts these. It goes on until there
// are no processes.
func (w *CrashDetector) sweep() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	for s, p := range w.processes {
		sentAt, silent := p.silentUnder(now)
		if !silent {
			continue
		}
		if q := w.questionAbout(s, sentAt); q != nil && !q.silent {
			q.silent = true
			w.watch(s, q)
		}
	}
	w.countSilent(now)
	w.forgetIdle(now)
	if w.sweeping = len(w.processes) > 0; w.sweeping {
		w.after(sweepInterval, w.sweep)
	}
}

// silentUnder returns when the first of the requests in flight was sent, and whether the process has been silent since, or under
// them, for some time.
func (p *upstreamProcess) silentUnder(now time.Time) (sentAt time.Time, silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a := range p.attempts {
		if at := a.request.Times.SentAt; sentAt.IsZero() || at.Before(sentAt) {
			sentAt = at
		}
	}
	return sentAt, !p.ended && len(p.attempts) > 0 && now.Sub(latest(p.lastSign, sentAt)) >= minSilence
}

// countSilent counts the silent processes at which each request is in flight, or was given up; the caller holds the lock.
func (w *CrashDetector) countSilent(now time.Time) {
	counts := map[Fingerprint]int{}
	for s, p := range w.processes {
		for f := range p.silentRequests(now, w.questions[s]) {
			counts[f]++
		}
	}
	w.silentRequests.Store(&counts)
}

// silentRequests returns the requests whose answers a process was beginning, or had not begun, when it fell silent, with those
// that were given up since. The question about it may be nil.
func (p *upstreamProcess) silentRequests(now time.Time, q *question) map[Fingerprint]struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended || now.Sub(p.lastSign) < minSilence {
		return nil
	}
	l := map[Fingerprint]struct{}{}
	end := endTime{from: p.lastSign, until: p.lastSign}
	for a := range p.attempts {
		if t := a.request.Times; now.Sub(t.SentAt) >= minSilence && t.progress(end) != Writing {
			l[a.request.Fingerprint] = struct{}{}
		}
	}
	if q != nil {
		for _, r := range q.givenUp {
			if !p.lastSign.After(r.at) && r.Times.progress(end) != Writing {
				l[r.Fingerprint] = struct{}{}
			}
		}
	}
	return l
}

// SilentUnder returns the number of upstream processes that are silent under a request at this gateway.
func (w *CrashDetector) SilentUnder(f Fingerprint) int {
	if l := w.silentRequests.Load(); l != nil {
		return (*l)[f]
	}
	return 0
}

// end notes that the end of the process is reported, and lists the requests in flight.
func (p *upstreamProcess) end() []InFlightRequest {
	p.mu.Lock()
	p.ended = true
	p.mu.Unlock()
	return p.inFlight()
}

// inFlight lists the requests in flight.
func (p *upstreamProcess) inFlight() (l []InFlightRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a := range p.attempts {
		l = append(l, a.request)
	}
	return l
}

// processOf returns a process; the caller holds the lock.
func (w *CrashDetector) processOf(s Incarnation) *upstreamProcess {
	p := w.processes[s]
	if p == nil {
		p = &upstreamProcess{attempts: map[*Attempt]struct{}{}}
		w.processes[s] = p
	}
	return p
}

// forgetIdle forgets processes that have had no requests for as long as a question about them may be open; the caller holds the
// lock.
func (w *CrashDetector) forgetIdle(now time.Time) {
	for s, p := range w.processes {
		p.mu.Lock()
		idle := len(p.attempts) == 0 && now.Sub(p.idleSince) >= questionTTL
		p.mu.Unlock()
		if idle && w.questions[s] == nil {
			delete(w.processes, s)
		}
	}
}

// Received notes that a part of the answer was received: its header, or data after it.
func (a *Attempt) Received(data bool) {
	now := a.detector.now()
	a.process.mu.Lock()
	defer a.process.mu.Unlock()
	a.process.lastSign = now
	t := &a.request.Times
	t.LastAt = now
	if t.HeadAt.IsZero() {
		t.HeadAt = now
	}
	if data && t.FirstDataAt.IsZero() {
		t.FirstDataAt = now
	}
}

// Request returns the request as it is in flight.
func (a *Attempt) Request() InFlightRequest {
	a.process.mu.Lock()
	defer a.process.mu.Unlock()
	return a.request
}

// End notes that the request is no longer in flight.
func (a *Attempt) End() {
	now := a.detector.now()
	a.process.mu.Lock()
	defer a.process.mu.Unlock()
	if delete(a.process.attempts, a); len(a.process.attempts) == 0 {
		a.process.idleSince = now
	}
}

// signOf returns when a process last sent anything to this gateway, zero if that is not known, and whether its end was reported.
// The caller holds the lock.
func (w *CrashDetector) signOf(s Incarnation) (lastSign time.Time, ended bool) {
	p := w.processes[s]
	if p == nil {
		return time.Time{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastSign, p.ended
}
