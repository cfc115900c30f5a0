package records

import (
	"context"
	"expvar"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/facts"
)

var _ = Describe("processes whose source fails", func() {
	It("take over one after the other, so that most follow the first that has", func() {
		now := time.Now()
		var all []string
		for i := range 20 {
			all = append(all, fmt.Sprintf("10.0.0.%d:7700", i))
		}
		followers := map[string]*Follower{}
		for _, self := range append([]string{"stager"}, all...) {
			followers[self] = &Follower{
				upstreamsGate: &gate{closed: make(chan struct{})}, operatorsGate: &gate{}, self: self, domain: "d", gateways: func() []string { return all },
				now: func() time.Time { return now }, log: silentLogger, metrics: new(expvar.Map), hint: newSourceHint(time.Now), avoidUntil: map[string]time.Time{}, followsThisUntil: map[string]time.Time{}, withoutStoreUntil: map[string]time.Time{},
			}
		}
		open := func() int {
			n := 0
			for _, f := range followers {
				f.avoid("x", errStale)
				if f.upstreamsGate.closed == nil {
					n++
				}
			}
			return n
		}
		Expect(open()).To(Equal(2), "the first in the order, which follows nobody, and the one after it")
		now = now.Add(takeoverStep)
		Expect(open()).To(Equal(3))
		now = now.Add(maxTakeoverRank * takeoverStep)
		Expect(open()).To(Equal(len(followers)))
		Expect(followers["stager"].storeBackoff()).To(BeNumerically(">", 10*retryPause))
	})
})

var _ = Describe("a process whose source is cut off from the store", func() {
	It("does not wait for processes before it whose requests to the store have failed, and waits for the others", func() {
		now := time.Now()
		all := []string{"a:1", "b:1", "c:1", "d:1", "e:1"}
		order, _ := Sources("d", all, "")
		f := &Follower{
			upstreamsGate: &gate{closed: make(chan struct{})}, operatorsGate: &gate{}, self: order[4], domain: "d", gateways: func() []string { return all },
			now: func() time.Time { return now }, log: silentLogger, metrics: new(expvar.Map), hint: newSourceHint(time.Now),
			avoidUntil: map[string]time.Time{}, followsThisUntil: map[string]time.Time{}, withoutStoreUntil: map[string]time.Time{},
		}
		Expect(f.takeoverDelaySteps()).To(Equal(3), "the first of four is the source that has failed")
		for _, a := range order[:3] {
			f.withoutStoreUntil[a] = now.Add(withoutStoreFor)
		}
		Expect(f.takeoverDelaySteps()).To(Equal(1))
		f.takeOver()
		Expect(f.upstreamsGate.closed).NotTo(BeNil())
		f.withoutStoreUntil[order[3]] = now.Add(withoutStoreFor)
		f.takeOver()
		Expect(f.upstreamsGate.closed).To(BeNil())
		now = now.Add(withoutStoreFor)
		Expect(f.takeoverDelaySteps()).To(Equal(3))
	})
})

var _ = Describe("an answer of a source", func() {
	It("is refused if a topic is missing, unknown, too old or has an impossible age", func() {
		f := facts.New(time.Now)
		follower := &Follower{logs: []*Log{NewLog(Topic{Name: "a"}, f, time.Now, silentLogger), NewLog(Topic{Name: "b", KeysAreUpstreams: true}, f, time.Now, silentLogger)}, metrics: new(expvar.Map)}
		good := []*pb.TopicChanges{{Topic: "a"}, {Topic: "b"}}
		Expect(follower.checkAnswer(&pb.FollowResponse{Topics: good})).To(Succeed())
		slow := []*pb.TopicChanges{{Topic: "a", AgeMs: maxFreshAge.Milliseconds() + 1}, {Topic: "b"}}
		Expect(follower.checkAnswer(&pb.FollowResponse{Topics: slow})).To(Succeed(), "a large record may be in transfer to a source that reaches the store")
		for _, l := range [][]*pb.TopicChanges{
			nil, good[:1], {{Topic: "b"}, {Topic: "a"}}, {{Topic: "a"}, {Topic: "b", AgeMs: -1}},
			{{Topic: "a"}, {Topic: "b", AgeMs: maxFreshAge.Milliseconds() + 1}},
			{{Topic: "a", AgeMs: maxOperatorsAge.Milliseconds() + 1}, {Topic: "b"}},
		} {
			Expect(follower.checkAnswer(&pb.FollowResponse{Topics: l})).To(MatchError(errStale))
		}
	})
})

