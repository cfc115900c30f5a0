package quarantine

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// gatherTime is how long the detector collects further broken requests after the first one at an incarnation; those
	// of a process that ends break within a few ms.
	gatherTime = 20 * time.Millisecond
	// probeTimeout limits one check whether a process has ended, and probeRetryDelay is the delay before the next check
	// if no answer came. On a link with a queueing delay of 1 s, the longest unless two faults slow the link at
	// once, the third check receives its answer 1 s after the process has ended.
	probeTimeout    = 500 * time.Millisecond
	probeRetryDelay = 400 * time.Millisecond
	maxProbes       = 3
	// abandonedTTL is how long a request that was abandoned at an upstream counts as in flight there: the upstream may
	// start it before it sees that its caller has gone, which it should see within half a second.
	abandonedTTL = time.Second
	// maxAbandoned limits the abandoned requests that are remembered.
	maxAbandoned = 256
)

// CrashDetector collects the requests that break off together at an upstream, and checks whether its process has ended.
// A connection may also be reset while the upstream lives, which is no evidence against its requests.
type CrashDetector struct {
	// hasEnded reports whether the process of an incarnation has ended, and whether that is known.
	hasEnded func(ctx context.Context, s Incarnation) (ended, known bool)
	// report is called for each crash.
	report func(e Crash)
	now    func() time.Time
	after  func(d time.Duration, f func())

	mu        sync.Mutex
	broken    map[Incarnation][]InFlightRequest
	abandoned []abandonedRequest
}

// abandonedRequest is a request that was abandoned at an upstream.
type abandonedRequest struct {
	incarnation Incarnation
	request     InFlightRequest
	expiresAt   time.Time
}

// NewCrashDetector creates a detector that calls report for each crash.
func NewCrashDetector(hasEnded func(ctx context.Context, s Incarnation) (ended, known bool), report func(e Crash), now func() time.Time) *CrashDetector {
	return &CrashDetector{
		hasEnded: hasEnded, report: report, now: now, broken: map[Incarnation][]InFlightRequest{},
		after: func(d time.Duration, f func()) { time.AfterFunc(d, f) },
	}
}

// RequestBroken notes that an upstream broke a request off.
func (w *CrashDetector) RequestBroken(s Incarnation, p InFlightRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.broken[s] == nil {
		w.after(gatherTime, func() { w.startProbing(s) })
	}
	w.broken[s] = append(w.broken[s], p)
}

// RequestAbandoned notes that a request was abandoned at an upstream.
func (w *CrashDetector) RequestAbandoned(s Incarnation, p InFlightRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.abandoned) >= maxAbandoned {
		w.abandoned = w.abandoned[1:]
	}
	w.abandoned = append(w.abandoned, abandonedRequest{incarnation: s, request: p, expiresAt: w.now().Add(abandonedTTL)})
}

// logCrash logs how far the answers to this gateway's requests had come, which tells the requests that the upstream was about
// to answer from those that waited or had been answered for some time.
func (l *SuspectTracker) logCrash(e Crash) {
	counts := map[Progress]int{}
	var beginning []string
	for _, r := range e.Requests {
		counts[r.Progress]++
		if r.Progress == Beginning {
			beginning = append(beginning, r.Fingerprint.String())
		}
	}
	l.log.Info().Str("instance", string(e.Incarnation.Instance)).Int("waiting", counts[Waiting]).Int("beginning", counts[Beginning]).
		Int("writing", counts[Writing]).Strs("beginning_fingerprints", beginning).Msg("requests of this gateway ended with an upstream process")
}

// startProbing collects the requests of an incarnation and starts to check whether its process has ended.
func (w *CrashDetector) startProbing(s Incarnation) {
	w.mu.Lock()
	e := Crash{Incarnation: s, Requests: w.broken[s]}
	delete(w.broken, s)
	now := w.now()
	w.abandoned = slices.DeleteFunc(w.abandoned, func(l abandonedRequest) bool { return !now.Before(l.expiresAt) })
	for _, l := range w.abandoned {
		if l.incarnation == s {
			e.Requests = append(e.Requests, l.request)
		}
	}
	w.mu.Unlock()
	w.probe(e, maxProbes)
}

// probe reports a crash if the process has ended. If that is not known, it checks again a few times.
func (w *CrashDetector) probe(e Crash, attempts int) {
	ctx, stop := context.WithTimeout(context.Background(), probeTimeout)
	defer stop()
	ended, known := w.hasEnded(ctx, e.Incarnation)
	switch {
	case ended:
		w.report(e)
	case !known && attempts > 1:
		w.after(probeRetryDelay, func() { w.probe(e, attempts-1) })
	}
}
