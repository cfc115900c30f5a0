package quarantine

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/platform"
	"github.com/springrail/springrail/internal/records"
)

// follow applies all records of the topic, and then each new one.
func (k *Persister) follow(ctx context.Context) {
	next, started := id.Position(0), false
	begunAt, failing := k.now(), false
	for ctx.Err() == nil {
		var err error
		if started {
			next, err = k.poll(ctx, next)
		} else {
			next, err = k.readSnapshot(ctx)
		}
		if ctx.Err() == nil && !errors.Is(err, errReadAgain) {
			k.onRead(err)
		}
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, errReadAgain):
			started = false
			continue
		case err == nil:
			if !started || failing {
				k.log.Info().Int64("after_ms", k.now().Sub(begunAt).Milliseconds()).Int("held", len(k.suspects.HeldRequests())).
					Msg("held requests read from the store")
			}
			started, failing = true, false
			k.suspects.recordsRead.Store(true)
			continue
		case errors.Is(err, platform.ErrOffsetExpired):
			started = false
		}
		if !failing {
			k.log.Warn().Err(err).Msg("held requests can't be read from the store")
		}
		failing = true
		k.pauseReading(ctx)
	}
}

// pauseReading waits after a failed read, until RetryRead is called at most.
func (k *Persister) pauseReading(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	k.mu.Lock()
	k.stopPause = stop
	k.mu.Unlock()
	kernel.Pause(ctx, retryPause())
}

// RetryRead ends the pause after a failed read.
func (k *Persister) RetryRead() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stopPause != nil {
		k.stopPause()
	}
}

// errReadAgain reports that a long poll was ended, so that all records are read again.
var errReadAgain = errors.New("the records are to be read again")

// poll is like read, and can be ended by ReadAgain.
func (k *Persister) poll(ctx context.Context, from id.Position) (next id.Position, err error) {
	polling, stop := context.WithCancel(ctx)
	defer stop()
	k.mu.Lock()
	k.stopPoll = stop
	k.mu.Unlock()
	next, err = k.read(polling, from)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stopPoll = nil
	if err != nil && polling.Err() != nil {
		return from, errReadAgain
	}
	return next, err
}

// ReadAgain ends a long poll and makes all records be read again.
func (k *Persister) ReadAgain() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stopPoll != nil {
		k.stopPoll()
	}
}

// recordReadTime is the time within which the record of a hold is read that another process has written or read.
const recordReadTime = 3 * time.Second

// accepts reports whether to hold what another process says that it holds, and whose record the store has if recorded is true:
// not what this process is about to release everywhere. If the record is not read soon, it may have been deleted, and all records
// are read again.
func (k *Persister) accepts(f Fingerprint, recorded bool) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	w, due := k.pending[f]
	if due && w.value == nil {
		return false
	}
	if !recorded || k.stored[f] {
		return true
	}
	delete(k.pending, f)
	k.stored[f] = true
	k.unread[f] = struct{}{}
	time.AfterFunc(recordReadTime, func() {
		k.mu.Lock()
		_, missing := k.unread[f]
		k.mu.Unlock()
		if missing {
			k.ReadAgain()
		}
	})
	return true
}

// readSnapshot applies the newest record of each key and lifts requests whose record has been deleted. If the store was
// restored from an older copy since the last snapshot, it repairs the store's records instead.
func (k *Persister) readSnapshot(ctx context.Context) (next id.Position, err error) {
	l, next, err := k.store.Snapshot(ctx, k.topic, func(int) {})
	if err != nil {
		return 0, err
	}
	restored, err := k.enterEra(next)
	if err != nil {
		return 0, err
	}
	present := map[Fingerprint]bool{}
	for _, r := range l {
		if restored && k.removeAgain(r.Key) {
			continue
		}
		if f, ok := k.applyRecord(r); ok {
			present[f] = true
		}
	}
	if restored {
		k.rewriteMissing(present)
		return next, nil
	}
	for _, f := range k.takeVanished(present) {
		k.log.Info().Stringer("fingerprint", f).Msg("the record of a held request is no longer in the store")
		k.suspects.Lift(f)
	}
	return next, nil
}

