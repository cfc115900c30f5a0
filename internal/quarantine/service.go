package quarantine

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"

	"connectrpc.com/connect"

	pb "github.com/springrail/springrail/gen/springrail/v1"
)

// ErrNotHeld is returned for a request that is not held.
var ErrNotHeld = errors.New("the request is not held")

// ListHeld implements the quarantine service: it lists held and suspected requests.
func (q *Quarantine) ListHeld(context.Context, *pb.ListHeldRequest) (*pb.ListHeldResponse, error) {
	return &pb.ListHeldResponse{Entries: q.Suspects.listEntries()}, nil
}

// LiftHeld implements the quarantine service: it releases a held request.
func (q *Quarantine) LiftHeld(_ context.Context, r *pb.LiftHeldRequest) (*pb.LiftHeldResponse, error) {
	f, err := Parse(strings.TrimSpace(r.GetFingerprint()))
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if !q.Suspects.Lift(f) {
		return nil, connect.NewError(connect.CodeNotFound, ErrNotHeld)
	}
	q.Suspects.log.Info().Stringer("fingerprint", f).Msg("an operator has lifted a held request here")
	// The other gateways release the request when its record is deleted.
	q.Remove(f)
	q.Broadcast(CrashNews{Released: []Fingerprint{f}})
	return &pb.LiftHeldResponse{}, nil
}

// listEntries lists the held requests, oldest first, and then the suspected ones, by fingerprint.
func (l *SuspectTracker) listEntries() (all []*pb.HeldEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range l.held.list() {
		all = append(all, &pb.HeldEntry{Fingerprint: h.Fingerprint.String(), Request: h.listed(), Refused: l.held.get(h.Fingerprint).refused, Held: true})
	}
	var suspects []*pb.HeldEntry
	for f, s := range l.suspects {
		if len(s.crashes) < minCrashes-1 || s.part && len(l.countedCrashes(f, s)) < minCrashes-1 {
			continue
		}
		h := l.heldRequestOf(f, s)
		if s.part {
			h.Parts = []Fingerprint{f}
		}
		h.Uses = l.suspectedUses(&h, slices.Collect(maps.Keys(s.crashes)))
		if len(h.Uses) > 0 {
			h.Organisation = h.Uses[0].Organisation
		}
		suspects = append(suspects, &pb.HeldEntry{Fingerprint: f.String(), Request: h.listed()})
	}
	slices.SortFunc(suspects, func(a, b *pb.HeldEntry) int { return strings.Compare(a.GetFingerprint(), b.GetFingerprint()) })
	return append(all, suspects...)
}
