package quarantine

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/platform"
	"github.com/springrail/springrail/internal/records"
)

const (
	// followWait is how long one question for new records waits at the store, which bounds it to 30 s. A gateway so
	// makes two to three calls a minute while there are none.
	followWait = 25 * time.Second
	// retryAfter is the wait after a failure, and up to as much again is added by chance, so that gateways do not come
	// back together.
	retryAfter = time.Second
	// writeWithin is the time over which gateways that hold a request at the same moment spread their writing of it:
	// all but the first find it written.
	writeWithin = 500 * time.Millisecond
)

// Persister keeps held requests in the platform's store, where they outlast all processes, and brings those of others into the list.
type Persister struct {
	store records.Store
	topic string
	list  *SuspectTracker
	now   func() time.Time
	log   *log.Logger

	mu sync.Mutex
	// due are the records that this process has still to write, with the moment at which it does; a nil value drops a key.
	due map[Fingerprint]write
	// stored are the requests whose records have been read or written, and lifted those whose records were dropped then.
	stored, lifted map[Fingerprint]bool
	// all is how far the newest whole reading came.
	all  id.Position
	wake chan struct{}
}

// write is a record that is to be written.
type write struct {
	value []byte
	at    time.Time
}

// NewPersister makes a keeper for a list over a topic of the store.
func NewPersister(s records.Store, topic string, l *SuspectTracker, now func() time.Time, g *log.Logger) *Persister {
	return &Persister{
		store: s, topic: topic, list: l, now: now, log: g, due: map[Fingerprint]write{}, stored: map[Fingerprint]bool{}, lifted: map[Fingerprint]bool{}, wake: make(chan struct{}, 1),
	}
}

// Run follows and writes until the context ends.
func (k *Persister) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { k.write(ctx) })
	k.follow(ctx)
	wg.Wait()
	return nil
}

// Persist has a held request written, unless another process does it first.
func (k *Persister) Persist(h HeldRequest) {
	b, err := proto.Marshal(h.tell())
	if err != nil {
		k.log.Error().Err(err).Stringer("fingerprint", h.Fingerprint).Msg("a held request can't be encoded")
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.stored[h.Fingerprint] {
		k.plan(h.Fingerprint, write{value: b, at: k.now().Add(rand.N(writeWithin))})
	}
}

// Remove has the record of a request that is no longer held removed.
func (k *Persister) Remove(f Fingerprint) {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, due := k.due[f]
	if due || k.stored[f] {
		k.plan(f, write{at: k.now()})
	}
}

// plan notes a record to write; the caller holds the lock.
func (k *Persister) plan(f Fingerprint, w write) {
	k.due[f] = w
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// write writes what is due until the context ends.
func (k *Persister) write(ctx context.Context) {
	for ctx.Err() == nil {
		f, w, wait := k.next()
		if wait > 0 {
			k.pause(ctx, wait)
			continue
		}
		at, err := k.store.Append(ctx, k.topic, records.Record{Key: f.String(), Value: w.value})
		if err != nil || !k.written(f, w, at) {
			k.later(f, w)
		}
	}
}

// idleLook is how often a keeper with nothing to write looks whether there is something, beside being woken.
const idleLook = time.Minute

// next is the record that is due first, and how long until then.
func (k *Persister) next() (first Fingerprint, w write, wait time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	wait = idleLook
	for f, o := range k.due {
		if left := o.at.Sub(k.now()); left < wait {
			first, w, wait = f, o, left
		}
	}
	return first, w, wait
}

// pause waits for a time or until something new is due.
func (k *Persister) pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-k.wake:
	}
}

// written notes that a record stands in the store. It is false of one that was written before the store came back from an
// older copy, which need not hold it.
func (k *Persister) written(f Fingerprint, w write, at id.Position) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if at.Era() < k.all.Era() {
		return false
	}
	k.mark(f, w.value != nil)
	if o, ok := k.due[f]; ok && o.at.Equal(w.at) {
		delete(k.due, f)
	}
	return true
}

// mostLifted bounds the requests that are remembered as lifted.
const mostLifted = 1024

// mark notes whether the store has a record of a request; the caller holds the lock.
func (k *Persister) mark(f Fingerprint, stored bool) {
	if stored {
		k.stored[f] = true
		delete(k.lifted, f)
		return
	}
	if k.stored[f] && len(k.lifted) < mostLifted {
		k.lifted[f] = true
	}
	delete(k.stored, f)
}

// later puts off a record that could not be written.
func (k *Persister) later(f Fingerprint, w write) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if o, ok := k.due[f]; ok && o.at.Equal(w.at) {
		w.at = k.now().Add(retryPause())
		k.due[f] = w
	}
}

func retryPause() time.Duration {
	return retryAfter + rand.N(retryAfter)
}

// follow brings all records into the list, and then each new one.
func (k *Persister) follow(ctx context.Context) {
	next, started := id.Position(0), false
	for ctx.Err() == nil {
		var err error
		if started {
			next, err = k.read(ctx, next)
		} else {
			next, err = k.readAll(ctx)
		}
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			started = true
			continue
		case errors.Is(err, platform.ErrOffsetExpired):
			started = false
		}
		kernel.Pause(ctx, retryPause())
	}
}

