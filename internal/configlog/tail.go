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
	// readLimit is the maximum number of records of a read.
	readLimit = 1000
	// readWait is the long-poll timeout: how long a read waits for a new record.
	readWait = 5 * time.Second
	// readRetry is the delay after a failed read.
	readRetry = 250 * time.Millisecond
)

// ErrNoSnapshot is returned if the oldest records of the log have expired and no snapshot in the log replaces them.
var ErrNoSnapshot = errors.New("the oldest records of the log have expired and it holds no snapshot that replaces them")

// Tail reads new records of the platform's log into a store.
type Tail struct {
	store *Store
	log   *log.Logger
	read  func(ctx context.Context, from id.Offset, limit int, wait time.Duration) (platform.Batch, error)
	// peers reads missing records from another process. It is called while the log can't be read.
	peers func(ctx context.Context) error
	mu    sync.Mutex
	// snapshotReadAt is the time at which the newest snapshot record was read, or zero if none was. snapshotOffset is the offset
	// of the last record that this snapshot covers.
	snapshotReadAt time.Time
	snapshotOffset id.Offset
}

// NewTail returns a Tail that reads the log with the function read, and from other processes with the function peers.
func NewTail(s *Store, l *log.Logger,
	read func(ctx context.Context, from id.Offset, limit int, wait time.Duration) (platform.Batch, error),
	peers func(ctx context.Context) error,
) *Tail {
	return &Tail{store: s, log: l, read: read, peers: peers}
}

// Run reads the log until the context ends.
func (t *Tail) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := t.readOnce(ctx)
		if err == nil || ctx.Err() != nil {
			continue
		}
		t.log.Warn().Err(err).Msg("the platform's log can't be read; reading from other entries")
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

// readOnce reads a batch of records and applies it.
func (t *Tail) readOnce(ctx context.Context) error {
	from := t.store.State().Offset() + 1
	wait := readWait
	if !t.store.Ready() {
		wait = 0
	}
	b, err := t.read(ctx, from, readLimit, wait)
	if errors.Is(err, platform.ErrOffsetExpired) {
		return t.restore(ctx, b)
	}
	if err != nil {
		return err
	}
	if err := t.apply(b.Records); err != nil {
		return err
	}
	if t.store.State().Offset()+1 >= b.Next {
		t.store.SetReady()
	}
	return nil
}

func (t *Tail) apply(records []*pb.LogRecord) error {
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
	t.snapshotReadAt = time.Now()
	t.snapshotOffset = id.Offset(d.GetSnapshot().GetOffset())
	return d.GetSnapshot()
}

// lastSnapshot returns the time at which the newest snapshot record was read, and the last offset that the snapshot covers.
func (t *Tail) lastSnapshot() (time.Time, id.Offset) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.snapshotReadAt, t.snapshotOffset
}

// restore reads the whole log and restores the newest snapshot whose next record is still in the log.
func (t *Tail) restore(ctx context.Context, b platform.Batch) error {
	var newest *pb.State
	var records []*pb.LogRecord
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
				newest = s
			}
		}
		records = append(records, got.Records...)
		from = id.Offset(records[len(records)-1].GetOffset()) + 1
	}
	if newest == nil {
		return trace.Wrap(ErrNoSnapshot, "oldest record %d", b.First)
	}
	t.store.RestoreSnapshot(newest)
	start := t.store.State().Offset()
	for len(records) > 0 && id.Offset(records[0].GetOffset()) <= start {
		records = records[1:]
	}
	if _, err := t.store.Apply(records); err != nil {
		return err
	}
	t.store.SetReady()
	return nil
}
