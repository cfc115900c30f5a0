package gateway

import (
	"context"

	pb "github.com/springrail/springrail/gen/springrail/v1"
)

// ListLimits implements the limit service.
func (g *Gateway) ListLimits(context.Context, *pb.ListLimitsRequest) (*pb.ListLimitsResponse, error) {
	a, now := &pb.ListLimitsResponse{}, g.now()
	for _, l := range g.load.Tracker.Limits() {
		a.Entries = append(a.Entries, &pb.LimitEntry{
			Address: l.Address, Rate: float64(l.Rate), AgeMs: now.Sub(l.Since).Milliseconds(), Permits: uint32(l.Permits), Sent: l.Sent, Alone: l.Alone,
		})
	}
	return a, nil
}
