package swapplan

import "time"

const (
	// CloseMargin is how long before a version's end its last upstream stops taking requests; gateways then stop sending
	// to it.
	CloseMargin = time.Second
	// DefaultSwapDuration is the assumed duration of a swap, from the last request to the first, before one has been
	// observed: draining, ordering the load, and the load itself.
	DefaultSwapDuration = 1300 * time.Millisecond
	// PlanCheckInterval is how often a waiting upstream computes its plan again: other upstreams swap, and the load
	// changes.
	PlanCheckInterval = 200 * time.Millisecond
	// SwapDurationWeight is the weight of the newest swap in the moving average of their durations.
	SwapDurationWeight = 0.5
	// MaxDrain is how long an upstream that gets no new requests may drain its queue.
	MaxDrain = 900 * time.Millisecond
	// LateArrivalWait is how long requests may still arrive that were sent before the gateways knew that the upstream is
	// closed: one more report, which is sent after 200 ms, in case the first was lost, and the transit time on a link
	// that is shared with chunks. An upstream that freezes when it is ordered to load starts requests that arrive in
	// this time on the older version once it resumes.
	LateArrivalWait = 250 * time.Millisecond
)
