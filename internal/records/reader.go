package records

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"github.com/springrail/springrail/internal/dating"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/platform"
)

// retryPause is the wait before the store is asked again after a failure. Every call is charged for, even a refused
// one, and the return of the store must be noticed within a fraction of a second.
const retryPause = 400 * time.Millisecond

// Reader reads one topic from the store into its log while its gate is open.
type Reader struct {
	store *Store
	log   *Log
	facts *facts.Facts
	gate  *gate
	now   func() time.Time
	// onStoreRead is called after each successful read of the store.
	onStoreRead func()
	// onRequest is called for each request to the store with its reason or result, for metrics; nil if nothing is
	// counted.
	onRequest func(reason string)
	// backoff returns the wait after a failed request.
	backoff func() time.Duration
	// requestLease asks the other processes of the failure domain for the lease to read the topic's snapshot.
	requestLease func(ctx context.Context, l *Log, failed bool) bool
	// availableElsewhere asks other failure domains since when the store has been available; zero if unknown.
	availableElsewhere func(ctx context.Context, l *Log) time.Time
	// probeLog is the log whose topic is probed to see whether the store is available: that of upstreams, whose records
	// are short.
	probeLog *Log
	// failures counts consecutive failed requests, and lastTryAt is when the last of them began.
	failures  int
	lastTryAt time.Time
	// wait is how long a read waits at the store for a record, and pause is the time between two reads.
	wait, pause time.Duration
	// needsSnapshot makes the next read a snapshot. After a failure the records written meanwhile may be many versions
	// of a large value: when all processes read them one by one, the store and narrow links stayed overloaded, as every
	// answer took longer than its timeout.
	needsSnapshot bool
	// expiredReads counts consecutive times that the store no longer served records from the offset reached.
	expiredReads int
	// stalled is true if this process has been suspended since its last successful read, so that a failure to read does
	// not prove an outage of the store.
	stalled bool
	// noWait makes the next read return at once. A process that takes over reading cannot serve others before its first
	// read, and a waiting read delayed them by 0.7 s.
	noWait bool
	// takingOver is true until the first successful read after other processes had read for this one.
	takingOver bool
}

// Run reads the topic while the gate is open, until the context ends.
func (r *Reader) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if r.gate.wait(ctx) {
			r.noWait, r.takingOver = true, true
		}
		if ctx.Err() != nil {
			return
		}
		wasBehind, began := r.behind(), r.now()
		more, err := r.readOnce(ctx)
		r.stalled = (r.stalled && err != nil) || r.now().Sub(began) > r.wait+maxCallTime
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, platform.ErrOffsetExpired) && !r.needsSnapshot:
			r.needsSnapshot = true
			r.log.noteReadExpired()
			r.sleepAfterExpiry(ctx)
		case errors.Is(err, errLeaseRefused):
			r.sleep(ctx, retryPause)
		case err != nil:
			r.needsSnapshot, r.noWait = true, false
			r.failures++
			r.lastTryAt = began
			r.log.NoteStoreFailure(err)
			r.sleep(ctx, r.backoff())
		case more:
		case r.pause > 0:
			r.sleep(ctx, r.pause)
		case wasBehind && r.behind():
			// The store does not show yet what other processes have read.
			r.sleep(ctx, retryPause)
		}
	}
}

const (
	// maxCallTime bounds the time of a failing call beyond its wait, as set by the platform's client. maxSleepOverrun
	// bounds how much later a timer fires on a VM that is short of processor time. If either is exceeded, this process
	// was suspended.
	maxCallTime     = 2 * time.Second
	maxSleepOverrun = 500 * time.Millisecond
)

// sleep pauses the reader, and detects if this process was suspended meanwhile.
func (r *Reader) sleep(ctx context.Context, d time.Duration) {
	began := r.now()
	kernel.Pause(ctx, d)
	r.stalled = r.stalled || r.now().Sub(began) > d+maxSleepOverrun
}

// CheckEra compares the store epoch of an answer with that of the position read up to. It returns nil if they are
// equal, platform.ErrOffsetExpired if the answer's is later, and platform.ErrUnavailable if it is earlier, as the
// answer is outdated.
func CheckEra(answered, requested id.Position) error {
	switch {
	case answered.Era() > requested.Era():
		return trace.Wrap(platform.ErrOffsetExpired, "the store is in era %d, records were read up to era %d", answered.Era(), requested.Era())
	case answered.Era() < requested.Era():
		return trace.Wrap(platform.ErrUnavailable, "outdated answer of era %d after one of era %d", answered.Era(), requested.Era())
	}
	return nil
}

// maxExpiryDoublings bounds the exponential backoff between snapshots.
const maxExpiryDoublings = 5

