// Package gateway is a reverse proxy that forwards callers' requests to upstreams by route. It authenticates
// callers, selects upstreams, sheds load early, bounds retries, and makes sure that a caller can tell a complete
// response from a truncated one.
package gateway

import (
	"net/http"
	"time"

	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/throttle"
)

// RequestMeta holds what a caller states in the request header.
type RequestMeta struct {
	Request id.Request
	// Key is the caller's API key; empty for none.
	Key string
	// Timeout is how long the caller waits; 0 if not stated.
	Timeout time.Duration
	Model   id.Model
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens float64
	// MaxAnswerTokens is the most tokens that the answer may have; 0 if not stated.
	MaxAnswerTokens float64
	// SharedParts are the parts of the prompt, in order, that other requests may have too.
	SharedParts []id.PromptPart
}

// ForwardMeta holds what the gateway adds to the header of a request that it sends to an upstream.
type ForwardMeta struct {
	Instance     id.Instance
	Organisation id.Organisation
	// Timeout is how long the response may take.
	Timeout time.Duration
	// Revision is the version that must serve the request; 0 for any.
	Revision id.Revision
	// Ranked is true where requests of different ranks queue at the upstream, and QueuePriority, from 0 to 9, is then the
	// request's position among them: 0 is let in first.
	Ranked        bool
	QueuePriority int
	// LastEventID is the ID of the last event that the caller has received; empty for none.
	LastEventID string
}

// ResponseMeta holds what an upstream states in the response header.
type ResponseMeta struct {
	// NotRun is true if the upstream did not run the request and never will.
	NotRun bool
	// Revision is the version that produced the response; 0 if not stated.
	Revision id.Revision
	// Limit is the upstream's rate limit as stated in the response.
	Limit throttle.LimitInfo
	// Leaving is true if the upstream is draining.
	Leaving bool
	// Rest is the pause for which the upstream asks this gateway to send no requests; 0 if not stated.
	Rest time.Duration
}

// Dialect translates between the header fields of a platform and those that the gateway uses.
type Dialect struct {
	// ReadRequest parses the header of a caller's request.
	ReadRequest func(h http.Header) RequestMeta
	// PrepareHeader turns a copy of the caller's header into the header that is sent to an upstream.
	PrepareHeader func(h http.Header, s ForwardMeta)
	// ReadResponse parses the status and header of an upstream's response.
	ReadResponse func(status int, h http.Header) ResponseMeta
	// PromisesNotRun reports whether a status assures a caller that its request was not run.
	PromisesNotRun func(status int) bool
	// SetRetryAfter sets the header field that tells a refused caller when to retry.
	SetRetryAfter func(h http.Header, d time.Duration)
	// ResponseMatches reports whether a response belongs to a request.
	ResponseMatches func(request, answer http.Header) bool
}

// DialectPart is the name of the part that provides the Dialect.
const DialectPart = "dialect"
