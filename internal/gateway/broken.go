package gateway

// broke is an exchange that ended early. An upstream is blamed unless the caller or the clock ended it.
func (t *attempt) broke(text string) *attemptError {
	f := t.flight
	f.neverRan = false
	f.broken, f.start = t.progress(), t.choice.Instance
	r := t.endReason()
	t.noteEnd(r)
	switch r {
	case endCallerLeft, endShutdown, endDeadline, endRouteTimeout, endOvertaken:
		t.left()
	case endHeld:
		t.left()
		return &attemptError{text: "held: upstreams have crashed under this request", final: true}
	case endStalled:
		t.left()
		return &attemptError{text: "the upstream stalled"}
	case endVersionOver:
		t.left()
		t.mark.RecordStall()
		return &attemptError{text: "the upstream stalled"}
	case endLoading:
		// It ends its requests to load weights, and there is nothing wrong with it, or else it has crashed under one of them.
		f.gateway.witness.RequestBroken(t.at(), f.presence())
	case endBrokeOff:
		t.mark.RecordFailure()
		f.gateway.pool.CloseIdle(t.choice.Address)
		f.gateway.witness.RequestBroken(t.at(), f.presence())
	}
	return &attemptError{text: text}
}

// How far the answer of an upstream had come.
const (
	noHead   = "no head"
	headOnly = "head"
	inBody   = "in body"
)

// progress says how far the answer has come.
func (t *attempt) progress() string {
	switch {
	case t.exchange == nil:
		return noHead
	case !t.answering.Load():
		return headOnly
	default:
		return inBody
	}
}