// sleepAfterExpiry delays the next snapshot if the last one gave no offset from which the store serves records. The
// first snapshot is not delayed.
func (r *Reader) sleepAfterExpiry(ctx context.Context) {
	if r.expiredReads > 0 {
		r.sleep(ctx, retryPause<<min(r.expiredReads, maxExpiryDoublings))
	}
	r.expiredReads++
}

// behind reports whether another process has announced a later offset of the operators' records.
func (r *Reader) behind() bool {
	announced, _ := r.facts.ConfigOffset()
	next, started := r.log.Position()
	return r.wait > 0 && started && announced > next
}

// readOnce makes one request and merges the answer. It reports whether the store has more records.
func (r *Reader) readOnce(ctx context.Context) (more bool, err error) {
	next, started := r.log.Position()
	if !started || (r.needsSnapshot && !r.log.fresh()) {
		return false, r.readSnapshotWithLease(ctx, started)
	}
	// Another process may have provided the records that this one failed to read.
	r.needsSnapshot, r.failures = false, 0
	noWait := r.noWait
	if r.takingOver {
		// Without a lease, all processes that take over at the same time would read the missed records, which may be large,
		// and one that has only lost an answer would read beside its source.
		if err := r.acquireLease(ctx, true); err != nil {
			return false, err
		}
		defer r.log.releaseLease()
	}
	ctx, stop, wait := r.readContext(ctx, next)
	defer stop()
	requestedAt := r.now()
	a, err := r.store.Read(ctx, r.log.topic.Name, next, wait)
	if err != nil {
		r.noWait = false
		if context.Cause(ctx) == errNewerRecordsRead { //nolint:errorlint // the cause is the value itself
			r.countRequest("ended, as others have newer ones")
			return false, nil
		}
		r.countRequest("no answer")
		return false, err
	}
	if err := CheckEra(a.Next, next); err != nil {
		r.countRequest("another era")
		return false, err
	}
	r.expiredReads = 0
	r.countAnswer(noWait, len(a.Records))
	r.logSlowRead(r.now().Sub(requestedAt), wait, a.Records, uint64(a.End-a.Next))
	b := r.newBatch(requestedAt, wait)
	b.Records, b.Next = a.Records, a.Next
	r.boundWokenRecord(b.Records, requestedAt, wait)
	more = a.End > a.Next
	if more {
		b.ConfirmedAt = time.Time{}
	}
	if announced, _ := r.facts.ConfigOffset(); more || (r.wait > 0 && announced > a.Next) {
		// The store has more records, or lacks what other processes have read, so nothing is known of the records from
		// Next on.
		b.CaughtUpAt = time.Time{}
	}
	r.onStoreRead()
	r.merge(ctx, b)
	r.announcePosition(a.Next)
	return more, nil
}

// slowReadThreshold is the time beyond its wait from which on a read is logged as slow. The store's answers take 4 ms,
// and one with a configuration of 600 KB takes 200 ms on an otherwise idle 24 Mbit/s link.
const slowReadThreshold = 400 * time.Millisecond

// logSlowRead logs a slow answer with its size and the number of records still to be read.
func (r *Reader) logSlowRead(took, wait time.Duration, l []Record, remaining uint64) {
	if took-wait < slowReadThreshold {
		return
	}
	bytes := 0
	for i := range l {
		bytes += len(l[i].Value)
	}
	r.log.log.Info().Str("topic", r.log.topic.Name).Int64("took_ms", took.Milliseconds()).Int64("wait_ms", wait.Milliseconds()).
		Int("records", len(l)).Int("bytes", bytes).Uint64("left", remaining).Msg("slow read from the store")
}

// countAnswer counts a successful request by its result.
func (r *Reader) countAnswer(noWait bool, n int) {
	switch {
	case noWait:
		r.countRequest("taken over")
	case n == 0:
		r.countRequest("nothing new")
	default:
		r.countRequest("new records")
	}
}

// countRequest counts a request to the store.
func (r *Reader) countRequest(reason string) {
	if r.onRequest != nil {
		r.onRequest(reason)
	}
}

// maxWokenDelay bounds the transfer time of an answer that ended a wait at the store: its only record woke the reader,
// so it was written just before. Taking the start of the request as the lower time bound instead would be 0.35 s too
// early on average, which would shorten the period in which older versions may still serve.
const maxWokenDelay = 200 * time.Millisecond

