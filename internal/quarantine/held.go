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
	// byOrganisation lists the entries of each organisation, oldest first.
	byOrganisation map[id.Organisation][]Fingerprint
	// announcedAt is when an entry was added, or last announced by any gateway.
	announcedAt map[Fingerprint]time.Time
}

func newHeldSet() *heldSet {
	return &heldSet{entries: map[Fingerprint]*HeldRequest{}, byPart: map[Fingerprint][]Fingerprint{}, byOrganisation: map[id.Organisation][]Fingerprint{}, announcedAt: map[Fingerprint]time.Time{}}
}

func (h *heldSet) get(f Fingerprint) *HeldRequest {
	return h.entries[f]
}

// match returns the entry for which a request with the given parts is held, or nil.
func (h *heldSet) match(f Fingerprint, parts []Fingerprint) *HeldRequest {
	if e := h.entries[f]; e != nil && len(e.Parts) == 0 {
		return e
	}
	for _, p := range parts {
		for _, f := range h.byPart[p] {
			if e := h.entries[f]; containsAll(parts, e.Parts) {
				return e
			}
		}
	}
	return nil
}

// covers reports whether an entry is of no use: all requests that it would hold are held already, or an entry for parts
// explains its crashes and others.
func (h *heldSet) covers(e HeldRequest) bool {
	if len(e.Parts) > 0 && h.match(Fingerprint{}, e.Parts) != nil || h.entries[e.Fingerprint] != nil {
		return true
	}
	for _, o := range h.entries {
		if o.outweighs(&e) {
			return true
		}
	}
	return false
}

// dropWeaker removes the entries that an entry for parts makes unnecessary, and returns their fingerprints.
func (h *heldSet) dropWeaker(e HeldRequest) (dropped []Fingerprint) {
	for f, o := range h.entries {
		if e.outweighs(o) || len(e.Parts) > 0 && len(o.Parts) > len(e.Parts) && containsAll(o.Parts, e.Parts) {
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
	switch {
	case len(h.byOrganisation[e.Organisation]) >= maxHeldPerOrganisation:
		evicted = h.drop(h.byOrganisation[e.Organisation][0])
	case len(h.entries) >= maxHeld:
		evicted = h.drop(h.byOrganisation[h.largest()][0])
	}
	h.entries[e.Fingerprint] = &e
	for _, p := range e.Parts {
		h.byPart[p] = append(h.byPart[p], e.Fingerprint)
	}
	h.byOrganisation[e.Organisation] = append(h.byOrganisation[e.Organisation], e.Fingerprint)
	return evicted
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
	l := slices.DeleteFunc(h.byOrganisation[e.Organisation], func(o Fingerprint) bool { return o == f })
	if len(l) == 0 {
		delete(h.byOrganisation, e.Organisation)
	} else {
		h.byOrganisation[e.Organisation] = l
	}
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
