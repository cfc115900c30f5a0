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
	It("take over one after the other, so that most follow the one that has", func() {
		now := time.Now()
		var all []string
		for i := range 20 {
			all = append(all, fmt.Sprintf("10.0.0.%d:7700", i))
		}
		followers := map[string]*Follower{}
		for _, self := range append([]string{"stager"}, all...) {
			followers[self] = &Follower{
				gate: &gate{closed: make(chan struct{})}, long: &gate{}, self: self, domain: "d", gateways: func() []string { return all },
				now: func() time.Time { return now }, log: quiet, vars: new(expvar.Map), hint: newHint(time.Now), blamed: map[string]time.Time{}, behind: map[string]time.Time{}, lacking: map[string]time.Time{},
			}
		}
		open := func() int {
			n := 0
			for _, f := range followers {
				f.blame("x", errStale)
				if f.gate.closed == nil {
					n++
				}
			}
			return n
		}
		Expect(open()).To(Equal(2), "the first, which follows nobody, and the one behind it")
		now = now.Add(takeoverStep)
		Expect(open()).To(Equal(3))
		now = now.Add(takeoverMost * takeoverStep)
		Expect(open()).To(Equal(len(followers)))
		Expect(followers["stager"].tryPause()).To(BeNumerically(">", 10*retryPause))
	})
})

var _ = Describe("a process whose source lacks the store", func() {
	It("does not wait for those before it that have asked the store in vain, and waits for the others", func() {
		now := time.Now()
		all := []string{"a:1", "b:1", "c:1", "d:1", "e:1"}
		order, _ := Sources("d", all, "")
		f := &Follower{
			gate: &gate{closed: make(chan struct{})}, long: &gate{}, self: order[4], domain: "d", gateways: func() []string { return all },
			now: func() time.Time { return now }, log: quiet, vars: new(expvar.Map), hint: newHint(time.Now),
			blamed: map[string]time.Time{}, behind: map[string]time.Time{}, lacking: map[string]time.Time{},
		}
		Expect(f.waitsFor()).To(Equal(3), "the first one is the source that has failed")
		for _, a := range order[:3] {
			f.lacking[a] = now.Add(lackFor)
		}
		Expect(f.waitsFor()).To(Equal(1))
		f.takeOver()
		Expect(f.gate.closed).NotTo(BeNil())
		f.lacking[order[3]] = now.Add(lackFor)
		f.takeOver()
		Expect(f.gate.closed).To(BeNil())
		now = now.Add(lackFor)
		Expect(f.waitsFor()).To(Equal(3))
	})
})

var _ = Describe("an answer of a source", func() {
	It("is refused where a topic is missing, another one or of an impossible age", func() {
		f := facts.New(time.Now)
		follower := &Follower{logs: []*Log{NewLog(Topic{Name: "a"}, f, time.Now, quiet), NewLog(Topic{Name: "b", KeysAreUpstreams: true}, f, time.Now, quiet)}, vars: new(expvar.Map)}
		good := []*pb.TopicChanges{{Topic: "a"}, {Topic: "b"}}
		Expect(follower.check(&pb.FollowResponse{Topics: good})).To(Succeed())
		slow := []*pb.TopicChanges{{Topic: "a", AgeMs: freshMost.Milliseconds() + 1}, {Topic: "b"}}
		Expect(follower.check(&pb.FollowResponse{Topics: slow})).To(Succeed(), "a long record is on its way to a source that has the store")
		for _, l := range [][]*pb.TopicChanges{
			nil, good[:1], {{Topic: "b"}, {Topic: "a"}}, {{Topic: "a"}, {Topic: "b", AgeMs: -1}},
			{{Topic: "a"}, {Topic: "b", AgeMs: freshMost.Milliseconds() + 1}},
			{{Topic: "a", AgeMs: slowMost.Milliseconds() + 1}, {Topic: "b"}},
		} {
			Expect(follower.check(&pb.FollowResponse{Topics: l})).To(MatchError(errStale))
		}
	})
})

