package dispatch

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/config"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/membership"
	"github.com/springrail/springrail/internal/router"
	"github.com/springrail/springrail/internal/rpc"
	"github.com/springrail/springrail/internal/spec"
)

func TestDispatch(t *testing.T) {
	spec.Run(t, "Dispatch")
}

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// newDispatcher returns a dispatcher with one upstream, whose agent begins each request and does not answer.
func newDispatcher(dial dialFunc, begun chan struct{}) *Dispatcher {
	return newDispatcherTo(dial, "/", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		begun <- struct{}{}
		<-r.Context().Done()
	}))
}

// newDispatcherTo returns a dispatcher with one upstream, whose agent serves a path with a handler.
func newDispatcherTo(dial dialFunc, path string, agent http.Handler) *Dispatcher {
	c := kernel.NewClock(time.Now)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := rpc.NewWithDialer(l, dial, c)
	s.Handle(path, agent)
	up := &pb.VMStatus{Vm: &pb.VM{Id: "vm", Domain: "d", Pool: "p", Address: l.Addr().String()}, UpstreamUp: true}
	r := router.New("d", config.NewState, func() []*pb.VMStatus { return []*pb.VMStatus{up} },
		func() <-chan struct{} { return nil }, membership.NewList(), kernel.NewEventRing(c, 64))
	ctx, stop := context.WithCancel(context.Background())
	DeferCleanup(stop)
	go func() { _ = r.Run(ctx) }()
	go func() { _ = s.Run(ctx) }()
	Eventually(func() int { return len(r.ServiceCandidates("p")) }, "2s", "5ms").Should(Equal(1))
	return New(r, s.Upstream, kernel.NewEventRing(c, 64))
}

var _ = Describe("a request that is ended", func() {
	// run runs a request that ends as soon as reached has a value.
	run := func(d *Dispatcher, reached chan struct{}) error {
		ctx, end := context.WithCancel(context.Background())
		go func() {
			<-reached
			end()
		}()
		q := &Request{Service: "p", Message: &pb.RunRequest{RequestId: "1", Method: "POST"}, Deadline: time.Now().Add(time.Minute)}
		return d.Run(ctx, q, Sink{})
	}

	It("while it waits for a connection is reported as not run, as nothing was sent", func() {
		dialled := make(chan struct{}, 1)
		d := newDispatcher(func(ctx context.Context, _, _ string) (net.Conn, error) {
			dialled <- struct{}{}
			<-ctx.Done()
			return nil, ctx.Err()
		}, nil)
		Expect(run(d, dialled)).To(MatchError(ErrNotRun))
	})

	It("after it was sent is not reported as not run, on a new connection or a kept one", func() {
		begun := make(chan struct{}, 1)
		d := newDispatcher((&net.Dialer{}).DialContext, begun)
		for range 2 {
			Expect(run(d, begun)).To(MatchError(ErrUnknown))
		}
	})
})
