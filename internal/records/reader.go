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

// retryPause is the wait before the store is asked again after a failure. Each call is priced, also a refused one, and
// a store that returns has to be noticed within a fraction of a second.
const retryPause = 400 * time.Millisecond

// Reader brings one topic from the store into its log while its gate is open.
type Reader struct {
	store *Store
	log   *Log
	facts *facts.Facts
	gate  *gate
	now   func() time.Time
	// own notes that the records come from the store itself.
	own func()
	// asked is told of each question to the store why it was asked, or what came of it; nil is told nothing.
	asked func(reason string)
	// tryPause is the wait after a failure.
	tryPause func() time.Duration
	// claim asks the other processes of the failure domain whether this one may read the topic whole.
	claim func(ctx context.Context, l *Log, failed bool) bool
	// look is the topic by which a process sees whether the store is back: that of upstreams, whose records are short.
	look *Log
	// failed counts the tries in a row that brought nothing, and tried is when the last one of them began.
	failed int
	tried  time.Time
	// wait is how long a read waits at the store for a record, and pause how long the reader waits between two reads.
	wait, pause time.Duration
	// whole makes the next reading one of the newest records only. After a failure what was written meanwhile may be many
	// versions of a long record: read one after the other by all processes, they kept the store and narrow links busy
	// beyond the time of an answer, for good.
	whole bool
	// expired counts the times in a row that the store could not be read on from where it had been read to.
	expired int
	// stood is true once this process has stood still since the last good reading: what it could not read then was not for
	// the store's being away.
	stood bool
	// prompt makes the next read one that does not wait: a process that takes the reading over is no source for others
	// before it has read, and one that waited first let them know 0.7 s later.
	prompt bool
	// absent is true until this process has read again after others had read for it.
	absent bool
}

// Run reads until the context ends.
func (r *Reader) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if r.gate.pass(ctx) {
			r.prompt, r.absent = true, true
		}
		if ctx.Err() != nil {
			return
		}
		asked, began := r.behind(), r.now()
		more, err := r.step(ctx)
		r.stood = (r.stood && err != nil) || r.now().Sub(began) > r.wait+callMost
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, platform.ErrOffsetExpired) && !r.whole:
			r.whole = true
			r.log.missed()
			r.restExpired(ctx)
		case errors.Is(err, errRefused):
			r.rest(ctx, retryPause)
		case err != nil:
			r.whole, r.prompt = true, false
			r.failed++
			r.tried = began
			r.log.NoteStoreFailure(err)
			r.rest(ctx, r.tryPause())
		case more:
		case r.pause > 0:
			r.rest(ctx, r.pause)
		case asked && r.behind():
			// What others have read is not to be had here yet.
			r.rest(ctx, retryPause)
		}
	}
}

const (
	// callMost is the longest time that a call which fails takes beyond its wait, as the platform's client bounds it, and
	// restMost how much longer than asked a pause takes, on a VM that is short of processor time. What takes longer has stood
	// still.
	callMost = 2 * time.Second
	restMost = 500 * time.Millisecond
)

// rest pauses.
func (r *Reader) rest(ctx context.Context, d time.Duration) {
	began := r.now()
	kernel.Pause(ctx, d)
	r.stood = r.stood || r.now().Sub(began) > d+restMost
}

// CheckEra returns nil where an answer is of the era of a position that has been read to, platform.ErrOffsetExpired where it
// is of a later one, and platform.ErrUnavailable where it is of an earlier one, which comes late.
func CheckEra(got, asked id.Position) error {
	switch {
	case got.Era() > asked.Era():
		return trace.Wrap(platform.ErrOffsetExpired, "the store is in era %d, read up to era %d", got.Era(), asked.Era())
	case got.Era() < asked.Era():
		return trace.Wrap(platform.ErrUnavailable, "an answer of era %d after one of era %d", got.Era(), asked.Era())
	}
	return nil
}

// expiredMost bounds the doubling of the pause before another whole reading.
const expiredMost = 5

