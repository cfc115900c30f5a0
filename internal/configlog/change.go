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
	// ErrOutcomeUnknown is returned for a change that was not read back before the deadline. It may still take effect.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrRejected is returned for a change that the configuration rejected when it was applied.
	ErrRejected = errors.New("change rejected")
)

// appendRetry is the delay before an unconfirmed change is appended again. That is safe, as a change ID is applied once.
const appendRetry = 500 * time.Millisecond

// ChangeWriter appends changes to the log and waits until they are read back.
type ChangeWriter struct {
	store  *Store
	append func(ctx context.Context, data []byte) (id.Offset, error)
	// retry returns a channel that receives when the change may be appended again.
	retry func() <-chan time.Time
}

// NewChangeWriter returns a ChangeWriter that appends with the function add and reads changes back from a store, which a Tail
// keeps up to date.
func NewChangeWriter(s *Store, add func(ctx context.Context, data []byte) (id.Offset, error)) *ChangeWriter {
	return &ChangeWriter{store: s, append: add, retry: func() <-chan time.Time { return time.After(appendRetry) }}
}

// Submit appends a change and waits until the store has applied it. It returns ErrRejected with the reason if the change was
// rejected, and ErrOutcomeUnknown if the context ends first.
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
			appended = c.tryAppend(ctx, data)
			if appended {
				continue
			}
		}
		var retryAfter <-chan time.Time
		if !appended {
			retryAfter = c.retry()
		}
		select {
		case <-ctx.Done():
			return nil, trace.Wrap(ErrOutcomeUnknown, "change %s: ask again with GetChange", m.GetChangeId())
		case <-changed:
		case <-retryAfter:
		}
	}
}

// tryAppend appends the record once and reports whether the log confirmed it.
func (c *ChangeWriter) tryAppend(ctx context.Context, data []byte) bool {
	_, err := c.append(ctx, data)
	return err == nil
}

func rejection(o *pb.ChangeOutcome) error {
	if o.GetAccepted() {
		return nil
	}
	return trace.Wrap(ErrRejected, "%s", o.GetReason())
}