var _ = Describe("a source that is avoided", func() {
	It("is retried soon if it has lost the store or follows this process, and later if it gave no answer", func() {
		now := time.Now()
		l := NewLog(Topic{Name: "t"}, facts.New(time.Now), func() time.Time { return now }, silentLogger)
		l.confirmedAt = now.Add(-maxFreshAge)
		f := &Follower{
			logs:          []*Log{l},
			upstreamsGate: &gate{}, operatorsGate: &gate{}, domain: "d", gateways: func() []string { return nil }, now: func() time.Time { return now },
			log: silentLogger, metrics: new(expvar.Map), hint: newSourceHint(time.Now), avoidUntil: map[string]time.Time{}, followsThisUntil: map[string]time.Time{}, withoutStoreUntil: map[string]time.Time{},
		}
		for address, err := range map[string]error{"stale": errStale, "own": errFollowsSelf, "silent": context.DeadlineExceeded} {
			f.avoid(address, err)
		}
		now = now.Add(avoidStaleFor + time.Millisecond)
		Expect(f.firstUsable([]string{"silent", "own"})).To(Equal("own"))
		Expect(f.firstUsable([]string{"silent", "stale"})).To(Equal("stale"))
		now = now.Add(avoidFailedFor)
		Expect(f.firstUsable([]string{"silent"})).To(Equal("silent"))
		l.Merge(Batch{Snapshot: true, FromStore: true, Next: 1, ConfirmedAt: now})
		f.avoid("own", errFollowsSelf)
		now = now.Add(avoidStaleFor + time.Millisecond)
		Expect(f.firstUsable([]string{"own"})).To(BeEmpty(), "this process has fresh records, which that one follows")
		now = now.Add(maxFreshAge)
		Expect(f.firstUsable([]string{"own"})).To(Equal("own"), "the records of this process are not fresh any more, and that one may have taken over")
	})
})

var _ = Describe("a request to a source", func() {
	newFollower := func(self string, started bool) *Follower {
		f := facts.New(time.Now)
		l := NewLog(Topic{Name: "t"}, f, time.Now, silentLogger)
		if started {
			l.Merge(Batch{Snapshot: true, Next: 4, ConfirmedAt: time.Now()})
		}
		order, _ := Sources("d", []string{"a", "b", "c"}, "")
		return &Follower{
			logs: []*Log{l}, self: map[string]string{"second": order[1], "third": order[2]}[self], domain: "d",
			gateways: func() []string { return order }, epoch: 7,
		}
	}

	It("waits there for a change, for a shorter time if this process takes over first", func() {
		wait, timeout := newFollower("second", true).pollTimeouts()
		Expect([]time.Duration{wait, timeout}).To(Equal([]time.Duration{successorPollWait, successorPollWait + longPollSlack}))
		wait, timeout = newFollower("third", true).pollTimeouts()
		Expect([]time.Duration{wait, timeout}).To(Equal([]time.Duration{longPollWait, longPollWait + longPollSlack}))
	})

	It("does not wait at a new source, unless this process has no records", func() {
		f := newFollower("third", true)
		f.epoch = 0
		wait, timeout := f.pollTimeouts()
		Expect([]time.Duration{wait, timeout}).To(Equal([]time.Duration{0, firstPollSlack + longPollSlack}))
		f = newFollower("third", false)
		f.epoch = 0
		_, timeout = f.pollTimeouts()
		Expect(timeout).To(Equal(longPollWait + longPollSlack))
	})

	It("returns only newer records from a new source, not a large one again", func() {
		f := facts.New(time.Now)
		t := Topic{Name: "t", Apply: func(Record) error { return nil }}
		first, second := NewLog(t, f, time.Now, silentLogger), NewLog(t, f, time.Now, silentLogger)
		largeRecord := Record{Key: "config", Value: make([]byte, 100<<10), Position: 1}
		for _, l := range []*Log{first, second} {
			l.Merge(Batch{Snapshot: true, Records: []Record{largeRecord}, Next: 2, ConfirmedAt: time.Now()})
		}
		second.Merge(Batch{Records: []Record{{Key: "u", Value: []byte("new"), Position: 2}, {Key: "v", Position: 3}}, Next: 4, ConfirmedAt: time.Now()})
		next, _ := first.Position()
		c, _, _ := second.ChangesSince(Cursor{Next: next})
		Expect(c.Snapshot).To(BeFalse())
		Expect(c.Records).To(HaveLen(2))
		c, _, _ = second.ChangesSince(Cursor{Next: 1})
		Expect(c.Snapshot).To(BeTrue(), "the source does not know drops from before its start")
	})
})