// restExpired waits before the topic is read whole again although the last whole reading has brought no position that could
// be read on from; the first time it does not.
func (r *Reader) restExpired(ctx context.Context) {
	if r.expired > 0 {
		r.rest(ctx, retryPause<<min(r.expired, expiredMost))
	}
	r.expired++
}

// behind says whether another process has read further in the operators' records.
func (r *Reader) behind() bool {
	heard, _ := r.facts.ConfigOffset()
	next, started := r.log.Position()
	return r.wait > 0 && started && heard > next
}

// step makes one call and takes what it brings; it says whether the store has more.
func (r *Reader) step(ctx context.Context) (more bool, err error) {
	next, started := r.log.Position()
	if !started || (r.whole && !r.log.fresh()) {
		return false, r.readWhole(ctx, started)
	}
	// Another process may have handed on meanwhile what this one could not read.
	r.whole, r.failed = false, 0
	prompt := r.prompt
	if r.absent && !r.log.fresh() {
		// What it has missed may be a long record, which others that take over at the same time have missed too.
		if err := r.mayRead(ctx, true); err != nil {
			return false, err
		}
		defer r.log.endTurn()
	}
	ctx, stop, wait := r.patience(ctx, next)
	defer stop()
	asked := r.now()
	a, err := r.store.Read(ctx, r.log.topic.Name, next, wait)
	if err != nil {
		r.prompt = false
		if context.Cause(ctx) == errHeard { //nolint:errorlint // the cause is the value itself
			r.count("ended, as others have newer ones")
			return false, nil
		}
		r.count("no answer")
		return false, err
	}
	if err := CheckEra(a.Next, next); err != nil {
		r.count("another era")
		return false, err
	}
	r.expired = 0
	r.countAnswer(prompt, len(a.Records))
	r.noteSlow(r.now().Sub(asked), wait, a.Records, uint64(a.End-a.Next))
	b := r.batch(asked, wait)
	b.Records, b.Next = a.Records, a.Next
	r.dateWoken(b.Records, asked, wait)
	more = a.End > a.Next
	if more {
		b.ConfirmedAt = time.Time{}
	}
	if heard, _ := r.facts.ConfigOffset(); more || (r.wait > 0 && heard > a.Next) {
		// The store has more, or does not show yet what others have read: nothing is known of what comes after Next.
		b.CaughtUpAt = time.Time{}
	}
	r.own()
	r.log.Merge(b)
	r.heard(a.Next)
	return more, nil
}

// slowReading is how long an answer takes beyond its wait before a line tells of it: the store's answers take 4 ms, and
// one with a configuration of 600 KB takes 200 ms on a link of 24 Mbit/s that carries nothing else.
const slowReading = 400 * time.Millisecond

// noteSlow tells of an answer that was long on its way, with its size and what was still to come.
func (r *Reader) noteSlow(took, wait time.Duration, l []Record, left uint64) {
	if took-wait < slowReading {
		return
	}
	bytes := 0
	for i := range l {
		bytes += len(l[i].Value)
	}
	r.log.log.Info().Str("topic", r.log.topic.Name).Int64("took_ms", took.Milliseconds()).Int64("wait_ms", wait.Milliseconds()).
		Int("records", len(l)).Int("bytes", bytes).Uint64("left", left).Msg("slow reading of the store")
}

// countAnswer tells of a question that was answered with a number of records.
func (r *Reader) countAnswer(prompt bool, n int) {
	switch {
	case prompt:
		r.count("taken over")
	case n == 0:
		r.count("nothing new")
	default:
		r.count("new records")
	}
}

// count tells of a question to the store.
func (r *Reader) count(reason string) {
	if r.asked != nil {
		r.asked(reason)
	}
}

// wokenMost bounds the way of an answer that came before its wait was over: the one record in it woke the reader, so it was
// written just then. The moment of the question alone is 0.35 s too early on the mean, by which older versions would
// end too soon.
const wokenMost = 200 * time.Millisecond

