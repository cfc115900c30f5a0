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

// PartName is what other parts name in their needs.
const PartName = "traffic"

// LogMessage is the message of the log lines with a snapshot, and SnapshotKey the snapshot's field there and among the metrics.
const (
	LogMessage  = "traffic"
	SnapshotKey = "traffic"
)

// leastLog bounds how often a line is written: it has up to 2 KB.
const leastLog = 200 * time.Millisecond

// Settings is the section [traffic].
type Settings struct {
	// Regions says which region each failure domain is in; without it all count as in one.
	Regions map[string]string `toml:"regions"`
	// LogEvery is how often the counts are logged; 0 is never.
	LogEvery time.Duration `toml:"log_every"`
}

// Check implements kernel.Section.
func (s *Settings) Check(c *kernel.Checker) {
	c.Require(s.LogEvery == 0 || s.LogEvery >= leastLog, "log_every", "0 for never, or a time of at least 200ms")
}

func init() {
	kernel.Register(kernel.Part{
		Name:     PartName,
		Section:  PartName,
		Needs:    []string{facts.PartName},
		Settings: func() kernel.Section { return &Settings{} },
		New: func(h *kernel.Host) (any, error) {
			s := h.Section(PartName).(*Settings)
			regions := map[id.Domain]string{}
			for d, r := range s.Regions {
				regions[id.Domain(d)] = r
			}
			f := h.Part(facts.PartName).(*facts.Facts)
			p := &Part{
				Counter: New(h.Identity.Domain, regions, domains(f, h.Identity.Domain), time.Now), every: s.LogEvery, log: h.Log,
			}
			h.Metric(SnapshotKey, p.Counter)
			return p, nil
		},
	})
}

// domains finds the failure domain of a host: of an upstream's, or of a gateway's in the own domain. Others are not known.
func domains(f *facts.Facts, self id.Domain) func(host string) (id.Domain, bool) {
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

// Part is the counter of a process; it logs its counts now and then.
type Part struct {
	*Counter
	every time.Duration
	log   *log.Logger
}

// Run logs the counts until the context ends, and once at the end.
func (p *Part) Run(ctx context.Context) error {
	if p.every == 0 {
		return nil
	}
	for ctx.Err() == nil {
		kernel.Pause(ctx, p.every)
		p.log.Info().RawJSON(SnapshotKey, []byte(p.String())).Msg(LogMessage)
	}
	return nil
}
