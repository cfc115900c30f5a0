package soak

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// The things beside processes and addresses that a fault may be of.
const (
	// storeTarget is the store as seen by all of its callers.
	storeTarget = "store"
	// machineTarget is this machine: the soak process itself was stalled.
	machineTarget = "machine"
)

// contextBefore and contextAfter bound the events that are printed with a violation: its cause may precede the time
// within which the system should have recovered.
const contextBefore, contextAfter = 10 * time.Second, time.Second

// Event is an injected fault or an observation.
type Event struct {
	At   time.Time
	Text string
}

// Violation is a guarantee that the system has broken.
type Violation struct {
	Seed uint64 `json:"seed"`
	// AtMs is the time since the run's start in milliseconds.
	AtMs    int64  `json:"at_ms"`
	Check   string `json:"check"`
	Process string `json:"process"`
	Request string `json:"request,omitempty"`
	// Subject is what the violation concerns besides the request, such as an upstream or a version.
	Subject string `json:"subject,omitempty"`
	Text    string `json:"text"`
	// Times is how often the same process broke the same guarantee for the same subject.
	Times int `json:"times"`
	// Around lists the events before and shortly after it.
	Around []string `json:"around"`
	at     time.Time
}

// faultSpan is the period of a fault; until is zero while the fault lasts.
type faultSpan struct {
	what        string
	from, until time.Time
}

// stall is a period in which the soak process was not scheduled; it ends at until.
type stall struct {
	until    time.Time
	duration time.Duration
}

// departure is when and how the store accepted that an upstream leaves.
type departure struct {
	at     time.Time
	reason string
}

// publication is when the store accepted a version or a configuration.
type publication struct {
	number int
	at     time.Time
}

// request is the recorded state of a caller's request.
type request struct {
	gateway *Process
	// path is empty for a request whose retries, attempts and deadlines are not checked.
	path   string
	unsafe bool
	// crashesUpstreams marks a request that crashes the upstreams which run it.
	crashesUpstreams bool
	// long marks a request with a long deadline, which is not compared by rank.
	long bool
	// sent is when its header was sent, whole when its last byte was, zero before, and deadline when its caller's and its
	// route's time ends. A request arrives slowly if its body is sent some time after its header.
	sent, whole, deadline time.Time
	arrivesSlowly         bool
	closed                time.Time
	// answerTime is how long an upstream takes for its answer; 0 selects the upstream's default.
	answerTime time.Duration
	refused    int
	// reached lists the addresses of the upstreams that the request reached, runs counts its executions, and version is
	// that of the last one; 0 means none.
	reached []string
	runs    int
	version int
	// ranAt is when the request last began at each upstream, and firstArrival when it first reached one.
	ranAt        map[string]time.Time
	firstArrival time.Time
	// overAttempts is true once the request has run on more upstreams than its route's attempts.
	overAttempts bool
	// atUpstreams counts the upstreams that are at work on it, and workedUntil is when the last one stopped.
	atUpstreams int
	workedUntil time.Time
	// priority is the Priority header that the request must have at upstreams, and ownPriority the one of its caller.
	priority, ownPriority string
	// offered is true once a faulty link to an upstream has received it, and countsInRank if it is sent to a healthy fleet.
	offered, countsInRank bool
}

// History records injected faults and observations, and detects broken guarantees. It is safe for concurrent use.
type History struct {
	seed  uint64
	start time.Time
	now   func() time.Time

	// end is the planned end of the run; zero before the run has begun.
	end time.Time
	// ticked is when the soak process was last seen running; zero if nothing watches it.
	ticked time.Time
	// stalls are the periods in which the soak process was not scheduled.
	stalls []stall

	mu       sync.Mutex
	events   []Event
	spans    map[string][]*faultSpan
	departed map[string]departure
	versions []publication
	configs  []publication
	requests map[string]*request
	crashes  map[string]*crashRecord
	// silences are how upstreams crash that keep their connections open, by the kind of requests.
	silences map[string]silence
	limits   map[string]*limit
	// loads are the requests and retries of each pool.
	loads map[string]*poolLoad
	// streamTargets are what answers to streams depend on.
	streamTargets []string
	// announced holds what upstreams have announced to gateways in their answers, by gateway and instance.
	announced  map[string]*announcements
	violations []*Violation
	counts     map[string]int
	// lostShare is the share of answers that plain upstreams lose, and lostSum its sum over the requests since the last one.
	lostShare, lostSum float64
}

// NewHistory returns an empty history.
func NewHistory(seed uint64, now func() time.Time) *History {
	return &History{
		seed: seed, start: now(), now: now, spans: map[string][]*faultSpan{}, departed: map[string]departure{},
		requests: map[string]*request{}, crashes: map[string]*crashRecord{}, silences: map[string]silence{}, limits: map[string]*limit{}, announced: map[string]*announcements{}, loads: map[string]*poolLoad{}, counts: map[string]int{},
		streamTargets: []string{storeTarget, machineTarget, datagramTarget},
	}
}

// RecordEvent records an event.
func (b *History) RecordEvent(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recordEvent(format, args...)
}

func (b *History) recordEvent(format string, args ...any) {
	b.events = append(b.events, Event{At: b.now(), Text: fmt.Sprintf(format, args...)})
}

// Count increments a counter that shows what a run has exercised.
func (b *History) Count(what string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts[what]++
}

// Counts returns a copy of the counters.
func (b *History) Counts() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.counts)
}

// BeginFault records the start of a fault and returns a function that records its end.
func (b *History) BeginFault(target, what string) func() {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := &faultSpan{what: what, from: b.now()}
	b.spans[target] = append(b.spans[target], s)
	b.counts["fault "+what]++
	b.recordEvent("%s: %s", target, what)
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		s.until = b.now()
		b.recordEvent("%s: %s has ended", target, what)
	}
}

// noFault reports whether none of the targets had a fault between two times. The caller holds the lock.
func (b *History) noFault(from, to time.Time, targets ...string) bool {
	for _, t := range targets {
		for _, s := range b.spans[t] {
			if !s.from.After(to) && (s.until.IsZero() || s.until.After(from)) {
				return false
			}
		}
	}
	return true
}

// RecordViolation records a violation without a subject.
func (b *History) RecordViolation(check, process, request, format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recordViolation(check, process, request, "", format, args...)
}

// recordViolation records a violation, once for each check, process and subject. The caller holds the lock.
func (b *History) recordViolation(check, process, request, subject, format string, args ...any) {
	for _, v := range b.violations {
		if subject != "" && v.Check == check && v.Process == process && v.Subject == subject {
			v.Times++
			return
		}
	}
	now := b.now()
	v := &Violation{
		Seed: b.seed, AtMs: now.Sub(b.start).Milliseconds(), Check: check, Process: process, Request: request,
		Subject: subject, Text: fmt.Sprintf(format, args...), Times: 1, at: now,
	}
	b.violations = append(b.violations, v)
	b.recordEvent("VIOLATION %s: %s %s: %s", check, process, request, v.Text)
}

// Violations returns the violations, each with the events around it.
func (b *History) Violations() []*Violation {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, v := range b.violations {
		v.Around = nil
		for _, e := range b.events {
			if d := e.At.Sub(v.at); d > -contextBefore && d < contextAfter {
				v.Around = append(v.Around, fmt.Sprintf("%8.3f %s", e.At.Sub(b.start).Seconds(), e.Text))
			}
		}
	}
	return slices.Clone(b.violations)
}
