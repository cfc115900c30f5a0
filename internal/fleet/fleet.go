// Package fleet runs a small springrail deployment in one process: simulated platform and upstreams, real entries and
// agents, and a bandwidth-limited link for each VM. Experiments and end-to-end tests use it.
package fleet

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/springrail/springrail/gen/springrail/v1/springrailv1connect"
	"github.com/springrail/springrail/internal/dispatch"
	"github.com/springrail/springrail/internal/follow"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/limits"
	"github.com/springrail/springrail/internal/membership"
	"github.com/springrail/springrail/internal/platform"
	"github.com/springrail/springrail/internal/router"
	"github.com/springrail/springrail/internal/rpc"
	"github.com/springrail/springrail/internal/spread"
	"github.com/springrail/springrail/internal/standin"
	"github.com/springrail/springrail/internal/status"
	"github.com/springrail/springrail/internal/transfer"
	"github.com/springrail/springrail/internal/upstream"
)

// The organisation and model of experiments, and the organisation's secrets.
const (
	Organisation  = "gym"
	Model         = "desk"
	Service       = "frontdesk"
	AdminToken    = "admin-token"
	OperatorToken = "gym-operator"
	CallerKey     = "gym-caller"
)

// Options are the size and parameters of a fleet.
type Options struct {
	VMs, Domains int
	// LinkBytesPerSecond is the bandwidth of a VM's link; the origin has OriginLinks times as much.
	LinkBytesPerSecond float64
	OriginLinks        float64
	HalfDuplex         bool
	Seed               uint64
	Swarm              *transfer.Settings
	ListLag            time.Duration
	// Skew is the clock difference between neighbouring VMs.
	Skew time.Duration
	// Serving adds an engine to each agent, the APIs to the entries, and a plain service.
	Serving bool
	Engine  standin.EngineSettings
	// Drain is the time for a graceful shutdown of a process.
	Drain time.Duration
}

// Fleet is a simulated platform, an entry per failure domain, and agents, all in this process over loopback.
type Fleet struct {
	Platform *standin.Platform
	// PlatformURL is the base URL of the platform.
	PlatformURL string
	Agents      []*Agent
	Entries     []*Entry
	// Goroutines counts the goroutines that Close waits for.
	Goroutines  sync.WaitGroup
	size        Options
	listed      []standin.ListedVM
	domainOf    sync.Map
	partitioned atomic.Pointer[id.Domain]
	stop        context.CancelFunc
}

// New starts a fleet; Close ends it.
func New(ctx context.Context, s Options) (*Fleet, error) {
	ctx, stop := context.WithCancel(ctx)
	f := &Fleet{size: s, stop: stop}
	f.Platform = &standin.Platform{
		Log: standin.NewLog(100000), VMs: standin.NewVMList(s.ListLag), Store: standin.NewWeights("", 0),
		Origin: standin.NewWeights("", int(s.OriginLinks*s.LinkBytesPerSecond)),
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.PlatformURL = "http://" + l.Addr().String()
	f.Goroutines.Go(func() { _ = standin.ServeOn(ctx, l, f.Platform.Handler()) })
	for d := range s.Domains {
		if err := f.addEntry(ctx, d); err != nil {
			return nil, err
		}
	}
	for i := range s.VMs {
		if err := f.addAgent(ctx, i, false); err != nil {
			return nil, err
		}
	}
	if s.Serving {
		if err := f.addAgent(ctx, s.VMs, true); err != nil {
			return nil, err
		}
	}
	f.Platform.VMs.Set(f.listed)
	return f, nil
}

// Close stops the fleet and waits until all of its parts have ended.
func (f *Fleet) Close() {
	f.stop()
	f.Goroutines.Wait()
}

func (f *Fleet) domain(i int) id.Domain {
	return id.Domain(fmt.Sprintf("domain-%d", i%f.size.Domains))
}

// reachable returns false for two failure domains that a partition separates.
func (f *Fleet) reachable(from, to id.Domain) bool {
	c := f.partitioned.Load()
	return c == nil || from == to || (from != *c && to != *c)
}

// Partition separates a failure domain from all others. Its existing connections to them are closed.
func (f *Fleet) Partition(d id.Domain) {
	f.partitioned.Store(&d)
	for _, a := range f.Agents {
		a.Link.closeConns(func(c *shapedConn) bool { return c.to != "" && !f.reachable(a.Domain, c.to) })
	}
}

// HealPartition ends a partition.
func (f *Fleet) HealPartition() {
	f.partitioned.Store(nil)
}

// Dialer returns a dial function for connections from an agent's VM.
func (f *Fleet) Dialer(a *Agent) func(ctx context.Context, network, address string) (net.Conn, error) {
	return a.Link.dialer(f.lookup)
}

func (f *Fleet) lookup(address string) (id.Domain, bool) {
	d, ok := f.domainOf.Load(address)
	if !ok {
		return "", false
	}
	return d.(id.Domain), true
}

// clock returns the clock of the i-th VM: one third of the clocks is slow by Skew, one third is fast by Skew.
func (f *Fleet) clock(i int) *kernel.Clock {
	skew := time.Duration(i%3-1) * f.size.Skew
	return kernel.NewClock(func() time.Time { return time.Now().Add(skew) })
}

func quietLog() *log.Logger {
	return &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}}
}

