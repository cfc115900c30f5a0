// Package gateway passes callers' requests on to upstreams by route. It decides who may call, which upstream takes a
// request, what is refused early, what may be sent again, and how an answer reaches its caller whole.
package gateway

import (
	"net/http"
	"time"

	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/throttle"
)

// RequestMeta is what a caller says of its request beside method, path and body.
type RequestMeta struct {
	Request id.Request
	// Key is the caller's key, or empty.
	Key string
	// Timeout is how long the caller waits; 0 where it does not say.
	Timeout time.Duration
	Model   id.Model
	// PromptTokens is in tokens.
	PromptTokens float64
}

// ForwardMeta is what the gateway tells an upstream.
type ForwardMeta struct {
	Instance     id.Instance
	Organisation id.Organisation
	// Timeout is how long the answer may take.
	Timeout time.Duration
	// Revision is the version that must be served; 0 leaves it to the upstream.
	Revision id.Revision
	// LastEventID is the last event that the caller has; empty for none.
	LastEventID string
}

// ResponseMeta is what the header of an answer says beside its status.
type ResponseMeta struct {
	// NotRun says that the upstream did not run the request and never will.
	NotRun bool
	// Revision is the version that the answer is made with; 0 where it does not say.
	Revision id.Revision
	// Limit is what the answer says of the upstream's limit.
	Limit throttle.LimitInfo
	// Leaving says that the upstream is about to end.
	Leaving bool
	// Rest is how long the upstream wants no further request from this gateway; 0 where it does not say.
	Rest time.Duration
}

// Dialect translates headers between the product and the platform.
type Dialect struct {
	// ReadRequest returns what a caller asks.
	ReadRequest func(h http.Header) RequestMeta
	// PrepareHeader changes a copy of the caller's header into that of a send.
	PrepareHeader func(h http.Header, s ForwardMeta)
	// ReadResponse reads an upstream's answer.
	ReadResponse func(status int, h http.Header) ResponseMeta
	// PromisesNotRun says whether a status promises a caller that its request was not run.
	PromisesNotRun func(status int) bool
	// SetRetryAfter sets when a refused caller may come back.
	SetRetryAfter func(h http.Header, d time.Duration)
	// ResponseMatches says whether an answer belongs to a request.
	ResponseMatches func(request, answer http.Header) bool
}

// DialectPart is the name of the part that gives the Dialect.
const DialectPart = "dialect"