// boundWokenRecord sets the lower time bound of the one record that ended a wait at the store. An answer that arrives
// sooner than maxWokenDelay proves nothing: the reader may have been behind, or the store may not have woken it in its
// previous request, and the record existed before this one. If such an answer takes longer than maxWokenDelay, the bound
// is too late by at most the wait less maxWokenDelay, 0.5 s, which the gateways' margin of 1 s covers.
func (r *Reader) boundWokenRecord(l []Record, requestedAt time.Time, wait time.Duration) {
	now := r.now()
	writtenAfter := now.Add(-maxWokenDelay)
	if len(l) != 1 || now.Sub(requestedAt) >= wait || !writtenAfter.After(requestedAt) {
		return
	}
	l[0].After, l[0].Source = writtenAfter, dating.DateSource{Observer: r.log.lease.self, Evidence: dating.LongPoll}
}

// newBatch returns a batch for an answer to a request made at the given time.
func (r *Reader) newBatch(requestedAt time.Time, wait time.Duration) Batch {
	now := r.now()
	b := Batch{ConfirmedAt: now, CaughtUpAt: requestedAt, LastFailedAt: r.lastTryAt, FromStore: true, Uninterrupted: !r.stalled && !r.noWait && now.Sub(requestedAt) <= wait+maxCallTime}
	r.noWait, r.takingOver = false, false
	return b
}

// errLeaseRefused says that another process has the records or is reading them.
var errLeaseRefused = errors.New("another process has the records or is reading them")

// probeOwnTopicEvery is the number of probes of which one is for the reader's own topic, as a store may serve one topic
// and not another. Others use a short topic, because a probe of this one may return a large record.
const probeOwnTopicEvery = 5

// acquireLease probes the store if it may be unavailable, and then requests the lease to read what this process has
// missed. During an outage a try costs one short request and none to other processes. After a first failure there is no
// probe: one lost answer is more likely, and the probe would add a call.
func (r *Reader) acquireLease(ctx context.Context, started bool) error {
	if started && (r.failures > 1 || r.log.Age() > outageThreshold) {
		l := r.probeLog
		if r.failures%probeOwnTopicEvery == probeOwnTopicEvery-1 {
			l = r.log
		}
		r.countRequest("look after a failure")
		next, _ := l.Position()
		if err := r.store.Probe(ctx, l.topic.Name, next); err != nil {
			return err
		}
	}
	if !r.requestLease(ctx, r.log, r.failures > 0) {
		return trace.Wrap(errLeaseRefused)
	}
	return nil
}

// readSnapshotWithLease reads the topic's snapshot if this process gets the lease.
func (r *Reader) readSnapshotWithLease(ctx context.Context, started bool) error {
	if err := r.acquireLease(ctx, started); err != nil {
		return err
	}
	defer r.log.releaseLease()
	if started {
		r.countRequest("all again after a failure")
	} else {
		r.countRequest("start")
	}
	return r.readSnapshot(ctx)
}

// readSnapshot merges the newest record of each key; keys that the snapshot lacks are dropped.
func (r *Reader) readSnapshot(ctx context.Context) error {
	requestedAt := r.now()
	l, next, err := r.store.Snapshot(ctx, r.log.topic.Name, r.log.lease.progress)
	if err != nil {
		return err
	}
	position, _ := r.log.Position()
	if err := CheckEra(next, position); errors.Is(err, platform.ErrUnavailable) {
		return err
	}
	r.logSlowRead(r.now().Sub(requestedAt), 0, l, 0)
	r.needsSnapshot, r.failures = false, 0
	b := r.newBatch(requestedAt, 0)
	b.Records, b.Snapshot, b.Next = l, true, next
	r.onStoreRead()
	r.merge(ctx, b)
	r.announcePosition(next)
	return nil
}

// merge merges a batch. After a break, processes of other failure domains are asked whether the store was available.
func (r *Reader) merge(ctx context.Context, b Batch) {
	if r.log.needsWitness() {
		b.AvailableSince = r.availableElsewhere(ctx, r.log)
	}
	r.log.Merge(b)
}

// errNewerRecordsRead cancels a waiting read when another process has read newer records.
var errNewerRecordsRead = errors.New("another process has read newer records")

// readContext returns the context, its cancel function and the wait for a read. The store occasionally fails to wake a
// waiting reader, so a read does not wait once another process has announced a later offset.
func (r *Reader) readContext(ctx context.Context, next id.Position) (context.Context, func(), time.Duration) {
	if r.wait == 0 || r.noWait {
		return ctx, func() {}, 0
	}
	announced, updated := r.facts.ConfigOffset()
	if announced > next {
		return ctx, func() {}, 0
	}
	ctx, stop := context.WithCancelCause(ctx)
	go func() {
		select {
		case <-updated:
			stop(errNewerRecordsRead)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { stop(nil) }, r.wait
}

// announcePosition announces to other processes how far the operators' records have been read.
func (r *Reader) announcePosition(next id.Position) {
	if r.wait > 0 {
		r.facts.NoteConfigOffset(next)
	}
}
