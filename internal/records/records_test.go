package records

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/phuslu/log"
	"pgregory.net/rapid"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/platform"
	"github.com/springrail/springrail/internal/spec"
)

func TestRecords(t *testing.T) {
	spec.Run(t, "Records")
}

var quiet = &log.Logger{Level: log.PanicLevel}

// fakeStore plays the platform's store.
type fakeStore struct {
	mu    sync.Mutex
	logs  map[string][]Record
	calls int
	// asked counts the calls for each topic.
	asked map[string]int
	// longest is the most records that one reading has returned.
	longest int
	down    bool
	// refuses is a topic that is not to be had.
	refuses string
}

func (s *fakeStore) put(topic, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := Record{Key: key, Offset: uint64(len(s.logs[topic]))}
	if value != "" {
		r.Value = []byte(value)
	}
	s.logs[topic] = append(s.logs[topic], r)
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
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
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asked[topic]
}

func (s *fakeStore) called() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *fakeStore) store() Store {
	return Store{
		Answers: func(_ context.Context, topic string, _ uint64) error {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.calls++
			if s.down || topic == s.refuses {
				return platform.ErrUnavailable
			}
			return nil
		},
		Newest: func(_ context.Context, topic string, _ Progress) ([]Record, uint64, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.count(topic)
			if s.down || topic == s.refuses {
				return nil, 0, platform.ErrUnavailable
			}
			newest := map[string]Record{}
			for _, r := range s.logs[topic] {
				newest[r.Key] = r
			}
			l := slices.DeleteFunc(slices.Collect(maps.Values(newest)), func(r Record) bool { return r.Value == nil })
			return l, uint64(len(s.logs[topic])), nil
		},
		Read: func(ctx context.Context, topic string, from uint64, wait time.Duration) (Reading, error) {
			until := time.Now().Add(wait)
			for {
				s.mu.Lock()
				if s.down {
					s.mu.Unlock()
					return Reading{}, platform.ErrUnavailable
				}
				l := slices.Clone(s.logs[topic][from:])
				over := len(l) > 0 || !time.Now().Before(until)
				if over {
					s.count(topic)
					s.longest = max(s.longest, len(l))
				}
				s.mu.Unlock()
				if over {
					return Reading{Records: l, Next: from + uint64(len(l)), End: from + uint64(len(l))}, nil
				}
				select {
				case <-ctx.Done():
					return Reading{}, ctx.Err()
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
			i := &facts.Instance{ID: id.Instance(r.Key), Address: r.Key, Domain: "d", Seen: r.Offset}
			if string(r.Value) == serving {
				i.Held = []facts.Held{{Model: "m", Revision: 1}}
			}
			p.facts.SetInstance(i)
		}
		return apply(r)
	}
	with := &Settings{ConfigWait: 50 * time.Millisecond, ListEvery: 20 * time.Millisecond, StartWait: wait}
	p.Records = New(with, &Platform{
		Store: way, Operators: Topic{Name: "op", Apply: apply}, Upstreams: Topic{Name: "up", Apply: upstream, Upstreams: true},
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
	second.facts.SeeGateway("a")
	return first, second, freeze
}

var _ = Describe("a process that knows a gateway of its domain", func() {
	It("follows it, hears of changes at once, and leaves the store alone", func() {
		first, second, _ := pair(nil)
		Eventually(func() string { return second.value("u") }).Should(Equal("here"))
		Eventually(func() bool {
			second.follower.gate.mu.Lock()
			defer second.follower.gate.mu.Unlock()
			return second.follower.gate.closed != nil
		}).
			WithTimeout(3 * time.Second).Should(BeTrue())
		time.Sleep(100 * time.Millisecond)
		first.store.put("op", "config", "2")
		Eventually(func() string { return second.value("config") }).WithTimeout(200 * time.Millisecond).Should(Equal("2"))
		first.store.put("up", "u", "")
		Eventually(func() []*facts.Instance { return second.facts.Instances() }).WithTimeout(time.Second).Should(BeEmpty())
	})

	It("reads the store itself within a second once the gateway stands still, and follows it again later", func() {
		own := &fakeStore{logs: map[string][]Record{}}
		own.put("op", "config", "1")
		own.put("up", "u", "here")
		_, second, freeze := pair(own)
		closed := func() bool {
			second.follower.gate.mu.Lock()
			defer second.follower.gate.mu.Unlock()
			return second.follower.gate.closed != nil
		}
		Eventually(closed).WithTimeout(3 * time.Second).Should(BeTrue())
		freeze.Lock()
		own.put("op", "config", "7")
		Eventually(func() string { return second.value("config") }).WithTimeout(followWait + followSlack + 300*time.Millisecond).
			Should(Equal("7"))
		freeze.Unlock()
		second.facts.SeeGateway("a")
		Eventually(closed).WithTimeout(blameFor + 2*time.Second).Should(BeTrue())
	})

	It("gets configuration and upstreams from it while the store turns this process away", func() {
		away := &fakeStore{logs: map[string][]Record{}, down: true}
		first, second, _ := pair(away)
		Eventually(func() string { return second.value("config") }).WithTimeout(2 * time.Second).Should(Equal("1"))
		first.store.put("op", "config", "2")
		Eventually(func() string { return second.value("config") }).Should(Equal("2"))
	})

	It("does not ask the store at its start where it waits for a gateway, and does where none comes", func() {
		s := &fakeStore{logs: map[string][]Record{}}
		s.put("op", "config", "1")
		s.put("up", "u", "here")
		first, _ := newProcess("a", s, nobody)
		Eventually(func() string { return first.value("config") }).Should(Equal("1"))
		own := &fakeStore{logs: map[string][]Record{}}
		patient, stop := newProcess("patient", own, func(ctx context.Context, _ string, q *pb.FollowRequest) (*pb.FollowResponse, error) {
			return first.service.Follow(ctx, q)
		})
		time.Sleep(100 * time.Millisecond)
		patient.facts.SeeGateway("a")
		Eventually(func() string { return patient.value("config") }).Should(Equal("1"))
		time.Sleep(400 * time.Millisecond)
		Expect(own.called()).To(BeZero())
		stop()
		_, _ = newProcess("patient", own, nobody)
		Consistently(own.called).WithTimeout(200 * time.Millisecond).Should(BeZero())
		Eventually(own.called).WithTimeout(time.Second).ShouldNot(BeZero())
	})

	It("does not follow one that has itself lost the store", func() {
		own := &fakeStore{logs: map[string][]Record{}}
		own.put("op", "config", "1")
		own.put("up", "u", "here")
		first, second, _ := pair(own)
		Eventually(func() string { return second.value("u") }).Should(Equal("here"))
		first.store.setDown(true)
		time.Sleep(freshMost)
		own.put("op", "config", "9")
		Eventually(func() string { return second.value("config") }).WithTimeout(time.Second).Should(Equal("9"))
	})
})

var _ = Describe("a process that has lost the store", func() {
	It("takes only the newest records once the store is back, not all that was written meanwhile", func() {
		s := &fakeStore{logs: map[string][]Record{}}
		s.put("op", "config", "0")
		p, _ := newProcess("a", s, nobody)
		Eventually(func() string { return p.value("config") }).Should(Equal("0"))
		s.setDown(true)
		time.Sleep(100 * time.Millisecond)
		for i := range 50 {
			s.put("op", "config", fmt.Sprint(i))
		}
		s.mu.Lock()
		s.longest = 0
		s.mu.Unlock()
		s.setDown(false)
		Eventually(func() string { return p.value("config") }).WithTimeout(2 * time.Second).Should(Equal("49"))
		s.mu.Lock()
		defer s.mu.Unlock()
		Expect(s.longest).To(BeNumerically("<=", 1))
	})
})

var _ = Describe("the sources of a failure domain", func() {
	It("are ordered alike by all: exactly one gateway follows nobody, and nobody follows one that follows it", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var all []string
			for i := range rapid.IntRange(1, 40).Draw(t, "gateways") {
				all = append(all, fmt.Sprintf("10.0.0.%d:7700", i))
			}
			readers := 0
			before := map[string][]string{}
			for _, self := range all {
				preferred, others := Sources("d", all, self)
				if len(preferred)+len(others) != len(all)-1 {
					t.Fatalf("%s has %d and %d sources of %d", self, len(preferred), len(others), len(all))
				}
				if len(preferred) == 0 {
					readers++
				}
				before[self] = preferred
			}
			if readers != 1 {
				t.Fatalf("%d gateways follow nobody", readers)
			}
			for _, self := range all {
				for _, a := range before[self] {
					if slices.Contains(before[a], self) {
						t.Fatalf("%s and %s prefer each other", self, a)
					}
				}
			}
			if preferred, _ := Sources("d", all, "stager"); len(preferred) != len(all) {
				t.Fatal("a stager may follow any gateway")
			}
		})
	})
})

var _ = Describe("the first gateway of a domain that the store turns away", func() {
	It("follows the next one, which goes on reading the store and does not follow it back", func() {
		s := &fakeStore{logs: map[string][]Record{}}
		s.put("op", "config", "1")
		s.put("up", "u", "here")
		away := &fakeStore{logs: s.logs}
		var mu sync.Mutex
		all := map[string]*process{}
		ask := func(ctx context.Context, address string, q *pb.FollowRequest) (*pb.FollowResponse, error) {
			mu.Lock()
			p := all[address]
			mu.Unlock()
			return p.service.Follow(ctx, q)
		}
		order, _ := Sources("d", []string{"a", "b"}, "")
		first, _ := newProcess(order[0], away, ask)
		second, _ := newProcess(order[1], s, ask)
		mu.Lock()
		all[order[0]], all[order[1]] = first, second
		mu.Unlock()
		for _, p := range all {
			p.facts.SeeGateway("a")
			p.facts.SeeGateway("b")
			Eventually(func() string { return p.value("u") }).Should(Equal("here"))
		}
		reads := func() bool {
			g := second.follower.gate
			g.mu.Lock()
			defer g.mu.Unlock()
			return g.closed == nil
		}
		known := func() {
			for _, p := range all {
				p.facts.SeeGateway("a")
				p.facts.SeeGateway("b")
			}
		}
		Eventually(reads).WithTimeout(5*time.Second).Should(BeFalse(), "it follows the first one")
		away.setDown(true)
		Eventually(reads).WithTimeout(freshMost + 2*time.Second).Should(BeTrue())
		Eventually(first.follower.age).WithTimeout(freshMost + 2*time.Second).Should(BeNumerically("<", freshMost))
		for range 50 {
			known()
			time.Sleep(100 * time.Millisecond)
			Expect(reads()).To(BeTrue(), "it left the store to follow one that has its records from it")
		}
		s.put("op", "config", "2")
		Eventually(func() string { return first.value("config") }).WithTimeout(2 * time.Second).Should(Equal("2"))
	})
})
