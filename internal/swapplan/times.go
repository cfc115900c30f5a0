package swapplan

import "time"

const (
	// CloseMargin is the time before a version's end at which its last upstream stops taking requests; gateways stop
	// sending to it then.
	CloseMargin = time.Second
	// DefaultSwapDuration is how long a change-over takes from the last request to the first before one has been observed: the
	// drain, the order and the load of the users' engines.
	DefaultSwapDuration = 1300 * time.Millisecond
	// PlanCheckInterval is how often a waiting upstream looks at its plan again: others load, and the load changes.
	PlanCheckInterval = 200 * time.Millisecond
	// SwapDurationWeight is the weight of the newest change-over in the time that one is expected to take.
	SwapDurationWeight = 0.5
	// MaxDrain is how long an upstream that gets no new requests is given to let in those that wait.
	MaxDrain = 900 * time.Millisecond
	// LateArrivalWait is how long requests may still arrive that were sent before the gateways knew: one more report, which comes
	// after 200 ms, in case the first was lost, and the way on a link that is shared with chunks. An upstream that freezes in
	// the moment of an order begins what waits there when it wakes, on the older version.
	LateArrivalWait = 250 * time.Millisecond
)
