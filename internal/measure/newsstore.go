package measure

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/platform"
	"github.com/springrail/springrail/internal/records"
)

const (
	// newsAnswerTimeout, newsBodyTimeout and newsMaxReadBytes limit a call to the store as the adapter for the users'
	// platform does: the wait for an answer, the transfer of its body, and the bytes of records in it.
	newsAnswerTimeout = 1500 * time.Millisecond
	newsBodyTimeout   = 4 * time.Second
	newsMaxReadBytes  = 256 << 10
	// newsMessageOverhead is the size in bytes of a request or an answer without records.
	newsMessageOverhead = 200
	// newsSlowStoreDelay is what a slow store adds to a call: 75 times its 4 ms, doubled.
	newsSlowStoreDelay = 600 * time.Millisecond
	// newsAnswerLossRate is the share of answers that are lost under the fault store-loses-answers.
	newsAnswerLossRate = 0.3
)

// newsTopic is a topic's log and its newest record by key; first is the oldest offset that can still be read.
type newsTopic struct {
	records []records.Record
	newest  map[string]records.Record
	first   int
}

// newsStore simulates the platform's store: keyed topics, read by offset or as a snapshot. It is safe for concurrent
// use.
type newsStore struct {
	mu      sync.Mutex
	topics  map[string]*newsTopic
	changed chan struct{}
	// era is the store epoch: the number of times that the store was restored from a backup.
	era uint64
}

func newNewsStore(topics ...string) *newsStore {
	s := &newsStore{topics: map[string]*newsTopic{}, changed: make(chan struct{})}
	for _, t := range topics {
		s.topics[t] = &newsTopic{newest: map[string]records.Record{}}
	}
	return s
}

// put appends a record; a nil value drops the key.
func (s *newsStore) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topics[topic]
	r := records.Record{Key: key, Value: value, Position: s.positionAt(len(t.records))}
	t.records = append(t.records, r)
	if value == nil {
		delete(t.newest, key)
	} else {
		t.newest[key] = r
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// positionAt returns the position of an offset in the current store epoch.
func (s *newsStore) positionAt(offset int) id.Position {
	p, err := id.PositionAt(s.era, uint64(offset))
	if err != nil {
		panic(err)
	}
	return p
}

// backup returns a copy of all records.
func (s *newsStore) backup() map[string][]records.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := map[string][]records.Record{}
	for name, t := range s.topics {
		c[name] = slices.Clone(t.records)
	}
	return c
}

