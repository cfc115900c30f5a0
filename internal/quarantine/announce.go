package quarantine

import "time"

const (
	// announceInterval is the least time between two announcements of a hold. Requests that were in flight as it was
	// decided crash upstreams within it.
	announceInterval = time.Second
	// minAnnounceSpread is the least time over which gateways that learn of the same crash spread their announcements, and
	// announceSpreadPerGateway what it grows by with their number: those that receive another one's in time don't announce.
	minAnnounceSpread        = 50 * time.Millisecond
	announceSpreadPerGateway = 5 * time.Millisecond
)

// announceAgain announces what is held once more if another gateway reports a crash that it explains: that gateway has
// forwarded a request which it would have refused if it knew.
func (l *SuspectTracker) announceAgain(e Crash) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.findCrash(e.Incarnation, l.now())
	if n == nil {
		return
	}
	for _, p := range e.Requests {
		h := l.held.match(p.identity())
		if h == nil || !n.explainedBy(h) || l.now().Sub(l.held.announcedAt[h.Fingerprint]) < announceInterval {
			continue
		}
		f := h.Fingerprint
		l.after(l.AnnounceDelay(), func() { l.announceUnlessAnnounced(f) })
	}
}

// announceUnlessAnnounced announces what is held unless another gateway just has.
func (l *SuspectTracker) announceUnlessAnnounced(f Fingerprint) {
	l.mu.Lock()
	h := l.held.get(f)
	if h == nil || l.now().Sub(l.held.announcedAt[f]) < announceInterval {
		l.mu.Unlock()
		return
	}
	l.held.announcedAt[f] = l.now()
	announced := *h
	l.vars.Add("announced_again", 1)
	l.log.Warn().Stringer("fingerprint", f).Msg("held request announced again: another gateway has forwarded it")
	l.mu.Unlock()
	l.OnMissed(announced)
}
