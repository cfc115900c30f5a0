package quarantine

import "time"

const (
	// minCrashes is the number of upstream processes that must have crashed under a request before it is held: a single
	// crash is usually not caused by the request, and losing three upstreams to one request is acceptable.
	minCrashes = 3
	// settleDelay is how long a request with enough crashes waits until the other gateways' reports of these crashes
	// have arrived. A message takes two hops of 3 ms; one that is resent, or from a VM short of CPU time, is still in
	// time, and the limit for all gateways is 3 s.
	settleDelay = 250 * time.Millisecond
)

// suspect is a request, or a part of prompts, with the unexplained crashes at which it was present.
type suspect struct {
	part    bool
	crashes map[*recordedCrash]struct{}
	// sharedUnlikely are the uses of a part of which all gateways know, from this one or another, that they are unlikely to be the
	// cause, and sharedWritten those of which stagers know that an answer was written after a crash.
	sharedUnlikely, sharedWritten map[Fingerprint]struct{}
	// crashedHere is true once a part was present at a crash that is not only remembered: what was served before this process
	// started is not known here, so a part is not held by remembered crashes alone.
	crashedHere bool
	// unlikely caches whether a part is unlikely to be the cause, and allUnlikely whether all uses of it that were present at the
	// crashes are, as of a number of changes.
	unlikely, allUnlikely bool
	unlikelyAt            uint64
}

func newSuspect(part bool) *suspect {
	return &suspect{part: part, crashes: map[*recordedCrash]struct{}{}, sharedUnlikely: map[Fingerprint]struct{}{}, sharedWritten: map[Fingerprint]struct{}{}}
}

// requestProven reports whether the evidence suffices to hold a request: enough crashes, under as many attempts of its
// callers, one of which was sent alone. Where upstreams crash often, a harmless request may be in flight at three crashes
// that it did not cause: each attempt is sent to two upstreams, and its caller retries. In 200 simulations with up to one
// crash a second among 20 upstreams, three crashes alone held 63 of 600,847 harmless requests, and this rule none.
func (s *suspect) requestProven(f Fingerprint) bool {
	if len(s.crashes) < minCrashes {
		return false
	}
	attempts, triedAlone := map[CallerAttempt]struct{}{}, false
	for e := range s.crashes {
		for _, u := range e.present[f].uses {
			if u.cleared {
				continue
			}
			triedAlone = triedAlone || u.alone
			for _, a := range u.attempts {
				attempts[a] = struct{}{}
			}
		}
	}
	return len(attempts) >= minCrashes && triedAlone
}

// suspects reports whether a use was present at one of the crashes.
func (s *suspect) suspects(f, use Fingerprint) bool {
	for e := range s.crashes {
		if e.present[f].suspects(use) {
			return true
		}
	}
	return false
}
