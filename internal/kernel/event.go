package kernel

import (
	"sync"

	"github.com/springrail/springrail/internal/id"
)

// EventKind is the type of an event. Operators see its value.
type EventKind string

// The event kinds of processes, changes, rollouts and requests.
const (
	EventProcessStarted    EventKind = "process-started"
	EventProcessLeaving    EventKind = "process-leaving"
	EventChangeRequested   EventKind = "change-asked"
	EventChangeApplied     EventKind = "change-folded"
	EventRolloutAdded      EventKind = "rollout-learnt"
	EventRolloutDropped    EventKind = "rollout-dropped"
	EventManifestVerified  EventKind = "manifest-verified"
	EventOriginFetched     EventKind = "origin-drawn"
	EventChunkRejected     EventKind = "chunk-rejected"
	EventVersionComplete   EventKind = "version-complete"
	EventSwapPermitGranted EventKind = "turn-given"
	EventLoadOrdered       EventKind = "load-ordered"
	EventLoadRefused       EventKind = "load-refused"
	EventVersionLive       EventKind = "version-live"
	EventVersionLost       EventKind = "version-lost"
	EventDomainOpened      EventKind = "domain-opened"
	EventRequestReceived   EventKind = "request-received"
	EventRequestStarted    EventKind = "request-run"
	EventRequestRefused    EventKind = "request-refused"
	EventRequestAnswered   EventKind = "request-answered"
	EventRequestUnknown    EventKind = "request-unknown"
	EventSnapshotWritten   EventKind = "snapshot-written"
	EventConfigUnavailable EventKind = "config-unavailable"
)

// Event is an entry of a process's event history.
type Event struct {
	At           Time
	Sequence     uint64
	Kind         EventKind
	Organisation id.Organisation
	Rollout      id.Rollout
	Request      id.Request
	Detail       string
}

// EventRing is a ring buffer of the process's newest events: a new event overwrites the oldest one.
type EventRing struct {
	clock *Clock
	mu    sync.Mutex
	ring  []Event
	count uint64
}

// NewEventRing returns a ring buffer that holds size events and stamps them with the time of c.
func NewEventRing(c *Clock, size int) *EventRing {
	return &EventRing{clock: c, ring: make([]Event, size)}
}

// Add stores an event with the current time and the next sequence number.
func (r *EventRing) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.At = r.clock.Now()
	r.count++
	e.Sequence = r.count
	r.ring[(r.count-1)%uint64(len(r.ring))] = e
}

// List returns the stored events for which keep returns true, oldest first.
func (r *EventRing) List(keep func(Event) bool) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := uint64(0)
	if size := uint64(len(r.ring)); r.count > size {
		first = r.count - size
	}
	var l []Event
	for i := first; i < r.count; i++ {
		if e := r.ring[i%uint64(len(r.ring))]; keep(e) {
			l = append(l, e)
		}
	}
	return l
}
