package configlog

import (
	"context"
	"expvar"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/platform"
)

// PartName is the name of this part in the Needs of other parts.
const PartName = "config log"

// rankWait is the delay per rank before an entry writes a snapshot that is due, so that usually only one entry writes it.
const rankWait = 2 * time.Second

// Settings is the settings section [config_log].
type Settings struct {
	// SnapshotRecords is the number of records after which a snapshot is written.
	SnapshotRecords int `toml:"snapshot_records"`
	// SnapshotAge is the age of the newest snapshot at which another one is written. It must be well below the retention of
	// the log, as a new process starts from a snapshot once the first records have expired.
	SnapshotAge time.Duration `toml:"snapshot_age"`
}

// Check implements kernel.Section.
func (s *Settings) Check(c *kernel.Checker) {
	c.Require(s.SnapshotRecords > 0, "snapshot_records", "a whole number above 0")
	c.Require(s.SnapshotAge >= time.Second, "snapshot_age", "a time of at least 1s, well below the log's retention")
}

func init() {
	kernel.Register(kernel.Part{
		Name:    PartName,
		Section: "config_log",
		Needs:   []string{platform.PartName},
		Settings: func() kernel.Section {
			return &Settings{SnapshotRecords: 500, SnapshotAge: 10 * time.Minute}
		},
		New: newPart,
	})
}

// Part is the configuration log of an entry: the local configuration, its reader and its writer.
type Part struct {
	*Store
	*ChangeWriter
	tail     *Tail
	host     *kernel.Host
	settings *Settings
	platform *platform.Client
	// peers reads the configuration from another entry, and rank is the position of this entry among the live ones.
	// SetPeers sets both.
	peers atomic.Pointer[func(ctx context.Context) error]
	rank  atomic.Pointer[func() int]
}

func newPart(h *kernel.Host) (any, error) {
	p := h.Part(platform.PartName).(*platform.Client)
	s := NewStore(h.Clock.Observe)
	c := &Part{Store: s, host: h, settings: h.Section("config_log").(*Settings), platform: p}
	c.ChangeWriter = NewChangeWriter(s, p.Append)
	h.Metric("config_offset", expvar.Func(func() any { return s.State().Offset() }))
	c.tail = NewTail(s, h.Log, p.Read, c.readFromPeers)
	return c, nil
}

// SetPeers sets the function that reads missing records from other entries, and the one that returns the rank of this entry
// among the live ones.
func (p *Part) SetPeers(catchUp func(ctx context.Context) error, rank func() int) {
	p.peers.Store(&catchUp)
	p.rank.Store(&rank)
}

func (p *Part) readFromPeers(ctx context.Context) error {
	p.host.Events.Add(kernel.Event{Kind: kernel.EventConfigUnavailable})
	if f := p.peers.Load(); f != nil {
		return (*f)(ctx)
	}
	return platform.ErrUnavailable
}

// Run follows the log until the context ends.
func (p *Part) Run(ctx context.Context) error {
	go p.writeSnapshots(ctx)
	p.tail.Run(ctx)
	return nil
}

// writeSnapshots writes a snapshot whenever one is due and no entry of a lower rank has written it.
func (p *Part) writeSnapshots(ctx context.Context) {
	started := time.Now()
	var due time.Time
	for ctx.Err() == nil {
		pause(ctx, rankWait/2)
		if !p.Ready() || !p.snapshotDue(started) {
			due = time.Time{}
			continue
		}
		if due.IsZero() {
			due = time.Now().Add(time.Duration(p.currentRank()) * rankWait)
		}
		if time.Now().After(due) {
			p.writeSnapshot(ctx)
			due = time.Time{}
		}
	}
}

func (p *Part) currentRank() int {
	if f := p.rank.Load(); f != nil {
		return (*f)()
	}
	return 0
}

func (p *Part) snapshotDue(started time.Time) bool {
	offset := p.State().Offset()
	if offset == 0 {
		return false
	}
	readAt, covered := p.tail.lastSnapshot()
	if readAt.IsZero() {
		readAt = started
	}
	return offset-covered > id.Offset(p.settings.SnapshotRecords) || time.Since(readAt) > p.settings.SnapshotAge
}

func (p *Part) writeSnapshot(ctx context.Context) {
	m := p.State().Snapshot()
	data, err := proto.Marshal(&pb.Record{Body: &pb.Record_Snapshot{Snapshot: m}})
	if err != nil {
		p.host.Log.Error().Err(err).Msg("the configuration snapshot can't be encoded")
		return
	}
	if _, err := p.platform.Append(ctx, data); err != nil {
		p.host.Log.Warn().Err(err).Msg("the log has not confirmed the configuration snapshot; it is written again if it is still due")
		return
	}
	p.host.Events.Add(kernel.Event{Kind: kernel.EventSnapshotWritten})
}
