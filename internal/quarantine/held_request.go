package quarantine

import (
	"slices"

	"github.com/springrail/springrail/internal/id"
)

const (
	// maxHeldUses and maxExempt limit the uses of what is held, so that it fits into few packets.
	maxHeldUses = 16
	maxExempt   = 32
)

// HeldRequest is a request that is held, or parts of prompts: gateways no longer send the request, or requests with all of these
// parts, to upstreams.
type HeldRequest struct {
	// Fingerprint identifies the request, or the parts together.
	Fingerprint  Fingerprint
	Organisation id.Organisation
	// Parts is empty for a request.
	Parts []Fingerprint
	// Uses are those for which upstreams crashed; nobody else's is held until parts crashed upstreams for two organisations. Without
	// any, as older gateways hold it, it is held for all that have its fingerprints.
	Uses []HeldUse
	// Exempt are uses that were answered since, for which it is not held.
	Exempt []Fingerprint
	// Incarnations are the upstream processes that crashed under the request.
	Incarnations []Incarnation
	// HeldBy is the VM whose gateway held the request first, as far as known. SinceUnixMs is when, by that VM's time of
	// day, which may jump: it informs operators and decides nothing.
	HeldBy      id.VM
	SinceUnixMs int64
	// refused is how often this process has refused the request.
	refused uint64
}

// forAll reports whether parts are held for all organisations, as they crashed upstreams under the requests of two: one alone
// can't have another's part held, whichever IDs it states. Requests without a key are nobody's, as anyone may send them.
func (h *HeldRequest) forAll() bool {
	if len(h.Parts) == 0 {
		return false
	}
	var first id.Organisation
	for _, u := range h.Uses {
		if first == "" {
			first = u.Organisation
		} else if u.Organisation != "" && u.Organisation != first {
			return true
		}
	}
	return false
}

// owner returns the organisation whose limit of held requests an entry counts against; none for what is held for all.
func (h *HeldRequest) owner() id.Organisation {
	if h.forAll() {
		return ""
	}
	return h.Organisation
}

// lists reports whether a use is among those for which it is held.
func (h *HeldRequest) lists(u HeldUse) bool {
	return slices.ContainsFunc(h.Uses, func(o HeldUse) bool { return o.sameSender(&u) })
}

// exempts reports whether a use was answered since.
func (h *HeldRequest) exempts(u HeldUse) bool {
	return slices.ContainsFunc(u.Fingerprints, func(f Fingerprint) bool { return slices.Contains(h.Exempt, f) })
}

// holdsAllOf reports whether it is held for all uses of another one.
func (h *HeldRequest) holdsAllOf(o HeldRequest) bool {
	if len(h.Uses) == 0 || h.forAll() {
		return true
	}
	return len(o.Uses) > 0 && !o.forAll() && !slices.ContainsFunc(o.Uses, func(u HeldUse) bool {
		return !slices.ContainsFunc(h.Uses, func(v HeldUse) bool { return v.Organisation == u.Organisation })
	})
}

// Binds reports whether a request is held.
func (h *HeldRequest) Binds(q Identity) bool {
	if len(h.Uses) == 0 {
		return len(h.Parts) == 0 && (q.Fingerprint == h.Fingerprint || q.use() == h.Fingerprint) ||
			len(h.Parts) > 0 && (containsAll(q.Parts, h.Parts) || containsAll(q.partUses(), h.Parts))
	}
	u, ok := q.heldUseOf(h)
	return ok && h.bindsUse(u)
}

// bindsUse reports whether it is held for a use.
func (h *HeldRequest) bindsUse(u HeldUse) bool {
	return len(h.Uses) == 0 || h.lists(u) || h.forAll() && !h.exempts(u)
}

// bindsPart is like bindsUse, for a use of the n-th part that was present at a crash.
func (h *HeldRequest) bindsPart(n int, u *presentUse) bool {
	if len(h.Uses) == 0 || h.forAll() && !slices.Contains(h.Exempt, u.fingerprint) {
		return true
	}
	return slices.ContainsFunc(h.Uses, func(o HeldUse) bool {
		return n < len(o.Fingerprints) && o.Fingerprints[n] == u.fingerprint || o.Key != (Fingerprint{}) && o.Key == u.key
	})
}

// listsAny reports whether a use of the request, or of one of the parts, is among those for which it is held.
func (h *HeldRequest) listsAny(use Fingerprint) bool {
	return len(h.Uses) == 0 || slices.ContainsFunc(h.Uses, func(u HeldUse) bool { return slices.Contains(u.Fingerprints, use) })
}

// addUse holds it for one more use, and reports whether that changes anything.
func (h *HeldRequest) addUse(u HeldUse) bool {
	if h.bindsUse(u) || len(h.Uses) >= maxHeldUses {
		return false
	}
	h.Uses = append(slices.Clone(h.Uses), u)
	return true
}

// dropLast takes back the use that was added last.
func (h *HeldRequest) dropLast() {
	h.Uses = h.Uses[:len(h.Uses)-1]
}

// exempt notes that a use was answered, and reports whether that changes anything.
func (h *HeldRequest) exempt(use Fingerprint) bool {
	if slices.Contains(h.Exempt, use) {
		return false
	}
	h.Exempt = append(slices.Clone(h.Exempt[max(0, len(h.Exempt)+1-maxExempt):]), use)
	return true
}

// without returns parts that are held together without one of them, and their uses without that of the part.
func (h *HeldRequest) without(part Fingerprint) HeldRequest {
	r, n := *h, slices.Index(h.Parts, part)
	r.Parts = slices.Delete(slices.Clone(h.Parts), n, n+1)
	r.Uses = nil
	for _, u := range h.Uses {
		u.Fingerprints = slices.Delete(slices.Clone(u.Fingerprints), n, n+1)
		r.Uses = append(r.Uses, u)
	}
	r.Fingerprint = ofTogether(r.Parts)
	return r
}

// merge adds the uses and exemptions of another copy, except uses that are known to have been answered since, and reports whether
// that changes anything.
func (h *HeldRequest) merge(o HeldRequest) (changed bool) {
	if len(h.Uses) == 0 {
		return false
	}
	for _, f := range o.Exempt {
		listed := slices.ContainsFunc(h.Uses, func(u HeldUse) bool { return slices.Contains(u.Fingerprints, f) })
		changed = !listed && h.exempt(f) || changed
	}
	for _, u := range o.Uses {
		changed = !h.exempts(u) && h.addUse(u) || changed
	}
	return changed
}

// dropUse ends the hold for a use that was answered, and reports whether it was held for it. Without any use left nothing is
// held.
func (h *HeldRequest) dropUse(use Fingerprint) bool {
	n := len(h.Uses)
	h.Uses = slices.DeleteFunc(slices.Clone(h.Uses), func(u HeldUse) bool { return slices.Contains(u.Fingerprints, use) })
	return len(h.Uses) < n
}

// outweighs reports whether this holds parts that explain all crashes of another held request or held parts, and more.
func (h *HeldRequest) outweighs(o *HeldRequest) bool {
	if len(h.Parts) == 0 || len(h.Incarnations) <= len(o.Incarnations) {
		return false
	}
	return !slices.ContainsFunc(o.Incarnations, func(s Incarnation) bool { return !slices.Contains(h.Incarnations, s) })
}
