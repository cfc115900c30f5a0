package quarantine

import (
	"hash/fnv"

	"github.com/springrail/springrail/internal/id"
)

// Start is one start of an upstream's process.
type Start struct {
	Address  string
	Instance id.Instance
	// Born tells the starts of one instance apart; 0 where it is not known.
	Born id.Birth
}

// Try tells the tries of a request's callers apart, each of which has an id of its own.
type Try uint32

// TryOf returns the try with an id.
func TryOf(r id.Request) Try {
	h := fnv.New32a()
	_, _ = h.Write([]byte(r))
	return Try(h.Sum32())
}

// Presence is a request that an upstream had when its process ended.
type Presence struct {
	Fingerprint  Fingerprint
	Organisation id.Organisation
	Try          Try
	// Alone is true of one that was sent on alone, as it was suspected.
	Alone bool
}

// End is the end of an upstream's process as one gateway has seen it, with that gateway's own requests there.
type End struct {
	Start    Start
	Requests []Presence
}

// Hold is a request that is held: it is not sent to upstreams any more.
type Hold struct {
	Fingerprint  Fingerprint
	Organisation id.Organisation
	// Starts are those that ended under it.
	Starts []Start
	// By is the VM whose gateway held it first, as far as it is known, and SinceUnixMs when, by that VM's time of day,
	// which may jump: it is for people to read and decides nothing.
	By          id.VM
	SinceUnixMs int64
	// refused is how often this process has refused it.
	refused uint64
}

// News is what gateways tell each other.
type News struct {
	Ends []End
	// Served are requests that have been answered whole although they were suspected.
	Served []Fingerprint
	// Held are requests that the teller holds from now on.
	Held []Hold
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
