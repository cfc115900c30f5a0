package callerapi

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/springrail/springrail/internal/dispatch"
	"github.com/springrail/springrail/internal/limits"
)

// The header fields of responses.
const (
	headerRequestID = "X-Request-Id"
	headerOutcome   = "Springrail-Outcome"
	headerVersion   = "Springrail-Version"
	headerRollout   = "Springrail-Rollout"
	headerVM        = "Springrail-Vm"
)

// The values of headerOutcome.
const (
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
	// outcomeAnswered and outcomeCallerGone appear in metrics only.
	outcomeAnswered   = "answered"
	outcomeCallerGone = "caller-gone"
)

// problem is an error response that springrail itself generates.
type problem struct {
	status     int
	kind       string
	text       string
	outcome    string
	retryAfter time.Duration
}

var (
	problemLeaving = problem{
		status: http.StatusServiceUnavailable, kind: "leaving", text: "this entry is stopping; ask again",
		outcome: outcomeNotRun, retryAfter: time.Second,
	}
	problemUnknownKey = problem{
		status: http.StatusUnauthorized, kind: "key", outcome: outcomeNotRun,
		text: "the request needs the header Authorization: Bearer with a caller key of an organisation",
	}
	problemNotReady = problem{
		status: http.StatusServiceUnavailable, kind: "not_ready", text: "this entry has no configuration yet",
		outcome: outcomeNotRun, retryAfter: time.Second,
	}
)

func badRequest(text string) problem {
	return problem{status: http.StatusBadRequest, kind: "bad_request", text: text, outcome: outcomeNotRun}
}

// problemOf returns the error response for an error that ended a request.
func problemOf(err error) problem {
	var refusal *limits.Refusal
	var notRun *dispatch.NotRun
	switch {
	case errors.As(err, &refusal):
		return problem{
			status: http.StatusTooManyRequests, kind: "over_limit", text: refusal.Error(), outcome: outcomeNotRun,
			retryAfter: refusal.RetryAfter,
		}
	case errors.As(err, &notRun):
		return problem{
			status: http.StatusServiceUnavailable, kind: "not_run", text: notRun.Error(), outcome: outcomeNotRun,
			retryAfter: notRun.RetryAfter,
		}
	default:
		return problem{
			status: http.StatusBadGateway, kind: "outcome_unknown", outcome: outcomeUnknown,
			text: "the request may have run, but no whole answer came back",
		}
	}
}

// problemBody is the JSON body of a problem, in the format of common model APIs.
type problemBody struct {
	Error problemError `json:"error"`
}

type problemError struct {
	Type    string `json:"type"`
	Message string `json:"message"`
	Outcome string `json:"outcome"`
}

func (p problem) body() []byte {
	b, _ := json.Marshal(problemBody{Error: problemError{Type: p.kind, Message: p.text, Outcome: p.outcome}})
	return b
}

// refuse writes a problem as the response.
func refuse(w http.ResponseWriter, requestID string, p problem) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerOutcome, p.outcome)
	if requestID != "" {
		h.Set(headerRequestID, requestID)
	}
	if p.retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int((p.retryAfter+time.Second-1)/time.Second)))
	}
	w.WriteHeader(p.status)
	_, _ = w.Write(p.body())
}
