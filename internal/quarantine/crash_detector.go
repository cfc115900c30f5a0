package quarantine

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// gatherTime is how long the detector collects further broken requests after the first one at an incarnation; those
	// of a process that ends break within a few ms.
	gatherTime = 20 * time.Millisecond
	// lookTimeout limits one look at an upstream.
	lookTimeout = 500 * time.Millisecond
	// lateLookInterval is the time between two looks after the first ones, and questionTTL is when the last one is due: by then
	// an upstream that has crashed is back, and the list of upstreams shows that.
	lateLookInterval = 500 * time.Millisecond
	questionTTL      = 15 * time.Second
	// maxQuestions limits the incarnations that are looked at.
	maxQuestions = 1024
	// minTurnedAway is how often in succession new connections must be closed by the peer, over minTurnedAwayTime at least, to
	// prove that nobody serves at the address although it accepts connections.
	minTurnedAway     = 3
	minTurnedAwayTime = 400 * time.Millisecond
	// establishedAfter is how long after a request was sent its connection counts as one that the upstream had accepted: an
	// upstream that is at its limit closes new connections at once.
	establishedAfter = 30 * time.Millisecond
	// unprovenTTL is how long after an answer the end of its upstream's process still counts as a crash in that answer.
	unprovenTTL = 1500 * time.Millisecond
	// abandonedTTL is how long a request that was abandoned at an upstream counts as in flight there: the upstream may
	// start it before it sees that its caller has gone, which it should see within half a second.
	abandonedTTL = time.Second
	// maxAbandoned limits the abandoned requests that are remembered.
	maxAbandoned = 256
)

// lookTimes are the times after a request has broken off at which its upstream is looked at by a connection.
var lookTimes = [...]time.Duration{
	gatherTime, 60 * time.Millisecond, 120 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, 900 * time.Millisecond, 1500 * time.Millisecond,
}

// Sign is what one look at an upstream process shows.
type Sign int

const (
	// NoSign means that the look shows neither that the process runs nor that it has ended.
	NoSign Sign = iota
	// Runs means that the process still ran after the moment in question.
	Runs
	// Ended means that it has ended.
	Ended
	// TurnedAway means that the address accepted a connection and closed it without an answer.
	TurnedAway
	// Lapsed means that the look shows only that the upstream's entry in the list has gone without a word. An upstream that is lost
	// for good has no successor that would prove its end.
	Lapsed
)

// Means limits what a look may take for proof of an end, and how it looks.
type Means int

const (
	// ByRestart takes only another process at the address for proof: what was given up in silence may be at an upstream that
	// stands still.
	ByRestart Means = iota
	// ByReport also takes a process for ended that does not answer its stager.
	ByReport
	// ByConnection also opens a connection.
	ByConnection
)

// Observer looks at one upstream process.
type Observer struct {
	// Look returns what the process shows now, of which it is not known whether it has run since a moment.
	Look func(ctx context.Context, since time.Time, by Means) Sign
	// LastRan returns when the process is last known to have run, otherwise than by its answers; zero if it isn't.
	LastRan func() time.Time
	Close   func()
}

// CrashDetector collects the requests that break off together at an upstream, and finds out whether its process has ended.
// A connection may also be reset while the upstream lives, which is no evidence against its requests. A connection that is
// accepted proves neither, so the detector goes on looking until there is proof.
type CrashDetector struct {
	// observe returns an observer of an incarnation that was sent a request at a given time.
	observe func(s Incarnation, sentAt time.Time) Observer
	// report is called for each crash.
	report func(e Crash)
	now    func() time.Time
	after  func(d time.Duration, f func())

	mu        sync.Mutex
	questions map[Incarnation]*question
	processes map[Incarnation]*upstreamProcess
	// sweeping is true while a sweep is scheduled. silentRequests is what the last one counted.
	sweeping       bool
	silentRequests atomic.Pointer[map[Fingerprint]int]
	// open is the number of questions. unresolved is how many were given up after a request broke off, and silent after requests
	// were given up in silence.
	open               atomic.Int32
	unresolved, silent atomic.Int64
	abandoned          []abandonedRequest
}

// abandonedRequest is a request that was abandoned at an upstream.
type abandonedRequest struct {
	incarnation Incarnation
	request     noticedRequest
	expiresAt   time.Time
}

// NewCrashDetector creates a detector that calls report for each crash.
func NewCrashDetector(observe func(s Incarnation, sentAt time.Time) Observer, report func(e Crash), now func() time.Time) *CrashDetector {
	return &CrashDetector{
		observe: observe, report: report, now: now, questions: map[Incarnation]*question{}, processes: map[Incarnation]*upstreamProcess{},
		after: func(d time.Duration, f func()) { time.AfterFunc(d, f) },
	}
}

