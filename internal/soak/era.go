package soak

import (
	"context"
	"net/http"
	"time"

	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/standin"
)

const (
	// copyEvery is how often a copy of the store is taken, and copiesKept the number of them: the oldest is 5 s old.
	copyEvery  = 500 * time.Millisecond
	copiesKept = 10
	// returnEvery is the mean time between two returns of the store from a copy, and returnAway how long it is away at
	// the most.
	returnEvery = 20 * time.Second
	returnAway  = 700 * time.Millisecond
	// writtenAgain is how long after the return operators write again at the most; upstreams do so with their beat.
	writtenAgain = time.Second
	// mostCalls is what one process may ask the store in a second, whatever that answers.
	mostCalls = 60
)

// storeCopy is what the store held at a moment.
type storeCopy struct {
	at   time.Time
	held standin.KeyedSnapshot
}

// keepCopies takes copies of the store until the context ends.
func (w *Fleet) keepCopies(ctx context.Context) {
	for ctx.Err() == nil {
		w.mu.Lock()
		w.copies = append(w.copies, storeCopy{at: time.Now(), held: w.store.Snapshot()})
		w.copies = w.copies[max(0, len(w.copies)-copiesKept):]
		w.mu.Unlock()
		kernel.Pause(ctx, copyEvery)
	}
}

// comeBack has the store come back from a copy, after it was away or with nobody noticing. Something new is written first;
// then all is written again that has been since the copy.
func (w *Fleet) comeBack(ctx context.Context, s Step) {
	defer w.history.BeginFault(theStore, doReturn)()
	away := time.Duration(s.Magnitude * float64(s.Duration))
	if s.Selector%4 == 0 {
		away = 0
	}
	w.setStore(away, standin.KeyedFaults{Status: http.StatusServiceUnavailable})
	kernel.Pause(ctx, away)
	w.takeBack(int(s.Selector >> 8))
	w.setStore(away, standin.KeyedFaults{})
	if s.Selector>>4%2 == 0 {
		w.configure(0)
	}
	kernel.Pause(ctx, time.Duration(s.Magnitude*float64(writtenAgain)))
	w.writeAgain()
}

// takeBack replaces what the store holds with one of its copies.
func (w *Fleet) takeBack(pick int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.copies) == 0 {
		return
	}
	c := w.copies[pick%len(w.copies)]
	w.copies = nil
	w.store.Restore(c.held)
	w.history.RecordStoreRestore(c.at)
}

// setStore has the store answer all processes alike, unless it is away for no time.
func (w *Fleet) setStore(away time.Duration, f standin.KeyedFaults) {
	if away == 0 {
		return
	}
	for _, p := range w.all() {
		p.door.SetFaults(f)
	}
}

// writeAgain writes what operators and upstreams have written last, and drops the records of upstreams that are gone.
func (w *Fleet) writeAgain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.store.Put(operatorTopic, configKey, w.lastConfig)
	if w.version > firstVersion {
		w.putVersion()
	}
	listed := map[string]bool{}
	for _, l := range [][]*Slot{w.plain, w.engines} {
		for _, u := range l {
			u.mu.Lock()
			if u.listed {
				listed[u.id] = true
				u.write()
			}
			u.mu.Unlock()
		}
	}
	for _, key := range w.store.Keys(serverTopic) {
		if !listed[key] {
			w.store.Put(serverTopic, key, nil)
		}
	}
	w.history.RecordStoreRewrite()
}

// watchCalls checks how often processes ask the store, until the context ends.
func (w *Fleet) watchCalls(ctx context.Context) {
	before := map[*Process]int{}
	for ctx.Err() == nil {
		kernel.Pause(ctx, time.Second)
		for _, p := range w.all() {
			n := p.door.Calls()
			if made := n - before[p]; made > mostCalls {
				w.history.RecordViolation("store-calls", p.name, "", "%d calls to the store in a second", made)
			}
			before[p] = n
		}
	}
}

// unknown is the moment of what the store does not hold any more, until it is written again.
const unknown = 24 * time.Hour

// RecordStoreRestore notes that the store holds nothing of what it has taken since a moment.
func (b *History) RecordStoreRestore(since time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.redate(since, b.now().Add(unknown))
	b.note("the store has come back as it was %.2f s before", b.now().Sub(since).Seconds())
}

// RecordStoreRewrite notes that the store has taken again what it had lost.
func (b *History) RecordStoreRewrite() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.redate(b.now(), b.now())
	b.note("all has been written again")
}

// redate takes what the store has taken after a moment as taken at another one; the caller holds the lock.
func (b *History) redate(after, at time.Time) {
	for i, d := range b.departed {
		if d.at.After(after) {
			b.departed[i] = departure{at: at, how: d.how}
		}
	}
	for _, l := range [][]named{b.versions, b.configs} {
		for i := range l {
			if l[i].at.After(after) {
				l[i].at = at
			}
		}
	}
}