var _ = Describe("a source that is left alone", func() {
	It("is asked again soon where it has lost the store or follows this process, and later where it gave no answer", func() {
		now := time.Now()
		l := NewLog(Topic{Name: "t"}, facts.New(time.Now), func() time.Time { return now }, quiet)
		l.confirmed = now.Add(-freshMost)
		f := &Follower{
			logs: []*Log{l},
			gate: &gate{}, long: &gate{}, domain: "d", gateways: func() []string { return nil }, now: func() time.Time { return now },
			log: quiet, vars: new(expvar.Map), hint: newHint(time.Now), blamed: map[string]time.Time{}, behind: map[string]time.Time{}, lacking: map[string]time.Time{},
		}
		for address, err := range map[string]error{"stale": errStale, "own": errOwn, "silent": context.DeadlineExceeded} {
			f.blame(address, err)
		}
		now = now.Add(staleFor + time.Millisecond)
		Expect(f.sound([]string{"silent", "own"})).To(Equal("own"))
		Expect(f.sound([]string{"silent", "stale"})).To(Equal("stale"))
		now = now.Add(blameFor)
		Expect(f.sound([]string{"silent"})).To(Equal("silent"))
		l.Merge(Batch{Snapshot: true, FromStore: true, Next: 1, ConfirmedAt: now})
		f.blame("own", errOwn)
		now = now.Add(staleFor + time.Millisecond)
		Expect(f.sound([]string{"own"})).To(BeEmpty(), "this process has fresh records, and hands them to that one")
		now = now.Add(freshMost)
		Expect(f.sound([]string{"own"})).To(Equal("own"), "it has lost them, and that one may have taken over")
	})
})

var _ = Describe("a question to a source", func() {
	newFollower := func(self string, started bool) *Follower {
		f := facts.New(time.Now)
		l := NewLog(Topic{Name: "t"}, f, time.Now, quiet)
		if started {
			l.Merge(Batch{Snapshot: true, Next: 4, ConfirmedAt: time.Now()})
		}
		order, _ := Sources("d", []string{"a", "b", "c"}, "")
		return &Follower{
			logs: []*Log{l}, self: map[string]string{"second": order[1], "third": order[2]}[self], domain: "d",
			gateways: func() []string { return order }, epoch: 7,
		}
	}

	It("waits there for a change, but shorter where this process goes first once the source fails", func() {
		wait, most := newFollower("second", true).patience()
		Expect([]time.Duration{wait, most}).To(Equal([]time.Duration{successorWait, successorWait + followSlack}))
		wait, most = newFollower("third", true).patience()
		Expect([]time.Duration{wait, most}).To(Equal([]time.Duration{followWait, followWait + followSlack}))
	})

	It("does not wait at a source that was not followed before, unless it is to bring everything", func() {
		f := newFollower("third", true)
		f.epoch = 0
		wait, most := f.patience()
		Expect([]time.Duration{wait, most}).To(Equal([]time.Duration{0, newSlack + followSlack}))
		f = newFollower("third", false)
		f.epoch = 0
		_, most = f.patience()
		Expect(most).To(Equal(followWait + followSlack))
	})

	It("to a source that was not followed before brings what is new, not a long record again", func() {
		f := facts.New(time.Now)
		t := Topic{Name: "t", Apply: func(Record) error { return nil }}
		first, second := NewLog(t, f, time.Now, quiet), NewLog(t, f, time.Now, quiet)
		long := Record{Key: "config", Value: make([]byte, 100<<10), Position: 1}
		for _, l := range []*Log{first, second} {
			l.Merge(Batch{Snapshot: true, Records: []Record{long}, Next: 2, ConfirmedAt: time.Now()})
		}
		second.Merge(Batch{Records: []Record{{Key: "u", Value: []byte("new"), Position: 2}, {Key: "v", Position: 3}}, Next: 4, ConfirmedAt: time.Now()})
		next, _ := first.Position()
		c, _, _ := second.ChangesSince(Cursor{Next: next})
		Expect(c.Snapshot).To(BeFalse())
		Expect(c.Records).To(HaveLen(2))
		c, _, _ = second.ChangesSince(Cursor{Next: 1})
		Expect(c.Snapshot).To(BeTrue(), "what went before it started is not known to it")
	})
})
