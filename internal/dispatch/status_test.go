package dispatch

import (
	"context"
	"net"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/gen/springrail/v1/springrailv1connect"
)

// oddAgent answers each request completely, with the given status.
type oddAgent struct {
	springrailv1connect.UnimplementedUpstreamServiceHandler
	status uint32
}

// Run implements springrailv1connect.UpstreamServiceHandler.
func (a *oddAgent) Run(_ context.Context, r *pb.RunRequest, s *connect.ServerStream[pb.RunResponse]) error {
	of := r.GetRequestId()
	if err := s.Send(&pb.RunResponse{RequestId: of, Part: &pb.RunResponse_Head{Head: &pb.RunHead{Status: a.status}}}); err != nil {
		return err
	}
	return s.Send(&pb.RunResponse{RequestId: of, Part: &pb.RunResponse_End{End: &pb.RunEnd{}}})
}

var _ = Describe("an answer with an invalid status, as an agent of an older release passes it on", func() {
	// Guards against a status that an entry can't pass on, which breaks off its caller's connection.
	DescribeTable("is reported as one of unknown outcome", func(status uint32) {
		path, handler := springrailv1connect.NewUpstreamServiceHandler(&oddAgent{status: status})
		d := newDispatcherTo((&net.Dialer{}).DialContext, path, handler)
		q := &Request{Service: "p", Message: &pb.RunRequest{RequestId: "1", Method: "POST"}, Deadline: time.Now().Add(time.Minute)}
		heads := 0
		err := d.Run(context.Background(), q, Sink{Head: func(*pb.RunHead) error { heads++; return nil }})
		Expect(err).To(MatchError(ErrUnknown))
		Expect(heads).To(BeZero())
	}, Entry("000", uint32(0)), Entry("099", uint32(99)), Entry("101", uint32(101)), Entry("600", uint32(600)), Entry("a huge one", uint32(1<<31)))
})
