package dispatch

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/httpconn"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/router"
	"github.com/springrail/springrail/internal/rpc"
)

// attempt is one attempt to run a request on one upstream.
type attempt struct {
	dispatcher *Dispatcher
	request    *Request
	candidate  router.Candidate
	sink       Sink
	// answerStarted is true once the caller has received a part of the response.
	answerStarted bool
	// connected is true once there is a connection to the upstream's VM. Nothing is sent before.
	connected     atomic.Bool
	bytesReceived uint64
}

func (t *attempt) run(ctx context.Context) error {
	m := proto.CloneOf(t.request.Message)
	m.Rollout = string(t.candidate.Rollout)
	m.RemainingMs = time.Until(t.request.Deadline).Milliseconds()
	endRequest := t.dispatcher.router.BeginRequest(t.candidate.VM)
	var load *pb.Load
	defer func() { endRequest(load) }()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { t.connected.Store(true) }})
	stream, err := t.dispatcher.upstream(t.candidate.Address).Run(ctx, m)
	if err != nil {
		return t.connectionError(err)
	}
	defer stream.Close()
	for stream.Receive() {
		p := stream.Msg()
		if p.GetRequestId() != m.GetRequestId() {
			return t.unknownOutcome("an answer of another request came")
		}
		if e := p.GetEnd(); e != nil {
			load = e.GetLoad()
			return t.finish(e)
		}
		if err := t.handlePart(p); err != nil {
			return err
		}
	}
	if stream.Err() == nil {
		return t.unknownOutcome("the answer ended without its end mark")
	}
	return t.connectionError(stream.Err())
}

// handlePart forwards a part of the response, or returns the error that ends the attempt.
func (t *attempt) handlePart(p *pb.RunResponse) error {
	switch part := p.GetPart().(type) {
	case *pb.RunResponse_Refused:
		f := part.Refused
		retryAfter := time.Duration(f.GetRetryAfterMs()) * time.Millisecond
		return &NotRun{RetryAfter: retryAfter, Detail: f.GetDetail()}
	case *pb.RunResponse_Failed:
		return t.unknownOutcome(part.Failed.GetDetail())
	case *pb.RunResponse_Head:
		if !httpconn.IsFinalStatus(int(part.Head.GetStatus())) {
			return t.unknownOutcome("the answer has an invalid status code")
		}
		t.answerStarted = true
		return sinkError(t.sink.Head(part.Head))
	case *pb.RunResponse_Data:
		t.bytesReceived += uint64(len(part.Data))
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

// finish checks that the response is complete.
func (t *attempt) finish(e *pb.RunEnd) error {
	if e.GetBytes() != t.bytesReceived {
		return t.unknownOutcome("the answer lacks bytes")
	}
	t.addEvent(kernel.EventRequestAnswered, "")
	return nil
}

// connectionError classifies a failed connection: the request was not run only if no connection was established.
func (t *attempt) connectionError(err error) error {
	if rpc.IsDialError(err) && !t.answerStarted {
		t.dispatcher.router.MarkUnreachable(t.candidate.VM)
		return &NotRun{RetryAfter: defaultRetryAfter, Detail: "the upstream's VM takes no connection"}
	}
	if !t.connected.Load() {
		return &NotRun{RetryAfter: defaultRetryAfter, Detail: "it ended before there was a connection to the upstream's VM"}
	}
	return t.unknownOutcome("the connection to the upstream's VM broke")
}

func (t *attempt) unknownOutcome(detail string) error {
	t.addEvent(kernel.EventRequestUnknown, detail)
	return trace.Wrap(ErrUnknown, "%s", detail)
}

func (t *attempt) addEvent(k kernel.EventKind, detail string) {
	m := t.request.Message
	t.dispatcher.events.Add(kernel.Event{
		Kind: k, Organisation: id.Organisation(m.GetOrganisation()), Rollout: t.candidate.Rollout,
		Request: id.Request(m.GetRequestId()), Detail: detail + " " + string(t.candidate.VM),
	})
}
