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

// sleeper is the clock of a VM that may be suspended: timers do not see that.
type sleeper struct {
	lost atomic.Int64
}

func (s *sleeper) now() time.Time {
	return time.Now().Add(s.suspended())
}

func (s *sleeper) suspended() time.Duration {
	return time.Duration(s.lost.Load())
}

// sleeping makes a gateway on a VM that may be suspended.
func sleeping(s *sleeper, routes ...*catalog.Route) *testbed {
	b := newTestbedAt(s.now, routes...)
	b.gateway.suspended = s.suspended
	ctx, stop := context.WithCancel(context.Background())
	DeferCleanup(stop)
	go b.gateway.watchSuspensions(ctx)
	return b
}

var _ = Describe("a gateway whose VM was suspended", func() {
	long := func() *catalog.Route {
		r := route(catalog.Streaming, "engines")
		r.Timeout, r.MaxAttempts = 6*time.Second, 1
		return r
	}

	// A caller waits for 6 s. The gateway's VM is suspended for 1 to 30 s in the midst of that: its timers stand still,
	// and the caller, or who has the connection then, got an answer as much too late.
	DescribeTable("ends requests whose time has passed, soon after it wakes", func(suspended time.Duration) {
		s := &sleeper{}
		b := sleeping(s, long())
		lines := &pages{}
		b.gateway.log = &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: lines}}
		b.upstream("u", "engines", func(_ *http.Request, _ string, c net.Conn) { _, _ = c.Read(make([]byte, 1)) })
		time.AfterFunc(200*time.Millisecond, func() { s.lost.Store(int64(suspended)) })
		start := s.now()
		a, _, err := b.ask("POST", "/p/", "x", xModel, "m")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(http.StatusGatewayTimeout))
		late := s.now().Sub(start) - max(6*time.Second, suspended+200*time.Millisecond)
		Expect(late).To(BeNumerically("<", 500*time.Millisecond), "the users allow half a second")
		Expect(late).To(BeNumerically(">", -100*time.Millisecond))
		Expect(lines.String()).To(ContainSubstring("this VM was suspended"))
	},
		Entry("5 s", 5*time.Second), Entry("5.7 s", 5700*time.Millisecond), Entry("30 s", 30*time.Second),
	)

	It("delivers the answer that has come meanwhile", func() {
		s := &sleeper{}
		b := sleeping(s, long())
		b.upstream("u", "engines", func(q *http.Request, _ string, c net.Conn) {
			time.Sleep(50 * time.Millisecond)
			s.lost.Store(int64(10 * time.Second))
			stream(c, q, xRevision+": 1\r\n", "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n")
			_, _ = io.WriteString(c, "0\r\n\r\n")
		})
		a, body, err := b.ask("POST", "/p/", "x", xModel, "m")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(http.StatusOK))
		Expect(body).To(ContainSubstring("id: 2"))
	})

	It("sends no request whose time has passed between its choice and its connection", func() {
		s := &sleeper{}
		b := sleeping(s, long())
		b.upstream("u", "engines", func(q *http.Request, _ string, c net.Conn) { reply(c, q, 200, "", "ran") })
		b.gateway.pool.OnDial = func() { s.lost.Store(int64(7 * time.Second)) }
		a, _, err := b.ask("POST", "/p/", "x", xModel, "m")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(http.StatusServiceUnavailable), "it has not run")
		Expect(b.runs("1")).To(BeZero())
	})

	It("sends nothing on a version whose time has ended meanwhile", func() {
		s := &sleeper{}
		b := sleeping(s, long())
		b.upstream("u", "engines", func(q *http.Request, _ string, c net.Conn) {
			stream(c, q, xRevision+": 1\r\n", "id: 1\ndata: a\n\n")
			_, _ = io.WriteString(c, "0\r\n\r\n")
		})
		b.facts.SetWanted("m", facts.Publication{Revision: 1})
		now := s.now()
		b.facts.SetWanted("m", facts.Publication{Revision: 2, PublishTime: dating.TimeBounds{After: now, KnownAt: now}})
		a, _, err := b.ask("POST", "/p/", "x", xModel, "m")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(http.StatusOK))
		s.lost.Store(int64(8 * time.Second))
		a, _, err = b.ask("POST", "/p/", "x", xModel, "m", xRequest, "2")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(b.runs("2")).To(BeZero())
	})

	It("believes no figures of upstreams from before", func() {
		s := &sleeper{}
		b := sleeping(s, long())
		b.upstream("u", "engines", func(q *http.Request, _ string, c net.Conn) { reply(c, q, 200, "", "ran") })
		i := b.facts.Instances()[0]
		b.tracker.SetReport(i.Address, placement.LoadReport{Held: i.Held, ReceivedAt: s.now()})
		_, fresh := b.tracker.FreshReport(i.Address)
		Expect(fresh).To(BeTrue())
		s.lost.Store(int64(2 * time.Second))
		_, fresh = b.tracker.FreshReport(i.Address)
		Expect(fresh).To(BeFalse())
	})
})