// RequestBroken notes that an upstream broke off a request that was sent to it at a given time.
func (w *CrashDetector) RequestBroken(s Incarnation, p InFlightRequest, sentAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	q := w.questionAbout(s, sentAt)
	if q == nil {
		return
	}
	now := w.now()
	if !q.broken {
		// The looks at an answer whose end proves nothing are few and without connections.
		if now.Sub(q.since) > unprovenTTL {
			q.requests = nil
		}
		q.broken, q.openedAt, q.looks, q.watched = true, now, 0, true
		w.after(gatherTime, func() { w.look(s, q, 0) })
	}
	q.since = now
	q.add(noticedRequest{p, now})
	q.established = q.established || now.Sub(sentAt) >= establishedAfter
}

// EndUnproven notes that an answer ended in a way that its upstream's crash would not differ from. Served is called if the
// process proves to have run on.
func (w *CrashDetector) EndUnproven(s Incarnation, p InFlightRequest, served func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	q := w.questionAbout(s, p.Times.SentAt)
	if q == nil {
		return
	}
	w.watch(s, q)
	q.since = w.now()
	if !q.broken {
		q.openedAt = q.since
	}
	if len(q.served) < maxPresent {
		q.served = append(q.served, served)
	}
	q.add(noticedRequest{p, q.since})
}

// watch schedules the first look about a question that none broke off for, unless it is scheduled; the caller holds the lock.
func (w *CrashDetector) watch(s Incarnation, q *question) {
	if !q.watched {
		q.watched = true
		w.after(lateLookInterval, func() { w.look(s, q, 0) })
	}
}

// questionAbout returns the question about an incarnation, or nil if there are too many; the caller holds the lock.
func (w *CrashDetector) questionAbout(s Incarnation, sentAt time.Time) *question {
	q := w.questions[s]
	if q == nil && len(w.questions) < maxQuestions {
		now := w.now()
		q = &question{observer: w.observe(s, sentAt), openedAt: now, since: now}
		q.ranAt = q.observer.LastRan()
		w.questions[s] = q
		w.open.Add(1)
	}
	return q
}

// Answered notes that an incarnation has begun to answer a request that was sent to it at a given time.
func (w *CrashDetector) Answered(s Incarnation, sentAt time.Time) {
	if w.open.Load() == 0 {
		return
	}
	w.mu.Lock()
	q := w.questions[s]
	if q == nil || !sentAt.After(q.since) {
		w.mu.Unlock()
		return
	}
	w.closeQuestion(s, q)
	w.mu.Unlock()
	q.callServed()
}

// closeQuestion removes a question that is answered; the caller holds the lock.
func (w *CrashDetector) closeQuestion(s Incarnation, q *question) {
	delete(w.questions, s)
	w.open.Add(-1)
	if !q.looking {
		q.observer.Close()
	}
}

// Questions returns the number of upstream processes of which it is not known whether they have ended, and how often that was
// never found out: after requests broke off, and after they were given up in silence.
func (w *CrashDetector) Questions() (open, unresolved, silent int64) {
	return int64(w.open.Load()), w.unresolved.Load(), w.silent.Load()
}

// RequestAbandoned notes that a request was abandoned at an upstream. If that was silent, its process may have ended,
// and the result is true.
func (w *CrashDetector) RequestAbandoned(s Incarnation, p InFlightRequest) (silent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.abandoned) >= maxAbandoned {
		w.abandoned = w.abandoned[1:]
	}
	now := w.now()
	w.abandoned = append(w.abandoned, abandonedRequest{incarnation: s, request: noticedRequest{p, now}, expiresAt: now.Add(abandonedTTL)})
	sign, ended := w.signOf(s)
	if ended || p.Times.SentAt.IsZero() || now.Sub(latest(sign, p.Times.SentAt)) < minSilence {
		return false
	}
	if q := w.questionAbout(s, p.Times.SentAt); q != nil {
		q.silent = true
		if len(q.givenUp) < maxPresent {
			q.givenUp = append(q.givenUp, noticedRequest{p, now})
		}
		q.since = now
		w.watch(s, q)
	}
	return true
}

// addAbandoned adds the requests that were abandoned shortly before to a question; the caller holds the lock.
func (w *CrashDetector) addAbandoned(s Incarnation, q *question) {
	now := w.now()
	w.abandoned = slices.DeleteFunc(w.abandoned, func(l abandonedRequest) bool { return !now.Before(l.expiresAt) })
	for _, l := range w.abandoned {
		if l.incarnation == s {
			q.add(l.request)
		}
	}
}

