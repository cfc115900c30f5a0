package placement

import (
	"time"

	"github.com/springrail/springrail/internal/id"
)

// ProcessState is what reports show of an upstream's process.
type ProcessState int

const (
	// ProcessUnknown means that the reports don't tell.
	ProcessUnknown ProcessState = iota
	// ProcessRuns means that the process still ran after the given time.
	ProcessRuns
	// ProcessDown means that the process did not answer its stager after the given time.
	ProcessDown
	// ProcessEnded means that a later one has started.
	ProcessEnded
)

// ProcessSince returns what the reports on the process at an address show that was sent requests until a point in time. A report
// shows that the process ran later only if the stager read the state later, which the newest time that the report echoes proves.
func (t *Tracker) ProcessSince(address string, incarnation id.Incarnation, since time.Time) ProcessState {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstreams[address]
	switch {
	case u == nil:
		return ProcessUnknown
	case incarnation.Before(u.incarnation):
		return ProcessEnded
	case u.downSince.After(since):
		return ProcessDown
	case u.report.Life > 0 && !u.report.Down && u.lifeSince.Before(since) && u.report.EchoedStamp.Add(-u.report.StateAge).After(since):
		return ProcessRuns
	default:
		return ProcessUnknown
	}
}

// provenRun is when a process is known to have answered its stager, as reports with one Life say.
type provenRun struct {
	life uint64
	// since is when the first of the reports was received, and last the newest time at which the process is known to have run.
	since, last time.Time
}

// record adds a report.
func (p *provenRun) record(r LoadReport) {
	if r.Life == 0 || r.Down || r.EchoedStamp.IsZero() {
		return
	}
	if p.life != r.Life {
		*p = provenRun{life: r.Life, since: r.ReceivedAt}
	}
	p.last = r.EchoedStamp.Add(-r.StateAge)
}

// LastRan returns when the process at an address that was sent a request at a given time is last known to have answered its
// stager; zero if the reports don't tell.
func (t *Tracker) LastRan(address string, incarnation id.Incarnation, sentAt time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstreams[address]
	if u == nil || incarnation.Before(u.incarnation) || !u.run.since.Before(sentAt) {
		return time.Time{}
	}
	return u.run.last
}
