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
	// theStore is the store for all of its callers.
	theStore = "store"
	// theMachine is this machine: the soak itself stood still.
	theMachine = "machine"
)

// aroundBefore and aroundAfter are how much before and after a violation is printed with it: what causes it may lie before the
// time within which it should have been made good.
const aroundBefore, aroundAfter = 10 * time.Second, time.Second

// Event is something that was done or seen.
type Event struct {
	At   time.Time
	Text string
}

// Violation is a promise that was broken.
type Violation struct {
	Seed uint64 `json:"seed"`
	// AtMs is the time since the run's start.
	AtMs    int64  `json:"at_ms"`
	Check   string `json:"check"`
	Process string `json:"process"`
	Request string `json:"request,omitempty"`
	// Subject is what it is about beside the request: an upstream or a version.
	Subject string `json:"subject,omitempty"`
	Text    string `json:"text"`
	// Times is how often the same process broke the same promise towards the same subject.
	Times int `json:"times"`
	// Around is what happened before it.
	Around []string `json:"around"`
	at     time.Time
}

// span is the time of a fault; an open one has no end.
type span struct {
	what        string
	from, until time.Time
}

// stall is a time for which this process stood still, up to a moment.
type stall struct {
	until time.Time
	took  time.Duration
}

// departure is when the store had taken the word that an upstream leaves.
type departure struct {
	at  time.Time
	how string
}

// named is when the store had taken a version or a configuration.
type named struct {
	number int
	at     time.Time
}

// request is what is known of a caller's request.
type request struct {
	gateway *Process
	unsafe  bool
	// crashes is true of one under which upstreams end.
	crashes bool
	sent    time.Time
	closed  time.Time
	refused int
	// at lists the addresses of upstreams that it reached, runs how often it ran, and version what it ran on last; 0 is none.
	at      []string
	runs    int
	version int
}

// History is what was done and seen, and what of it breaks a promise. It is safe for concurrent use.
type History struct {
	seed  uint64
	start time.Time
	now   func() time.Time

	// end is the planned end of the run; zero before it has begun.
	end time.Time
	// ticked is when this process was last seen to run on; zero where nobody looks.
	ticked time.Time
	// stalls are the times for which this process stood still.
	stalls []stall

	mu       sync.Mutex
	events   []Event
	spans    map[string][]*span
	departed map[string]departure
	versions []named
	configs  []named
	requests map[string]*request
	crashes  map[string]*crashing
	limits   map[string]*limit
	// told is what upstreams have told gateways in their answers, by gateway and instance.
	told       map[string]*told
	violations []*Violation
	counts     map[string]int
}

// NewHistory makes an empty history.
func NewHistory(seed uint64, now func() time.Time) *History {
	return &History{
		seed: seed, start: now(), now: now, spans: map[string][]*span{}, departed: map[string]departure{},
		requests: map[string]*request{}, crashes: map[string]*crashing{}, limits: map[string]*limit{}, told: map[string]*told{}, counts: map[string]int{},
	}
}

// RecordEvent keeps an event.
func (b *History) RecordEvent(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.note(format, args...)
}

func (b *History) note(format string, args ...any) {
	b.events = append(b.events, Event{At: b.now(), Text: fmt.Sprintf(format, args...)})
}

// Count counts something that shows what a run has tried.
func (b *History) Count(what string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts[what]++
}

// Counts returns what was counted.
func (b *History) Counts() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.counts)
}

// BeginFault opens the time of a fault and returns what closes it.
func (b *History) BeginFault(target, what string) func() {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := &span{what: what, from: b.now()}
	b.spans[target] = append(b.spans[target], s)
	b.counts["fault "+what]++
	b.note("%s: %s", target, what)
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		s.until = b.now()
		b.note("%s: %s no longer", target, what)
	}
}

// clean says whether none of the targets had a fault between two times; the caller holds the lock.
func (b *History) clean(from, to time.Time, targets ...string) bool {
	for _, t := range targets {
		for _, s := range b.spans[t] {
			if !s.from.After(to) && (s.until.IsZero() || s.until.After(from)) {
				return false
			}
		}
	}
	return true
}

// RecordViolation keeps a violation.
func (b *History) RecordViolation(check, process, request, format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.violate(check, process, request, "", format, args...)
}

// violate keeps a violation, once for each check, process and subject; the caller holds the lock.
func (b *History) violate(check, process, request, subject, format string, args ...any) {
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
	b.note("VIOLATION %s: %s %s: %s", check, process, request, v.Text)
}

// Violations returns the violations, each with the events around it.
func (b *History) Violations() []*Violation {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, v := range b.violations {
		v.Around = nil
		for _, e := range b.events {
			if d := e.At.Sub(v.at); d > -aroundBefore && d < aroundAfter {
				v.Around = append(v.Around, fmt.Sprintf("%8.3f %s", e.At.Sub(b.start).Seconds(), e.Text))
			}
		}
	}
	return slices.Clone(b.violations)
}