// restore replaces the contents by a backup and begins a new store epoch.
func (s *newsStore) restore(c map[string][]records.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	for name, l := range c {
		t := &newsTopic{newest: map[string]records.Record{}, first: min(s.topics[name].first, len(l))}
		s.topics[name] = t
		for i, r := range l {
			r.Position = s.positionAt(i)
			t.records = append(t.records, r)
			if t.newest[r.Key] = r; r.Value == nil {
				delete(t.newest, r.Key)
			}
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireHistory drops the history of all topics: what has been written can be read as a snapshot only.
func (s *newsStore) expireHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.topics {
		t.first = len(t.records)
	}
}

// snapshot returns the newest record of each key and the position to read on from.
func (s *newsStore) snapshot(topic string) ([]records.Record, id.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topics[topic]
	l := make([]records.Record, 0, len(t.newest))
	for _, r := range t.newest {
		l = append(l, r)
	}
	return l, s.positionAt(len(t.records))
}

// newsBatch is the result of a read: some records, the position after them, and a channel that is closed by the next
// write.
type newsBatch struct {
	records []records.Record
	next    id.Position
	changed <-chan struct{}
}

// readNow returns the records from an offset on without waiting; their positions are of the current store epoch.
func (s *newsStore) readNow(topic string, from uint64) (newsBatch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topics[topic]
	if int(from) < t.first || int(from) > len(t.records) {
		return newsBatch{}, trace.Wrap(platform.ErrOffsetExpired)
	}
	var l []records.Record
	bytes := 0
	for _, r := range t.records[from:] {
		if bytes += len(r.Value); len(l) > 0 && bytes > newsMaxReadBytes {
			break
		}
		l = append(l, r)
	}
	return newsBatch{records: l, next: s.positionAt(int(from) + len(l)), changed: s.changed}, nil
}

// read waits for records from an offset on, as a long poll does.
func (s *newsStore) read(ctx context.Context, topic string, from uint64, wait time.Duration) (newsBatch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for ended := wait == 0; ; {
		a, err := s.readNow(topic, from)
		if err != nil || len(a.records) > 0 || ended {
			return a, err
		}
		select {
		case <-ctx.Done():
			return newsBatch{}, trace.Wrap(ctx.Err())
		case <-timer.C:
			ended = true
		case <-a.changed:
		}
	}
}

// newsStoreFaults are the faults of one process's access to the store.
type newsStoreFaults struct {
	// silent leaves calls unanswered, and refuse rejects them.
	silent, refuse bool
	delay          time.Duration
	// lossRate is the share of answers that are lost.
	lossRate float64
}

// newsStoreClient is one process's access to the store.
type newsStoreClient struct {
	store *newsStore
	// send transmits bytes to the process.
	send func(ctx context.Context, bytes int) error
	// delay is the one-way latency.
	delay time.Duration

	mu           sync.Mutex
	faults       newsStoreFaults
	random       *rand.Rand
	calls, bytes int64
}

// setFaults changes the faults.
func (d *newsStoreClient) setFaults(change func(f *newsStoreFaults)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(&d.faults)
}

// begin counts a call and returns its faults and whether its answer is lost.
func (d *newsStoreClient) begin() (f newsStoreFaults, lost bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls++
	return d.faults, d.random.Float64() < d.faults.lossRate
}

func (d *newsStoreClient) isSilent() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.faults.silent
}

func (d *newsStoreClient) counts() (calls, bytes int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls, d.bytes
}

// call simulates one call; get returns the answer's records.
func (d *newsStoreClient) call(ctx context.Context, wait time.Duration, progress records.Progress, get func(ctx context.Context) ([]records.Record, error)) ([]records.Record, error) {
	answerCtx, stop := context.WithTimeout(ctx, newsAnswerTimeout+wait)
	defer stop()
	f, lost := d.begin()
	kernel.Pause(answerCtx, 2*d.delay+f.delay)
	if f.refuse {
		return nil, trace.Wrap(platform.ErrUnavailable, "the store refused the call")
	}
	var l []records.Record
	var err error
	if !f.silent {
		l, err = get(answerCtx)
	}
	if f.silent || lost || d.isSilent() {
		<-answerCtx.Done()
	}
	if answerCtx.Err() != nil {
		return nil, trace.Wrap(platform.ErrUnavailable, "the store did not answer in time")
	}
	if err != nil {
		return nil, err
	}
	bodyCtx, end := context.WithTimeout(ctx, newsBodyTimeout)
	defer end()
	n := newsMessageOverhead
	for _, r := range l {
		n += len(r.Key) + len(r.Value)
	}
	d.mu.Lock()
	d.bytes += int64(n)
	d.mu.Unlock()
	for remaining := n; remaining > 0; remaining -= newsSegmentBytes {
		piece := min(remaining, newsSegmentBytes)
		if d.send(bodyCtx, piece) != nil {
			return nil, trace.Wrap(platform.ErrUnavailable, "the answer broke off")
		}
		progress(piece)
	}
	return l, nil
}

// probe makes a call without records, which shows whether the store answers.
func (d *newsStoreClient) probe(ctx context.Context) error {
	_, err := d.call(ctx, 0, func(int) {}, func(context.Context) ([]records.Record, error) { return nil, nil })
	return err
}

// snapshot reads the newest record of each key of a topic.
func (d *newsStoreClient) snapshot(ctx context.Context, topic string, progress records.Progress) ([]records.Record, id.Position, error) {
	next := id.Position(0)
	l, err := d.call(ctx, 0, progress, func(context.Context) ([]records.Record, error) {
		var l []records.Record
		l, next = d.store.snapshot(topic)
		return l, nil
	})
	return l, next, err
}

func (d *newsStoreClient) read(ctx context.Context, topic string, from id.Position, wait time.Duration) ([]records.Record, id.Position, error) {
	next := from
	l, err := d.call(ctx, wait, func(int) {}, func(ctx context.Context) ([]records.Record, error) {
		a, err := d.store.read(ctx, topic, from.Offset(), wait)
		next = a.next
		return a.records, err
	})
	return l, next, err
}
