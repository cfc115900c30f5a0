package upstream

import (
	"bytes"
	"net/http"
	"slices"

	"connectrpc.com/connect"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/id"
)

// responseStream sends a request's response to the entry VM, and records it if the request has an idempotency key, so that a
// retry of the same key gets the same response.
type responseStream struct {
	request *pb.RunRequest
	stream  *connect.ServerStream[pb.RunResponse]
	vm      id.VM
	version id.Version
	bytes   uint64
	record  *idempotencyRecord
}

func (a *responseStream) send(p *pb.RunResponse) error {
	p = &pb.RunResponse{RequestId: a.request.GetRequestId(), Part: p.GetPart()}
	return a.stream.Send(p)
}

// sendRecorded sends a part of the response and records it. A caller that has disconnected doesn't abort a recorded request.
func (a *responseStream) sendRecorded(p *pb.RunResponse) error {
	if a.record == nil {
		return a.send(p)
	}
	a.record.add(p)
	_ = a.send(p)
	return nil
}

func (a *responseStream) sendHead(got *http.Response) error {
	return a.sendRecorded(&pb.RunResponse{Part: &pb.RunResponse_Head{Head: &pb.RunHead{
		Status: uint32(got.StatusCode), ContentType: got.Header.Get("Content-Type"), Version: string(a.version),
		Rollout: a.request.GetRollout(), Vm: string(a.vm),
	}}})
}

func (a *responseStream) sendData(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	a.bytes += uint64(len(b))
	return a.sendRecorded(&pb.RunResponse{Part: &pb.RunResponse_Data{Data: slices.Clone(b)}})
}

func (a *responseStream) sendEnd(l *pb.Load) error {
	if a.record != nil {
		a.record.setState(recordDone)
	}
	return a.sendRecorded(&pb.RunResponse{Part: &pb.RunResponse_End{End: &pb.RunEnd{Load: l, Bytes: a.bytes}}})
}

// sendFailed reports that the request may have run and that its response is incomplete.
func (a *responseStream) sendFailed(detail string) error {
	if a.record != nil {
		a.record.setState(recordUnknown)
	}
	return a.send(&pb.RunResponse{Part: &pb.RunResponse_Failed{Failed: &pb.RunFailed{Detail: detail}}})
}

// markNotRun marks the record of the request as not run, so that the key can be used again.
func (a *responseStream) markNotRun() {
	if a.record != nil {
		a.record.setState(recordNotRun)
	}
}

// streamEndMarker ends a complete stream of server-sent events.
var streamEndMarker = []byte("data: [DONE]")

// streamEndDetector checks whether a stream ends with streamEndMarker. It keeps only the last bytes.
type streamEndDetector struct {
	tail []byte
}

func (c *streamEndDetector) write(b []byte) {
	c.tail = append(c.tail, b...)
	if extra := len(c.tail) - 2*len(streamEndMarker); extra > 0 {
		c.tail = append(c.tail[:0], c.tail[extra:]...)
	}
}

func (c *streamEndDetector) hasEndMarker() bool {
	return bytes.HasSuffix(bytes.TrimSpace(c.tail), streamEndMarker)
}
