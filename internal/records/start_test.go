package records

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/facts"
)

// Guards against new stagers that overload the link to the store. A third of the upstreams was replaced within eight
// seconds while a configuration of 300 KB changed four times a second. The new stagers knew no gateway, and no gateway
// knew them: eight of them read every configuration from the store, in 0.5 to 2.8 s each, over the link between two
// regions that also carries the list of upstreams. The list took up to 1.4 s at the domain's reader, so gateways did
// not see the new upstreams, and requests reached upstreams that had left 3.0 to 3.4 s before.
var _ = Describe("processes that start beside new upstreams, which no gateway knows yet", func() {
	const oldStager = "10.0.0.1:7700"
	var s *fakeStore

	BeforeEach(func() {
		s = &fakeStore{logs: map[string][]Record{}}
		s.write("op", "config", "1")
		s.write("up", "10.0.0.1:8000", servingWeights)
		s.write("up", "10.0.0.2:8000", "empty")
	})

	// start starts n processes that read a store of their own with the same records.
	start := func(n int, ask func(ctx context.Context, address string, q *pb.FollowRequest) (*pb.FollowResponse, error)) (l []*process, storeCopy *fakeStore) {
		storeCopy = &fakeStore{logs: s.logs, shared: s}
		for i := range n {
			p, _ := newProcess(fmt.Sprintf("10.0.1.%d:7700", i), storeCopy, ask)
			l = append(l, p)
		}
		return l, storeCopy
	}

	It("read only the list from the store, and the rest from a process beside an older upstream", func() {
		oldProcess, _ := newProcess(oldStager, s, noPeers)
		Eventually(func() string { return oldProcess.value("config") }).Should(Equal("1"))
		var mu sync.Mutex
		asked := map[string]bool{}
		l, storeCopy := start(8, func(ctx context.Context, address string, q *pb.FollowRequest) (*pb.FollowResponse, error) {
			mu.Lock()
			asked[address] = true
			mu.Unlock()
			return oldProcess.service.Follow(ctx, q)
		})
		for _, p := range l {
			Eventually(func() string { return p.value("config") }).WithTimeout(time.Second).Should(Equal("1"))
		}
		s.write("op", "config", "2")
		for _, p := range l {
			Eventually(func() string { return p.value("config") }).WithTimeout(time.Second).Should(Equal("2"))
		}
		Consistently(func() int { return storeCopy.callsFor("op") }).WithTimeout(500 * time.Millisecond).Should(BeZero())
		Expect(storeCopy.callsFor("up")).NotTo(BeZero())
		mu.Lock()
		defer mu.Unlock()
		Expect(asked).To(Equal(map[string]bool{oldStager: true}), "a process beside an upstream without weights may have no records yet")
	})

	It("read everything from the store if no other process answers", func() {
		l, _ := start(2, noPeers)
		for _, p := range l {
			Eventually(func() string { return p.value("config") }).WithTimeout(2 * time.Second).Should(Equal("1"))
		}
	})

	It("are delayed by a peer that is down for less than a second, and then read the store", func() {
		l, _ := start(1, func(ctx context.Context, _ string, _ *pb.FollowRequest) (*pb.FollowResponse, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
		Consistently(func() string { return l[0].value("config") }).WithTimeout(100 * time.Millisecond).Should(BeEmpty())
		Eventually(func() string { return l[0].value("config") }).WithTimeout(time.Second).Should(Equal("1"))
	})

	It("read the operators' records from the store even if it does not serve the list", func() {
		p, _ := newProcess("10.0.1.1:7700", &fakeStore{logs: s.logs, shared: s, failingTopic: "up"}, noPeers)
		Eventually(func() string { return p.value("config") }).WithTimeout(listHeadStart + time.Second).Should(Equal("1"))
	})
})

var _ = Describe("the choice of a source", func() {
	var f *Follower
	gateways := []string{}

	BeforeEach(func() {
		f = &Follower{
			logs: []*Log{NewLog(Topic{Name: "op"}, facts.New(time.Now), time.Now, silentLogger)}, self: "self", domain: "d",
			gateways: func() []string { return gateways }, peers: func() []string { return []string{"peer"} },
			now: time.Now, hint: newSourceHint(time.Now), avoidUntil: map[string]time.Time{}, followsThisUntil: map[string]time.Time{}, withoutStoreUntil: map[string]time.Time{}, origin: newOrigin("self", time.Now),
		}
	})

	DescribeTable("returns a peer only if no gateway is usable", func(known []string, started bool, want string) {
		gateways = known
		if started {
			f.logs[0].Merge(Batch{Snapshot: true, Next: 1, ConfirmedAt: time.Now()})
		}
		a, _ := f.chooseSource()
		Expect(a).To(Equal(want))
		Expect(f.viaPeer).To(Equal(want == "peer"))
	},
		Entry("no gateway is known", nil, true, "peer"),
		Entry("a gateway is known, at the start", []string{"g"}, false, "g"),
		Entry("a gateway is known", []string{"g"}, true, "g"),
		Entry("this process is the only gateway, at its start", []string{"self"}, false, "peer"),
		Entry("this process is the only gateway, and reads the store", []string{"self"}, true, ""),
	)

	It("stays with its source while no gateway is known, as the peers may have no records yet", func() {
		gateways = nil
		f.source = "reader"
		a, _ := f.chooseSource()
		Expect(a).To(Equal("reader"))
		f.avoidUntil["reader"] = time.Now().Add(time.Hour)
		a, _ = f.chooseSource()
		Expect(a).To(Equal("peer"))
		gateways = []string{"g"}
		f.avoidUntil = map[string]time.Time{}
		a, _ = f.chooseSource()
		Expect(a).To(Equal("g"))
	})

	// Guards against a gateway that leaves the reader after each answer and reads the store beside it, as it had read one
	// topic itself before the reader refused its lease request for the other one.
	It("stays with a fallback that has refused a lease request, though this process has just read the store", func() {
		gateways, _ = Sources("d", []string{"g", "h"}, "")
		f.self, f.source = gateways[0], gateways[1]
		f.logs[0].Merge(Batch{Snapshot: true, Next: 1, ConfirmedAt: time.Now()})
		f.hint.set(f.source)
		a, _ := f.chooseSource()
		Expect(a).To(BeEmpty(), "it has not been refused")
		f.hint.setReader(f.source)
		for range 3 {
			a, _ = f.chooseSource()
			Expect(a).To(Equal(gateways[1]))
		}
		f.followsThisUntil[f.source] = time.Now().Add(time.Hour)
		a, _ = f.chooseSource()
		Expect(a).To(BeEmpty(), "the reader follows this process by now")
	})

	It("accepts older records from a peer than from a gateway, as the peer follows one itself", func() {
		staleAnswer := &pb.FollowResponse{Topics: []*pb.TopicChanges{{Topic: "op", AgeMs: maxOperatorsAge.Milliseconds() - 1}}}
		f.logs[0].topic.KeysAreUpstreams = true
		Expect(f.checkAnswer(staleAnswer)).To(MatchError(errStale))
		f.viaPeer = true
		Expect(f.checkAnswer(staleAnswer)).To(Succeed())
	})
})

var _ = Describe("the gate to the operators' records", func() {
	// The list arrived between the choice of a source and the opening of the gate, 0.4 ms after its reading had begun.
	// The process had the list but no source, and read the operators' records from the store three times before it
	// chose again.
	It("stays closed if the list has arrived only after the choice of a source", func() {
		list := NewLog(Topic{Name: "up", KeysAreUpstreams: true}, facts.New(time.Now), time.Now, silentLogger)
		f := &Follower{
			logs: []*Log{NewLog(Topic{Name: "op"}, facts.New(time.Now), time.Now, silentLogger), list}, self: "self", domain: "d",
			upstreamsGate: &gate{}, operatorsGate: &gate{}, origin: newOrigin("self", time.Now), hint: newSourceHint(time.Now), now: time.Now, log: silentLogger,
			avoidUntil: map[string]time.Time{}, followsThisUntil: map[string]time.Time{}, withoutStoreUntil: map[string]time.Time{}, gateways: func() []string { return nil },
		}
		f.peers = func() []string {
			list.Merge(Batch{Snapshot: true, Next: 1, ConfirmedAt: time.Now()})
			return nil
		}
		f.operatorsGate.set(false)
		a, _ := f.chooseSource()
		Expect(a).To(BeEmpty())
		f.takeOver()
		Expect(f.operatorsGate.closed).NotTo(BeNil())
		f.chooseSource()
		f.takeOver()
		Expect(f.operatorsGate.closed).To(BeNil(), "a source was chosen with the list, and there is none")
	})

	It("stays closed until the list has been read, or its head start is over", func() {
		now := time.Now()
		f := &Follower{
			logs:          []*Log{NewLog(Topic{Name: "op"}, facts.New(time.Now), time.Now, silentLogger), NewLog(Topic{Name: "up", KeysAreUpstreams: true}, facts.New(time.Now), time.Now, silentLogger)},
			upstreamsGate: &gate{}, operatorsGate: &gate{}, now: func() time.Time { return now }, sourceLostAt: now, log: silentLogger,
		}
		open := func() bool { return f.operatorsGate.closed == nil }
		f.choseWithList = f.upstreamsRead()
		f.setGates(true)
		Expect(open()).To(BeFalse())
		now = now.Add(listHeadStart + time.Millisecond)
		f.setGates(true)
		Expect(open()).To(BeTrue())
		f.setGates(false)
		Expect(open()).To(BeFalse())
		f.sourceLostAt = now
		f.logs[1].Merge(Batch{Snapshot: true, Next: 1, ConfirmedAt: now})
		f.choseWithList = f.upstreamsRead()
		f.setGates(true)
		Expect(open()).To(BeTrue())
	})
})
