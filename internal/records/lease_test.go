package records

import (
	"context"
	"expvar"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/platform"
)

// leaseProcess is a process of the model that requests the read lease of a topic.
type leaseProcess struct {
	*readLease
	// toAsk holds the processes still to be asked, in order, and asked those that have been.
	toAsk []string
	asked map[string]bool
	// lastFailed says that its last request to the store failed.
	lastFailed bool
	// stopped is true of a process that has crashed or is suspended: it answers nothing and does nothing.
	stopped bool
}

// leaseModel simulates the lease requests of a failure domain message by message.
type leaseModel struct {
	now       time.Time
	processes map[string]*leaseProcess
	trace     []string
}

func newLeaseModel(n int) *leaseModel {
	m := &leaseModel{now: time.Unix(1000, 0), processes: map[string]*leaseProcess{}}
	for i := range n {
		name := fmt.Sprint("p", i)
		m.processes[name] = &leaseProcess{readLease: newReadLease(name, "d", func() time.Time { return m.now })}
	}
	return m
}

func (m *leaseModel) requestLease(c *leaseProcess) {
	c.asked, c.toAsk = map[string]bool{c.self: true}, nil
	for name := range m.processes {
		c.toAsk = append(c.toAsk, name)
	}
	c.toAsk = append(c.toAsk, c.request(c.lastFailed)...)
}

// askNext asks the next process for the lease. A lost message counts as agreement, as does a stopped process.
func (m *leaseModel) askNext(c *leaseProcess, messageLost bool) {
	name := c.toAsk[0]
	c.toAsk = c.toAsk[1:]
	if name == "" || c.asked[name] {
		return
	}
	c.asked[name] = true
	to := m.processes[name]
	if to.stopped || messageLost {
		return
	}
	a := to.answerRequest(c.self, c.lastFailed)
	if a.GetRefused() {
		c.release()
		c.toAsk = nil
		return
	}
	c.toAsk = append(c.toAsk, a.GetRivals()...)
}

// readers counts the running processes that hold the lease.
func (m *leaseModel) readers() (n int) {
	for _, c := range m.processes {
		if !c.stopped && c.held() {
			n++
		}
	}
	return n
}

// step executes a random step of a process: it requests the lease, asks the next process, acquires the lease once it
// has asked all, receives bytes, releases the lease or crashes.
func (m *leaseModel) step(t *rapid.T, crashes bool) {
	name := fmt.Sprint("p", rapid.IntRange(0, len(m.processes)-1).Draw(t, "process"))
	c := m.processes[name]
	if c.stopped {
		return
	}
	c.mu.Lock()
	state := c.state
	c.mu.Unlock()
	actions := map[leaseState][]string{
		leaseNone: {"claim"}, leaseRequested: {"ask", "ask", "ask"}, leaseHeld: {"bytes", "bytes", "end"},
	}[state]
	if crashes {
		actions = append(actions, "crash")
	}
	s := rapid.SampledFrom(append(actions, "time")).Draw(t, "step")
	m.trace = append(m.trace, name+" "+s)
	switch s {
	case "claim":
		c.lastFailed = rapid.Bool().Draw(t, "fails")
		m.requestLease(c)
	case "ask":
		if len(c.toAsk) == 0 {
			c.readLease.acquire()
			return
		}
		m.askNext(c, false)
	case "bytes":
		c.progress(1)
	case "end":
		c.release()
	case "crash":
		c.stopped = true
	case "time":
		m.advance(50 * time.Millisecond)
	}
}

// advance advances the time. Running processes receive bytes meanwhile.
func (m *leaseModel) advance(d time.Duration) {
	m.now = m.now.Add(d)
	for _, c := range m.processes {
		if !c.stopped {
			c.progress(1)
		}
	}
}

