package records

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/facts"
)

// startingProcess returns a process without records that knows only a seed.
func startingProcess(ask askFunc) *Records {
	apply := func(Record) error { return nil }
	r := New(&Settings{ConfigWait: time.Second, ListEvery: time.Second, Seeds: []string{"seed:1"}}, &Platform{
		Operators: Topic{Name: "op", Apply: apply}, Upstreams: Topic{Name: "up", Apply: apply, KeysAreUpstreams: true},
	}, facts.New(time.Now), "d", "self:1", time.Now, silentLogger)
	r.follower.ask = ask
	return r
}

// silent answers nothing.
func silent(ctx context.Context, _ string, _ *pb.FollowRequest) (*pb.FollowResponse, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

var _ = Describe("a lease request of a process without records, beside a silent seed", func() {
	// Guards against a joint start at which half of a hundred processes read a configuration that they had just been handed.
	DescribeTable("is granted only if no other process is known to read the topic or to have it", func(news func(*Log), want bool) {
		granted, tookFor := false, time.Duration(0)
		synctest.Test(suite, func(*testing.T) {
			r := startingProcess(silent)
			l := r.service.logs[0]
			go func() {
				time.Sleep(firstAnswerTimeout - 100*time.Millisecond)
				news(l)
			}()
			began := time.Now()
			granted, tookFor = r.follower.requestLease(context.Background(), l, false), time.Since(began)
		})
		Expect(granted).To(Equal(want))
		Expect(tookFor).To(Equal(firstAnswerTimeout))
	},
		Entry("no news", func(*Log) {}, true),
		Entry("a source has handed it over", func(l *Log) { l.Merge(Batch{Snapshot: true, Next: 1, ConfirmedAt: time.Now()}) }, false),
		Entry("the source reads it", func(l *Log) { l.noteSourceReading(&pb.Reading{Bytes: 1, First: true}) }, false),
		Entry("the source's reading has stalled", func(l *Log) {
			l.noteSourceReading(&pb.Reading{Bytes: 1, First: true, QuietMs: maxReadStall.Milliseconds()})
		}, true),
	)

	It("is granted to a process with old records that it cannot renew, and with fresh ones as it takes over", func() {
		for _, age := range []time.Duration{0, time.Minute} {
			granted := false
			synctest.Test(suite, func(*testing.T) {
				r := startingProcess(silent)
				l := r.service.logs[0]
				l.Merge(Batch{Snapshot: true, Next: 1, ConfirmedAt: time.Now().Add(-age)})
				granted = r.follower.requestLease(context.Background(), l, true)
			})
			Expect(granted).To(BeTrue())
		}
	})

	// Guards against a configuration that many read, as the seed was still busy with the requests for the list.
	It("is refused at once by the reader of the other topic that reads this one too", func() {
		granted, tookFor := true, time.Duration(0)
		synctest.Test(suite, func(*testing.T) {
			var reader *Records
			r := startingProcess(func(ctx context.Context, address string, q *pb.FollowRequest) (*pb.FollowResponse, error) {
				if address == "reader:1" {
					return reader.service.Follow(ctx, q)
				}
				return silent(ctx, address, q)
			})
			reader = startingProcess(silent)
			for _, l := range reader.service.logs {
				l.lease.self = "reader:1"
				l.lease.request(false)
				l.lease.acquire()
			}
			r.follower.hint.setReader("reader:1")
			r.follower.hint.set("other:1")
			began := time.Now()
			granted, tookFor = r.follower.requestLease(context.Background(), r.service.logs[0], false), time.Since(began)
		})
		Expect(granted).To(BeFalse())
		Expect(tookFor).To(Equal(leaseRequestTimeout))
	})

	It("learns of the reader from a process that this one has refused, while that has no records itself", func() {
		r := startingProcess(silent)
		r.follower.hint.setReader("reader:1")
		l := r.service.logs[0]
		rivals := func() []string {
			return r.service.answerLeaseRequest(&pb.Claim{Topic: "op", Claimant: "other:1", Domain: "d"}).GetClaim().GetRivals()
		}
		Expect(rivals()).To(Equal([]string{"reader:1"}))
		l.Merge(Batch{Snapshot: true, Next: 1, ConfirmedAt: time.Now()})
		Expect(rivals()).To(BeEmpty())
	})
})
