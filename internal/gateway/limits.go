package gateway

import (
	"context"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/facts"
)

// ListLimits implements the RPC that lists rate limits, pausing upstreams and draining upstreams.
func (g *Gateway) ListLimits(context.Context, *pb.ListLimitsRequest) (*pb.ListLimitsResponse, error) {
	response, now := &pb.ListLimitsResponse{}, g.now()
	for _, l := range g.loadSources.Tracker.Limits() {
		response.Entries = append(response.Entries, &pb.LimitEntry{
			Address: l.Address, Rate: float64(l.Rate), AgeMs: now.Sub(l.KnownSince).Milliseconds(), Permits: uint32(l.Permits), Sent: l.Sent, Alone: l.OwnShare,
		})
	}
	for _, r := range g.loadSources.Tracker.RestingUpstreams() {
		response.Resting = append(response.Resting, &pb.RestingUpstream{Address: r.Address, Instance: string(r.Instance), LeftMs: r.Remaining.Milliseconds()})
	}
	for _, i := range g.facts.Instances() {
		if i.Leaving {
			by := leavingSources[g.facts.LeavingSource(i.ID)]
			response.Leaving = append(response.Leaving, &pb.LeavingUpstream{Address: i.Address, Instance: string(i.ID), By: by})
		}
	}
	return response, nil
}

var leavingSources = map[facts.LeavingSource]pb.LeavingSource{
	facts.LeavingByEntry:  pb.LeavingSource_LEAVING_SOURCE_ENTRY,
	facts.LeavingByAnswer: pb.LeavingSource_LEAVING_SOURCE_ANSWER,
	facts.LeavingByStager: pb.LeavingSource_LEAVING_SOURCE_STAGER,
}
