package placement

import "time"

const (
	// maxClearRoundTrip is the longest round trip of a probe on a path without a lasting queue. It is below the 0.2 s
	// for which a stager lets chunks delay requests, and above the round trips of links with the planned bandwidth. With
	// a longer one, a link of 0.46 Mbit/s counts as clear if probes meet single pieces of 16 KB.
	maxClearRoundTrip = 150 * time.Millisecond
	// maxQueueGrowth is the assumed growth of a queue, in seconds of delay per second since the last echoed probe: 2 is
	// a link that receives three times its capacity.
	maxQueueGrowth = 2
	// maxEchoIntervals is how many report intervals the echo of a probe may take on a clear path.
	maxEchoIntervals = 1.5
)

// Path is the state of the network path to an upstream's VM and back, measured by timestamped probes. Probes go to the
// stager on that VM over the same link as requests, and its reports echo them. They detect chunks of weights, or a long
// configuration, that queue in front of requests on a link with reduced bandwidth. A request can't be withdrawn once it
// is sent, so that one is sent in the last seconds of its version's lifetime only on a path that a recent probe has
// shown to be clear.
type Path struct {
	// newestEcho is the send time of the newest echoed probe: everything sent before it has arrived.
	newestEcho time.Time
	// oldestPending is the send time of the first known probe after newestEcho that has no echo yet, and newestSent that
	// of the newest probe.
	oldestPending, newestSent time.Time
	// reportInterval is the usual time between two reports.
	reportInterval time.Duration
	// lastSlow is when an echo was last received late or found overdue.
	lastSlow time.Time
}

// RecordProbe records that a probe was sent.
func (w *Path) RecordProbe(stamp time.Time) {
	w.checkOverdue(stamp)
	w.newestSent = stamp
	if w.oldestPending.IsZero() {
		w.oldestPending = stamp
	}
}

// RecordEcho records a report that echoes a probe. heldFor is the time between the stager's receipt of the probe and the
// report, and interval the time between reports.
func (w *Path) RecordEcho(stamp time.Time, heldFor, interval time.Duration, now time.Time) {
	if stamp.IsZero() {
		return
	}
	w.checkOverdue(now)
	if now.Sub(stamp)-heldFor > maxClearRoundTrip {
		w.lastSlow = now
	}
	w.reportInterval = interval
	if !stamp.After(w.newestEcho) {
		return
	}
	w.newestEcho, w.oldestPending = stamp, time.Time{}
	if w.newestSent.After(stamp) {
		w.oldestPending = w.newestSent
	}
}

// checkOverdue records the path as slow if an echo is overdue.
func (w *Path) checkOverdue(now time.Time) {
	if w.echoOverdue(now) {
		w.lastSlow = now
	}
}

// echoOverdue reports whether an echo has been missing for longer than on a clear path.
func (w *Path) echoOverdue(now time.Time) bool {
	return !w.oldestPending.IsZero() && !w.newestEcho.IsZero() && now.Sub(w.oldestPending) > time.Duration(maxEchoIntervals*float64(w.reportInterval))+maxClearRoundTrip
}

// PathState is the state of the path that a request sent now would take.
type PathState int

const (
	// PathUnproven is a path without any echoed probe yet.
	PathUnproven PathState = iota
	// PathClear is a path with a recent echo and without a lasting queue.
	PathClear
	// PathQueued is a path with an overdue echo, or with one that was late recently, which shows a lasting queue.
	PathQueued
)

// MaxDelay returns the longest network delay to allow for a request sent now; within is the time for which a version may
// still be used after its successor was published. On a clear path the delay is the clear round trip plus the growth of
// a queue since the last echo. Behind a queue no delay is known to be enough: the next configuration, of 0.6 MB, takes
// 10 s at 0.5 Mbit/s, and an idle narrow link looks clear. The whole of within is returned there until that time has
// passed since the last sign of the queue, so that nothing is sent.
//
// This does not cover a queue that appears suddenly between the last echo and the next one, which is then missing (0.7 s
// with a report each 0.2 s), and that delays requests for longer than the version's remaining lifetime. In the last
// seconds of that the path is therefore probed again before each send (Candidate.NeedsProbe).
func (w *Path) MaxDelay(now time.Time, within time.Duration) (time.Duration, PathState) {
	switch {
	case w.newestEcho.IsZero():
		return within / 2, PathUnproven
	case w.echoOverdue(now) || (!w.lastSlow.IsZero() && now.Sub(w.lastSlow) < within):
		return within, PathQueued
	default:
		return min(within, maxClearRoundTrip+time.Duration(maxQueueGrowth*float64(now.Sub(w.newestEcho)))), PathClear
	}
}
