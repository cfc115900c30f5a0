package gateway

import (
	"sync"

	"github.com/springrail/springrail/internal/quarantine"
)

// requestRegistry holds the requests in flight by organisation's use.
type requestRegistry struct {
	mu    sync.Mutex
	byUse map[quarantine.Fingerprint]map[*callerRequest]struct{}
	// tried are what is held for others and is in a request in flight.
	tried map[quarantine.Fingerprint]*callerRequest
}

func newRequestRegistry() *requestRegistry {
	return &requestRegistry{byUse: map[quarantine.Fingerprint]map[*callerRequest]struct{}{}, tried: map[quarantine.Fingerprint]*callerRequest{}}
}

// add registers a request. It returns false if the request must run alone and another one like it is in flight: a retry of its
// organisation, or one with the same that is held for others.
func (l *requestRegistry) add(f *callerRequest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	same := l.byUse[f.identity.Use]
	if f.exclusive && len(same) > 0 {
		return false
	}
	if h := f.heldForOthers; h != (quarantine.Fingerprint{}) {
		if l.tried[h] != nil {
			return false
		}
		l.tried[h] = f
	}
	if same == nil {
		same = map[*callerRequest]struct{}{}
		l.byUse[f.identity.Use] = same
	}
	same[f] = struct{}{}
	return true
}

// remove removes a request that has ended.
func (l *requestRegistry) remove(f *callerRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f.resumeTimer != nil {
		f.resumeTimer.Stop()
	}
	if l.tried[f.heldForOthers] == f {
		delete(l.tried, f.heldForOthers)
	}
	same := l.byUse[f.identity.Use]
	delete(same, f)
	if len(same) == 0 {
		delete(l.byUse, f.identity.Use)
	}
}

// cancelUnbegun cancels the held requests that no upstream has started to answer: an upstream drops a queued request when
// its caller disconnects.
func (l *requestRegistry) cancelUnbegun(h quarantine.HeldRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, same := range l.byUse {
		for f := range same {
			if h.Binds(f.identity) {
				f.cancelUnbegun()
			}
		}
	}
}

func (f *callerRequest) cancelUnbegun() {
	if !f.answerBegun.Load() {
		f.cancel(errQuarantined)
	}
}
