package quarantine

import "time"

const (
	// retellInterval is the least time between two tellings of a hold. Requests that were in flight as it was decided crash
	// upstreams within it.
	retellInterval = time.Second
	// minRetellSpread is the least time over which gateways that hear of the same crash spread their tellings, and
	// retellSpreadPerGateway what it grows by with their number: those that hear another one's in time don't tell.
	minRetellSpread        = 50 * time.Millisecond
	retellSpreadPerGateway = 5 * time.Millisecond
)

// tellAgain tells what is held once more if another gateway reports a crash that it explains: that gateway has forwarded a request
// which it would have refused if it knew.
func (l *SuspectTracker) tellAgain(e Crash) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.findCrash(e.Incarnation)
	if n == nil {
		return
	}
	for _, p := range e.Requests {
		h := l.held.match(p.Fingerprint, p.Parts)
		if h == nil || !n.explainedBy(h) || l.now().Sub(l.held.toldAt[h.Fingerprint]) < retellInterval {
			continue
		}
		f := h.Fingerprint
		l.after(l.RetellDelay(), func() { l.tellUnlessTold(f) })
	}
}

// tellUnlessTold tells what is held unless another gateway just has.
func (l *SuspectTracker) tellUnlessTold(f Fingerprint) {
	l.mu.Lock()
	h := l.held.get(f)
	if h == nil || l.now().Sub(l.held.toldAt[f]) < retellInterval {
		l.mu.Unlock()
		return
	}
	l.held.toldAt[f] = l.now()
	told := *h
	l.vars.Add("told_again", 1)
	l.log.Warn().Stringer("fingerprint", f).Msg("held request told again: another gateway has forwarded it")
	l.mu.Unlock()
	l.OnMissed(told)
}
