package records

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/phuslu/log"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/platform"
)

var quiet = &log.Logger{Level: log.PanicLevel}

// fakeStore plays the platform's store.
type fakeStore struct {
	mu sync.Mutex
	// shared is the store whose records these are; its lock guards them.
	shared *fakeStore
	logs   map[string][]Record
	calls  int
	// asked counts the calls for each topic.
	asked map[string]int
	// longest is the most records that one reading has returned.
	longest int
	down    bool
	// refuses is a topic that is not to be had.
	refuses string
}

// lock is what guards the records, and all else of the store.
func (s *fakeStore) lock() *sync.Mutex {
	if s.shared != nil {
		return &s.shared.mu
	}
	return &s.mu
}

func (s *fakeStore) put(topic, key, value string) {
	s.lock().Lock()
	defer s.lock().Unlock()
	r := Record{Key: key, Position: id.Position(len(s.logs[topic]))}
	if value != "" {
		r.Value = []byte(value)
	}
	s.logs[topic] = append(s.logs[topic], r)
}

func (s *fakeStore) setDown(down bool) {
	s.lock().Lock()
	defer s.lock().Unlock()
	s.down = down
}

// count notes a call; the caller holds the lock.
func (s *fakeStore) count(topic string) {
	s.calls++
	if s.asked == nil {
		s.asked = map[string]int{}
	}
	s.asked[topic]++
}

// askedFor is the number of calls for a topic.
func (s *fakeStore) askedFor(topic string) int {
	s.lock().Lock()
	defer s.lock().Unlock()
	return s.asked[topic]
}

func (s *fakeStore) called() int {
	s.lock().Lock()
	defer s.lock().Unlock()
	return s.calls
}

func (s *fakeStore) store() Store {
	return Store{
		Probe: func(_ context.Context, topic string, _ id.Position) error {
			s.lock().Lock()
			defer s.lock().Unlock()
			s.calls++
			if s.down || topic == s.refuses {
				return platform.ErrUnavailable
			}
			return nil
		},
		Snapshot: func(_ context.Context, topic string, _ Progress) ([]Record, id.Position, error) {
			s.lock().Lock()
			defer s.lock().Unlock()
			s.count(topic)
			if s.down || topic == s.refuses {
				return nil, 0, platform.ErrUnavailable
			}
			newest := map[string]Record{}
			for _, r := range s.logs[topic] {
				newest[r.Key] = r
			}
			l := slices.DeleteFunc(slices.Collect(maps.Values(newest)), func(r Record) bool { return r.Value == nil })
			return l, id.Position(len(s.logs[topic])), nil
		},
		Read: func(ctx context.Context, topic string, from id.Position, wait time.Duration) (ReadResult, error) {
			until := time.Now().Add(wait)
			for {
				s.lock().Lock()
				if s.down {
					s.lock().Unlock()
					return ReadResult{}, platform.ErrUnavailable
				}
				l := slices.Clone(s.logs[topic][from:])
				over := len(l) > 0 || !time.Now().Before(until)
				if over {
					s.count(topic)
					s.longest = max(s.longest, len(l))
				}
				s.lock().Unlock()
				if over {
					return ReadResult{Records: l, Next: from + id.Position(len(l)), End: from + id.Position(len(l))}, nil
				}
				select {
				case <-ctx.Done():
					return ReadResult{}, ctx.Err()
				case <-time.After(time.Millisecond):
				}
			}
		},
	}
}

// process is one that follows the store, with what it makes of the records.
type process struct {
	*Records
	name  string
	facts *facts.Facts
	store *fakeStore
	mu    sync.Mutex
	got   map[string]string
}

func (p *process) value(key string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.got[key]
}

// serving is the list's record of an upstream that serves weights.
const serving = "serving"

// asker is how a process asks another one.
type asker func(ctx context.Context, address string, q *pb.FollowRequest) (*pb.FollowResponse, error)

// newProcess makes a process that asks others by the function; it runs until the spec ends or stop is called.
func newProcess(name string, s *fakeStore, ask asker) (*process, context.CancelFunc) {
	wait := time.Duration(0)
	if name == "patient" {
		wait = 300 * time.Millisecond
	}
	p, stop := startProcess(name, wait, s.store(), ask, func(context.Context, *process) {})
	p.store = s
	return p, stop
}

// newProcessWith makes a process of a store's way that waits for gateways at its start; beside it something runs that tells it of
// others.
func newProcessWith(name string, wait time.Duration, way Store, ask asker, beside func(ctx context.Context, p *process)) *process {
	p, _ := startProcess(name, wait, way, ask, beside)
	return p
}

func startProcess(name string, wait time.Duration, way Store, ask asker, beside func(ctx context.Context, p *process)) (*process, context.CancelFunc) {
	p := &process{name: name, facts: facts.New(time.Now), got: map[string]string{}}
	apply := func(r Record) error {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.got[r.Key] = string(r.Value)
		return nil
	}
	upstream := func(r Record) error {
		if r.Value != nil {
			i := &facts.Instance{ID: id.Instance(r.Key), Address: r.Key, Domain: "d", ListPosition: r.Position}
			if string(r.Value) == serving {
				i.Held = []facts.Held{{Model: "m", Revision: 1}}
			}
			p.facts.SetInstance(i)
		}
		return apply(r)
	}
	with := &Settings{ConfigWait: 50 * time.Millisecond, ListEvery: 20 * time.Millisecond, StartWait: wait}
	p.Records = New(with, &Platform{
		Store: way, Operators: Topic{Name: "op", Apply: apply}, Upstreams: Topic{Name: "up", Apply: upstream, KeysAreUpstreams: true},
	}, p.facts, "d", name, time.Now, quiet)
	p.follower.ask = ask
	ctx, stop := context.WithCancel(context.Background())
	DeferCleanup(stop)
	go func() { _ = p.Run(ctx) }()
	go beside(ctx, p)
	return p, stop
}

// reads says whether the process is in the middle of a whole reading of the operators' records.
func (p *process) reads() bool {
	return p.service.logs[0].turn.reading()
}

func nobody(context.Context, string, *pb.FollowRequest) (*pb.FollowResponse, error) {
	return nil, errors.New("nobody")
}

// pair makes the first gateway of a domain and another process that knows of it.
func pair(own *fakeStore) (first, second *process, freeze *sync.RWMutex) {
	s := &fakeStore{logs: map[string][]Record{}}
	s.put("op", "config", "1")
	s.put("up", "u", "here")
	if own == nil {
		own = s
	}
	first, _ = newProcess("a", s, nobody)
	Eventually(func() string { return first.value("config") }).Should(Equal("1"))
	freeze = &sync.RWMutex{}
	second, _ = newProcess("stager", own, func(ctx context.Context, _ string, q *pb.FollowRequest) (*pb.FollowResponse, error) {
		if !freeze.TryRLock() {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		defer freeze.RUnlock()
		return first.service.Follow(ctx, q)
	})
	second.facts.NoteGateway("a")
	return first, second, freeze
}
