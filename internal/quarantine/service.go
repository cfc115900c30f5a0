package quarantine

import (
	"context"
	"errors"
	"slices"
	"strings"

	"connectrpc.com/connect"

	pb "github.com/springrail/springrail/gen/springrail/v1"
)

// ErrNotHeld says that a request is not held.
var ErrNotHeld = errors.New("the request is not held")

// ListHeld implements the quarantine service.
func (q *Quarantine) ListHeld(context.Context, *pb.ListHeldRequest) (*pb.ListHeldResponse, error) {
	return &pb.ListHeldResponse{Entries: q.Suspects.tellAll()}, nil
}

// LiftHeld implements the quarantine service.
func (q *Quarantine) LiftHeld(_ context.Context, r *pb.LiftHeldRequest) (*pb.LiftHeldResponse, error) {
	f, err := Parse(strings.TrimSpace(r.GetFingerprint()))
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if !q.Suspects.Lift(f) {
		return nil, connect.NewError(connect.CodeNotFound, ErrNotHeld)
	}
	// Others hear of it by the record.
	q.Remove(f)
	return &pb.LiftHeldResponse{}, nil
}

// tellAll lists the held requests and then the suspected ones, each the oldest first.
func (l *SuspectTracker) tellAll() (all []*pb.HeldEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range l.held.list() {
		all = append(all, &pb.HeldEntry{Fingerprint: h.Fingerprint.String(), Request: h.tell(), Refused: l.held.get(h.Fingerprint).refused, Held: true})
	}
	var suspects []*pb.HeldEntry
	for f, s := range l.suspects {
		if len(s.ends) < enough-1 {
			continue
		}
		h := l.holdOf(f, s)
		suspects = append(suspects, &pb.HeldEntry{Fingerprint: f.String(), Request: h.tell()})
	}
	slices.SortFunc(suspects, func(a, b *pb.HeldEntry) int { return strings.Compare(a.GetFingerprint(), b.GetFingerprint()) })
	return append(all, suspects...)
}
