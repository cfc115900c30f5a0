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
	// newsAnswerTimeout, newsBodyTimeout and newsReadMost bound a call to the store as the adapter for the users'
	// platform does: the wait for an answer, the rest of one that has begun, and the bytes of records in it.
	newsAnswerTimeout = 1500 * time.Millisecond
	newsBodyTimeout   = 4 * time.Second
	newsReadMost      = 256 << 10
	// newsHead is the size in bytes of a question or an answer without records.
	newsHead = 200
	// newsSlow is what a slow store adds to a call: 75 times its 4 ms, twice over.
	newsSlow = 600 * time.Millisecond
	// newsLost is the share of answers that a store loses.
	newsLost = 0.3
)

// newsTopic is a topic's log; first is the oldest offset that may still be read.
type newsTopic struct {
	records []records.Record
	newest  map[string]records.Record
	first   int
}

// newsStore plays the platform's store: keyed topics, read by offset or by key. It is safe for concurrent use.
type newsStore struct {
	mu     sync.Mutex
	topics map[string]*newsTopic
	change chan struct{}
	// era is the number of times that the store has come back from an older copy.
	era uint64
}

func newNewsStore(topics ...string) *newsStore {
	s := &newsStore{topics: map[string]*newsTopic{}, change: make(chan struct{})}
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
	r := records.Record{Key: key, Value: value, Position: s.at(len(t.records))}
	t.records = append(t.records, r)
	if value == nil {
		delete(t.newest, key)
	} else {
		t.newest[key] = r
	}
	close(s.change)
	s.change = make(chan struct{})
}

// at is the position of an offset in the era of now.
func (s *newsStore) at(offset int) id.Position {
	p, err := id.PositionAt(s.era, uint64(offset))
	if err != nil {
		panic(err)
	}
	return p
}

// copyOf returns all records.
func (s *newsStore) copyOf() map[string][]records.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := map[string][]records.Record{}
	for name, t := range s.topics {
		c[name] = slices.Clone(t.records)
	}
	return c
}

// comeBack replaces what is there with a copy, in a new era.
func (s *newsStore) comeBack(c map[string][]records.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	for name, l := range c {
		t := &newsTopic{newest: map[string]records.Record{}, first: min(s.topics[name].first, len(l))}
		s.topics[name] = t
		for i, r := range l {
			r.Position = s.at(i)
			t.records = append(t.records, r)
			if t.newest[r.Key] = r; r.Value == nil {
				delete(t.newest, r.Key)
			}
		}
	}
	close(s.change)
	s.change = make(chan struct{})
}

// forget drops the history of all topics: what has been written can be read by key only.
func (s *newsStore) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.topics {
		t.first = len(t.records)
	}
}

// whole returns the newest record of each key and the offset to read on from.
func (s *newsStore) whole(topic string) ([]records.Record, id.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topics[topic]
	l := make([]records.Record, 0, len(t.newest))
	for _, r := range t.newest {
		l = append(l, r)
	}
	return l, s.at(len(t.records))
}

// newsAnswer is what the store has from an offset on: some records, the position after them, and a channel that closes with
// the next one.
type newsAnswer struct {
	records []records.Record
	next    id.Position
	change  <-chan struct{}
}

// since returns the records from an offset on; their positions are of the era of now.
func (s *newsStore) since(topic string, from uint64) (newsAnswer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topics[topic]
	if int(from) < t.first || int(from) > len(t.records) {
		return newsAnswer{}, trace.Wrap(platform.ErrOffsetExpired)
	}
	var l []records.Record
	bytes := 0
	for _, r := range t.records[from:] {
		if bytes += len(r.Value); len(l) > 0 && bytes > newsReadMost {
			break
		}
		l = append(l, r)
	}
	return newsAnswer{records: l, next: s.at(int(from) + len(l)), change: s.change}, nil
}

