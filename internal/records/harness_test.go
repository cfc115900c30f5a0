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

var silentLogger = &log.Logger{Level: log.PanicLevel}

// fakeStore simulates the platform's store.
type fakeStore struct {
	mu sync.Mutex
	// shared is the store whose records this one shares; its lock guards them.
	shared *fakeStore
	logs   map[string][]Record
	calls  int
	// callsByTopic counts the calls for each topic.
	callsByTopic map[string]int
	// maxReadRecords is the largest number of records that one read has returned.
	maxReadRecords int
	down           bool
	// failingTopic is a topic that the store does not serve.
	failingTopic string
}

// lock returns the mutex that guards the records and the store's other state.
func (s *fakeStore) lock() *sync.Mutex {
	if s.shared != nil {
		return &s.shared.mu
	}
	return &s.mu
}

func (s *fakeStore) write(topic, key, value string) {
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

// count counts a call. The caller holds the lock.
func (s *fakeStore) count(topic string) {
	s.calls++
	if s.callsByTopic == nil {
		s.callsByTopic = map[string]int{}
	}
	s.callsByTopic[topic]++
}

// callsFor returns the number of calls for a topic.
func (s *fakeStore) callsFor(topic string) int {
	s.lock().Lock()
	defer s.lock().Unlock()
	return s.callsByTopic[topic]
}

func (s *fakeStore) callCount() int {
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
			if s.down || topic == s.failingTopic {
				return platform.ErrUnavailable
			}
			return nil
		},
		Snapshot: func(_ context.Context, topic string, _ Progress) ([]Record, id.Position, error) {
			s.lock().Lock()
			defer s.lock().Unlock()
			s.count(topic)
			if s.down || topic == s.failingTopic {
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
				finished := len(l) > 0 || !time.Now().Before(until)
				if finished {
					s.count(topic)
					s.maxReadRecords = max(s.maxReadRecords, len(l))
				}
				s.lock().Unlock()
				if finished {
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

// process is a process that follows the store, with the resulting values.
type process struct {
	*Records
	name   string
	facts  *facts.Facts
	store  *fakeStore
	mu     sync.Mutex
	values map[string]string
}

func (p *process) value(key string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.values[key]
}

// servingWeights is the list's record of an upstream that serves weights.
const servingWeights = "serving"

// askFunc is how a process sends a request to another one.
type askFunc func(ctx context.Context, address string, q *pb.FollowRequest) (*pb.FollowResponse, error)

// newProcess starts a process that asks others by the function. It runs until the spec ends or stop is called.
func newProcess(name string, s *fakeStore, ask askFunc) (*process, context.CancelFunc) {
	wait := time.Duration(0)
	if name == "patient" {
		wait = 300 * time.Millisecond
	}
	p, stop := startProcess(name, wait, s.store(), ask, func(context.Context, *process) {})
	p.store = s
	return p, stop
}

// newProcessWith starts a process with the given store calls, which waits for gateways at its start. The background
// function runs beside it, and can announce gateways to it.
func newProcessWith(name string, wait time.Duration, store Store, ask askFunc, background func(ctx context.Context, p *process)) *process {
	p, _ := startProcess(name, wait, store, ask, background)
	return p
}

func startProcess(name string, wait time.Duration, store Store, ask askFunc, background func(ctx context.Context, p *process), prepare ...func(p *process)) (*process, context.CancelFunc) {
	p := &process{name: name, facts: facts.New(time.Now), values: map[string]string{}}
	apply := func(r Record) error {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.values[r.Key] = string(r.Value)
		return nil
	}
	upstream := func(r Record) error {
		if r.Value != nil {
			i := &facts.Instance{ID: id.Instance(r.Key), Address: r.Key, Domain: "d", ListPosition: r.Position}
			if string(r.Value) == servingWeights {
				i.Held = []facts.Held{{Model: "m", Revision: 1}}
			}
			p.facts.SetInstance(i)
		}
		return apply(r)
	}
	settings := &Settings{ConfigWait: 50 * time.Millisecond, ListEvery: 20 * time.Millisecond, StartWait: wait}
	p.Records = New(settings, &Platform{
		Store: store, Operators: Topic{Name: "op", Apply: apply}, Upstreams: Topic{Name: "up", Apply: upstream, KeysAreUpstreams: true},
	}, p.facts, "d", name, time.Now, silentLogger)
	p.follower.ask = ask
	for _, one := range prepare {
		one(p)
	}
	ctx, stop := context.WithCancel(context.Background())
	DeferCleanup(stop)
	go func() { _ = p.Run(ctx) }()
	go background(ctx, p)
	return p, stop
}

// readsSnapshot reports whether the process is reading a snapshot of the operators' records.
func (p *process) readsSnapshot() bool {
	return p.service.logs[0].lease.held()
}

func noPeers(context.Context, string, *pb.FollowRequest) (*pb.FollowResponse, error) {
	return nil, errors.New("nobody")
}

// pair starts the first gateway of a domain and another process that knows of it.
func pair(secondStore *fakeStore) (first, second *process, frozen *sync.RWMutex) {
	s := &fakeStore{logs: map[string][]Record{}}
	s.write("op", "config", "1")
	s.write("up", "u", "here")
	if secondStore == nil {
		secondStore = s
	}
	first, _ = newProcess("a", s, noPeers)
	Eventually(func() string { return first.value("config") }).Should(Equal("1"))
	frozen = &sync.RWMutex{}
	second, _ = newProcess("stager", secondStore, func(ctx context.Context, _ string, q *pb.FollowRequest) (*pb.FollowResponse, error) {
		if !frozen.TryRLock() {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		defer frozen.RUnlock()
		return first.service.Follow(ctx, q)
	})
	second.facts.NoteGateway("a")
	return first, second, frozen
}
