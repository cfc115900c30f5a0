package quarantine

import (
	"hash/fnv"

	"github.com/springrail/springrail/internal/id"
)

// Incarnation is one start of an upstream's process.
type Incarnation struct {
	Address  string
	Instance id.Instance
	// Born tells the starts of one instance apart; 0 where it is not known.
	Born id.Incarnation
}

// CallerAttempt tells the tries of a request's callers apart, each of which has an id of its own.
type CallerAttempt uint32

// CallerAttemptOf returns the try with an id.
func CallerAttemptOf(r id.Request) CallerAttempt {
	h := fnv.New32a()
	_, _ = h.Write([]byte(r))
	return CallerAttempt(h.Sum32())
}

// InFlightRequest is a request that an upstream had when its process ended.
type InFlightRequest struct {
	Fingerprint  Fingerprint
	Organisation id.Organisation
	Attempt      CallerAttempt
	// Alone is true of one that was sent on alone, as it was suspected.
	Alone bool
}

// Crash is the end of an upstream's process as one gateway has seen it, with that gateway's own requests there.
type Crash struct {
	Incarnation Incarnation
	Requests    []InFlightRequest
}

// HeldRequest is a request that is held: it is not sent to upstreams any more.
type HeldRequest struct {
	Fingerprint  Fingerprint
	Organisation id.Organisation
	// Incarnations are those that ended under it.
	Incarnations []Incarnation
	// HeldBy is the VM whose gateway held it first, as far as it is known, and SinceUnixMs when, by that VM's time of day,
	// which may jump: it is for people to read and decides nothing.
	HeldBy      id.VM
	SinceUnixMs int64
	// refused is how often this process has refused it.
	refused uint64
}

// CrashNews is what gateways tell each other.
type CrashNews struct {
	Crashes []Crash
	// Served are requests that have been answered whole although they were suspected.
	Served []Fingerprint
	// Held are requests that the teller holds from now on.
	Held []HeldRequest
}

// Verdict is what a gateway may do with a request.
type Verdict uint8

const (
	// Pass says that nothing speaks against it.
	Pass Verdict = iota
	// Alone says that two starts or more have ended under it. A gateway sends one repeat at a time on, to one upstream;
	// whether that ends too is what tells a request that crashes upstreams from one that was there.
	Alone
	// Waits says that enough is known to hold it, and what other gateways have seen of the same ends is still on its way.
	Waits
	// Held says that it is not sent on.
	Held
)

var verdictNames = [...]string{Pass: "pass", Alone: "alone", Waits: "waits", Held: "held"}

// String names a verdict.
func (v Verdict) String() string {
	return verdictNames[v]
}
