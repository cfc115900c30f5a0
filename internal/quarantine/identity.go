package quarantine

import (
	"slices"

	"github.com/springrail/springrail/internal/id"
)

// Identity is what a request is recognised by. Crashes count against what a request holds, whoever sends it. What an answer
// proves, it proves for the organisation and the model only, as an organisation states the IDs of its parts itself.
type Identity struct {
	// Fingerprint and Parts are of the request and of the parts of its prompt that other requests may have too.
	Fingerprint Fingerprint
	Parts       []Fingerprint
	// Use and PartUses are those of the organisation, in the order of Parts. Without them Fingerprint and Parts are.
	Use      Fingerprint
	PartUses []Fingerprint
	// Organisation and Key are the sender's; Key is zero for callers without a key.
	Organisation id.Organisation
	Key          Fingerprint
}

// use returns the organisation's use of the request.
func (q *Identity) use() Fingerprint {
	if q.Use == (Fingerprint{}) {
		return q.Fingerprint
	}
	return q.Use
}

// partUses returns the organisation's uses of the parts.
func (q *Identity) partUses() []Fingerprint {
	if len(q.PartUses) != len(q.Parts) {
		return q.Parts
	}
	return q.PartUses
}

// usesOf returns the organisation's uses of some of the parts, or false if the request lacks one of them.
func (q *Identity) usesOf(parts []Fingerprint) (l []Fingerprint, ok bool) {
	uses := q.partUses()
	for _, p := range parts {
		n := slices.Index(q.Parts, p)
		if n < 0 {
			return nil, false
		}
		l = append(l, uses[n])
	}
	return l, true
}

// each calls a function for the request and for each of its parts, with the organisation's use.
func (q *Identity) each(do func(f, use Fingerprint)) {
	do(q.Fingerprint, q.use())
	q.eachPart(do)
}

// eachPart calls a function for each part, with the organisation's use.
func (q *Identity) eachPart(do func(f, use Fingerprint)) {
	uses := q.partUses()
	for n, f := range q.Parts {
		do(f, uses[n])
	}
}

// HeldUse is an organisation's use of what is held.
type HeldUse struct {
	Organisation id.Organisation
	// Fingerprints has the use of the request, or of each of the parts.
	Fingerprints []Fingerprint
	// Key is zero for callers without a key.
	Key Fingerprint
}

// heldUseOf returns a request's use of what is held, or false if the request lacks it.
func (q *Identity) heldUseOf(h *HeldRequest) (u HeldUse, ok bool) {
	u = HeldUse{Organisation: q.Organisation, Key: q.Key}
	if len(h.Parts) > 0 {
		u.Fingerprints, ok = q.usesOf(h.Parts)
		return u, ok
	}
	u.Fingerprints = []Fingerprint{q.use()}
	return u, q.Fingerprint == h.Fingerprint
}

// sameSender reports whether two uses are of the same organisation, or of callers with the same key.
func (u *HeldUse) sameSender(o *HeldUse) bool {
	return slices.Equal(u.Fingerprints, o.Fingerprints) || u.Key != (Fingerprint{}) && u.Key == o.Key
}
