package quarantine

import (
	"hash/fnv"
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
	// Fingerprint, Use, Organisation, Key, Parts and PartUses are as in Identity. Parts are empty if the answer had begun earlier.
	Fingerprint, Use Fingerprint
	Organisation     id.Organisation
	Key              Fingerprint
	Parts, PartUses  []Fingerprint
	Attempt          CallerAttempt
	// Alone is true of a suspected request that the gateway sent to one upstream only, with no other copy in flight.
	Alone bool
	// Progress of another gateway's request is Waiting unless it was Beginning.
	Progress Progress
	// Times are those of this gateway's own request. With them its progress follows from the time of the crash.
	Times AnswerTimes
}

// asOf returns the request with the progress that its answer had made when the process ended. Answers that had begun earlier are
// no evidence against parts.
func (p InFlightRequest) asOf(end endTime) InFlightRequest {
	if p.Times.SentAt.IsZero() {
		return p
	}
	if p.Progress = p.Times.progress(end); p.Progress == Writing {
		p.Parts, p.PartUses = nil, nil
	}
	return p
}

// identity returns what the request is recognised by.
func (p *InFlightRequest) identity() Identity {
	return Identity{Fingerprint: p.Fingerprint, Use: p.Use, Parts: p.Parts, PartUses: p.PartUses, Organisation: p.Organisation, Key: p.Key}
}

// Crash is the end of an upstream's process as one gateway saw it, with the gateway's own requests that were in flight
// there.
type Crash struct {
	Incarnation Incarnation
	Requests    []InFlightRequest
	// At is when the crash happened, if it was noticed later; zero is now.
	At time.Time
	// Presumed is true of an upstream that fell silent and whose entry in the list lapsed. It may live on.
	Presumed bool
	// RememberedAt is when the crash happened if a process remembers it for one that may have missed the news; zero in news.
	RememberedAt time.Time
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

// CrashNews is what gateways exchange about crashes and suspected requests.
type CrashNews struct {
	Crashes []Crash
	// SentAt is when the news is sent.
	SentAt time.Time
	// Served are the uses of requests that were answered completely although they were suspected, and of parts of such requests.
	Served []Fingerprint
	// Held are requests that the sender holds from now on.
	Held []HeldRequest
	// Recorded is true if the store has the records of Held.
	Recorded bool
	// Released are what the sender no longer holds.
	Released []Fingerprint
	// Written are the uses of suspected parts on which answers were recently written for some time, or complete several times.
	Written []Fingerprint
	// Tried are held for others than an organisation whose request with them the sender sends to an upstream.
	Tried []Fingerprint
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
