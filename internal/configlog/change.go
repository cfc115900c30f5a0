package configlog

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/id"
)

var (
	// ErrOutcomeUnknown says that a change was not seen by the deadline; it may still come into force.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrRejected says that the fold rejected a change.
	ErrRejected = errors.New("change rejected")
)

// appendRetry is the pause before a change is appended again; a change ID that comes twice counts once.
const appendRetry = 500 * time.Millisecond

// ChangeWriter appends changes and answers once they are read back.
type ChangeWriter struct {
	store  *Store
	append func(ctx context.Context, data []byte) (id.Offset, error)
	// retry waits until a change may be appended again.
	retry func() <-chan time.Time
}

// NewChangeWriter makes a ChangeWriter over a store that a Tail keeps up to date.
func NewChangeWriter(s *Store, add func(ctx context.Context, data []byte) (id.Offset, error)) *ChangeWriter {
	return &ChangeWriter{store: s, append: add, retry: func() <-chan time.Time { return time.After(appendRetry) }}
}

// Submit appends a change and waits until the store has folded it. The error is ErrRejected with the reason, or
// ErrOutcomeUnknown at the context's deadline.
func (c *ChangeWriter) Submit(ctx context.Context, m *pb.Change) (*pb.ChangeOutcome, error) {
	data, err := proto.Marshal(&pb.Record{Body: &pb.Record_Change{Change: m}})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	appended := false
	for {
		changed := c.store.Changed()
		if o := c.store.State().Outcome(id.Organisation(m.GetOrganisation()), id.Change(m.GetChangeId())); o != nil {
			return o, rejection(o)
		}
		if !appended {
			appended = c.try(ctx, data)
			if appended {
				continue
			}
		}
		var again <-chan time.Time
		if !appended {
			again = c.retry()
		}
		select {
		case <-ctx.Done():
			return nil, trace.Wrap(ErrOutcomeUnknown, "change %s: ask again with GetChange", m.GetChangeId())
		case <-changed:
		case <-again:
		}
	}
}

// try appends once and says whether the log confirmed it.
func (c *ChangeWriter) try(ctx context.Context, data []byte) bool {
	_, err := c.append(ctx, data)
	return err == nil
}

func rejection(o *pb.ChangeOutcome) error {
	if o.GetAccepted() {
		return nil
	}
	return trace.Wrap(ErrRejected, "%s", o.GetReason())
}