var _ = Describe("the read lease of a topic", func() {
	It("is held by one process at a time, whatever the order of requests and answers, even if processes crash", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			m := newLeaseModel(rapid.IntRange(2, 4).Draw(t, "processes"))
			crashes := rapid.Bool().Draw(t, "crashes")
			for range rapid.IntRange(5, 120).Draw(t, "steps") {
				m.step(t, crashes)
				if n := m.readers(); n > 1 {
					t.Fatalf("%d processes hold the lease after %v", n, m.trace)
				}
			}
		})
	})

	// Guards against livelock: of processes that request the lease repeatedly one must read, and none may wait for
	// another one that waits.
	It("is granted soon, whoever requests it and however the requests interleave", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			m := newLeaseModel(rapid.IntRange(2, 4).Draw(t, "processes"))
			for range rapid.IntRange(0, 60).Draw(t, "steps before") {
				m.step(t, true)
			}
			for _, c := range m.processes {
				if c.held() || c.stopped {
					// It crashed while it held the lease, which has expired.
					c.stopped = true
				}
			}
			m.now = m.now.Add(maxReadStall)
			for round := range 4 {
				order := rapid.Permutation([]string{"p0", "p1", "p2", "p3"}[:len(m.processes)]).Draw(t, fmt.Sprint("order ", round))
				for _, name := range order {
					if c := m.processes[name]; !c.stopped && !c.held() {
						m.requestLease(c)
					}
				}
				for range 3 * len(m.processes) {
					for _, name := range order {
						c := m.processes[name]
						if !c.stopped && len(c.toAsk) > 0 {
							m.askNext(c, false)
						}
					}
				}
				for _, name := range order {
					if c := m.processes[name]; !c.stopped {
						c.readLease.acquire()
					}
				}
				m.advance(retryPause)
			}
			alive := 0
			for _, c := range m.processes {
				if !c.stopped {
					alive++
				}
			}
			if alive > 0 && m.readers() != 1 {
				t.Fatalf("%d processes of %d hold the lease after %v", m.readers(), alive, m.trace)
			}
		})
	})

	It("is taken over from a stalled reader, and kept by one that makes progress", func() {
		now := time.Unix(1000, 0)
		t := newReadLease("a", "d", func() time.Time { return now })
		t.request(false)
		Expect(t.acquire()).To(BeTrue())
		now = now.Add(maxReadStall - time.Millisecond)
		Expect(t.answerRequest("b", false).GetRefused()).To(BeTrue())
		t.progress(100)
		now = now.Add(maxReadStall - time.Millisecond)
		Expect(t.answerRequest("b", false).GetRefused()).To(BeTrue())
		Expect(t.status(true).GetBytes()).To(Equal(int64(100)))
		now = now.Add(time.Millisecond)
		Expect(t.answerRequest("b", false).GetRefused()).To(BeFalse())
	})
})

var _ = Describe("a lease request", func() {
	It("of a process that the store has just refused yields to those of others, whatever their order", func() {
		clock := func() time.Time { return time.Unix(1000, 0) }
		first, second := newReadLease("a", "d", clock), newReadLease("b", "d", clock)
		if !first.precedes("a", "b") {
			first, second = second, first
		}
		for _, failed := range []bool{false, true} {
			first.request(failed)
			Expect(first.answerRequest(second.self, false).GetRefused()).To(Equal(!failed))
			second.request(failed)
			Expect(second.answerRequest(first.self, false).GetRefused()).To(BeFalse())
		}
	})

	It("is named only to later requesters of its failure domain and topic, for a limited time and in a bounded number", func() {
		now := time.Unix(1000, 0)
		e := &remoteRequests{now: func() time.Time { return now }, byTopic: map[remoteTopic]requesters{}}
		register := func(domain, topic, name string) []string {
			return e.register(&pb.Claim{Domain: domain, Topic: topic, Claimant: name})
		}
		Expect(register("d", "op", "a")).To(BeEmpty())
		Expect(register("d", "op", "b")).To(ConsistOf("a"))
		Expect(register("d", "op", "a")).To(ConsistOf("b"))
		Expect(register("e", "op", "c")).To(BeEmpty())
		Expect(register("d", "up", "c")).To(BeEmpty())
		for n := range 3 * maxRequesters {
			register("d", "op", fmt.Sprint("more-", n))
		}
		Expect(register("d", "op", "last")).To(HaveLen(maxRequesters))
		now = now.Add(requesterTTL + time.Millisecond)
		Expect(register("d", "op", "b")).To(BeEmpty())
		for n := range 3 * maxRemoteTopics {
			register(fmt.Sprint("domain-", n), "op", "a")
		}
		Expect(e.byTopic).To(HaveLen(maxRemoteTopics))
	})
})

var _ = Describe("the processes that a lease request goes to first", func() {
	It("are the same for all of a domain, and do not become more with its gateways", func() {
		for _, n := range []int{110, 220} {
			var gateways []string
			for k := range n {
				gateways = append(gateways, fmt.Sprintf("10.0.0.%d:7700", k))
			}
			first := (&Follower{self: "a", domain: "d", gateways: func() []string { return gateways }}).leasePeers()
			Expect(first).To(HaveLen(maxRequesters))
			Expect((&Follower{self: gateways[7], domain: "d", gateways: func() []string { return gateways }}).leasePeers()).To(Equal(first))
		}
	})
})

