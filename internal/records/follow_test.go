package records

import (
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
				gate: &gate{closed: make(chan struct{})}, self: self, domain: "d", gateways: func() []string { return all },
				now: func() time.Time { return now }, log: quiet, vars: new(expvar.Map), blamed: map[string]time.Time{},
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

var _ = Describe("an answer of a source", func() {
	It("is refused where a topic is missing, another one or of an impossible age", func() {
		f := facts.New(time.Now)
		follower := &Follower{logs: []*Log{NewLog(Topic{Name: "a"}, f, time.Now, quiet), NewLog(Topic{Name: "b"}, f, time.Now, quiet)}, vars: new(expvar.Map)}
		good := []*pb.TopicChanges{{Topic: "a"}, {Topic: "b"}}
		Expect(follower.check(&pb.FollowResponse{Topics: good})).To(Succeed())
		for _, l := range [][]*pb.TopicChanges{
			nil, good[:1], {{Topic: "b"}, {Topic: "a"}}, {{Topic: "a"}, {Topic: "b", AgeMs: -1}},
			{{Topic: "a"}, {Topic: "b", AgeMs: freshMost.Milliseconds() + 1}},
		} {
			Expect(follower.check(&pb.FollowResponse{Topics: l})).To(MatchError(errStale))
		}
	})
})
