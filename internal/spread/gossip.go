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
	// askTimeout bounds one question to another entry.
	askTimeout = 2 * time.Second
	// forgetAfter is how long a silent owner's statuses are kept.
	forgetAfter = time.Minute
	// tickEvery is how often an entry shows that it lives.
	tickEvery = time.Second
)

// Run gossips until the context ends.
func (p *Part) Run(ctx context.Context) error {
	go p.every(ctx, tickEvery, func() {
		p.members.Table.Tick()
		p.members.Table.RemoveSilentOwners(forgetAfter)
	})
	go p.every(ctx, p.members.Settings.RemoteGossipInterval, func() { p.ask(ctx, p.farEntries(), "") })
	p.every(ctx, p.members.Settings.GossipInterval, func() {
		p.ask(ctx, p.others(p.host.Identity.Domain), p.host.Identity.Domain)
	})
	return nil
}

func (p *Part) every(ctx context.Context, d time.Duration, do func()) {
	for ctx.Err() == nil {
		do()
		pause(ctx, d)
	}
}

// others lists the entries of a domain, or of all, without this one.
func (p *Part) others(d id.Domain) []*pb.VM {
	var l []*pb.VM
	for _, v := range p.members.List.Entries(d) {
		if id.VM(v.GetId()) != p.host.Identity.VM {
			l = append(l, v)
		}
	}
	return l
}

// farEntries lists the entries of other failure domains.
func (p *Part) farEntries() []*pb.VM {
	var l []*pb.VM
	for _, v := range p.others("") {
		if id.Domain(v.GetDomain()) != p.host.Identity.Domain {
			l = append(l, v)
		}
	}
	return l
}

// ask takes statuses from one of the entries, chosen at random.
func (p *Part) ask(ctx context.Context, entries []*pb.VM, d id.Domain) {
	if len(entries) == 0 {
		return
	}
	ctx, stop := context.WithTimeout(ctx, askTimeout)
	defer stop()
	v := entries[rand.IntN(len(entries))]
	a, err := p.rpc.Config(v.GetAddress()).Exchange(ctx, &pb.ExchangeRequest{
		Versions: p.members.Table.Versions(d),
		Domain:   string(d),
	})
	if err != nil {
		p.host.Log.Debug().Err(err).Str("entry", v.GetId()).Msg("no statuses from an entry")
		return
	}
	p.members.Table.Merge(a.GetUpdates())
}

// catchUp takes configuration from other entries, those of the own failure domain first.
func (p *Part) catchUp(ctx context.Context) error {
	entries := append(p.others(p.host.Identity.Domain), p.farEntries()...)
	for _, v := range entries {
		if p.catchUpFrom(ctx, v) == nil {
			return nil
		}
	}
	return trace.Wrap(platform.ErrUnavailable, "no other entry of %d has the configuration", len(entries))
}

func (p *Part) catchUpFrom(ctx context.Context, v *pb.VM) error {
	ctx, stop := context.WithTimeout(ctx, askTimeout)
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

// rank is this entry's place among the live ones for writing a snapshot.
func (p *Part) rank() int {
	live := []id.VM{p.host.Identity.VM}
	for _, v := range p.others("") {
		if p.members.Table.Alive(id.VM(v.GetId())) {
			live = append(live, id.VM(v.GetId()))
		}
	}
	return rendezvous.Rank("snapshot", live, p.host.Identity.VM)
}
