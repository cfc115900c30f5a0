package membership

import (
	"context"
	"time"

	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/platform"
)

// PartName is the name of this part in the Needs of other parts.
const PartName = "membership"

// Settings is the settings section [membership].
type Settings struct {
	// ListInterval is the interval between reads of the platform's VM list.
	ListInterval time.Duration `toml:"list_every"`
	// GossipInterval is the interval at which an entry requests statuses from another entry of its failure domain.
	GossipInterval time.Duration `toml:"gossip_every"`
	// RemoteGossipInterval is the interval at which an entry requests statuses from an entry of another failure domain.
	RemoteGossipInterval time.Duration `toml:"far_every"`
}

// Check implements kernel.Section.
func (s *Settings) Check(c *kernel.Checker) {
	ok := func(d time.Duration) bool { return d >= 50*time.Millisecond && d <= time.Minute }
	const want = "a time from 50ms to 1m"
	c.Require(ok(s.ListInterval), "list_every", want)
	c.Require(ok(s.GossipInterval), "gossip_every", want)
	c.Require(ok(s.RemoteGossipInterval), "far_every", want)
}

func init() {
	kernel.Register(kernel.Part{
		Name:    PartName,
		Section: "membership",
		Needs:   []string{platform.PartName},
		Settings: func() kernel.Section {
			return &Settings{ListInterval: time.Second, GossipInterval: 500 * time.Millisecond, RemoteGossipInterval: 3 * time.Second}
		},
		New: func(h *kernel.Host) (any, error) {
			return &Part{
				Table:    NewTable(h.Identity.VM, h.Identity.Domain, time.Now),
				List:     NewList(),
				Settings: h.Section("membership").(*Settings),
				host:     h,
				platform: h.Part(platform.PartName).(*platform.Client),
			}, nil
		},
	})
}

// Part is the membership of an entry: the cached VM list and the table of statuses.
type Part struct {
	Table    *Table
	List     *List
	Settings *Settings
	host     *kernel.Host
	platform *platform.Client
}

// Run polls the VM list until the context ends.
func (p *Part) Run(ctx context.Context) error {
	p.List.Poll(ctx, p.Settings.ListInterval, p.host.Log, p.platform.ListVMs)
	return nil
}
