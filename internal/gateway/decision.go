package gateway

import (
	"time"

	"github.com/phuslu/log"

	"github.com/springrail/springrail/internal/placement"
)

// decision is what the newest choice for a request rested on. It goes into the log line of a request that was not
// served, so that the line says why.
type decision struct {
	out leftOut
	// until is the latest end of the time of the versions that upstreams were left out for.
	until time.Time
	// nearest is the upstream that came nearest to taking the request, and wait its predicted first event for a usual
	// request; aim is what wait and passed, the time that had gone by, were held against.
	nearest           string
	wait, passed, aim time.Duration
	// age is how old the nearest upstream's report was, and known whether there was one to go by.
	age   time.Duration
	known bool
	// permitDue is how long it takes until the first of the limited upstreams that were left out has a permit.
	permitDue time.Duration
	// restDue is how long it takes until the first of the resting upstreams that were left out takes requests again.
	restDue time.Duration
}

// noteLimited counts an upstream that was left out because of its limit.
func (k *decision) noteLimited(due time.Duration) {
	if k.out.limited++; k.out.limited == 1 || due < k.permitDue {
		k.permitDue = due
	}
}

// noteResting counts an upstream that was left out because it rests.
func (k *decision) noteResting(due time.Duration) {
	if k.out.resting++; k.out.resting == 1 || due < k.restDue {
		k.restDue = due
	}
}

// due is when the first upstream takes a request again that was left out for a time that is known, and why it was left
// out; empty where none was.
func (k *decision) due() (why string, due time.Duration) {
	switch {
	case k.out.limited > 0 && (k.out.resting == 0 || k.permitDue <= k.restDue):
		return "limited", k.permitDue
	case k.out.resting > 0:
		return "resting", k.restDue
	default:
		return "", 0
	}
}

// note keeps the end of the time of a version that an upstream was left out for.
func (k *decision) note(until time.Time) {
	if until.After(k.until) {
		k.until = until
	}
}

// swapRetry is when a caller may come back where no upstream is left: upstreams that were left out for their older
// version are closed, and load, when its time is over at the latest. It guards against callers that come back into the
// same seconds of a swap.
func (k *decision) swapRetry(now time.Time) time.Duration {
	return max(placement.NoUpstreamRetryAfter, k.until.Sub(now))
}

// leftOut counts the upstreams of the pool that could not be chosen, each under the first reason that held.
type leftOut struct {
	// leaving ones are about to end, closed ones about to load weights, down ones silent towards their stager.
	leaving, closed, down int
	// empty ones serve no version of the model; over ones serve one whose time ends before the request would begin,
	// queued ones such a version behind a link on which a request may wait for longer than is known; other ones not the
	// version that the stream began with.
	empty, over, queued, other int
	// suspect ones have failed lately, narrow ones are behind a link on which requests queue: both are last resorts.
	suspect, narrow int
	// tried ones have had this request, limited ones have no permit for it, resting ones want none of this gateway for now.
	tried, limited, resting int
}

// note counts what of the candidates is no first choice.
func (o *leftOut) note(c *placement.Candidate, tried bool) {
	switch {
	case tried:
		o.tried++
	case c.Congested:
		o.narrow++
	case c.Suspect:
		o.suspect++
	}
}

// MarshalObject implements log.ObjectMarshaler; reasons that no upstream was left out for are not written.
func (o *leftOut) MarshalObject(e *log.Entry) {
	for _, r := range []struct {
		name string
		n    int
	}{
		{"leaving", o.leaving},
		{"closed", o.closed},
		{"down", o.down},
		{"empty", o.empty},
		{"over", o.over},
		{"queued", o.queued},
		{"other", o.other},
		{"suspect", o.suspect},
		{"narrow", o.narrow},
		{"tried", o.tried},
		{"limited", o.limited},
		{"resting", o.resting},
	} {
		if r.n > 0 {
			e.Int(r.name, r.n)
		}
	}
}

// log adds the decision to a request's line.
func (k *decision) log(e *log.Entry) {
	if k.out != (leftOut{}) {
		e.Object("left_out", &k.out)
	}
	if k.out.limited > 0 {
		e.Int64("permit_due_ms", k.permitDue.Milliseconds())
	}
	if k.out.resting > 0 {
		e.Int64("rest_due_ms", k.restDue.Milliseconds())
	}
	if k.nearest == "" {
		return
	}
	e.Str("nearest", k.nearest).Int64("wait_ms", k.wait.Milliseconds()).Int64("passed_ms", k.passed.Milliseconds()).
		Int64("aim_ms", k.aim.Milliseconds())
	if k.known {
		e.Int64("report_age_ms", k.age.Milliseconds())
	}
}
