package gateway

import (
	"time"

	"github.com/phuslu/log"

	"github.com/springrail/springrail/internal/placement"
)

// decision records the basis of the newest upstream selection for a request. It goes into the log line of a request
// that was not served, to explain why.
type decision struct {
	excluded exclusions
	// latestVersionEnd is the latest end of the grace periods of the versions because of which upstreams were
	// excluded.
	latestVersionEnd time.Time
	// nearest is the upstream with the shortest wait, and predictedWait its predicted time to the first event of a
	// request of usual size. It and elapsed, the time that had passed already, were compared with aim, the latency
	// objective.
	nearest                     string
	predictedWait, elapsed, aim time.Duration
	// reportAge is the age of the nearest upstream's load report, and reportKnown is false if there was none.
	reportAge   time.Duration
	reportKnown bool
	// permitDueIn is the time until the first of the excluded rate-limited upstreams has a permit.
	permitDueIn time.Duration
	// restDueIn is the time until the first of the excluded pausing upstreams takes requests again.
	restDueIn time.Duration
}

// noteLimited counts an upstream that was excluded because of its rate limit.
func (k *decision) noteLimited(dueIn time.Duration) {
	if k.excluded.limited++; k.excluded.limited == 1 || dueIn < k.permitDueIn {
		k.permitDueIn = dueIn
	}
}

// noteResting counts an upstream that was excluded because it has asked for a pause.
func (k *decision) noteResting(dueIn time.Duration) {
	if k.excluded.resting++; k.excluded.resting == 1 || dueIn < k.restDueIn {
		k.restDueIn = dueIn
	}
}

// nextDue returns the time until the first upstream that was excluded for a known time takes requests again, and
// why it was excluded; the reason is empty if there is none.
func (k *decision) nextDue() (reason string, dueIn time.Duration) {
	switch {
	case k.excluded.limited > 0 && (k.excluded.resting == 0 || k.permitDueIn <= k.restDueIn):
		return "limited", k.permitDueIn
	case k.excluded.resting > 0:
		return "resting", k.restDueIn
	default:
		return "", 0
	}
}

// noteVersionEnd records the end of a version's grace period because of which an upstream was excluded.
func (k *decision) noteVersionEnd(versionEnd time.Time) {
	if versionEnd.After(k.latestVersionEnd) {
		k.latestVersionEnd = versionEnd
	}
}

// retryAfterSwap returns the Retry-After where no upstream is available. Upstreams that were excluded for an older
// version stop taking requests and load the new weights when its grace period ends at the latest. Callers that
// retry earlier would be refused again during the same swap.
func (k *decision) retryAfterSwap(now time.Time) time.Duration {
	return max(placement.NoUpstreamRetryAfter, k.latestVersionEnd.Sub(now))
}

// exclusions counts the upstreams of the pool that could not be chosen, each under the first reason that applied.
type exclusions struct {
	// leaving counts upstreams that are draining, closed those about to load weights, down those that do not respond
	// to their stager.
	leaving, closed, down int
	// empty counts upstreams that serve no version of the model. over counts those whose version's grace period ends
	// before the request would begin, queued those where the same holds because requests may queue on the link for an
	// unknown time, and other those that serve another version than the stream began with.
	empty, over, queued, other int
	// suspect counts upstreams with recent failures, narrow those behind a link on which requests queue. Both are
	// chosen as a last resort only.
	suspect, narrow int
	// tried counts upstreams that have had this request, limited those without a permit for it, resting those that
	// have asked this gateway to pause.
	tried, limited, resting int
	// evacuated counts upstreams in evacuated failure domains, and region those outside the regions in which the request
	// may be served. cold counts upstreams that are cold and whose stager does not report.
	evacuated, region, cold int
}

// countCandidate counts a candidate that is not a first choice.
func (o *exclusions) countCandidate(c *placement.Candidate, tried bool) {
	switch {
	case tried:
		o.tried++
	case c.Congested:
		o.narrow++
	case c.Suspect:
		o.suspect++
	}
}

// MarshalObject implements log.ObjectMarshaler; reasons with a count of 0 are omitted.
func (o *exclusions) MarshalObject(e *log.Entry) {
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
		{"evacuated", o.evacuated},
		{"region", o.region},
		{"cold", o.cold},
	} {
		if r.n > 0 {
			e.Int(r.name, r.n)
		}
	}
}

// log adds the decision to the request's log line.
func (k *decision) log(e *log.Entry) {
	if k.excluded != (exclusions{}) {
		e.Object("left_out", &k.excluded)
	}
	if k.excluded.limited > 0 {
		e.Int64("permit_due_ms", k.permitDueIn.Milliseconds())
	}
	if k.excluded.resting > 0 {
		e.Int64("rest_due_ms", k.restDueIn.Milliseconds())
	}
	if k.nearest == "" {
		return
	}
	e.Str("nearest", k.nearest).Int64("wait_ms", k.predictedWait.Milliseconds()).Int64("passed_ms", k.elapsed.Milliseconds()).
		Int64("aim_ms", k.aim.Milliseconds())
	if k.reportKnown {
		e.Int64("report_age_ms", k.reportAge.Milliseconds())
	}
}