var _ = Describe("a follower of a process that holds a read lease", func() {
	var f *Follower
	var source *Service
	var now time.Time
	BeforeEach(func() {
		now = time.Now()
		clock := func() time.Time { return now }
		logs := func(self string) []*Log {
			l := []*Log{
				NewLog(Topic{Name: "op", Apply: func(Record) error { return nil }}, facts.New(clock), clock, silentLogger),
				NewLog(Topic{Name: "up", Apply: func(Record) error { return nil }, KeysAreUpstreams: true}, facts.New(clock), clock, silentLogger),
			}
			l[1].epoch = l[0].epoch
			for _, one := range l {
				one.lease = newReadLease(self, "d", clock)
			}
			return l
		}
		source = &Service{logs: logs("source"), origin: newOrigin("source", clock), hint: newSourceHint(clock), domain: "d", now: clock}
		f = &Follower{
			logs: logs("self"), upstreamsGate: &gate{}, operatorsGate: &gate{}, origin: newOrigin("self", clock), self: "self", domain: "d", now: clock, log: silentLogger,
			metrics: new(expvar.Map), hint: newSourceHint(clock), avoidUntil: map[string]time.Time{}, followsThisUntil: map[string]time.Time{}, withoutStoreUntil: map[string]time.Time{}, nextSnapshotAt: map[string]time.Time{},
			gateways: func() []string { return []string{"source"} }, peers: func() []string { return nil },
			ask: func(ctx context.Context, a string, q *pb.FollowRequest) (*pb.FollowResponse, error) {
				if a != "source" {
					return nil, platform.ErrUnavailable
				}
				q.WaitMs = 0
				return source.Follow(ctx, q)
			},
		}
	})
	mergeSnapshot := func(l *Log, n int) {
		l.Merge(Batch{Snapshot: true, FromStore: true, Next: id.Position(n), ConfirmedAt: now, CaughtUpAt: now, Records: []Record{{Key: "k", Value: []byte("v"), Position: id.Position(n - 1)}}})
	}
	follow := func() error { return f.followOnce(context.Background(), "source") }

	It("waits while the reader makes progress, merges the other topic meanwhile, and gets the snapshot at its end", func() {
		Expect(follow()).NotTo(Succeed(), "the source has no records and no lease")
		source.logs[0].lease.request(false)
		source.logs[0].lease.acquire()
		mergeSnapshot(source.logs[1], 1)
		Expect(follow()).To(Succeed())
		_, started := f.logs[1].Position()
		Expect(started).To(BeTrue())
		_, started = f.logs[0].Position()
		Expect(started).To(BeFalse())
		now = now.Add(maxReadStall / 2)
		Expect(follow()).To(Succeed())
		mergeSnapshot(source.logs[0], 3)
		mergeSnapshot(source.logs[1], 2)
		source.logs[0].releaseLease()
		Expect(follow()).To(Succeed())
		next, started := f.logs[0].Position()
		Expect(started).To(BeTrue())
		Expect(next).To(Equal(id.Position(3)))
	})

	It("drops the source once the reader has stalled", func() {
		source.logs[0].lease.request(false)
		source.logs[0].lease.acquire()
		mergeSnapshot(source.logs[1], 1)
		now = now.Add(maxReadStall)
		mergeSnapshot(source.logs[1], 2)
		Expect(follow()).To(MatchError(errStale))
	})

	// Each of two processes had read one topic and refused the other's lease request, so that neither got both topics.
	It("merges the topic that a source has, even if it lacks the other", func() {
		mergeSnapshot(source.logs[1], 1)
		Expect(follow()).To(MatchError(errStale))
		_, started := f.logs[1].Position()
		Expect(started).To(BeTrue())
	})

	It("prefers the process that requests the lease while it has no fresh records, and not later", func() {
		f.gateways = func() []string { return []string{"other", "source"} }
		f.avoidUntil["source"] = now.Add(time.Hour)
		f.hint.set("source")
		a, _ := f.chooseSource()
		Expect(a).To(Equal("source"), "its request is newer than its failure")
		mergeSnapshot(f.logs[0], 1)
		mergeSnapshot(f.logs[1], 1)
		f.avoidUntil = map[string]time.Time{"source": now.Add(time.Hour)}
		a, _ = f.chooseSource()
		Expect(a).To(Equal("other"))
	})

	It("retries at once after its start, and after a pause once its records are old enough for an outage", func() {
		timeBackOff := func() time.Duration {
			began := time.Now()
			f.backOff(context.Background(), errStale)
			return time.Since(began)
		}
		Expect(timeBackOff()).To(BeNumerically("<", outagePollPause/2))
		mergeSnapshot(f.logs[0], 1)
		mergeSnapshot(f.logs[1], 1)
		now = now.Add(outageThreshold)
		Expect(timeBackOff()).To(BeNumerically("<", outagePollPause/2))
		now = now.Add(time.Millisecond)
		Expect(timeBackOff()).To(BeNumerically(">=", outagePollPause))
	})

	It("refuses a lease request if it has read the topic itself and not lost the store since", func() {
		requestLease := func() *pb.ClaimAnswer {
			return source.answerLeaseRequest(&pb.Claim{Topic: "op", Claimant: "self", Domain: "d"}).GetClaim()
		}
		Expect(requestLease().GetRefused()).To(BeFalse())
		mergeSnapshot(source.logs[0], 1)
		Expect(requestLease().GetFollow()).To(Equal("source"))
		now = now.Add(time.Millisecond)
		source.logs[0].NoteStoreFailure(platform.ErrUnavailable)
		Expect(requestLease().GetRefused()).To(BeFalse())
		a, _, _ := source.hint.get()
		Expect(a).To(Equal("self"), "it follows the process that reads")
	})
})
