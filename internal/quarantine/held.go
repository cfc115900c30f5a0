package quarantine

import (
	"slices"
	"time"

	"github.com/springrail/springrail/internal/id"
)

const (
	// maxHeldPerOrganisation limits the held requests of one organisation, and maxHeld those of all. Each has cost three
	// crashes. At its limit an organisation's oldest entry is evicted, so that no organisation can release another's
	// requests. An entry takes 0.3 KB, so all take 1.3 MB.
	maxHeldPerOrganisation = 256
	maxHeld                = 4096
)

// heldSet is the bounded set of held requests.
type heldSet struct {
	entries map[Fingerprint]*HeldRequest
	// byPart lists the entries with a part.
	byPart map[Fingerprint][]Fingerprint
	// byOrganisation lists the entries of each organisation, oldest first; those that are held for all are nobody's. owners has
	// the organisation of each entry.
	byOrganisation map[id.Organisation][]Fingerprint
	owners         map[Fingerprint]id.Organisation
	// announcedAt is when an entry was added, or last announced by any gateway.
	announcedAt map[Fingerprint]time.Time
}

func newHeldSet() *heldSet {
	return &heldSet{entries: map[Fingerprint]*HeldRequest{}, byPart: map[Fingerprint][]Fingerprint{}, byOrganisation: map[id.Organisation][]Fingerprint{}, owners: map[Fingerprint]id.Organisation{}, announcedAt: map[Fingerprint]time.Time{}}
}

func (h *heldSet) get(f Fingerprint) *HeldRequest {
	return h.entries[f]
}

// match returns the entry for which a request is held, or nil.
func (h *heldSet) match(q Identity) *HeldRequest {
	return h.find(q, func(e *HeldRequest) bool { return e.Binds(q) })
}

// others returns an entry that holds a request, or parts of its prompt, for others than its organisation, which has had no answer
// on them since; or nil.
func (h *heldSet) others(q Identity) *HeldRequest {
	return h.find(q, func(e *HeldRequest) bool {
		u, ok := q.heldUseOf(e)
		return ok && !e.bindsUse(u) && !e.exempts(u)
	})
}

// find returns an entry with the fingerprint of a request, of one of its parts, or of a use of these, for which a function is
// true; or nil.
func (h *heldSet) find(q Identity, matches func(e *HeldRequest) bool) *HeldRequest {
	for _, f := range []Fingerprint{q.Fingerprint, q.use()} {
		if e := h.entries[f]; e != nil && len(e.Parts) == 0 && matches(e) {
			return e
		}
	}
	for _, parts := range [][]Fingerprint{q.Parts, q.partUses()} {
		for _, p := range parts {
			for _, f := range h.byPart[p] {
				if e := h.entries[f]; matches(e) {
					return e
				}
			}
		}
	}
	return nil
}

// with lists the entries for a request or with a part.
func (h *heldSet) with(f Fingerprint) (l []*HeldRequest) {
	if e := h.entries[f]; e != nil && len(e.Parts) == 0 {
		l = append(l, e)
	}
	for _, o := range h.byPart[f] {
		l = append(l, h.entries[o])
	}
	return l
}

// binds reports whether a request or part by itself is held for an organisation's use of it.
func (h *heldSet) binds(f, use, key Fingerprint) bool {
	e := h.entries[f]
	return e != nil && (len(e.Uses) == 0 || e.bindsUse(HeldUse{Fingerprints: []Fingerprint{use}, Key: key}))
}

// covers reports whether an entry is of no use: all requests that it would hold are held already, or an entry for parts
// explains its crashes and others.
func (h *heldSet) covers(e HeldRequest) bool {
	for _, p := range e.Parts {
		for _, f := range h.byPart[p] {
			if o := h.entries[f]; containsAll(e.Parts, o.Parts) && o.holdsAllOf(e) {
				return true
			}
		}
	}
	if o := h.entries[e.Fingerprint]; o != nil && o.holdsAllOf(e) {
		return true
	}
	for _, o := range h.entries {
		if o.outweighs(&e) && o.Fingerprint != e.Fingerprint {
			return true
		}
	}
	return false
}

// dropWeaker removes the entries that an entry for parts makes unnecessary, and returns their fingerprints.
func (h *heldSet) dropWeaker(e HeldRequest) (dropped []Fingerprint) {
	for f, o := range h.entries {
		if f != e.Fingerprint && (e.outweighs(o) || len(e.Parts) > 0 && len(o.Parts) > len(e.Parts) && containsAll(o.Parts, e.Parts) && e.holdsAllOf(*o)) {
			dropped = append(dropped, f)
		}
	}
	for _, f := range dropped {
		h.drop(f)
	}
	return dropped
}

func (h *heldSet) size() int {
	return len(h.entries)
}

// put adds an entry and returns the one that it evicted, or nil.
func (h *heldSet) put(e HeldRequest) (evicted *HeldRequest) {
	h.drop(e.Fingerprint)
	switch owner := e.owner(); {
	case len(h.byOrganisation[owner]) >= maxHeldPerOrganisation:
		evicted = h.drop(h.byOrganisation[owner][0])
	case len(h.entries) >= maxHeld:
		evicted = h.drop(h.byOrganisation[h.largest()][0])
	}
	h.entries[e.Fingerprint] = &e
	for _, p := range e.Parts {
		h.byPart[p] = append(h.byPart[p], e.Fingerprint)
	}
	h.setOwner(&e)
	return evicted
}

// setOwner lists an entry under its organisation, which changes once it is held for all.
func (h *heldSet) setOwner(e *HeldRequest) {
	f, owner := e.Fingerprint, e.owner()
	if before, known := h.owners[f]; known && before != owner {
		h.disown(f)
	} else if known {
		return
	}
	h.owners[f] = owner
	h.byOrganisation[owner] = append(h.byOrganisation[owner], f)
}

// disown removes an entry from those of its organisation.
func (h *heldSet) disown(f Fingerprint) {
	owner := h.owners[f]
	delete(h.owners, f)
	l := slices.DeleteFunc(h.byOrganisation[owner], func(o Fingerprint) bool { return o == f })
	if len(l) == 0 {
		delete(h.byOrganisation, owner)
	} else {
		h.byOrganisation[owner] = l
	}
}

// largest returns the organisation with the most entries.
func (h *heldSet) largest() (largest id.Organisation) {
	for o, l := range h.byOrganisation {
		if n := len(h.byOrganisation[largest]); len(l) > n || (len(l) == n && o < largest) {
			largest = o
		}
	}
	return largest
}

// drop removes an entry and returns it, or nil.
func (h *heldSet) drop(f Fingerprint) *HeldRequest {
	e := h.entries[f]
	if e == nil {
		return nil
	}
	delete(h.entries, f)
	delete(h.announcedAt, f)
	for _, p := range e.Parts {
		h.byPart[p] = slices.DeleteFunc(h.byPart[p], func(o Fingerprint) bool { return o == f })
		if len(h.byPart[p]) == 0 {
			delete(h.byPart, p)
		}
	}
	h.disown(f)
	return e
}

// list returns all entries, oldest first.
func (h *heldSet) list() []HeldRequest {
	l := make([]HeldRequest, 0, len(h.entries))
	for _, e := range h.entries {
		l = append(l, *e)
	}
	slices.SortFunc(l, func(a, b HeldRequest) int {
		if a.SinceUnixMs != b.SinceUnixMs {
			return int(a.SinceUnixMs - b.SinceUnixMs)
		}
		return slices.Compare(a.Fingerprint[:], b.Fingerprint[:])
	})
	return l
}
