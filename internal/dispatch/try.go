package dispatch

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/router"
	"github.com/springrail/springrail/internal/rpc"
)

// try is one offer of a request to one upstream.
type try struct {
	dispatcher *Dispatcher
	request    *Request
	candidate  router.Candidate
	sink       Sink
	// started is true once the caller has seen a part of the answer.
	started bool
	bytes   uint64
}

func (t *try) run(ctx context.Context) error {
	m := proto.CloneOf(t.request.Message)
	m.Rollout = string(t.candidate.Rollout)
	m.RemainingMs = time.Until(t.request.Deadline).Milliseconds()
	done := t.dispatcher.router.BeginRequest(t.candidate.VM)
	var load *pb.Load
	defer func() { done(load) }()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	stream, err := t.dispatcher.upstream(t.candidate.Address).Run(ctx, m)
	if err != nil {
		return t.broken(err)
	}
	defer stream.Close()
	for stream.Receive() {
		p := stream.Msg()
		if p.GetRequestId() != m.GetRequestId() {
			return t.unknown("an answer of another request came")
		}
		if e := p.GetEnd(); e != nil {
			load = e.GetLoad()
			return t.finish(e)
		}
		if err := t.take(p); err != nil {
			return err
		}
	}
	if stream.Err() == nil {
		return t.unknown("the answer ended without its end mark")
	}
	return t.broken(stream.Err())
}

// take passes a part on, or returns how the try ended.
func (t *try) take(p *pb.RunResponse) error {
	switch part := p.GetPart().(type) {
	case *pb.RunResponse_Refused:
		f := part.Refused
		after := time.Duration(f.GetRetryAfterMs()) * time.Millisecond
		return &NotRun{RetryAfter: after, Detail: f.GetDetail()}
	case *pb.RunResponse_Failed:
		return t.unknown(part.Failed.GetDetail())
	case *pb.RunResponse_Head:
		t.started = true
		return sinkError(t.sink.Head(part.Head))
	case *pb.RunResponse_Data:
		t.bytes += uint64(len(part.Data))
		return sinkError(t.sink.Data(part.Data))
	}
	return nil
}

func sinkError(err error) error {
	if err != nil {
		return trace.Wrap(ErrCallerGone, "%v", err)
	}
	return nil
}

// finish checks that the answer is whole.
func (t *try) finish(e *pb.RunEnd) error {
	if e.GetBytes() != t.bytes {
		return t.unknown("the answer lacks bytes")
	}
	t.event(kernel.EventRequestAnswered, "")
	return nil
}

// broken is a connection that failed: not run only if it was never made.
func (t *try) broken(err error) error {
	if rpc.IsDialError(err) && !t.started {
		t.dispatcher.router.MarkUnreachable(t.candidate.VM)
		return &NotRun{RetryAfter: defaultRetry, Detail: "the upstream's VM takes no connection"}
	}
	return t.unknown("the connection to the upstream's VM broke")
}

func (t *try) unknown(detail string) error {
	t.event(kernel.EventRequestUnknown, detail)
	return trace.Wrap(ErrUnknown, "%s", detail)
}

func (t *try) event(k kernel.EventKind, detail string) {
	m := t.request.Message
	t.dispatcher.events.Add(kernel.Event{
		Kind: k, Organisation: id.Organisation(m.GetOrganisation()), Rollout: t.candidate.Rollout,
		Request: id.Request(m.GetRequestId()), Detail: detail + " " + string(t.candidate.VM),
	})
}
