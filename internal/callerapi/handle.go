package callerapi

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/kataras/iris/v12"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/dispatch"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
)

// affinityPrefixBytes is the length of the prompt prefix that selects an upstream.
const affinityPrefixBytes = 512

// chatRequest holds the fields of a chat completion request that are evaluated here; the body is forwarded
// unchanged.
type chatRequest struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Messages json.RawMessage `json:"messages"`
}

// modelList is the response body of /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func (p *Part) models(ctx iris.Context) {
	o := p.organisation(ctx.Request())
	if o == nil {
		refuse(ctx.ResponseWriter(), "", problemUnknownKey)
		return
	}
	names := p.router.Models(id.Organisation(o.GetId()))
	slices.Sort(names)
	l := modelList{Object: "list", Data: []modelItem{}}
	for _, n := range names {
		l.Data = append(l.Data, modelItem{ID: string(n), Object: "model"})
	}
	_ = ctx.JSON(l)
}

func (p *Part) chat(ctx iris.Context) {
	r := ctx.Request()
	body, ok := p.readBody(ctx)
	if !ok {
		return
	}
	var c chatRequest
	if err := json.Unmarshal(body, &c); err != nil {
		refuse(ctx.ResponseWriter(), "", badRequest("the body is not JSON: "+err.Error()))
		return
	}
	if c.Model == "" {
		refuse(ctx.ResponseWriter(), "", badRequest("the body needs a model"))
		return
	}
	key := r.Header.Get("Idempotency-Key")
	p.answer(ctx, &dispatch.Request{
		Message: &pb.RunRequest{
			Model: c.Model, Method: r.Method, Path: "/v1/chat/completions", ContentType: "application/json", Body: body,
			IdempotencyKey: key, Repeatable: key == "",
		},
		Affinity: affinityKey(c.Messages),
	}, c.Stream)
}

func affinityKey(messages []byte) string {
	sum := xxhash.Sum64(messages[:min(affinityPrefixBytes, len(messages))])
	return strconv.FormatUint(sum, 16)
}

func (p *Part) service(ctx iris.Context) {
	r := ctx.Request()
	body, ok := p.readBody(ctx)
	if !ok {
		return
	}
	path := "/" + ctx.Params().Get("path")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	p.answer(ctx, &dispatch.Request{
		Message: &pb.RunRequest{
			Method: r.Method, Path: path, ContentType: r.Header.Get("Content-Type"), Body: body,
			IdempotencyKey: r.Header.Get("Idempotency-Key"),
			Repeatable:     r.Method == http.MethodGet || r.Method == http.MethodHead,
		},
		Service: id.Pool(ctx.Params().Get("service")),
	}, false)
}

func (p *Part) readBody(ctx iris.Context) ([]byte, bool) {
	r, w := ctx.Request(), ctx.ResponseWriter()
	f := requestOf(r.Context())
	p.inFlight.startReceiving(f)
	body, err := io.ReadAll(io.LimitReader(r.Body, int64(p.settings.BodyBytes)+1))
	taken := p.inFlight.endReceiving(f)
	if err != nil {
		// Without this the server would wait for the rest of the body before it answers.
		w.Header().Set("Connection", "close")
		f.setReadDeadline(time.Now().Add(unreadBodyTimeout))
	}
	if !taken {
		w.Header().Set("Connection", "close")
		refuse(w, r.Header.Get(headerRequestID), problemLeaving)
		return nil, false
	}
	if err != nil {
		refuse(w, "", badRequest("the body broke off, or was not complete by the request's deadline"))
		return nil, false
	}
	if len(body) > p.settings.BodyBytes {
		refuse(w, "", badRequest("the body is larger than "+strconv.Itoa(p.settings.BodyBytes)+" bytes"))
		return nil, false
	}
	return body, true
}

