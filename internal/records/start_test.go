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

// Operators replaced a third of the upstreams within eight seconds while a configuration of 300 KB changed four times a
// second. The stagers beside the new upstreams knew no gateway, as no gateway knew the new upstreams yet, and read the
// store themselves: eight readings of all configurations filled the link between two regions, over which the list of
// upstreams comes too. So gateways did not see the new upstreams, these went on reading, and requests reached upstreams
// that had left 3.0 to 3.4 s before. The evidence: the lines on slow readings name those stagers, each with 0.5 to 2.8
// s for one configuration, and the list took up to 1.4 s at the domain's reader.
var _ = Describe("processes that start beside new upstreams, which no gateway knows yet", func() {
	const old = "10.0.0.1:7700"
	var s *fakeStore

	BeforeEach(func() {
		s = &fakeStore{logs: map[string][]Record{}}
		s.put("op", "config", "1")
		s.put("up", "10.0.0.1:8000", serving)
		s.put("up", "10.0.0.2:8000", "empty")
	})

	// start begins a number of processes that read a store of their own with the same records.
	start := func(n int, ask func(ctx context.Context, address string, q *pb.FollowRequest) (*pb.FollowResponse, error)) (l []*process, own *fakeStore) {
		own = &fakeStore{logs: s.logs, shared: s}
		for i := range n {
			p, _ := newProcess(fmt.Sprintf("10.0.1.%d:7700", i), own, ask)
			l = append(l, p)
		}
		return l, own
	}

	It("read the list alone from the store, and the rest from a process beside an older upstream", func() {
		known, _ := newProcess(old, s, nobody)
		Eventually(func() string { return known.value("config") }).Should(Equal("1"))
		var mu sync.Mutex
		asked := map[string]bool{}
		l, own := start(8, func(ctx context.Context, address string, q *pb.FollowRequest) (*pb.FollowResponse, error) {
			mu.Lock()
			asked[address] = true
			mu.Unlock()
			return known.service.Follow(ctx, q)
		})
		for _, p := range l {
			Eventually(func() string { return p.value("config") }).WithTimeout(time.Second).Should(Equal("1"))
		}
		s.put("op", "config", "2")
		for _, p := range l {
			Eventually(func() string { return p.value("config") }).WithTimeout(time.Second).Should(Equal("2"))
		}
		Consistently(func() int { return own.askedFor("op") }).WithTimeout(500 * time.Millisecond).Should(BeZero())
		Expect(own.askedFor("up")).NotTo(BeZero())
		mu.Lock()
		defer mu.Unlock()
		Expect(asked).To(Equal(map[string]bool{old: true}), "upstreams without weights have no process that has followed for a while")
	})

	It("read all from the store where no other process answers", func() {
		l, _ := start(2, nobody)
		for _, p := range l {
			Eventually(func() string { return p.value("config") }).WithTimeout(2 * time.Second).Should(Equal("1"))
		}
	})

	It("are held up by a peer without power for less than a second, and then read the store", func() {
		l, _ := start(1, func(ctx context.Context, _ string, _ *pb.FollowRequest) (*pb.FollowResponse, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
		Consistently(func() string { return l[0].value("config") }).WithTimeout(100 * time.Millisecond).Should(BeEmpty())
		Eventually(func() string { return l[0].value("config") }).WithTimeout(time.Second).Should(Equal("1"))
	})

	It("read the operators' records from the store also where it does not give the list", func() {
		p, _ := newProcess("10.0.1.1:7700", &fakeStore{logs: s.logs, shared: s, refuses: "up"}, nobody)
		Eventually(func() string { return p.value("config") }).WithTimeout(listMost + time.Second).Should(Equal("1"))
	})
})

var _ = Describe("the choice of a source", func() {
	var f *Follower
	gateways := []string{}

	BeforeEach(func() {
		f = &Follower{
			logs: []*Log{NewLog(Topic{Name: "op"}, facts.New(time.Now), time.Now, quiet)}, self: "self", domain: "d",
			gateways: func() []string { return gateways }, peers: func() []string { return []string{"peer"} },
			now: time.Now, hint: newHint(time.Now), blamed: map[string]time.Time{}, behind: map[string]time.Time{}, lacking: map[string]time.Time{}, origin: newOrigin("self", time.Now),
		}
	})

	DescribeTable("takes a peer only where no gateway will do", func(known []string, started bool, want string) {
		gateways = known
		if started {
			f.logs[0].Merge(Batch{Snapshot: true, Next: 1, ConfirmedAt: time.Now()})
		}
		a, _ := f.choose()
		Expect(a).To(Equal(want))
		Expect(f.viaPeer).To(Equal(want == "peer"))
	},
		Entry("nobody is known", nil, true, "peer"),
		Entry("a gateway is known, at the start", []string{"g"}, false, "g"),
		Entry("a gateway is known", []string{"g"}, true, "g"),
		Entry("this gateway is the only one, at its start", []string{"self"}, false, "peer"),
		Entry("this gateway is the only one: it reads the store", []string{"self"}, true, ""),
	)

	It("believes a peer longer than a gateway, as it follows one in its turn", func() {
		old := &pb.FollowResponse{Topics: []*pb.TopicChanges{{Topic: "op", AgeMs: slowMost.Milliseconds() - 1}}}
		f.logs[0].topic.KeysAreUpstreams = true
		Expect(f.check(old)).To(MatchError(errStale))
		f.viaPeer = true
		Expect(f.check(old)).To(Succeed())
	})
})

var _ = Describe("the gate to long records", func() {
	// The list came between the look for a peer and the opening of the gate, 0.4 ms after its reading had begun: the
	// process knew nobody and had the list, and read the operators' records from the store three times until it looked
	// again.
	It("stays closed where the list has come only after this process looked for somebody to follow", func() {
		list := NewLog(Topic{Name: "up", KeysAreUpstreams: true}, facts.New(time.Now), time.Now, quiet)
		f := &Follower{
			logs: []*Log{NewLog(Topic{Name: "op"}, facts.New(time.Now), time.Now, quiet), list}, self: "self", domain: "d",
			gate: &gate{}, long: &gate{}, origin: newOrigin("self", time.Now), hint: newHint(time.Now), now: time.Now, log: quiet,
			blamed: map[string]time.Time{}, behind: map[string]time.Time{}, lacking: map[string]time.Time{}, gateways: func() []string { return nil },
		}
		f.peers = func() []string {
			list.Merge(Batch{Snapshot: true, Next: 1, ConfirmedAt: time.Now()})
			return nil
		}
		f.long.set(false)
		a, _ := f.choose()
		Expect(a).To(BeEmpty())
		f.takeOver()
		Expect(f.long.closed).NotTo(BeNil())
		f.choose()
		f.takeOver()
		Expect(f.long.closed).To(BeNil(), "it has looked with the list, and there is nobody")
	})

	It("stays closed until the list has been read, or could not be for a while", func() {
		now := time.Now()
		f := &Follower{
			logs: []*Log{NewLog(Topic{Name: "op"}, facts.New(time.Now), time.Now, quiet), NewLog(Topic{Name: "up", KeysAreUpstreams: true}, facts.New(time.Now), time.Now, quiet)},
			gate: &gate{}, long: &gate{}, now: func() time.Time { return now }, lostAt: now, log: quiet,
		}
		open := func() bool { return f.long.closed == nil }
		f.lookedWithList = f.listed()
		f.openGate(true)
		Expect(open()).To(BeFalse())
		now = now.Add(listMost + time.Millisecond)
		f.openGate(true)
		Expect(open()).To(BeTrue())
		f.openGate(false)
		Expect(open()).To(BeFalse())
		f.lostAt = now
		f.logs[1].Merge(Batch{Snapshot: true, Next: 1, ConfirmedAt: now})
		f.lookedWithList = f.listed()
		f.openGate(true)
		Expect(open()).To(BeTrue())
	})
})
