package quarantine

import (
	"slices"

	"github.com/springrail/springrail/internal/id"
)

// maxPresentUses limits the organisations' uses of one request or part at a crash.
const maxPresentUses = 64

// presence describes a request, or a part of prompts, that was present at a crash.
type presence struct {
	part bool
	uses []*presentUse
}

// presentUse is an organisation's use of a request, or of a part, that was present at a crash.
type presentUse struct {
	fingerprint  Fingerprint
	organisation id.Organisation
	key          Fingerprint
	// beginning is true if the upstream was beginning an answer on it. cleared is true once it was answered after the crash, which
	// then is no evidence against it, whichever gateway reports the crash again.
	beginning, cleared bool
	// For a request, attempts are those that were in flight, and alone is true if one of them was sent alone.
	attempts []CallerAttempt
	alone    bool
}

// add notes a use, and returns it, or nil if there are too many.
func (p *presence) add(use Fingerprint, r *InFlightRequest) *presentUse {
	cleared := false
	for _, u := range p.uses {
		if u.fingerprint == use && u.key == r.Key {
			return u
		}
		cleared = cleared || u.fingerprint == use && u.cleared
	}
	if len(p.uses) >= maxPresentUses {
		return nil
	}
	u := &presentUse{fingerprint: use, organisation: r.Organisation, key: r.Key, cleared: cleared}
	p.uses = append(p.uses, u)
	return u
}

// addAttempt notes an attempt that was in flight.
func (u *presentUse) addAttempt(a CallerAttempt) {
	if len(u.attempts) < minCrashes && !slices.Contains(u.attempts, a) {
		u.attempts = append(u.attempts, a)
	}
}

// heldUse returns the use of a request, as what is held lists it.
func (u *presentUse) heldUse() HeldUse {
	return HeldUse{Organisation: u.organisation, Fingerprints: []Fingerprint{u.fingerprint}, Key: u.key}
}

// triedAlone reports whether a request was sent alone.
func (p *presence) triedAlone() bool {
	return slices.ContainsFunc(p.uses, func(u *presentUse) bool { return u.alone })
}

// suspected reports whether a use has not been answered since.
func (p *presence) suspected() bool {
	return slices.ContainsFunc(p.uses, func(u *presentUse) bool { return !u.cleared })
}

// suspects reports whether a given use was present and has not been answered since.
func (p *presence) suspects(use Fingerprint) bool {
	return slices.ContainsFunc(p.uses, func(u *presentUse) bool { return !u.cleared && u.fingerprint == use })
}

// beginning reports whether the upstream was beginning an answer on a use that has not been answered since.
func (p *presence) beginning() bool {
	return slices.ContainsFunc(p.uses, func(u *presentUse) bool { return !u.cleared && u.beginning })
}

// clear clears a use, or all of them if clearAll is true, and reports whether any was suspected.
func (p *presence) clear(use Fingerprint, clearAll bool) (cleared bool) {
	for _, u := range p.uses {
		if (clearAll || u.fingerprint == use) && !u.cleared {
			u.cleared, cleared = true, true
		}
	}
	return cleared
}

// contentIndex finds what an organisation's use is of, for what is present at crashes that are remembered.
type contentIndex map[Fingerprint]*indexedContent

type indexedContent struct {
	fingerprint Fingerprint
	// crashes is the number of crashes at which it was present.
	crashes int
}

// contentOf returns what a use is of: itself if no other is known.
func (i contentIndex) contentOf(use Fingerprint) Fingerprint {
	if c := i[use]; c != nil {
		return c.fingerprint
	}
	return use
}

// update adds what is present at a crash; before lists the uses that were there earlier.
func (i contentIndex) update(e *recordedCrash, before map[Fingerprint]Fingerprint) {
	for use, f := range e.uses() {
		if _, known := before[use]; known {
			continue
		}
		if i[use] == nil {
			i[use] = &indexedContent{fingerprint: f}
		}
		i[use].crashes++
	}
}

// remove removes what was present at a crash that is forgotten.
func (i contentIndex) remove(e *recordedCrash) {
	for use := range e.uses() {
		if c := i[use]; c != nil {
			if c.crashes--; c.crashes <= 0 {
				delete(i, use)
			}
		}
	}
}

// uses returns the uses that were present at a crash, and what each is of.
func (e *recordedCrash) uses() map[Fingerprint]Fingerprint {
	m := map[Fingerprint]Fingerprint{}
	for f, p := range e.present {
		for _, u := range p.uses {
			m[u.fingerprint] = f
		}
	}
	return m
}
