package spread

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/platform"
	"github.com/springrail/springrail/internal/rendezvous"
)

const (
	// requestTimeout bounds one request to another entry.
	requestTimeout = 2 * time.Second
	// statusRetention is how long the statuses of an entry that no longer responds are kept.
	statusRetention = time.Minute
	// livenessInterval is the interval at which an entry marks unresponsive agents and refreshes its status in the
	// table, which shows other entries that it is alive.
	livenessInterval = time.Second
)

// Run exchanges statuses with other entries until the context ends.
func (p *Part) Run(ctx context.Context) error {
	go p.runEvery(ctx, livenessInterval, func() {
		p.members.Table.Tick()
		p.members.Table.RemoveSilentOwners(statusRetention)
	})
	go p.runEvery(ctx, p.members.Settings.RemoteGossipInterval, func() { p.pullStatuses(ctx, p.remoteEntries(), "") })
	p.runEvery(ctx, p.members.Settings.GossipInterval, func() {
		p.pullStatuses(ctx, p.otherEntries(p.host.Identity.Domain), p.host.Identity.Domain)
	})
	return nil
}

func (p *Part) runEvery(ctx context.Context, d time.Duration, f func()) {
	for ctx.Err() == nil {
		f()
		sleep(ctx, d)
	}
}

// otherEntries returns the entries of a failure domain, or of all for an empty one, except this entry.
func (p *Part) otherEntries(d id.Domain) []*pb.VM {
	var l []*pb.VM
	for _, v := range p.members.List.Entries(d) {
		if id.VM(v.GetId()) != p.host.Identity.VM {
			l = append(l, v)
		}
	}
	return l
}

// remoteEntries returns the entries of other failure domains.
func (p *Part) remoteEntries() []*pb.VM {
	var l []*pb.VM
	for _, v := range p.otherEntries("") {
		if id.Domain(v.GetDomain()) != p.host.Identity.Domain {
			l = append(l, v)
		}
	}
	return l
}

// pullStatuses requests statuses from one of the entries, chosen at random, and merges them.
func (p *Part) pullStatuses(ctx context.Context, entries []*pb.VM, d id.Domain) {
	if len(entries) == 0 {
		return
	}
	ctx, stop := context.WithTimeout(ctx, requestTimeout)
	defer stop()
	v := entries[rand.IntN(len(entries))]
	a, err := p.rpc.Config(v.GetAddress()).Exchange(ctx, &pb.ExchangeRequest{
		Versions: p.members.Table.Versions(d),
		Domain:   string(d),
	})
	if err != nil {
		p.host.Log.Debug().Err(err).Str("entry", v.GetId()).Msg("could not get statuses from an entry")
		return
	}
	p.members.Table.Merge(a.GetUpdates())
}

// catchUp fetches configuration from other entries, first from those in this entry's failure domain.
func (p *Part) catchUp(ctx context.Context) error {
	entries := append(p.otherEntries(p.host.Identity.Domain), p.remoteEntries()...)
	for _, v := range entries {
		if p.catchUpFrom(ctx, v) == nil {
			return nil
		}
	}
	return trace.Wrap(platform.ErrUnavailable, "none of the %d other entries has the configuration", len(entries))
}

func (p *Part) catchUpFrom(ctx context.Context, v *pb.VM) error {
	ctx, stop := context.WithTimeout(ctx, requestTimeout)
	defer stop()
	a, err := p.rpc.Config(v.GetAddress()).Sync(ctx, &pb.SyncRequest{
		Offset:        uint64(p.config.State().Offset()),
		VmListVersion: p.members.List.Get().GetVersion(),
	})
	if err != nil {
		return err
	}
	if a.GetState() != nil {
		p.config.RestoreSnapshot(a.GetState())
	}
	if a.GetVmList() != nil {
		p.members.List.Set(a.GetVmList())
	}
	_, err = p.config.Apply(a.GetRecords())
	return err
}

// snapshotRank returns this entry's rank among the live entries for writing a snapshot.
func (p *Part) snapshotRank() int {
	live := []id.VM{p.host.Identity.VM}
	for _, v := range p.otherEntries("") {
		if p.members.Table.Alive(id.VM(v.GetId())) {
			live = append(live, id.VM(v.GetId()))
		}
	}
	return rendezvous.Rank("snapshot", live, p.host.Identity.VM)
}
