package records

import (
	"bytes"
	"expvar"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/phuslu/log"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/facts"
)

var _ = Describe("a process that has read no records yet", func() {
	var (
		out bytes.Buffer
		l   *Log
		f   *Follower
		now = time.Now()
	)
	BeforeEach(func() {
		out.Reset()
		logger := &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: &out}}
		l = NewLog(Topic{Name: "a"}, facts.New(time.Now), func() time.Time { return now }, silentLogger)
		f = &Follower{
			logs: []*Log{l}, upstreamsGate: &gate{closed: make(chan struct{})}, operatorsGate: &gate{}, self: "self", domain: "d", gateways: func() []string { return nil },
			now: func() time.Time { return now }, log: logger, metrics: new(expvar.Map), hint: newSourceHint(time.Now),
			avoidUntil: map[string]time.Time{}, followsThisUntil: map[string]time.Time{}, withoutStoreUntil: map[string]time.Time{},
		}
	})

	It("logs a source without records at info level and without an age", func() {
		err := f.checkAnswer(&pb.FollowResponse{Topics: []*pb.TopicChanges{{Topic: "a", AgeMs: l.Age().Milliseconds()}}})
		Expect(err).To(MatchError(errStale))
		f.avoid("10.0.0.1:1", err)
		Expect(out.String()).To(And(ContainSubstring("another source of records is needed"), ContainSubstring("not read yet")))
		Expect(out.String()).NotTo(Or(ContainSubstring(`"level":"warn"`), ContainSubstring("age_ms"), ContainSubstring("2562047h")))
	})
})
