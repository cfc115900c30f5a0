package traffic

import (
	"context"
	"net"
	"time"

	"github.com/phuslu/log"

	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
)

// PartName is the name of this part, under which other parts declare it as a dependency.
const PartName = "traffic"

// LogMessage is the message of log lines that hold a snapshot. SnapshotKey is the snapshot's key in these lines and in the
// metrics document.
const (
	LogMessage  = "traffic"
	SnapshotKey = "traffic"
)

// minLogInterval is the minimum interval between log lines with a snapshot, which are up to 2 KB each.
const minLogInterval = 200 * time.Millisecond

// Settings holds the settings section [traffic].
type Settings struct {
	// Regions maps each failure domain to its region. If it is empty, all failure domains count as one region, and requests
	// that are restricted to some regions are refused.
	Regions map[string]string `toml:"regions"`
	// LogEvery is the interval at which the counts are logged; 0 disables logging them.
	LogEvery time.Duration `toml:"log_every"`
}

// Check implements kernel.Section.
func (s *Settings) Check(c *kernel.Checker) {
	c.Require(s.LogEvery == 0 || s.LogEvery >= minLogInterval, "log_every", "0 for never, or a time of at least 200ms")
}

func init() {
	kernel.Register(kernel.Part{
		Name:     PartName,
		Section:  PartName,
		Needs:    []string{facts.PartName},
		Settings: func() kernel.Section { return &Settings{} },
		New: func(h *kernel.Host) (any, error) {
			s := h.Section(PartName).(*Settings)
			regions := map[id.Domain]id.Region{}
			for d, r := range s.Regions {
				regions[id.Domain(d)] = id.Region(r)
			}
			f := h.Part(facts.PartName).(*facts.Facts)
			p := &Part{
				Counter: New(h.Identity.Domain, regions, domainLookup(f, h.Identity.Domain), time.Now), logInterval: s.LogEvery, log: h.Log,
			}
			h.Metric(SnapshotKey, p.Counter)
			return p, nil
		},
	})
}

// domainLookup returns a function that finds the failure domain of an upstream's host, or of a gateway's host in the
// process's own failure domain. Other hosts are unknown to it.
func domainLookup(f *facts.Facts, self id.Domain) func(host string) (id.Domain, bool) {
	return func(host string) (id.Domain, bool) {
		for _, i := range f.Instances() {
			if h, _, err := net.SplitHostPort(i.Address); err == nil && h == host {
				return i.Domain, true
			}
		}
		for _, a := range f.Gateways() {
			if h, _, err := net.SplitHostPort(a); err == nil && h == host {
				return self, true
			}
		}
		return "", false
	}
}

// Part is the process's traffic counter, which logs a snapshot of its counts at a fixed interval.
type Part struct {
	*Counter
	logInterval time.Duration
	log         *log.Logger
}

// Run logs a snapshot at every interval until the context ends, and a last one then. It logs none if the interval is 0.
func (p *Part) Run(ctx context.Context) error {
	if p.logInterval == 0 {
		return nil
	}
	for ctx.Err() == nil {
		kernel.Pause(ctx, p.logInterval)
		p.log.Info().RawJSON(SnapshotKey, []byte(p.String())).Msg(LogMessage)
	}
	return nil
}