// answer runs a request and writes its outcome.
func (p *Part) answer(ctx iris.Context, r *dispatch.Request, stream bool) {
	w := ctx.ResponseWriter()
	requestID := ctx.Request().Header.Get(headerRequestID)
	if requestID == "" {
		requestID = uuid.NewString()
	}
	if !p.ready() {
		refuse(w, requestID, problemNotReady)
		return
	}
	o := p.organisation(ctx.Request())
	if o == nil {
		refuse(w, requestID, problemUnknownKey)
		return
	}
	release, err := p.limits.Acquire(o)
	if err != nil {
		refuse(w, requestID, problemOf(err))
		return
	}
	defer release()
	r.Message.RequestId, r.Message.Organisation = requestID, o.GetId()
	r.Deadline = requestOf(ctx.Request().Context()).deadline
	p.host.Events.Add(kernel.Event{
		Kind: kernel.EventRequestReceived, Organisation: id.Organisation(o.GetId()), Request: id.Request(requestID),
	})
	start := time.Now()
	run := p.answerBuffered
	if stream {
		run = p.answerStreamed
	}
	p.metrics.record(run(ctx, r), start)
}

// timeout returns the time that the caller states in the header Request-Timeout, in seconds, or the default from
// the settings, which is also the maximum.
func (p *Part) timeout(r *http.Request) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(r.Header.Get("Request-Timeout")), 64)
	if err != nil || seconds <= 0 {
		return p.settings.Timeout
	}
	return min(p.settings.Timeout, time.Duration(seconds*float64(time.Second)))
}

// closeIfLeaving makes the caller open its next connection to another entry.
func (p *Part) closeIfLeaving(w http.ResponseWriter) {
	if p.inFlight.isLeaving() {
		w.Header().Set("Connection", "close")
	}
}

func writeHead(w http.ResponseWriter, requestID string, h *pb.RunHead) {
	w.Header().Set("Content-Type", h.GetContentType())
	w.Header().Set(headerRequestID, requestID)
	w.Header().Set(headerVM, h.GetVm())
	if h.GetVersion() != "" {
		w.Header().Set(headerVersion, h.GetVersion())
		w.Header().Set(headerRollout, h.GetRollout())
	}
	w.WriteHeader(int(h.GetStatus()))
}

// answerBuffered withholds a response until it is complete, so that a truncated one is never taken for a complete
// one.
func (p *Part) answerBuffered(ctx iris.Context, r *dispatch.Request) string {
	var head *pb.RunHead
	var body []byte
	err := p.dispatch.Run(ctx.Request().Context(), r, dispatch.Sink{
		Head: func(h *pb.RunHead) error { head, body = h, nil; return nil },
		Data: func(b []byte) error { body = append(body, b...); return nil },
	})
	w := ctx.ResponseWriter()
	p.closeIfLeaving(w)
	if err != nil {
		refuse(w, r.Message.GetRequestId(), problemOf(err))
		return problemOf(err).outcome
	}
	writeHead(w, r.Message.GetRequestId(), head)
	_, _ = w.Write(body)
	return outcomeAnswered
}

// answerStreamed forwards server-sent events as they arrive. A truncated stream ends with an error event and
// without its end mark.
func (p *Part) answerStreamed(ctx iris.Context, r *dispatch.Request) string {
	w := ctx.ResponseWriter()
	headSent := false
	err := p.dispatch.Run(ctx.Request().Context(), r, dispatch.Sink{
		Head: func(h *pb.RunHead) error {
			headSent = true
			p.closeIfLeaving(w)
			writeHead(w, r.Message.GetRequestId(), h)
			return nil
		},
		Data: func(b []byte) error {
			if _, err := w.Write(b); err != nil {
				return err
			}
			w.Flush()
			return nil
		},
	})
	switch {
	case err == nil:
		return outcomeAnswered
	case errors.Is(err, dispatch.ErrCallerGone):
		return outcomeCallerGone
	case !headSent:
		p.closeIfLeaving(w)
		refuse(w, r.Message.GetRequestId(), problemOf(err))
	default:
		_, _ = w.Write([]byte("event: error\ndata: " + string(problemOf(err).body()) + "\n\n"))
		w.Flush()
	}
	return problemOf(err).outcome
}
