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
	// ProcessEnded means that the process did not answer its stager after the given time, or that a later one has started.
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
	case incarnation.Before(u.incarnation), u.downSince.After(since):
		return ProcessEnded
	case u.report.Life > 0 && !u.report.Down && u.lifeSince.Before(since) && u.report.EchoedStamp.Add(-u.report.StateAge).After(since):
		return ProcessRuns
	default:
		return ProcessUnknown
	}
}
