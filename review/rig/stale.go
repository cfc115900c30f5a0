package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// inTouchTime is the time after which a machine that has started counts as in touch, contactMs, and a little more.
	inTouchTime = 4 * time.Second
	// outageTime is the site's length of an outage of a part of the store, and settleTime the time after it until the core counts
	// as stable, contactMs, and a little more.
	outageTime = 4500 * time.Millisecond
	settleTime = 3200 * time.Millisecond
	// configApply is the bound configApplyMs of the site.
	configApply = 2 * time.Second
	// slowChange is the time from which on a change of the configuration counts as slow; usually one takes 0.1 s at most.
	slowChange = 600 * time.Millisecond
	// changesPerOutage is the number of changes after an outage, and staleTime bounds the whole case.
	changesPerOutage = 3
	staleTime        = 98 * time.Second
	// probeInterval is the time between two requests for a new route at a gateway, and probeTime how long they are sent.
	probeInterval = 50 * time.Millisecond
	probeTime     = 4 * time.Second
)

// partialOutage passes calls on to the store, but resets those for the topic of the operator's records while that is down.
type partialOutage struct {
	next http.Handler
	down atomic.Bool
}

// ServeHTTP implements http.Handler.
func (p *partialOutage) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if p.down.Load() && r.URL.Query().Get("topic") == operatorTopic {
		panic(http.ErrAbortHandler)
	}
	p.next.ServeHTTP(w, r)
}

// staleCheck publishes versions of the configuration and observes when the gateways handle requests by them.
type staleCheck struct {
	world   *world
	version int

	mu sync.Mutex
	// late are the requests that were refused by an older version although they were sent later than configApply after the
	// acknowledgement of a newer one.
	late []string
	// slowest is the longest time of the newest change.
	slowest time.Duration
}

// playStale lets the store reset all calls for the operator's records for a while, and changes the configuration once the
// whole store has been in service again for contactMs. After a slow change no further outage comes.
func playStale(ctx context.Context, w *world, trouble bool) (string, error) {
	w.putConfig()
	if err := errors.Join(w.addEngines(0, 0, 0, 0, 1, 1, 1, 1, 2, 2, 2, 2), w.addPlainServers(0, 1, 2), w.addProcesses(0, 0, 1, 1, 2, 2)); err != nil {
		return "", err
	}
	if err := w.waitReady(ctx); err != nil {
		return "", err
	}
	pause(ctx, inTouchTime)
	s := &staleCheck{world: w, version: 1}
	until, slow := time.Now().Add(staleTime), false
	for ctx.Err() == nil && time.Now().Before(until) && len(s.late) == 0 {
		if trouble && !slow {
			w.breakOperatorRecords(ctx)
		}
		for range changesPerOutage {
			s.change(ctx)
			slow = slow || s.slowest > slowChange
			pause(ctx, 300*time.Millisecond+rand.N(900*time.Millisecond))
		}
	}
	w.record.add("%d versions were sent", s.version)
	if len(s.late) == 0 {
		return "", nil
	}
	return fmt.Sprintf("CONFIG: %d requests were refused with 404 by an older version, the first: %s", len(s.late), s.late[0]), nil
}

// breakOperatorRecords takes the operator's records out of service for outageTime, and waits until the core is stable again.
func (w *world) breakOperatorRecords(ctx context.Context) {
	w.record.add("the store resets calls for %s", operatorTopic)
	w.outage.down.Store(true)
	pause(ctx, outageTime)
	w.outage.down.Store(false)
	w.record.add("the whole store is in service")
	pause(ctx, settleTime)
}

// change publishes a version and waits until all gateways handle requests by it.
func (s *staleCheck) change(ctx context.Context) {
	s.version++
	s.world.putVersion(s.version)
	acknowledged := time.Now()
	s.slowest = 0
	var all sync.WaitGroup
	for _, g := range s.world.gateways {
		all.Go(func() { s.probe(ctx, g, acknowledged) })
	}
	all.Wait()
}

// probe sends requests on the version's own route to a gateway until one is not refused with 404.
func (s *staleCheck) probe(ctx context.Context, g *process, acknowledged time.Time) {
	for n := 1; ctx.Err() == nil && time.Since(acknowledged) < probeTime; n++ {
		id, after := fmt.Sprintf("probe-%d-%s-%d", s.version, g.name, n), time.Since(acknowledged)
		status, err := s.send(ctx, g, id)
		if err == nil && status == http.StatusNotFound {
			s.noteRefused(g, id, after)
			pause(ctx, probeInterval)
			continue
		}
		if err == nil {
			s.noteInForce(g, after)
			return
		}
		s.world.record.add("client: %s ends without an answer: %v", id, err)
	}
}

// send sends a request on the route that the newest version has added.
func (s *staleCheck) send(ctx context.Context, g *process, id string) (status int, err error) {
	ctx, stop := context.WithTimeout(ctx, time.Second)
	defer stop()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.ip+":8005"+addedPath(s.version)+id, http.NoBody)
	if err != nil {
		return 0, err
	}
	q.Host = routeHost
	q.Header.Set("Request-Id", id)
	q.Header.Set("Deadline-Ms", "1000")
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := client.Do(q)
	if err != nil {
		return 0, err
	}
	return a.StatusCode, a.Body.Close()
}

// noteRefused notes a request that was sent at a time after the acknowledgement and refused with 404.
func (s *staleCheck) noteRefused(g *process, id string, after time.Duration) {
	s.world.record.add("client: %s, sent %.3f s after the acknowledgement of version %d, gets 404", id, after.Seconds(), s.version)
	if after <= configApply {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late = append(s.late, fmt.Sprintf("%s at %s, sent %.3f s after the acknowledgement of version %d", id, g.name, after.Seconds(), s.version))
}

// noteInForce notes that a gateway handles requests by the newest version.
func (s *staleCheck) noteInForce(g *process, after time.Duration) {
	s.world.record.add("%s: version %d in force %.3f s after its acknowledgement", g.name, s.version, after.Seconds())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowest = max(s.slowest, after)
}
