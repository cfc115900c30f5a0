package placement

import "time"

const (
	// wayClear is the longest trip of a stamp and its echo over a way on which nothing queues for long. It is below the
	// 0.2 s for which a stager lets chunks hold up requests, and above the trips of links that are as wide as planned.
	// A longer one lets a link of 0.46 Mbit/s pass for clear where stamps meet single pieces of 16 KB.
	wayClear = 150 * time.Millisecond
	// wayGrowth is how much a queue may have grown in each second since the way was proven: 2 is a link that is given
	// three times what it carries.
	wayGrowth = 2
	// wayReports is how many times the usual time between two reports an answer to a stamp may stay out on a clear way.
	wayReports = 1.5
)

// Path is what this process has seen of the way to an upstream's VM and back. Stamps go to the stager on that VM over
// the same link as requests, and its reports bring them back. The load it answers: chunks of weights, or a long
// configuration, that queue on a link which has become narrow, in front of requests. A request that was sent can't be
// taken back, so that of a version's last seconds is sent only where the way is proven.
type Path struct {
	// proven is the newest stamp that came back: what was sent before it had arrived.
	proven time.Time
	// asked is a stamp since then that has not come back, the first one as far as it is known, and last the newest one.
	asked, last time.Time
	// every is the usual time between two reports.
	every time.Duration
	// slow is when the way was last seen not to be clear.
	slow time.Time
}

// RecordProbe notes that a stamp was sent.
func (w *Path) RecordProbe(stamp time.Time) {
	w.look(stamp)
	w.last = stamp
	if w.asked.IsZero() {
		w.asked = stamp
	}
}

// RecordEcho notes a report that came with a stamp; held is how long the stamp had been there, and every how far apart reports are.
func (w *Path) RecordEcho(stamp time.Time, held, every time.Duration, now time.Time) {
	if stamp.IsZero() {
		return
	}
	w.look(now)
	if now.Sub(stamp)-held > wayClear {
		w.slow = now
	}
	w.every = every
	if !stamp.After(w.proven) {
		return
	}
	w.proven, w.asked = stamp, time.Time{}
	if w.last.After(stamp) {
		w.asked = w.last
	}
}

// look notes an answer that stays out.
func (w *Path) look(now time.Time) {
	if w.out(now) {
		w.slow = now
	}
}

// out says whether an answer stays out for longer than on a clear way.
func (w *Path) out(now time.Time) bool {
	return !w.asked.IsZero() && !w.proven.IsZero() && now.Sub(w.asked) > time.Duration(wayReports*float64(w.every))+wayClear
}

// PathState is what is known of the way that a request would take now.
type PathState int

const (
	// PathUnproven is a way of which nothing has been seen: no stamp has come back yet.
	PathUnproven PathState = iota
	// PathClear is one that was proven lately, and on which nothing has queued for long.
	PathClear
	// PathQueued is one on which something has queued for longer lately, or an answer stays out.
	PathQueued
)

// MaxDelay returns the longest delay on the way that a request sent now is to bear, where the version that it must begin
// on may be used for a time since a newer one was named. On a clear way that is what the way took, and what a queue may
// have grown to since that was seen. Behind a queue no delay is known to be enough: the next configuration, of 0.6 MB,
// takes 10 s of 0.5 Mbit/s, and an idle narrow link looks clear, so that nothing is sent for as long as a version's
// time after the last sign of it. Beyond it: a queue that comes of a sudden in the moments between the last proof and
// its missing successor, 0.7 s of reports each 0.2 s, and holds more than what is left of the version's time; in its
// last seconds the way is therefore proven anew before each send (Candidate.NeedsProbe).
func (w *Path) MaxDelay(now time.Time, within time.Duration) (time.Duration, PathState) {
	switch {
	case w.proven.IsZero():
		return within / 2, PathUnproven
	case w.out(now) || (!w.slow.IsZero() && now.Sub(w.slow) < within):
		return within, PathQueued
	default:
		return min(within, wayClear+time.Duration(wayGrowth*float64(now.Sub(w.proven)))), PathClear
	}
}
