// Package spread distributes state from an entry: configuration and swap permits to the agents that have it as their
// home, statuses to other entries by gossip, and configuration to entries that cannot read the platform's log.
package spread

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/gen/springrail/v1/springrailv1connect"
	"github.com/springrail/springrail/internal/configlog"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/membership"
	"github.com/springrail/springrail/internal/rpc"
)

// PartName is the name by which other parts depend on this one.
const PartName = "spread"

// maxPollWait bounds a long poll.
const maxPollWait = 10 * time.Second

// Settings holds the configuration section [activation].
type Settings struct {
	// SwapShare is the share of a failure domain's VMs that may swap at the same time.
	SwapShare float64 `toml:"swap_share"`
}

// Check implements kernel.Section.
func (s *Settings) Check(c *kernel.Checker) {
	c.Require(s.SwapShare > 0 && s.SwapShare <= 1, "swap_share", "a number above 0 and up to 1")
}

func init() {
	kernel.Register(kernel.Part{
		Name:     PartName,
		Section:  "activation",
		Needs:    []string{rpc.PartName, configlog.PartName, membership.PartName},
		Settings: func() kernel.Section { return &Settings{SwapShare: 0.25} },
		New:      newPart,
	})
}

// Part implements the ConfigService and the gossip between entries.
type Part struct {
	host     *kernel.Host
	settings *Settings
	config   *configlog.Part
	members  *membership.Part
	rpc      *rpc.Server
	permits  *SwapPermits
}

func newPart(h *kernel.Host) (any, error) {
	p := &Part{
		host:     h,
		settings: h.Section("activation").(*Settings),
		config:   h.Part(configlog.PartName).(*configlog.Part),
		members:  h.Part(membership.PartName).(*membership.Part),
		rpc:      h.Part(rpc.PartName).(*rpc.Server),
	}
	p.permits = NewSwapPermits(p.settings.SwapShare, p.config.State, p.members.Table.Statuses, time.Now)
	p.rpc.Handle(springrailv1connect.NewConfigServiceHandler(p))
	p.config.SetPeers(p.catchUp, p.snapshotRank)
	return p, nil
}

// Sync records the caller's heartbeat and responds once there is new configuration or a new VM list, or the long poll
// times out.
func (p *Part) Sync(ctx context.Context, r *pb.SyncRequest) (*pb.SyncResponse, error) {
	if s := r.GetStatus(); s != nil {
		p.members.Table.RecordHeartbeat(s)
	}
	if !p.config.Ready() {
		return nil, connect.NewError(connect.CodeUnavailable, trace.Errorf("this entry has no configuration yet"))
	}
	wait := min(time.Duration(r.GetWaitMs())*time.Millisecond, maxPollWait)
	ctx, stop := context.WithTimeout(ctx, wait)
	defer stop()
	for {
		configured, listed := p.config.Changed(), p.members.List.Changed()
		a := p.buildResponse(r)
		if ctx.Err() != nil || hasUpdate(a) {
			return a, nil
		}
		select {
		case <-ctx.Done():
		case <-configured:
		case <-listed:
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func hasUpdate(a *pb.SyncResponse) bool {
	return a.GetState() != nil || len(a.GetRecords()) > 0 || a.GetVmList() != nil
}

func (p *Part) buildResponse(r *pb.SyncRequest) *pb.SyncResponse {
	a := &pb.SyncResponse{}
	a.Records, a.State = p.config.RecordsAfter(id.Offset(r.GetOffset()))
	if l := p.members.List.Get(); l.GetVersion() > r.GetVmListVersion() {
		a.VmList = l
	}
	return a
}

// Exchange returns the statuses that are newer than the caller's.
func (p *Part) Exchange(_ context.Context, r *pb.ExchangeRequest) (*pb.ExchangeResponse, error) {
	return &pb.ExchangeResponse{Updates: p.members.Table.UpdatesSince(r.GetVersions(), id.Domain(r.GetDomain()))}, nil
}
