package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// calmTime is the time without a disruption in which the share of requests that begin is taken, and crashingTime that
	// in which requests with a part that crashes servers are sent.
	calmTime, crashingTime = 1200 * time.Millisecond, 25 * time.Second
	// crashingInterval is the time between two such requests with the same part.
	crashingInterval = 60 * time.Millisecond
	// crashesToHold is the number of crashes from which the rule counts, and holdTime the time after it, 2 x contactMs.
	crashesToHold = 5
	holdTime      = 6 * time.Second
	minCompared   = 20
	// harmlessInterval makes a stream last 1.5 s.
	harmlessInterval = 75 * time.Millisecond
)

// crashLog counts the crashes and remembers which requests have begun.
type crashLog struct {
	mu      sync.Mutex
	begun   map[string]bool
	crashes int
	fifthAt time.Time
}

func (l *crashLog) run(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begun[id] = true
}

func (l *crashLog) crash() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.crashes++; l.crashes == crashesToHold {
		l.fifthAt = time.Now()
	}
}

// begunShare returns the share of requests to the engines that began at their first attempt, and their number.
func (l *crashLog) begunShare(outcomes []outcome) (share float64, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	begun := 0
	for _, o := range outcomes {
		if o.route == "bed-status" || o.route == "hold-release" {
			continue
		}
		n++
		if l.begun[o.firstID] {
			begun++
		}
	}
	return float64(begun) / float64(max(1, n)), n
}

// playHarmless sends requests whose prompts have parts that crash each server beginning an answer on them, beside sound
// requests that have the same first part.
func playHarmless(ctx context.Context, w *world, trouble bool) (string, error) {
	w.putConfig()
	if err := errors.Join(w.addEngines(0, 0, 1, 1), w.addPlainServers(0, 1), w.addProcesses(0, 1)); err != nil {
		return "", err
	}
	l := &crashLog{begun: map[string]bool{}}
	for _, e := range w.engines {
		e.onRun, e.onCrash, e.interval = l.run, l.crash, harmlessInterval
	}
	if err := w.waitReady(ctx); err != nil {
		return "", err
	}
	pause(ctx, 5*time.Second)
	c := newClients(w, 25)
	sending, stop := context.WithCancel(ctx)
	defer stop()
	go c.run(sending)
	calmFrom := time.Now()
	pause(ctx, calmTime)
	calmTo := time.Now()
	if trouble {
		for part := range crashingParts {
			go w.sendCrashing(sending, part)
		}
	}
	pause(ctx, crashingTime)
	endedAt := time.Now()
	stop()
	pause(ctx, 7*time.Second)
	calm, nCalm := l.begunShare(c.between(calmFrom, calmTo))
	from := l.fifthAt.Add(holdTime)
	if l.fifthAt.IsZero() {
		from = calmTo
	}
	later, nLater := l.begunShare(c.between(from, endedAt))
	w.record.add("%d crashes; %.3f of %d sound requests began at their first attempt before, %.3f of %d from %v after the fifth crash on",
		l.crashes, calm, nCalm, later, nLater, holdTime)
	switch {
	case trouble && l.crashes < crashesToHold:
		return "", fmt.Errorf("only %d crashes", l.crashes)
	case nCalm < minCompared || nLater < minCompared:
		return "", fmt.Errorf("only %d and %d requests to compare", nCalm, nLater)
	case later < calm/2:
		return fmt.Sprintf("LOST: %.3f of %d sound requests with the same key and first part began at their first attempt, %.3f of %d outside disruption",
			later, nLater, calm, nCalm), nil
	}
	return "", nil
}

// sendCrashing sends requests with a part that crashes servers, no two alike, to each gateway in turn.
func (w *world) sendCrashing(ctx context.Context, part int) {
	for n := 0; ctx.Err() == nil; n++ {
		g := w.gateways[n%len(w.gateways)]
		go w.sendOneCrashing(ctx, part, n, g.ip+":8005")
		pause(ctx, crashingInterval)
	}
}

func (w *world) sendOneCrashing(ctx context.Context, part, n int, to string) {
	id := fmt.Sprintf("bad-%d-%d", part, n)
	deadline := time.Now().Add(6 * time.Second)
	ctx, stop := context.WithDeadline(ctx, deadline)
	defer stop()
	q, err := newRequest(ctx, routes[0], to, id, deadline)
	if err != nil {
		return
	}
	q.Header.Set("Prompt-Prefix", fmt.Sprintf("%s:40,%s%d:200,%x:%d", firstPart, crashPart, part, 0x7000+1000*part+n, 1000))
	w.record.add("client: sends %s to %s", id, to)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	a, err := client.Do(q)
	if err != nil {
		w.record.add("client: %s ends without an answer", id)
		return
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	w.record.add("client: %s gets %s, %d bytes, whole=%v", id, strconv.Itoa(a.StatusCode), len(b), err == nil)
}