// newHost creates a host with the named parts of the real binaries, using the fleet's server and platform client.
func (f *Fleet) newHost(vm string, d id.Domain, names []string, clock *kernel.Clock, s *rpc.Server, dial func(ctx context.Context, network, address string) (net.Conn, error),
	configure func(sections map[string]kernel.Section),
) (*kernel.Host, error) {
	wanted := map[string]bool{}
	for _, n := range names {
		wanted[n] = true
	}
	client := &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 8, DisableCompression: true}}
	parts := []kernel.Part{
		{Name: rpc.PartName, New: func(*kernel.Host) (any, error) { return s, nil }},
		{Name: platform.PartName, New: func(*kernel.Host) (any, error) {
			return platform.New(&platform.Settings{Log: f.PlatformURL, VMList: f.PlatformURL, Origin: f.PlatformURL}, client), nil
		}},
	}
	for _, p := range kernel.Registered() {
		if wanted[p.Name] {
			parts = append(parts, p)
		}
	}
	sections := kernel.DefaultSections(parts)
	p := sections["process"].(*kernel.ProcessSettings)
	p.VM, p.Domain = vm, string(d)
	if f.size.Drain > 0 {
		p.Drain = f.size.Drain
	}
	configure(sections)
	return kernel.NewHost(parts, sections, quietLog(), clock)
}

func (f *Fleet) run(ctx context.Context, h *kernel.Host, done chan struct{}) {
	f.Goroutines.Go(func() {
		defer close(done)
		_ = h.Run(ctx)
	})
}

// listen opens a loopback listener on a port that the system chooses.
func listen() (net.Listener, error) {
	return net.Listen("tcp", "127.0.0.1:0")
}

// The parts of the binaries that a fleet makes.
var (
	entryParts        = []string{"config log", membership.PartName, spread.PartName}
	servingEntryParts = []string{router.PartName, limits.PartName, dispatch.PartName, "caller API", "operator API", status.PartName}
	agentParts        = []string{follow.PartName, transfer.PartName}
	servingAgentParts = []string{upstream.PartName, status.PartName}
)

// anyPort is a loopback address whose port the system chooses.
const anyPort = "127.0.0.1:0"

// Config returns a client of an entry's configuration service.
func (f *Fleet) Config(entry int) springrailv1connect.ConfigServiceClient {
	return f.Entries[entry].host.Part(rpc.PartName).(*rpc.Server).Config(f.listed[entry].Address)
}

// UpdateVMList publishes the VM list as change modifies it.
func (f *Fleet) UpdateVMList(change func(vms []standin.ListedVM)) {
	l := slices.Clone(f.listed)
	change(l)
	f.Platform.VMs.Set(l)
}

// WaitReady waits until each agent is ready and knows all VMs.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, a := range f.Agents {
		for !a.Follower.Ready() || len(a.Follower.List.Get().GetVms()) < len(f.listed) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s is not ready: %w", a.VM, ctx.Err())
			case <-time.After(10 * time.Millisecond):
			}
		}
	}
	return nil
}