// readAll takes the newest record of each key, and lets requests through whose record has gone. Where the store has come
// back from an older copy since the last time, its records are what they were before instead.
func (k *Persister) readAll(ctx context.Context) (next id.Position, err error) {
	l, next, err := k.store.Snapshot(ctx, k.topic, func(int) {})
	if err != nil {
		return 0, err
	}
	returned, err := k.enter(next)
	if err != nil {
		return 0, err
	}
	there := map[Fingerprint]bool{}
	for _, r := range l {
		if returned && k.dropAgain(r.Key) {
			continue
		}
		if f, ok := k.take(r); ok {
			there[f] = true
		}
	}
	if returned {
		k.writeAgain(there)
		return next, nil
	}
	for _, f := range k.gone(there) {
		k.list.Lift(f)
	}
	return next, nil
}

// enter notes how far a whole reading has come, and says whether it is of a later era than the one before.
func (k *Persister) enter(next id.Position) (returned bool, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	err = records.CheckEra(next, k.all)
	if errors.Is(err, platform.ErrUnavailable) {
		return false, err
	}
	k.all = next
	return err != nil, nil
}

// dropAgain says whether the request of a record has been lifted before the store came back, and has the record dropped.
func (k *Persister) dropAgain(key string) bool {
	f, err := Parse(key)
	if err != nil {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.lifted[f] {
		return false
	}
	k.plan(f, write{at: k.now().Add(rand.N(writeWithin))})
	return true
}

// writeAgain has the records written that the store lacks. All gateways do so, each after a time by chance; the first
// one's records keep the others from it.
func (k *Persister) writeAgain(there map[Fingerprint]bool) {
	for _, h := range k.list.HeldRequests() {
		if there[h.Fingerprint] {
			continue
		}
		k.mu.Lock()
		delete(k.stored, h.Fingerprint)
		k.mu.Unlock()
		k.Persist(h)
	}
}

// gone forgets and lists the requests whose records stood in the store and do not any more.
func (k *Persister) gone(there map[Fingerprint]bool) (l []Fingerprint) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for f := range k.stored {
		if !there[f] {
			delete(k.stored, f)
			l = append(l, f)
		}
	}
	return l
}

// read takes the records from an offset on.
func (k *Persister) read(ctx context.Context, from id.Position) (next id.Position, err error) {
	a, err := k.store.Read(ctx, k.topic, from, followWait)
	if err == nil {
		err = records.CheckEra(a.Next, from)
	}
	if err != nil {
		return from, err
	}
	for _, r := range a.Records {
		k.take(r)
	}
	return a.Next, nil
}

// take brings one record into the list, and says whether it is of a held request.
func (k *Persister) take(r records.Record) (f Fingerprint, ok bool) {
	f, err := Parse(r.Key)
	if err != nil {
		k.skip(r, err)
		return f, false
	}
	if r.Value == nil {
		k.note(f, false)
		k.list.Lift(f)
		return f, false
	}
	h, err := decodeHold(f, r.Value)
	if err != nil {
		k.skip(r, err)
		return f, false
	}
	k.note(f, true)
	k.list.AddHeld(h)
	return f, true
}

// note keeps what the store has of a request; one that another process has written need not be written here.
func (k *Persister) note(f Fingerprint, stored bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	w, due := k.due[f]
	if due && (w.value != nil) == stored {
		delete(k.due, f)
	}
	k.mark(f, stored)
}

// skip tells of a record that can't be read: others may write to the topic.
func (k *Persister) skip(r records.Record, err error) {
	k.list.vars.Add("records_skipped", 1)
	k.log.Warn().Err(err).Str("key", r.Key).Uint64("offset", r.Position.Offset()).Uint64("era", r.Position.Era()).Msg("record of a held request skipped")
}

// tell encodes a held request as its record.
func (h *HeldRequest) tell() *pb.HeldRequest {
	m := &pb.HeldRequest{Organisation: string(h.Organisation), By: string(h.HeldBy), SinceUnixMs: h.SinceUnixMs}
	for _, s := range h.Incarnations {
		m.Starts = append(m.Starts, s.tell())
	}
	return m
}

func decodeHold(f Fingerprint, value []byte) (HeldRequest, error) {
	var m pb.HeldRequest
	if err := proto.Unmarshal(value, &m); err != nil {
		return HeldRequest{}, trace.Wrap(err)
	}
	return holdFrom(f, &m), nil
}

func holdFrom(f Fingerprint, m *pb.HeldRequest) HeldRequest {
	h := HeldRequest{Fingerprint: f, Organisation: id.Organisation(m.GetOrganisation()), HeldBy: id.VM(m.GetBy()), SinceUnixMs: m.GetSinceUnixMs()}
	for _, s := range m.GetStarts() {
		h.Incarnations = append(h.Incarnations, startOf(s))
	}
	return h
}
