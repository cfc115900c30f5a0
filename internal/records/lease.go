package records

import (
	"sync"
	"time"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/rendezvous"
)

// leaseState is the state of this process's read lease for a topic.
type leaseState int

const (
	leaseNone leaseState = iota
	leaseRequested
	leaseHeld
)

const (
	// leaseRequestTimeout bounds the wait for answers to a lease request. A round trip takes 1 ms, and some tens with a
	// process that is short of processor time. A process that does not answer by then counts as agreeing, so that a
	// frozen one delays others no longer.
	leaseRequestTimeout = 150 * time.Millisecond
	// firstAnswerTimeout bounds the wait for the first answer instead, in a process without records: processes that start
	// together all ask the same few others, which then take longer to answer.
	firstAnswerTimeout = time.Second
	// requesterTTL is how long a lease request is named to other requesters. It is well beyond the 0.12 s of a snapshot
	// on an idle link.
	requesterTTL = 2 * time.Second
	// maxRequesters bounds the requesters that are kept. If more processes start at the same time, only the first ones
	// are named to other requesters, as one of the first reads the snapshot.
	maxRequesters = 16
	// maxReadStall is how long a snapshot may make no progress before others take it over. The store's answers can take
	// 0.3 s, and a link shared with weights may delay one by as much again.
	maxReadStall = 800 * time.Millisecond
)

// readLease is a process's state in the mutual exclusion of snapshot readers: one process of a failure domain reads a
// topic's snapshot at a time. All at once, they took 3 s over a link that carries one snapshot in 0.12 s.
//
// A process records its own request and then asks the others. Of two that request the lease at the same time at least
// one learns of the other, as each asks after it has recorded its request. The one whose last request to the store did
// not fail gets the lease, which guards against a store that refuses some processes; otherwise the first in the order
// of sources. It is safe for concurrent use.
type readLease struct {
	self string
	// precedes reports whether process a comes before process b in the order of sources.
	precedes func(a, b string) bool
	now      func() time.Time

	mu    sync.Mutex
	state leaseState
	// storeFailed is true if this process's last request to the store failed.
	storeFailed bool
	bytesRead   int64
	// lastProgressAt is when the last bytes arrived.
	lastProgressAt time.Time
	requesters     requesters
}

func newReadLease(self string, d id.Domain, now func() time.Time) *readLease {
	return &readLease{self: self, now: now, requesters: requesters{}, precedes: func(a, b string) bool {
		l := rendezvous.Order(sourceOrderKey+string(d), []id.VM{id.VM(a), id.VM(b)})
		return l[0] == id.VM(a)
	}}
}

// request starts a lease request, and returns the other recent requesters.
func (t *readLease) request(failed bool) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state, t.storeFailed = leaseRequested, failed
	return t.requesters.except(t.self, t.now())
}

// acquire turns a request that nobody has refused into a lease. It returns false if a request of higher precedence has
// arrived meanwhile.
func (t *readLease) acquire() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state != leaseRequested {
		return false
	}
	t.state, t.bytesRead, t.lastProgressAt = leaseHeld, 0, t.now()
	return true
}

// progress adds bytes that have been received.
func (t *readLease) progress(bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bytesRead += int64(bytes)
	if bytes > 0 {
		t.lastProgressAt = t.now()
	}
}

// release ends a lease or a lease request.
func (t *readLease) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state = leaseNone
}

// held reports whether this process holds the lease and reads the topic.
func (t *readLease) held() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state == leaseHeld
}

// status returns the progress of the snapshot being read, for followers; nil if none is.
func (t *readLease) status(firstRead bool) *pb.Reading {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state != leaseHeld {
		return nil
	}
	return &pb.Reading{Bytes: t.bytesRead, QuietMs: t.now().Sub(t.lastProgressAt).Milliseconds(), First: firstRead}
}

// answerRequest returns this process's answer to another one's lease request.
func (t *readLease) answerRequest(requester string, requesterFailed bool) *pb.ClaimAnswer {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	switch {
	case t.state == leaseHeld && now.Sub(t.lastProgressAt) < maxReadStall:
		return &pb.ClaimAnswer{Refused: true, Follow: t.self}
	case t.state == leaseRequested && t.outranks(requester, requesterFailed):
		return &pb.ClaimAnswer{Refused: true, Follow: t.self}
	}
	if t.state == leaseRequested {
		t.state = leaseNone
	}
	// If one of these holds the lease, it refuses the request itself.
	l := t.requesters.except(requester, now)
	t.requesters.add(requester, now)
	return &pb.ClaimAnswer{Rivals: l}
}

// outranks reports whether this process's request takes precedence over another one's. The caller holds the lock.
func (t *readLease) outranks(requester string, requesterFailed bool) bool {
	if t.storeFailed != requesterFailed {
		return requesterFailed
	}
	return t.precedes(t.self, requester)
}

// requesters maps processes that have requested a lease recently to when they expire.
type requesters map[string]time.Time

// add adds a requester, or extends its expiry.
func (r requesters) add(requester string, now time.Time) {
	if _, known := r[requester]; known || len(r) < maxRequesters {
		r[requester] = now.Add(requesterTTL)
	}
}

// except returns the requesters other than the excluded one, and deletes expired ones.
func (r requesters) except(excluded string, now time.Time) (l []string) {
	for a, until := range r {
		switch {
		case now.After(until):
			delete(r, a)
		case a != excluded:
			l = append(l, a)
		}
	}
	return l
}
