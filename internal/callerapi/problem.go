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

// The headers that answers carry.
const (
	headerRequestID = "X-Request-Id"
	headerOutcome   = "Springrail-Outcome"
	headerVersion   = "Springrail-Version"
	headerRollout   = "Springrail-Rollout"
	headerVM        = "Springrail-Vm"
)

// The outcomes that headerOutcome names.
const (
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
	// outcomeAnswered and outcomeGone are only counted.
	outcomeAnswered = "answered"
	outcomeGone     = "caller-gone"
)

// problem is an answer that springrail itself gives.
type problem struct {
	status  int
	kind    string
	text    string
	outcome string
	after   time.Duration
}

var (
	problemLeaving = problem{
		status: http.StatusServiceUnavailable, kind: "leaving", text: "this entry is stopping; ask again",
		outcome: outcomeNotRun, after: time.Second,
	}
	problemKey = problem{
		status: http.StatusUnauthorized, kind: "key", outcome: outcomeNotRun,
		text: "the request needs the header Authorization: Bearer with a caller key of an organisation",
	}
	problemNotReady = problem{
		status: http.StatusServiceUnavailable, kind: "not_ready", text: "this entry has no configuration yet",
		outcome: outcomeNotRun, after: time.Second,
	}
)

func badRequest(text string) problem {
	return problem{status: http.StatusBadRequest, kind: "bad_request", text: text, outcome: outcomeNotRun}
}

// problemOf is the answer for how a request ended.
func problemOf(err error) problem {
	var over *limits.Refusal
	var notRun *dispatch.NotRun
	switch {
	case errors.As(err, &over):
		return problem{
			status: http.StatusTooManyRequests, kind: "over_limit", text: over.Error(), outcome: outcomeNotRun,
			after: over.RetryAfter,
		}
	case errors.As(err, &notRun):
		return problem{
			status: http.StatusServiceUnavailable, kind: "not_run", text: notRun.Error(), outcome: outcomeNotRun,
			after: notRun.RetryAfter,
		}
	default:
		return problem{
			status: http.StatusBadGateway, kind: "outcome_unknown", outcome: outcomeUnknown,
			text: "the request may have run, but no whole answer came back",
		}
	}
}

// problemBody is the JSON of a problem, in the form that model clients know.
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

// refuse writes a problem as the whole answer.
func refuse(w http.ResponseWriter, requestID string, p problem) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerOutcome, p.outcome)
	if requestID != "" {
		h.Set(headerRequestID, requestID)
	}
	if p.after > 0 {
		h.Set("Retry-After", strconv.Itoa(int((p.after+time.Second-1)/time.Second)))
	}
	w.WriteHeader(p.status)
	_, _ = w.Write(p.body())
}
