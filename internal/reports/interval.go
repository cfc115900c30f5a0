package reports

import (
	"time"

	pb "github.com/springrail/springrail/gen/springrail/v1"
)

const (
	// reportInterval is the time between two reports while nothing but the load changes.
	reportInterval = 200 * time.Millisecond
	// reservedReportInterval replaces reportInterval while gateways ask for reservations. The answers then carry the load,
	// and reports the versions and the membership.
	reservedReportInterval = 500 * time.Millisecond
	// reservationMemory is how long after a request for a reservation reports remain rare; it spans a lull of some requests.
	reservationMemory = 2 * time.Second
	// repeatInterval is the time after which the report of a change is repeated while reports are rare. An upstream that is
	// about to load waits for 250 ms, which have to cover this time and a poll interval of 100 ms.
	repeatInterval = 100 * time.Millisecond
	// cycle is the time in which one report lists gateways, contains the demand and goes to gateways of other failure
	// domains. A gateway rarely sends requests outside its own domain; one that does requests every report. Reports are most
	// of the traffic between regions when little else happens.
	cycle = time.Second
)

// Interval returns the time between two reports while nothing but the load changes. While the upstream serves an outdated
// version, gateways need the echoes of frequent reports to see a queue on the path before the version's end.
func (r *Reporter) Interval() time.Duration {
	if r.outdated.Load() {
		return reportInterval
	}
	if last := r.lastReservation.Load(); last != 0 && r.now().UnixNano()-last < int64(reservationMemory) {
		return reservedReportInterval
	}
	return reportInterval
}

// servesOutdated reports whether a report shows an upstream that serves an older version than the newest one.
func servesOutdated(p *pb.UpstreamReport) bool {
	n := p.GetNamed()
	for _, h := range p.GetHeld() {
		if n != nil && h.GetModel() == n.GetModel() && h.GetRevision() < n.GetRevision() {
			return true
		}
	}
	return false
}

// RepeatDue reports whether the report of a change has to be repeated before the next regular report, as the first one may
// have been lost. At the usual interval the next regular one comes soon enough.
func (r *Reporter) RepeatDue() bool {
	if r.Interval() == reportInterval {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.urgentPending > 0 && !r.now().Before(r.repeatAt)
}

// reportsPerCycle returns the number of reports in a cycle.
func reportsPerCycle(interval time.Duration) uint64 {
	return uint64((cycle + interval - 1) / interval)
}

// fullReport reports whether the current report is the one of its cycle that contains everything; the caller holds the
// lock.
func (r *Reporter) fullReport() bool {
	return r.lastNumber%reportsPerCycle(r.Interval()) == 0
}

// localEveryMs returns the interval that reports to the own failure domain state; 0 stands for reportInterval, the only
// interval that older releases know.
func localEveryMs(interval time.Duration) uint32 {
	if interval == reportInterval {
		return 0
	}
	return uint32(interval.Milliseconds())
}
