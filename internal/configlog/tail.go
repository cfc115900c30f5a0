package configlog

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/phuslu/log"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/config"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/platform"
)

const (
	// readLimit bounds the records of one read.
	readLimit = 1000
	// readWait is how long one read waits for a record.
	readWait = 5 * time.Second
	// readRetry is the pause after a failed read.
	readRetry = 250 * time.Millisecond
)

// ErrNoSnapshot says that the log has lost its oldest records and holds no usable snapshot.
var ErrNoSnapshot = errors.New("the log's oldest records are gone and it holds no snapshot that replaces them")

// Tail follows the platform's log into a store.
type Tail struct {
	store *Store
	log   *log.Logger
	read  func(ctx context.Context, from id.Offset, limit int, wait time.Duration) (platform.Batch, error)
	// peers brings the store up to date from another process; it is tried while the log can't be read.
	peers func(ctx context.Context) error
	mu    sync.Mutex
	// snapshotSeen is when the newest snapshot record was read; zero when none was.
	snapshotSeen  time.Time
	snapshotAfter id.Offset
}

// NewTail makes a Tail with its seams.
func NewTail(s *Store, l *log.Logger,
	read func(ctx context.Context, from id.Offset, limit int, wait time.Duration) (platform.Batch, error),
	peers func(ctx context.Context) error,
) *Tail {
	return &Tail{store: s, log: l, read: read, peers: peers}
}

// Run follows the log until the context ends.
func (t *Tail) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := t.step(ctx)
		if err == nil || ctx.Err() != nil {
			continue
		}
		t.log.Warn().Err(err).Msg("the platform's log can't be read; asking other entries")
		if err := t.peers(ctx); err == nil {
			t.store.SetReady()
		}
		pause(ctx, readRetry)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// step does one read and folds what it brought.
func (t *Tail) step(ctx context.Context) error {
	from := t.store.State().Offset() + 1
	wait := readWait
	if !t.store.Ready() {
		wait = 0
	}
	b, err := t.read(ctx, from, readLimit, wait)
	if errors.Is(err, platform.ErrOffsetExpired) {
		return t.recover(ctx, b)
	}
	if err != nil {
		return err
	}
	if err := t.fold(b.Records); err != nil {
		return err
	}
	if t.store.State().Offset()+1 >= b.Next {
		t.store.SetReady()
	}
	return nil
}

func (t *Tail) fold(records []*pb.LogRecord) error {
	_, err := t.store.Apply(records)
	for _, r := range records {
		t.noteSnapshot(r)
	}
	return err
}

func (t *Tail) noteSnapshot(r *pb.LogRecord) *pb.State {
	d, err := config.Decode(r.GetData())
	if err != nil || d.GetSnapshot() == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.snapshotSeen = time.Now()
	t.snapshotAfter = id.Offset(d.GetSnapshot().GetOffset())
	return d.GetSnapshot()
}

// lastSnapshot says when the newest snapshot record was read and the offset that it holds.
func (t *Tail) lastSnapshot() (time.Time, id.Offset) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.snapshotSeen, t.snapshotAfter
}

// recover starts from the newest snapshot whose next record the log still keeps.
func (t *Tail) recover(ctx context.Context, b platform.Batch) error {
	var best *pb.State
	var held []*pb.LogRecord
	for from, end := b.First, b.Next; from < end; {
		got, err := t.read(ctx, from, readLimit, 0)
		if err != nil {
			return err
		}
		if len(got.Records) == 0 {
			break
		}
		for _, r := range got.Records {
			if s := t.noteSnapshot(r); s != nil && id.Offset(s.GetOffset())+1 >= got.First {
				best = s
			}
		}
		held = append(held, got.Records...)
		from = id.Offset(held[len(held)-1].GetOffset()) + 1
	}
	if best == nil {
		return trace.Wrap(ErrNoSnapshot, "oldest record %d", b.First)
	}
	t.store.RestoreSnapshot(best)
	start := t.store.State().Offset()
	for len(held) > 0 && id.Offset(held[0].GetOffset()) <= start {
		held = held[1:]
	}
	if _, err := t.store.Apply(held); err != nil {
		return err
	}
	t.store.SetReady()
	return nil
}
