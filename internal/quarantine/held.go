package quarantine

import (
	"slices"

	"github.com/springrail/springrail/internal/id"
)

const (
	// mostOfOne bounds the held requests of one organisation, and mostHeld those of all. Each has cost three crashes;
	// at its bound an organisation's oldest one is let go, so that no organisation can free another's. An entry takes
	// 0.3 KB, so all take 1.3 MB.
	mostOfOne = 256
	mostHeld  = 4096
)

// held is the set of held requests.
type held struct {
	entries map[Fingerprint]*HeldRequest
	// order lists each organisation's from the oldest on.
	order map[id.Organisation][]Fingerprint
}

func newHeld() *held {
	return &held{entries: map[Fingerprint]*HeldRequest{}, order: map[id.Organisation][]Fingerprint{}}
}

func (h *held) get(f Fingerprint) *HeldRequest {
	return h.entries[f]
}

func (h *held) size() int {
	return len(h.entries)
}

// put adds an entry, and returns the one that was let go for it, or nil.
func (h *held) put(e HeldRequest) (dropped *HeldRequest) {
	h.drop(e.Fingerprint)
	switch {
	case len(h.order[e.Organisation]) >= mostOfOne:
		dropped = h.drop(h.order[e.Organisation][0])
	case len(h.entries) >= mostHeld:
		dropped = h.drop(h.order[h.largest()][0])
	}
	h.entries[e.Fingerprint] = &e
	h.order[e.Organisation] = append(h.order[e.Organisation], e.Fingerprint)
	return dropped
}

// largest is the organisation with the most entries.
func (h *held) largest() (most id.Organisation) {
	for o, l := range h.order {
		if n := len(h.order[most]); len(l) > n || (len(l) == n && o < most) {
			most = o
		}
	}
	return most
}

// drop removes an entry and returns it, or nil.
func (h *held) drop(f Fingerprint) *HeldRequest {
	e := h.entries[f]
	if e == nil {
		return nil
	}
	delete(h.entries, f)
	l := slices.DeleteFunc(h.order[e.Organisation], func(o Fingerprint) bool { return o == f })
	if len(l) == 0 {
		delete(h.order, e.Organisation)
	} else {
		h.order[e.Organisation] = l
	}
	return e
}

// list returns all entries, the oldest first.
func (h *held) list() []HeldRequest {
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
