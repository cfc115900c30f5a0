package quarantine

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// gatherFor is how long after the first broken answer of a start others are gathered: those of a process that ends
	// break within a few ms.
	gatherFor = 20 * time.Millisecond
	// probeMost bounds the question whether a process has ended, and probeAgain is when it is asked again where no
	// answer came: on a link with a queue of 1 s, the longest that does not count as slowed twice over (the users'
	// rules), the third question has its answer 1 s after the end.
	probeMost  = 500 * time.Millisecond
	probeAgain = 400 * time.Millisecond
	probes     = 3
	// leftLife is how long a request that was given up at an upstream counts as being there: an upstream may begin it before it sees
	// that its caller has gone, and half a second later it should have (the users' rules).
	leftLife = time.Second
	// mostLeft bounds the requests that are remembered as given up.
	mostLeft = 256
)

// CrashDetector gathers the requests that break off together at an upstream, and finds out whether its process has ended: a
// connection may also be reset while the upstream lives, and then nothing speaks against its requests.
type CrashDetector struct {
	// ended says whether a start's process has ended, if that is known.
	ended func(ctx context.Context, s Incarnation) (ended, known bool)
	// tell is told of each end.
	tell  func(e Crash)
	now   func() time.Time
	after func(d time.Duration, f func())

	mu     sync.Mutex
	broken map[Incarnation][]InFlightRequest
	left   []leaving
}

// leaving is a request that was given up at an upstream.
type leaving struct {
	start Incarnation
	of    InFlightRequest
	until time.Time
}

// NewCrashDetector makes a Witness that tells of ends.
func NewCrashDetector(ended func(ctx context.Context, s Incarnation) (ended, known bool), tell func(e Crash), now func() time.Time) *CrashDetector {
	return &CrashDetector{
		ended: ended, tell: tell, now: now, broken: map[Incarnation][]InFlightRequest{},
		after: func(d time.Duration, f func()) { time.AfterFunc(d, f) },
	}
}

// RequestBroken notes that an upstream broke a request off.
func (w *CrashDetector) RequestBroken(s Incarnation, p InFlightRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.broken[s] == nil {
		w.after(gatherFor, func() { w.conclude(s) })
	}
	w.broken[s] = append(w.broken[s], p)
}

// RequestAbandoned notes that a request was given up at an upstream.
func (w *CrashDetector) RequestAbandoned(s Incarnation, p InFlightRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.left) >= mostLeft {
		w.left = w.left[1:]
	}
	w.left = append(w.left, leaving{start: s, of: p, until: w.now().Add(leftLife)})
}

// conclude tells of the end of a start, if its process has ended.
func (w *CrashDetector) conclude(s Incarnation) {
	w.mu.Lock()
	e := Crash{Incarnation: s, Requests: w.broken[s]}
	delete(w.broken, s)
	now := w.now()
	w.left = slices.DeleteFunc(w.left, func(l leaving) bool { return !now.Before(l.until) })
	for _, l := range w.left {
		if l.start == s {
			e.Requests = append(e.Requests, l.of)
		}
	}
	w.mu.Unlock()
	w.probe(e, probes)
}

// probe tells of an end if the process has ended; where that is not known it asks again a few times.
func (w *CrashDetector) probe(e Crash, left int) {
	ctx, stop := context.WithTimeout(context.Background(), probeMost)
	defer stop()
	ended, known := w.ended(ctx, e.Incarnation)
	switch {
	case ended:
		w.tell(e)
	case !known && left > 1:
		w.after(probeAgain, func() { w.probe(e, left-1) })
	}
}
