package records

import (
	"context"

	"github.com/gravitational/trace"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/platform"
)

// noTransport is how a process asks others before it has a transport.
func noTransport(context.Context, string, *pb.FollowRequest) (*pb.FollowResponse, error) {
	return nil, trace.Wrap(platform.ErrUnavailable, "no transport to other processes")
}

// UseTransport replaces the function by which this process asks others, and returns the service that answers them.
// Simulations use it to connect processes without a network. It must be called before Run.
func (r *Records) UseTransport(ask func(ctx context.Context, address string, q *pb.FollowRequest) (*pb.FollowResponse, error)) *Service {
	r.follower.ask = ask
	return r.service
}
