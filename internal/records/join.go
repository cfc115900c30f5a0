package records

import (
	"context"

	pb "github.com/springrail/springrail/gen/springrail/v1"
)

// UseTransport makes this process ask others by a function, and returns what answers theirs. It is for experiments that join
// processes without a network, and comes before Run.
func (r *Records) UseTransport(ask func(ctx context.Context, address string, q *pb.FollowRequest) (*pb.FollowResponse, error)) *Service {
	r.follower.ask = ask
	return r.service
}
