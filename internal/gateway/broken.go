package gateway

// handleBreak handles an exchange that ended early. The failure counts against the upstream unless the caller or a
// timeout caused it.
func (t *attempt) handleBreak(text string) *attemptError {
	f := t.request
	f.allNotRun, f.outcomeUnknown = false, true
	f.brokenProgress, f.brokenInstance = t.answerProgress(), t.choice.Instance
	r := t.findEndReason()
	t.recordEnd(r)
	switch r {
	case endCallerLeft, endCallerDeadline, endRouteTimeout, endOvertaken:
		t.reportAbandoned()
	case endShutdown:
		t.reportAbandoned()
		return &attemptError{text: errShutdown.Error(), final: true}
	case endQuarantined:
		t.reportAbandoned()
		return &attemptError{text: "held: upstreams have crashed under this request", final: true}
	case endStalled:
		t.reportAbandoned()
		return &attemptError{text: "the upstream stalled"}
	case endVersionOver:
		t.reportAbandoned()
		t.tracked.RecordStall()
		return &attemptError{text: "the upstream stalled"}
	case endUnread:
		// Another upstream would have to run the request again, for a caller that would leave its answer unread too.
		return &attemptError{text: "the caller read too slowly: the upstream cut off the unread answer", final: true}
	case endLoading:
		// An upstream cancels its requests before it loads weights, which is no failure, unless it crashed under one of
		// them.
		f.gateway.crashDetector.RequestBroken(t.upstreamIncarnation(), t.followed.Request(), t.startedAt)
	case endBrokeOff, endInvalid:
		t.tracked.RecordFailure()
		f.gateway.connections.CloseIdle(t.choice.Address)
		f.gateway.crashDetector.RequestBroken(t.upstreamIncarnation(), t.followed.Request(), t.startedAt)
	}
	return &attemptError{text: text}
}

// The values of brokenProgress: how far the upstream's response had come.
const (
	progressNoHead = "no head"
	progressHead   = "head"
	progressBody   = "in body"
)

// answerProgress returns how far the response has come.
func (t *attempt) answerProgress() string {
	switch {
	case t.exchange == nil:
		return progressNoHead
	case !t.answerStarted.Load():
		return progressHead
	default:
		return progressBody
	}
}