// enterEra stores the end position of a snapshot, and returns whether it is of a later store epoch than the one before.
func (k *Persister) enterEra(next id.Position) (restored bool, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	err = records.CheckEra(next, k.snapshotPosition)
	if errors.Is(err, platform.ErrUnavailable) {
		return false, err
	}
	k.snapshotPosition = next
	return err != nil, nil
}

// removeAgain returns whether the request of a record was lifted before the store was restored, and if so schedules the
// deletion of the record.
func (k *Persister) removeAgain(key string) bool {
	f, err := Parse(key)
	if err != nil {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.lifted[f] {
		return false
	}
	k.schedule(f, pendingWrite{dueAt: k.now().Add(rand.N(writeSpread))})
	return true
}

// rewriteMissing schedules the write of the records that the store lacks. All gateways do so, each after a random delay;
// the first one's records make the others' writes unnecessary.
func (k *Persister) rewriteMissing(present map[Fingerprint]bool) {
	for _, h := range k.suspects.HeldRequests() {
		if present[h.Fingerprint] {
			continue
		}
		k.mu.Lock()
		delete(k.stored, h.Fingerprint)
		k.mu.Unlock()
		k.Persist(h)
	}
}

// isStored reports whether the store has the record of a request, as far as known.
func (k *Persister) isStored(f Fingerprint) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.stored[f]
}

// takeVanished removes and returns the requests whose records were stored and no longer are.
func (k *Persister) takeVanished(present map[Fingerprint]bool) (l []Fingerprint) {
	k.mu.Lock()
	defer k.mu.Unlock()
	clear(k.unread)
	for f := range k.stored {
		if !present[f] {
			delete(k.stored, f)
			l = append(l, f)
		}
	}
	return l
}

// read applies the records from a position on.
func (k *Persister) read(ctx context.Context, from id.Position) (next id.Position, err error) {
	a, err := k.store.Read(ctx, k.topic, from, longPollWait)
	if err == nil {
		err = records.CheckEra(a.Next, from)
	}
	if err != nil {
		return from, err
	}
	for _, r := range a.Records {
		k.applyRecord(r)
	}
	return a.Next, nil
}

// applyRecord applies one record to the suspect tracker, and returns whether it is of a held request.
func (k *Persister) applyRecord(r records.Record) (f Fingerprint, ok bool) {
	f, err := Parse(r.Key)
	if err != nil {
		k.skipRecord(r, err)
		return f, false
	}
	if r.Value == nil {
		k.log.Info().Stringer("fingerprint", f).Uint64("offset", r.Position.Offset()).Msg("the record of a held request was deleted")
		k.noteStored(f, false)
		k.suspects.Lift(f)
		return f, false
	}
	h, err := decodeHeld(f, r.Value)
	if err != nil {
		k.skipRecord(r, err)
		return f, false
	}
	k.noteStored(f, true)
	k.suspects.addHeld(h, Recorded)
	return f, true
}

// noteStored notes the store's record of a request, and cancels a pending write with the same effect.
func (k *Persister) noteStored(f Fingerprint, stored bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.unread, f)
	w, due := k.pending[f]
	if due && (w.value != nil) == (stored != w.rewrite) {
		delete(k.pending, f)
	}
	k.markStored(f, stored)
}

// skipRecord logs and counts an invalid record; other programs may write to the topic.
func (k *Persister) skipRecord(r records.Record, err error) {
	k.suspects.vars.Add("records_skipped", 1)
	k.log.Warn().Err(err).Str("key", r.Key).Uint64("offset", r.Position.Offset()).Uint64("era", r.Position.Era()).Msg("skipped an invalid record of a held request")
}
