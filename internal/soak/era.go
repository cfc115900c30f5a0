package soak

import (
	"context"
	"net/http"
	"time"

	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/standin"
)

const (
	// snapshotInterval is the time between two snapshots of the store, and snapshotsKept their number: the oldest is 5 s
	// old.
	snapshotInterval = 500 * time.Millisecond
	snapshotsKept    = 10
	// meanRestoreInterval is the mean time between two restores of the store from a snapshot, and maxRestoreOutage the
	// maximum outage before a restore.
	meanRestoreInterval = 20 * time.Second
	maxRestoreOutage    = 700 * time.Millisecond
	// maxRewriteDelay is the maximum time after a restore until operators write their records again. Upstreams do so with
	// their heartbeat.
	maxRewriteDelay = time.Second
	// maxCallsPerSecond is the number of calls that one process may send to the store in a second, whatever the answers
	// are.
	maxCallsPerSecond = 60
)

// storeSnapshot is the content of the store at one point in time.
type storeSnapshot struct {
	at      time.Time
	content standin.KeyedSnapshot
}

// keepSnapshots takes snapshots of the store until the context ends.
func (w *Fleet) keepSnapshots(ctx context.Context) {
	for ctx.Err() == nil {
		w.mu.Lock()
		w.snapshots = append(w.snapshots, storeSnapshot{at: time.Now(), content: w.store.Snapshot()})
		w.snapshots = w.snapshots[max(0, len(w.snapshots)-snapshotsKept):]
		w.mu.Unlock()
		kernel.Pause(ctx, snapshotInterval)
	}
}

// restoreStore restores the store from a snapshot, after an outage or without one. In half of the cases a new
// configuration is written first; then all records that were lost are written again.
func (w *Fleet) restoreStore(ctx context.Context, s Step) {
	defer w.history.BeginFault(storeTarget, doStoreRestore)()
	outage := time.Duration(s.Magnitude * float64(s.Duration))
	if s.Selector%4 == 0 {
		outage = 0
	}
	w.setStoreFaults(outage, standin.KeyedFaults{Status: http.StatusServiceUnavailable})
	kernel.Pause(ctx, outage)
	w.restoreSnapshot(int(s.Selector >> 8))
	w.setStoreFaults(outage, standin.KeyedFaults{})
	if s.Selector>>4%2 == 0 {
		w.publishConfig(0)
	}
	kernel.Pause(ctx, time.Duration(s.Magnitude*float64(maxRewriteDelay)))
	w.rewriteStore()
}

// restoreSnapshot replaces the content of the store with one of its snapshots.
func (w *Fleet) restoreSnapshot(pick int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.snapshots) == 0 {
		return
	}
	c := w.snapshots[pick%len(w.snapshots)]
	w.snapshots = nil
	w.store.Restore(c.content)
	w.history.RecordStoreRestore(c.at)
}

// setStoreFaults sets the faults of all processes' endpoints, unless the outage has no duration.
func (w *Fleet) setStoreFaults(outage time.Duration, f standin.KeyedFaults) {
	if outage == 0 {
		return
	}
	for _, p := range w.processes() {
		p.store.SetFaults(f)
	}
}

// rewriteStore writes the current records of operators and upstreams again and deletes those of upstreams that no longer
// exist.
func (w *Fleet) rewriteStore() {
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
				u.writeRecord()
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

// checkCallRate checks the rate of each process's calls to the store until the context ends.
func (w *Fleet) checkCallRate(ctx context.Context) {
	before := map[*Process]int{}
	for ctx.Err() == nil {
		kernel.Pause(ctx, time.Second)
		for _, p := range w.processes() {
			n := p.store.Calls()
			if made := n - before[p]; made > maxCallsPerSecond {
				w.history.RecordViolation("store-calls", p.name, "", "%d calls to the store within a second", made)
			}
			before[p] = n
		}
	}
}

// unknownDelay dates what the store has lost far into the future until it is written again.
const unknownDelay = 24 * time.Hour

// RecordStoreRestore records that the store has lost everything that it accepted after a point in time.
func (b *History) RecordStoreRestore(since time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.redate(since, b.now().Add(unknownDelay))
	b.recordEvent("the store was restored from a snapshot that is %.2f s old", b.now().Sub(since).Seconds())
}

// RecordStoreRewrite records that everything that the store had lost has been written again.
func (b *History) RecordStoreRewrite() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.redate(b.now(), b.now())
	b.recordEvent("all lost records have been written again")
}

// redate gives everything that the store has accepted after one point in time another acceptance time. The caller holds
// the lock.
func (b *History) redate(after, at time.Time) {
	for i, d := range b.departed {
		if d.at.After(after) {
			b.departed[i] = departure{at: at, reason: d.reason}
		}
	}
	for _, l := range [][]publication{b.versions, b.configs} {
		for i := range l {
			if l[i].at.After(after) {
				l[i].at = at
			}
		}
	}
}
