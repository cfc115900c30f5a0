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

// maxReportLag is how much older than its arrival the state in a report may be: the stager polls the upstream every 100 ms and
// waits up to 700 ms for the answer.
const maxReportLag = time.Second

// ProcessSince returns what the reports that were received after a point in time show of the process at an address that had
// been sent requests before.
func (t *Tracker) ProcessSince(address string, incarnation id.Incarnation, since time.Time) ProcessState {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstreams[address]
	switch {
	case u == nil:
		return ProcessUnknown
	case incarnation.Before(u.incarnation), u.downAt.After(since):
		return ProcessEnded
	case u.report.Life > 0 && u.lifeSince.Before(since) && u.report.ReceivedAt.Sub(since) > maxReportLag:
		return ProcessRuns
	default:
		return ProcessUnknown
	}
}
