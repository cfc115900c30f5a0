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

// PartName is what other parts name in their needs.
const PartName = "config log"

// rankWait separates the entries that may write a snapshot, so that usually one does.
const rankWait = 2 * time.Second

// Settings is the section [config_log].
type Settings struct {
	// SnapshotRecords is the number of records after which a snapshot is written.
	SnapshotRecords int `toml:"snapshot_records"`
	// SnapshotAge is the age at which a snapshot is written anew; keep it well below the log's retention.
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

// Part is the config log of an entry.
type Part struct {
	*Store
	*ChangeWriter
	tail     *Tail
	host     *kernel.Host
	settings *Settings
	platform *platform.Client
	// peers and rank are set by the parts that know the other entries.
	peers atomic.Pointer[func(ctx context.Context) error]
	rank  atomic.Pointer[func() int]
}

func newPart(h *kernel.Host) (any, error) {
	p := h.Part(platform.PartName).(*platform.Client)
	s := NewStore(h.Clock.Observe)
	c := &Part{Store: s, host: h, settings: h.Section("config_log").(*Settings), platform: p}
	c.ChangeWriter = NewChangeWriter(s, p.Append)
	h.AddMetric("config_offset", expvar.Func(func() any { return s.State().Offset() }))
	c.tail = NewTail(s, h.Log, p.Read, c.fromPeers)
	return c, nil
}

// SetPeers gives the part a way to catch up from other entries and its place among the live ones.
func (p *Part) SetPeers(catchUp func(ctx context.Context) error, rank func() int) {
	p.peers.Store(&catchUp)
	p.rank.Store(&rank)
}

func (p *Part) fromPeers(ctx context.Context) error {
	p.host.Events.Add(kernel.Event{Kind: kernel.EventConfigUnavailable})
	if f := p.peers.Load(); f != nil {
		return (*f)(ctx)
	}
	return platform.ErrUnavailable
}

// Run follows the log until the context ends.
func (p *Part) Run(ctx context.Context) error {
	go p.snapshots(ctx)
	p.tail.Run(ctx)
	return nil
}

// snapshots writes a snapshot where one is due and no entry of a better rank has.
func (p *Part) snapshots(ctx context.Context) {
	started := time.Now()
	var due time.Time
	for ctx.Err() == nil {
		pause(ctx, rankWait/2)
		if !p.Ready() || !p.snapshotDue(started) {
			due = time.Time{}
			continue
		}
		if due.IsZero() {
			due = time.Now().Add(time.Duration(p.ownRank()) * rankWait)
		}
		if time.Now().After(due) {
			p.writeSnapshot(ctx)
			due = time.Time{}
		}
	}
}

func (p *Part) ownRank() int {
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
	seen, after := p.tail.lastSnapshot()
	if seen.IsZero() {
		seen = started
	}
	return offset-after > id.Offset(p.settings.SnapshotRecords) || time.Since(seen) > p.settings.SnapshotAge
}

func (p *Part) writeSnapshot(ctx context.Context) {
	m := p.State().Snapshot()
	data, err := proto.Marshal(&pb.Record{Body: &pb.Record_Snapshot{Snapshot: m}})
	if err != nil {
		p.host.Log.Error().Err(err).Msg("snapshot can't be encoded")
		return
	}
	if _, err := p.platform.Append(ctx, data); err != nil {
		p.host.Log.Warn().Err(err).Msg("snapshot not confirmed")
		return
	}
	p.host.Events.Add(kernel.Event{Kind: kernel.EventSnapshotWritten})
}
