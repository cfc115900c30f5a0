package quarantine

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/records"
)

const (
	// longPollWait is how long a long poll for new records waits at the store, which limits it to 30 s. A gateway thus
	// makes two to three calls a minute while there are none.
	longPollWait = 25 * time.Second
	// retryDelay is the delay after a failure. A random delay of up to the same length is added, so that gateways don't
	// retry at the same time.
	retryDelay = time.Second
	// writeSpread is the time over which gateways that hold a request at the same moment spread their writes: all but
	// the first find the record written.
	writeSpread = 500 * time.Millisecond
)

// Persister keeps held requests in the platform's store, so that they survive a restart of all gateways, and applies the
// records of other gateways to the suspect tracker.
type Persister struct {
	store    records.Store
	topic    string
	suspects *SuspectTracker
	now      func() time.Time
	log      *log.Logger

	mu sync.Mutex
	// pending are the records that this process has yet to write, with the time at which each is due; a nil value
	// deletes a key.
	pending map[Fingerprint]pendingWrite
	// stored are the requests whose records have been read or written, and lifted those whose records have since been
	// deleted.
	stored, lifted map[Fingerprint]bool
	// snapshotPosition is the end position of the newest snapshot that was read.
	snapshotPosition id.Position
	wake             chan struct{}
	// onRead is called after each read of the records; it must be set before Run.
	onRead func(err error)
	// onRecorded is called once this process has written the record of a held request; it must be set before Run.
	onRecorded func(f Fingerprint)
	// unread are the requests whose records another process has written or read, and this one has not read yet.
	unread map[Fingerprint]struct{}
	// stopPoll ends the long poll that is under way; nil while there is none. stopPause ends the pause after a failed read.
	stopPoll, stopPause context.CancelFunc
}

// pendingWrite is a record to be written.
type pendingWrite struct {
	value []byte
	dueAt time.Time
	// rewrite is true if the store had a record already: the write is given up if that is deleted.
	rewrite bool
}

// NewPersister creates a persister for a suspect tracker and a topic of the store.
func NewPersister(s records.Store, topic string, l *SuspectTracker, now func() time.Time, g *log.Logger) *Persister {
	return &Persister{
		store: s, topic: topic, suspects: l, now: now, log: g, pending: map[Fingerprint]pendingWrite{}, stored: map[Fingerprint]bool{}, lifted: map[Fingerprint]bool{}, wake: make(chan struct{}, 1),
		onRead: func(error) {}, onRecorded: func(Fingerprint) {}, unread: map[Fingerprint]struct{}{},
	}
}

// Run reads and writes records until the context ends.
func (k *Persister) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { k.writePending(ctx) })
	k.follow(ctx)
	wg.Wait()
	return nil
}

// Persist schedules the write of a held request's record, unless another process has written it.
func (k *Persister) Persist(h HeldRequest) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.stored[h.Fingerprint] {
		k.scheduleRecord(h, false)
	}
}

// Update schedules the write of a held request's record, which is held for other uses than before.
func (k *Persister) Update(h HeldRequest) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.scheduleRecord(h, k.stored[h.Fingerprint])
}

// scheduleRecord schedules the write of a held request's record; the caller holds the lock.
func (k *Persister) scheduleRecord(h HeldRequest, rewrite bool) {
	b, err := proto.Marshal(h.toProto())
	if err != nil {
		k.log.Error().Err(err).Stringer("fingerprint", h.Fingerprint).Msg("failed to encode a held request")
		return
	}
	k.schedule(h.Fingerprint, pendingWrite{value: b, dueAt: k.now().Add(rand.N(writeSpread)), rewrite: rewrite})
}

// Remove schedules the deletion of the record of a request that is no longer held.
func (k *Persister) Remove(f Fingerprint) {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, due := k.pending[f]
	if due || k.stored[f] {
		k.schedule(f, pendingWrite{dueAt: k.now()})
	}
}

// CancelWrite cancels the pending write of the record of a request that is no longer held.
func (k *Persister) CancelWrite(f Fingerprint) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if w, due := k.pending[f]; due && w.value != nil {
		delete(k.pending, f)
	}
}

// schedule adds a pending write and wakes the writer; the caller holds the lock.
func (k *Persister) schedule(f Fingerprint, w pendingWrite) {
	k.pending[f] = w
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// writePending writes the records that are due until the context ends.
func (k *Persister) writePending(ctx context.Context) {
	for ctx.Err() == nil {
		f, w, wait := k.next()
		if wait > 0 {
			k.pause(ctx, wait)
			continue
		}
		at, err := k.store.Append(ctx, k.topic, records.Record{Key: f.String(), Value: w.value})
		switch {
		case err != nil || !k.confirm(f, w, at):
			k.postpone(f, w)
		case w.value != nil:
			k.onRecorded(f)
		}
	}
}

// idleCheckInterval is how often the writer checks for pending writes if it isn't woken.
const idleCheckInterval = time.Minute

// next returns the pending write that is due first, and how long until then.
func (k *Persister) next() (first Fingerprint, w pendingWrite, wait time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	wait = idleCheckInterval
	for f, o := range k.pending {
		if remaining := o.dueAt.Sub(k.now()); remaining < wait {
			first, w, wait = f, o, remaining
		}
	}
	return first, w, wait
}

// pause waits for a duration or until a new write is pending.
func (k *Persister) pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-k.wake:
	}
}

// confirm notes that a record has been stored. It returns false if the write predates a restore of the store from an
// older copy, which may lack the record.
func (k *Persister) confirm(f Fingerprint, w pendingWrite, at id.Position) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if at.Era() < k.snapshotPosition.Era() {
		return false
	}
	k.markStored(f, w.value != nil)
	if o, ok := k.pending[f]; ok && o.dueAt.Equal(w.dueAt) {
		delete(k.pending, f)
	}
	return true
}

// maxLifted limits the requests that are remembered as lifted.
const maxLifted = 1024

// markStored notes whether the store has a record of a request; the caller holds the lock.
func (k *Persister) markStored(f Fingerprint, stored bool) {
	if stored {
		k.stored[f] = true
		delete(k.lifted, f)
		return
	}
	if k.stored[f] && len(k.lifted) < maxLifted {
		k.lifted[f] = true
	}
	delete(k.stored, f)
}

// postpone delays a record that could not be written.
func (k *Persister) postpone(f Fingerprint, w pendingWrite) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if o, ok := k.pending[f]; ok && o.dueAt.Equal(w.dueAt) {
		w.dueAt = k.now().Add(retryPause())
		k.pending[f] = w
	}
}

func retryPause() time.Duration {
	return retryDelay + rand.N(retryDelay)
}