// look looks at the upstream once, and schedules the next look unless the question is answered. The number of the look is
// compared, as the looks begin anew when a request breaks off.
func (w *CrashDetector) look(s Incarnation, q *question, number int) {
	since, by, ok := w.beginLook(s, q, number)
	if !ok {
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), lookTimeout)
	defer stop()
	w.endLook(s, q, number, since, q.observer.Look(ctx, since, by))
}

// beginLook returns since when the process is not known to run, and how to look; false if there is nothing to look for now.
func (w *CrashDetector) beginLook(s Incarnation, q *question, number int) (since time.Time, by Means, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.questions[s] != q || q.looks != number {
		return since, by, false
	}
	if q.looking {
		w.after(gatherTime, func() { w.look(s, q, number) })
		return since, by, false
	}
	if lastSign, _ := w.signOf(s); q.means() == ByRestart && lastSign.After(q.since) {
		w.closeQuestion(s, q)
		return since, by, false
	}
	if q.broken && number == 0 {
		w.addAbandoned(s, q)
	}
	since, by = q.since, q.means()
	q.looks++
	q.looking = true
	return since, by, true
}

// endLook notes what a look has shown.
func (w *CrashDetector) endLook(s Incarnation, q *question, number int, since time.Time, sign Sign) {
	w.mu.Lock()
	q.looking = false
	if w.questions[s] != q {
		q.observer.Close()
	}
	if w.questions[s] != q || q.looks != number+1 {
		w.mu.Unlock()
		return
	}
	now := w.now()
	if q.weigh(sign, now) {
		sign = Ended
	}
	if sign == Runs && q.since.After(since) {
		sign = NoSign
	}
	age := now.Sub(q.openedAt)
	if sign != Ended && sign != Runs && age < questionTTL {
		w.after(q.nextLook(age), func() { w.look(s, q, number+1) })
		presumed, ok := w.presume(s, q, sign)
		w.mu.Unlock()
		if ok {
			w.report(presumed)
		}
		return
	}
	w.closeQuestion(s, q)
	if sign == Ended {
		w.collect(s, q, age)
	}
	w.mu.Unlock()
	w.answer(s, q, sign, age)
}

// collect completes the requests that were at a process which has ended; the caller holds the lock.
func (w *CrashDetector) collect(s Incarnation, q *question, age time.Duration) {
	if !q.broken && age >= unprovenTTL {
		// The answers whose end proves nothing were complete.
		q.requests = nil
	}
	q.sign, _ = w.signOf(s)
	if p := w.processes[s]; p != nil {
		q.collect(p.end())
	}
}

// ListChanged looks at once where only the list of upstreams, or a report, may still show that a process has ended: its successor
// is sent requests as soon as it is listed.
func (w *CrashDetector) ListChanged() {
	w.mu.Lock()
	type due struct {
		s Incarnation
		q *question
		n int
	}
	var l []due
	for s, q := range w.questions {
		if q.means() != ByConnection {
			l = append(l, due{s, q, q.looks})
		}
	}
	w.mu.Unlock()
	for _, d := range l {
		w.look(d.s, d.q, d.n)
	}
}

// answer reports a crash, or clears the requests that were served, once a question is closed.
func (w *CrashDetector) answer(s Incarnation, q *question, sign Sign, age time.Duration) {
	switch {
	case sign == Runs:
		q.callServed()
	case sign != Ended && q.broken:
		w.unresolved.Add(1)
	case sign != Ended && q.silent:
		w.silent.Add(1)
	case sign == Ended && (q.broken || q.silent || age < unprovenTTL):
		w.report(q.crash(s, w.now()))
	}
}

// logCrash logs how far the answers to this gateway's requests had come, which tells the requests that the upstream was about
// to answer from those that waited or had been answered for some time.
func (l *SuspectTracker) logCrash(e Crash) {
	counts := map[Progress]int{}
	var beginning, organisations []string
	var silence time.Duration
	for n, r := range e.Requests {
		counts[r.Progress]++
		if d := r.Times.silence(l.now()); n == 0 || d < silence {
			silence = d
		}
		if r.Progress == Beginning {
			beginning = append(beginning, r.Fingerprint.String())
			organisations = append(organisations, string(r.Organisation))
		}
	}
	l.log.Info().Str("instance", string(e.Incarnation.Instance)).Int("waiting", counts[Waiting]).Int("beginning", counts[Beginning]).
		Int("writing", counts[Writing]).Strs("beginning_fingerprints", beginning).Strs("beginning_organisations", organisations).
		Int64("silent_ms", silence.Milliseconds()).Msg("requests of this gateway ended with an upstream process")
}
