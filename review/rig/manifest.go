package main

import (
	"context"
	"errors"
	"fmt"
	"time"
)

const (
	// garbleTime and maxSpoiltShare are the site's largest doses for the origin: x = 0.04 for 8 s.
	garbleTime     = 8 * time.Second
	maxSpoiltShare = 0.04
	// downTime is how long the processes are down in the final fault; the site has 0.5 to 1.4 s.
	downTime = time.Second
	// minServedShare is the share of requests of the rule RECOVER.
	minServedShare = 0.25
)

// playManifest names a version, kills all processes right after its acknowledgement, and spoils one digit in the first
// manifest that each stager gets of the origin.
func playManifest(ctx context.Context, w *world, trouble bool) (string, error) {
	w.putConfig()
	if err := errors.Join(w.addEngines(0, 1), w.addPlainServers(0, 1), w.addProcesses(0, 1)); err != nil {
		return "", err
	}
	if err := w.waitReady(ctx); err != nil {
		return "", err
	}
	c := newClients(w, 15)
	sending, stop := context.WithCancel(ctx)
	defer stop()
	go c.run(sending)
	started := time.Now()
	pause(ctx, 10*time.Second)
	w.publish(2)
	struckAt := time.Now()
	for _, p := range w.processes() {
		p.kill()
	}
	w.record.add("all processes killed")
	pause(ctx, downTime)
	if trouble {
		w.origin.garble(len(w.stagers), garbleTime)
	}
	if err := w.startAll(); err != nil {
		return "", err
	}
	returnedAt := time.Now()
	w.record.add("all processes started again")
	pause(ctx, 35*time.Second)
	stop()
	pause(ctx, 7*time.Second)
	return w.judgeRecovery(c, started, struckAt, returnedAt, trouble)
}

// judgeRecovery applies the rule RECOVER.
func (w *world) judgeRecovery(c *clients, started, struckAt, returnedAt time.Time, trouble bool) (string, error) {
	before, nBefore := servedShare(c.between(started, struckAt.Add(-2*time.Second)))
	after, nAfter := servedShare(c.between(returnedAt.Add(recoverySecs*time.Second), time.Now()))
	answers, spoilt := w.origin.garbled()
	for _, e := range w.engines {
		w.record.add("%s serves version %d", e.id, e.servedVersion())
	}
	w.record.add("before the fault %.3f of %d requests were served; later than %d s after the return %.3f of %d", before, nBefore, recoverySecs, after, nAfter)
	w.record.add("the origin gave %d answers within %v, of which %d were spoilt", answers, garbleTime, spoilt)
	switch {
	case before < minServedShare || nAfter == 0:
		return "", fmt.Errorf("only %.3f of %d requests were served before the fault", before, nBefore)
	case trouble && (spoilt == 0 || float64(spoilt) > maxSpoiltShare*float64(answers)):
		return "", fmt.Errorf("%d of %d answers were spoilt, which is none or beyond the limit", spoilt, answers)
	case after < minServedShare:
		return fmt.Sprintf("RECOVER: %.3f of %d requests were served before the final fault, and %.3f of the %d that were sent more than %d s after the processes were back",
			before, nBefore, after, nAfter, recoverySecs), nil
	}
	return "", nil
}
