package operatorapi

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	pb "github.com/springrail/springrail/gen/springrail/v1"
)

const (
	// collectTimeout is the deadline for reading the events of one process.
	collectTimeout = 2 * time.Second
	// maxParallelCollects is the maximum number of processes that are read concurrently.
	maxParallelCollects = 32
)

// ListEvents reads an organisation's events from all processes in parallel and merges them in causal order.
func (s *Service) ListEvents(ctx context.Context, r *pb.ListEventsRequest) (*pb.ListEventsResponse, error) {
	q := &pb.EventsRequest{Organisation: r.GetOrganisation(), Rollout: r.GetRollout(), RequestId: r.GetRequestId()}
	a := &pb.ListEventsResponse{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxParallelCollects)
	for _, v := range s.vms().GetVms() {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			ctx, stop := context.WithTimeout(ctx, collectTimeout)
			defer stop()
			got, err := s.processClient(v.GetAddress()).Events(ctx, q)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				a.Unreachable = append(a.Unreachable, v.GetId())
				return
			}
			a.Events = append(a.Events, got.GetEvents()...)
		})
	}
	wg.Wait()
	if len(s.vms().GetVms()) == 0 {
		a.Events = s.localEvents(q)
	}
	slices.SortFunc(a.Events, compareEvents)
	slices.Sort(a.Unreachable)
	return a, nil
}

// compareEvents orders events by hybrid logical time, then by process and sequence number.
func compareEvents(x, y *pb.Event) int {
	if d := x.GetAt().GetWallUnixMs() - y.GetAt().GetWallUnixMs(); d != 0 {
		return int(d)
	}
	if d := int(x.GetAt().GetLogical()) - int(y.GetAt().GetLogical()); d != 0 {
		return d
	}
	if c := strings.Compare(x.GetProcess(), y.GetProcess()); c != 0 {
		return c
	}
	return int(int64(x.GetSequence()) - int64(y.GetSequence()))
}
