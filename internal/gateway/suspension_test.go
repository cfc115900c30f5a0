package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/phuslu/log"

	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/dating"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/placement"
)

// suspendableClock is the clock of a VM that may be suspended; timers do not advance during a suspension.
type suspendableClock struct {
	suspension atomic.Int64
}

func (s *suspendableClock) now() time.Time {
	return time.Now().Add(s.suspended())
}

func (s *suspendableClock) suspended() time.Duration {
	return time.Duration(s.suspension.Load())
}

// newSuspendableTestbed returns a testbed whose gateway runs on a VM that may be suspended.
func newSuspendableTestbed(s *suspendableClock, routes ...*catalog.Route) *testbed {
	b := newTestbedAt(s.now, routes...)
	b.gateway.suspended = s.suspended
	ctx, stop := context.WithCancel(context.Background())
	DeferCleanup(stop)
	go b.gateway.watchSuspensions(ctx)
	return b
}

var _ = Describe("a gateway whose VM was suspended", func() {
	longRoute := func() *catalog.Route {
		r := route(catalog.Streaming, "engines")
		r.Timeout, r.MaxAttempts = 6*time.Second, 1
		return r
	}

	// Guards against responses that are late by the length of a suspension. A caller waits for 6 s, and the gateway's
	// VM is suspended for 1 to 30 s meanwhile, during which its timers do not advance.
	DescribeTable("ends requests whose deadline has passed, soon after it resumes", func(suspended time.Duration) {
		s := &suspendableClock{}
		b := newSuspendableTestbed(s, longRoute())
		lines := &logBuffer{}
		b.gateway.log = &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: lines}}
		b.addUpstream("u", "engines", func(_ *http.Request, _ string, c net.Conn) { _, _ = c.Read(make([]byte, 1)) })
		time.AfterFunc(200*time.Millisecond, func() { s.suspension.Store(int64(suspended)) })
		start := s.now()
		a, _, err := b.sendRequest("POST", "/p/", "x", xModel, "m")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(http.StatusGatewayTimeout))
		late := s.now().Sub(start) - max(6*time.Second, suspended+200*time.Millisecond)
		Expect(late).To(BeNumerically("<", 500*time.Millisecond), "users allow half a second")
		Expect(late).To(BeNumerically(">", -100*time.Millisecond))
		Expect(lines.String()).To(ContainSubstring("this VM was suspended"))
	},
		Entry("5 s", 5*time.Second), Entry("5.7 s", 5700*time.Millisecond), Entry("30 s", 30*time.Second),
	)

	It("delivers the response that has arrived meanwhile", func() {
		s := &suspendableClock{}
		b := newSuspendableTestbed(s, longRoute())
		b.addUpstream("u", "engines", func(q *http.Request, _ string, c net.Conn) {
			time.Sleep(50 * time.Millisecond)
			s.suspension.Store(int64(10 * time.Second))
			stream(c, q, xRevision+": 1\r\n", "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n")
			_, _ = io.WriteString(c, "0\r\n\r\n")
		})
		a, body, err := b.sendRequest("POST", "/p/", "x", xModel, "m")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(http.StatusOK))
		Expect(body).To(ContainSubstring("id: 2"))
	})

	It("sends no request whose deadline has passed between the choice of the upstream and the connection", func() {
		s := &suspendableClock{}
		b := newSuspendableTestbed(s, longRoute())
		b.addUpstream("u", "engines", func(q *http.Request, _ string, c net.Conn) { reply(c, q, 200, "", "ran") })
		b.gateway.connections.OnDial = func() { s.suspension.Store(int64(7 * time.Second)) }
		a, _, err := b.sendRequest("POST", "/p/", "x", xModel, "m")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(http.StatusServiceUnavailable), "it has not run")
		Expect(b.upstreamCount("1")).To(BeZero())
	})

	It("sends no request on a version whose grace period has ended meanwhile", func() {
		s := &suspendableClock{}
		b := newSuspendableTestbed(s, longRoute())
		b.addUpstream("u", "engines", func(q *http.Request, _ string, c net.Conn) {
			stream(c, q, xRevision+": 1\r\n", "id: 1\ndata: a\n\n")
			_, _ = io.WriteString(c, "0\r\n\r\n")
		})
		b.facts.SetWanted("m", facts.Publication{Revision: 1})
		now := s.now()
		b.facts.SetWanted("m", facts.Publication{Revision: 2, PublishTime: dating.TimeBounds{After: now, KnownAt: now}})
		a, _, err := b.sendRequest("POST", "/p/", "x", xModel, "m")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(http.StatusOK))
		s.suspension.Store(int64(8 * time.Second))
		a, _, err = b.sendRequest("POST", "/p/", "x", xModel, "m", xRequest, "2")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(b.upstreamCount("2")).To(BeZero())
	})

	It("does not use load reports from before the suspension", func() {
		s := &suspendableClock{}
		b := newSuspendableTestbed(s, longRoute())
		b.addUpstream("u", "engines", func(q *http.Request, _ string, c net.Conn) { reply(c, q, 200, "", "ran") })
		i := b.facts.Instances()[0]
		b.tracker.SetReport(i.Address, placement.LoadReport{Held: i.Held, ReceivedAt: s.now()})
		_, fresh := b.tracker.FreshReport(i.Address)
		Expect(fresh).To(BeTrue())
		s.suspension.Store(int64(2 * time.Second))
		_, fresh = b.tracker.FreshReport(i.Address)
		Expect(fresh).To(BeFalse())
	})
})
