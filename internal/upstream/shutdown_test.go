package upstream

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/gen/springrail/v1/springrailv1connect"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/rpc"
)

// stayUnanswered is an upstream that does not answer.
func stayUnanswered(r *http.Request) (*http.Response, error) {
	<-r.Context().Done()
	return nil, r.Context().Err()
}

// startAgent serves requests of a plain service with the given answers of its upstream. The returned function ends the process
// after a shutdown.
func startAgent(sent *atomic.Int32, answer func(r *http.Request) (*http.Response, error)) (springrailv1connect.UpstreamServiceClient, func(within time.Duration)) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	c := kernel.NewClock(time.Now)
	s := rpc.NewWithDialer(l, (&net.Dialer{}).DialContext, c)
	h := &RequestHandler{
		vm: "vm", capacity: 8, live: NewLiveVersions(), idempotency: NewIdempotencyCache(time.Now), events: kernel.NewEventRing(c, 64),
		send: func(r *http.Request, _ bool) (*http.Response, error) {
			sent.Add(1)
			return answer(r)
		},
		url: func(path string) string { return "http://127.0.0.1" + path }, running: map[*responseStream]context.CancelFunc{}, drained: make(chan struct{}),
	}
	s.Handle(springrailv1connect.NewUpstreamServiceHandler(h))
	ctx, stop := context.WithCancel(context.Background())
	DeferCleanup(stop)
	go func() { _ = s.Run(ctx) }()
	return s.Upstream(s.Address()), func(within time.Duration) {
		drainContext, cancel := context.WithTimeout(context.Background(), within)
		defer cancel()
		h.Drain(drainContext)
		stop()
	}
}

var _ = Describe("a graceful shutdown of an agent", func() {
	DescribeTable("reports a request that it can't complete as one that may have run, and breaks off no answer", func(key string) {
		var sent atomic.Int32
		client, leave := startAgent(&sent, stayUnanswered)
		var failed *pb.RunFailed
		done := make(chan error, 1)
		go func() {
			r, err := client.Run(context.Background(), &pb.RunRequest{RequestId: "1", Method: "POST", Path: "/", RemainingMs: 60_000, IdempotencyKey: key})
			if err == nil && r.Receive() {
				failed = r.Msg().GetFailed()
			}
			if err == nil {
				r.Receive()
				err = r.Err()
			}
			done <- err
		}()
		Eventually(sent.Load, "5s", "5ms").Should(Equal(int32(1)))
		began := time.Now()
		leave(time.Second)
		took := time.Since(began)
		var err error
		Eventually(done, "5s").Should(Receive(&err))
		Expect(err).NotTo(HaveOccurred())
		Expect(failed).NotTo(BeNil())
		Expect(took).To(BeNumerically("<", time.Second))
	},
		Entry("without a key", ""),
		Entry("with an idempotency key, which continues without its caller", "k"))

	It("also ends a request with an idempotency key that detaches from its caller at that moment", func() {
		d := &RequestHandler{running: map[*responseStream]context.CancelFunc{}}
		d.endAll()
		ctx, stop := context.WithCancel(context.Background())
		d.continueUntil(&responseStream{}, stop)
		Expect(ctx.Err()).To(HaveOccurred())
	})
})