// read waits for records from an offset on.
func (s *newsStore) read(ctx context.Context, topic string, from uint64, wait time.Duration) (newsAnswer, error) {
	over := time.NewTimer(wait)
	defer over.Stop()
	for ended := wait == 0; ; {
		a, err := s.since(topic, from)
		if err != nil || len(a.records) > 0 || ended {
			return a, err
		}
		select {
		case <-ctx.Done():
			return newsAnswer{}, trace.Wrap(ctx.Err())
		case <-over.C:
			ended = true
		case <-a.change:
		}
	}
}

// newsDoorFaults are the faults of one process's way to the store.
type newsDoorFaults struct {
	// silent gives no answer, and refuse a refusal.
	silent, refuse bool
	delay          time.Duration
	// lost is the share of answers that are lost.
	lost float64
}

// newsDoor is one process's way to the store.
type newsDoor struct {
	store *newsStore
	// send brings bytes to the process.
	send func(ctx context.Context, bytes int) error
	// delay is that of the way, once.
	delay time.Duration

	mu           sync.Mutex
	faults       newsDoorFaults
	random       *rand.Rand
	calls, bytes int64
}

// set changes the faults.
func (d *newsDoor) set(change func(f *newsDoorFaults)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(&d.faults)
}

// begin counts a call and says which faults it meets.
func (d *newsDoor) begin() (f newsDoorFaults, lost bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls++
	return d.faults, d.random.Float64() < d.faults.lost
}

func (d *newsDoor) silent() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.faults.silent
}

func (d *newsDoor) counted() (calls, bytes int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls, d.bytes
}

// call makes one call; get returns the answer's records.
func (d *newsDoor) call(ctx context.Context, wait time.Duration, progress records.Progress, get func(ctx context.Context) ([]records.Record, error)) ([]records.Record, error) {
	head, stop := context.WithTimeout(ctx, newsAnswerTimeout+wait)
	defer stop()
	f, lost := d.begin()
	kernel.Pause(head, 2*d.delay+f.delay)
	if f.refuse {
		return nil, trace.Wrap(platform.ErrUnavailable, "refused")
	}
	var l []records.Record
	var err error
	if !f.silent {
		l, err = get(head)
	}
	if f.silent || lost || d.silent() {
		<-head.Done()
	}
	if head.Err() != nil {
		return nil, trace.Wrap(platform.ErrUnavailable, "no answer")
	}
	if err != nil {
		return nil, err
	}
	body, end := context.WithTimeout(ctx, newsBodyTimeout)
	defer end()
	n := newsHead
	for _, r := range l {
		n += len(r.Key) + len(r.Value)
	}
	d.mu.Lock()
	d.bytes += int64(n)
	d.mu.Unlock()
	for left := n; left > 0; left -= newsPiece {
		piece := min(left, newsPiece)
		if d.send(body, piece) != nil {
			return nil, trace.Wrap(platform.ErrUnavailable, "broken")
		}
		progress(piece)
	}
	return l, nil
}

// answers is the shortest call.
func (d *newsDoor) answers(ctx context.Context) error {
	_, err := d.call(ctx, 0, func(int) {}, func(context.Context) ([]records.Record, error) { return nil, nil })
	return err
}

// newest is a whole reading.
func (d *newsDoor) newest(ctx context.Context, topic string, progress records.Progress) ([]records.Record, id.Position, error) {
	next := id.Position(0)
	l, err := d.call(ctx, 0, progress, func(context.Context) ([]records.Record, error) {
		var l []records.Record
		l, next = d.store.whole(topic)
		return l, nil
	})
	return l, next, err
}

func (d *newsDoor) read(ctx context.Context, topic string, from id.Position, wait time.Duration) ([]records.Record, id.Position, error) {
	next := from
	l, err := d.call(ctx, wait, func(int) {}, func(ctx context.Context) ([]records.Record, error) {
		a, err := d.store.read(ctx, topic, from.Offset(), wait)
		next = a.next
		return a.records, err
	})
	return l, next, err
}
