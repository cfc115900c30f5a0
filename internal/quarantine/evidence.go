package quarantine

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/springrail/springrail/internal/id"
)

// Incarnation is one lifetime of an upstream's process.
type Incarnation struct {
	Address  string
	Instance id.Instance
	// Born identifies the incarnation of an instance; 0 if it is not known.
	Born id.Incarnation
}

// CallerAttempt identifies one attempt of a request's callers; each attempt has its own request ID.
type CallerAttempt uint32

// CallerAttemptOf returns the attempt with a request ID.
func CallerAttemptOf(r id.Request) CallerAttempt {
	h := fnv.New32a()
	_, _ = h.Write([]byte(r))
	return CallerAttempt(h.Sum32())
}

// Progress is how far an upstream's answer to a request had come when its process ended.
type Progress uint8

const (
	// Waiting means that no part of the answer had been received for some time.
	Waiting Progress = iota
	// Beginning means that the request had been sent shortly before, that only the header had been received, or the first
	// data shortly before.
	Beginning
	// Writing means that the answer had begun earlier.
	Writing
)

// InFlightRequest is a request that was in flight at an upstream when its process ended.
type InFlightRequest struct {
	Fingerprint  Fingerprint
	Organisation id.Organisation
	Attempt      CallerAttempt
	// Alone is true of a suspected request that the gateway sent to one upstream only, with no other copy in flight.
	Alone bool
	// Parts are the parts of the request's prompt that other requests may have too; empty if the answer had begun earlier.
	Parts []Fingerprint
	// Progress of another gateway's request is Waiting unless it was Beginning.
	Progress Progress
}

// Crash is the end of an upstream's process as one gateway saw it, with the gateway's own requests that were in flight
// there.
type Crash struct {
	Incarnation Incarnation
	Requests    []InFlightRequest
	// RememberedAt is when the crash happened if a process remembers it for one that may have missed the news; zero in news.
	RememberedAt time.Time
}

// HeldRequest is a request that is held, or parts of prompts: gateways no longer send the request, or any request with all
// of these parts, to upstreams.
type HeldRequest struct {
	// Fingerprint identifies the request, or the parts together.
	Fingerprint  Fingerprint
	Organisation id.Organisation
	// Parts is empty for a request.
	Parts []Fingerprint
	// Incarnations are the upstream processes that crashed under the request.
	Incarnations []Incarnation
	// HeldBy is the VM whose gateway held the request first, as far as known. SinceUnixMs is when, by that VM's time of
	// day, which may jump: it informs operators and decides nothing.
	HeldBy      id.VM
	SinceUnixMs int64
	// refused is how often this process has refused the request.
	refused uint64
}

// Origin is how a process came to hold a request.
type Origin uint8

const (
	// Decided means that the process held the request by the crashes that it knows.
	Decided Origin = iota
	// Announced means that another gateway sent it in crash news.
	Announced
	// Recorded means that it was read from the platform's store.
	Recorded
	// Reduced means that parts of what was held have been served, and the rest is held.
	Reduced
)

var originNames = [...]string{Decided: "decided", Announced: "news", Recorded: "store", Reduced: "reduced"}

// String returns the name of the origin.
func (o Origin) String() string {
	return originNames[o]
}

// Holds reports whether requests with the given parts in their prompts are held because of parts.
func (h *HeldRequest) Holds(parts []Fingerprint) bool {
	return len(h.Parts) > 0 && containsAll(parts, h.Parts)
}

// outweighs reports whether this holds parts that explain all crashes of another held request or held parts, and more.
func (h *HeldRequest) outweighs(o *HeldRequest) bool {
	if len(h.Parts) == 0 || len(h.Incarnations) <= len(o.Incarnations) {
		return false
	}
	return !slices.ContainsFunc(o.Incarnations, func(s Incarnation) bool { return !slices.Contains(h.Incarnations, s) })
}

// CrashNews is what gateways exchange about crashes and suspected requests.
type CrashNews struct {
	Crashes []Crash
	// Served are requests that were answered completely although they were suspected, and parts of such requests.
	Served []Fingerprint
	// Held are requests that the sender holds from now on.
	Held []HeldRequest
	// Recorded is true if the store has the records of Held.
	Recorded bool
	// Released are what the sender no longer holds.
	Released []Fingerprint
	// Written are suspected parts on which answers were recently written for some time, or complete several times.
	Written []Fingerprint
}

// Verdict is what a gateway may do with a request.
type Verdict uint8

const (
	// Pass means that there is no evidence against the request.
	Pass Verdict = iota
	// Once means that two or more upstream processes have crashed under a part of the request's prompt. A gateway sends it
	// to one upstream only.
	Once
	// Alone means that two or more upstream processes have crashed under the request. A gateway sends one retry at a
	// time, to one upstream. Whether that one crashes too distinguishes a request that crashes upstreams from one that
	// was merely in flight there.
	Alone
	// Waits means that the evidence suffices to hold the request, but other gateways' reports of the same crashes may
	// still be in transit.
	Waits
	// Held means that the request is not sent.
	Held
)

var verdictNames = [...]string{Pass: "pass", Once: "once", Alone: "alone", Waits: "waits", Held: "held"}

// String returns the name of the verdict.
func (v Verdict) String() string {
	return verdictNames[v]
}