// dateWoken dates the one record that ended a wait at the store. One that comes sooner than an answer may be on its way
// need not have: the reader may not have had the newest, or the store had passed its last question over, and then the
// record was there before this one. An answer that is on its way for longer, and no wait, is dated too late by at most
// the wait less wokenMost, 0.5 s, which gateways' margin of 1 s bears.
func (r *Reader) dateWoken(l []Record, asked time.Time, wait time.Duration) {
	now := r.now()
	written := now.Add(-wokenMost)
	if len(l) != 1 || now.Sub(asked) >= wait || !written.After(asked) {
		return
	}
	l[0].After, l[0].Source = written, dating.DateSource{Observer: r.log.turn.self, Evidence: dating.LongPoll}
}

// batch is what an answer says that was asked for at a moment.
func (r *Reader) batch(asked time.Time, wait time.Duration) Batch {
	now := r.now()
	b := Batch{ConfirmedAt: now, CaughtUpAt: asked, LastFailedAt: r.tried, FromStore: true, Uninterrupted: !r.stood && !r.prompt && now.Sub(asked) <= wait+callMost}
	r.prompt, r.absent = false, false
	return b
}

// errRefused says that another process has the records, or reads them.
var errRefused = errors.New("another process reads the records")

// lookEvery is the number of tries of which one looks at the reader's own topic, as a store may give one topic and not another:
// there a short question may bring a long record.
const lookEvery = 5

// mayRead says whether it is this process's turn to read what it has missed. While the store is away one short question
// a try shows that, and nobody else is asked. A first failure may be a lost answer alone: another call would only cost
// the time of one that is lost too.
func (r *Reader) mayRead(ctx context.Context, started bool) error {
	if started && (r.failed > 1 || r.log.Age() > awayFor) {
		l := r.look
		if r.failed%lookEvery == lookEvery-1 {
			l = r.log
		}
		r.count("look after a failure")
		next, _ := l.Position()
		if err := r.store.Probe(ctx, l.topic.Name, next); err != nil {
			return err
		}
	}
	if !r.claim(ctx, r.log, r.failed > 0) {
		return trace.Wrap(errRefused)
	}
	return nil
}

// readWhole reads the whole topic, if that is this process's turn.
func (r *Reader) readWhole(ctx context.Context, started bool) error {
	if err := r.mayRead(ctx, started); err != nil {
		return err
	}
	defer r.log.endTurn()
	if started {
		r.count("all again after a failure")
	} else {
		r.count("start")
	}
	return r.restart(ctx)
}

// restart takes the newest record of each key; keys that are not among them have gone.
func (r *Reader) restart(ctx context.Context) error {
	asked := r.now()
	l, next, err := r.store.Snapshot(ctx, r.log.topic.Name, r.log.turn.progress)
	if err != nil {
		return err
	}
	held, _ := r.log.Position()
	if err := CheckEra(next, held); errors.Is(err, platform.ErrUnavailable) {
		return err
	}
	r.noteSlow(r.now().Sub(asked), 0, l, 0)
	r.whole, r.failed = false, 0
	b := r.batch(asked, 0)
	b.Records, b.Snapshot, b.Next = l, true, next
	r.own()
	r.log.Merge(b)
	r.heard(next)
	return nil
}

// errHeard ends a read that waits although another process has read newer records.
var errHeard = errors.New("another process has read newer records")

// patience is how long a read may wait at the store. The store passes a waiting reader over now and then: once another
// process is known to have read further, this one does not wait.
func (r *Reader) patience(ctx context.Context, next id.Position) (context.Context, func(), time.Duration) {
	if r.wait == 0 || r.prompt {
		return ctx, func() {}, 0
	}
	heard, hearing := r.facts.ConfigOffset()
	if heard > next {
		return ctx, func() {}, 0
	}
	ctx, stop := context.WithCancelCause(ctx)
	go func() {
		select {
		case <-hearing:
			stop(errHeard)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { stop(nil) }, r.wait
}

// heard tells others how far the operators' records have been read.
func (r *Reader) heard(next id.Position) {
	if r.wait > 0 {
		r.facts.NoteConfigOffset(next)
	}
}
