package quarantine

import (
	"github.com/springrail/springrail/internal/id"
)

// Start is one start of an upstream's process.
type Start struct {
	Address  string
	Instance id.Instance
	// Born tells the starts of one instance apart; 0 where it is not known.
	Born id.Birth
}

// Presence is a request that an upstream had when its process ended.
type Presence struct {
	Fingerprint  Fingerprint
	Organisation id.Organisation
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
	// By is the VM whose gateway held it first, as far as it is known, and SinceUnixMs when, by that VM's time of day, which may jump: it is
	// for people to read and decides nothing.
	By          id.VM
	SinceUnixMs int64
}

// News is what gateways tell each other.
type News struct {
	Ends []End
	// Served are requests that have been answered whole although they were suspected.
	Served []Fingerprint
}

// Verdict is what a gateway may do with a request.
type Verdict uint8

const (
	// Pass: nothing speaks against it.
	Pass Verdict = iota
	// Alone: two starts have ended under it. One repeat at a time is sent on, to one upstream.
	Alone
	// Waits: three starts have ended under it, and what other gateways have seen of these ends is still on its way.
	Waits
	// Held: it is not sent on.
	Held
)

var verdictNames = [...]string{Pass: "pass", Alone: "alone", Waits: "waits", Held: "held"}

// String names a verdict.
func (v Verdict) String() string {
	return verdictNames[v]
}
