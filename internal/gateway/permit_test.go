package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/placement"
	"github.com/springrail/springrail/internal/throttle"
)

var _ = Describe("a request to rate-limited upstreams", func() {
	var (
		b              *testbed
		s              *suspendableClock
		permitRequests atomic.Int32
	)
	limited := throttle.LimitInfo{State: throttle.Limited, Rate: 2}
	// reportLimit makes the stager on the upstream's VM report a rate limit with two permits available.
	reportLimit := func(name string) {
		b.tracker.SetReport(b.facts.Instance(id.Instance(name)).Address, placement.LoadReport{
			ReceivedAt: s.now(), ValidUntil: s.now().Add(time.Hour), Held: []facts.Held{{Model: "m", Revision: 1}},
			Limit: throttle.Announcement{LimitInfo: limited, Incarnation: 1, Permits: 2},
		})
	}
	// setPermitReply sets the reply to permit requests and the time that it takes.
	setPermitReply := func(permit uint64, answered bool, took time.Duration) {
		b.gateway.loadSources.Permits.Acquire = func(ctx context.Context, _ string, _ id.Incarnation) (uint64, bool) {
			permitRequests.Add(1)
			s.suspension.Add(int64(took))
			if !answered {
				<-ctx.Done()
			}
			return permit, answered
		}
	}
	ask := func() *http.Response {
		a, _, err := b.sendRequest("POST", "/p/", "x", xModel, "m", xTimeout, "6000")
		Expect(err).NotTo(HaveOccurred())
		return a
	}
	BeforeEach(func() {
		s = &suspendableClock{}
		permitRequests.Store(0)
		b = newTestbedAt(s.now, route(catalog.Unsafe, "engines"))
		b.gateway.loadSources.Permits.ReportLimit = func(string, id.Incarnation, throttle.Rate) {}
		b.gateway.loadSources.Permits.ReportLimitEnd = func(string, id.Incarnation, uint64) {}
		for _, n := range []string{"u", "v", "w", "x"} {
			b.addUpstream(n, "engines", func(q *http.Request, _ string, c net.Conn) { reply(c, q, 200, "", "ran") })
			reportLimit(n)
		}
	})

	It("is sent to one that grants a permit", func() {
		setPermitReply(7, true, 0)
		Expect(ask().StatusCode).To(Equal(200))
		Expect(permitRequests.Load()).To(BeEquivalentTo(1))
	})

	It("is refused at once after three requests for a permit without success, with the time of the next permit as retry time", func() {
		setPermitReply(0, true, 0)
		a := ask()
		Expect(a.StatusCode).To(Equal(503))
		Expect(b.upstreamCount("1")).To(BeZero())
		Expect(permitRequests.Load()).To(BeEquivalentTo(maxPermitRequests))
		ms, err := strconv.Atoi(a.Header.Get(xRetry))
		Expect(err).NotTo(HaveOccurred())
		Expect(ms).To(BeNumerically(">=", 300))
		Expect(ms).To(BeNumerically("<=", 2000))
	})

	// Three silent stagers, asked one after another, delayed the refusal by 450 ms.
	It("is refused soon if no stager replies", func() {
		setPermitReply(0, false, 0)
		start := time.Now()
		Expect(ask().StatusCode).To(Equal(503))
		Expect(time.Since(start)).To(BeNumerically("<", permitSearchTimeout+200*time.Millisecond))
		Expect(permitRequests.Load()).To(BeNumerically("<=", 2))
	})

	It("is not sent without a reply, nor with a permit that arrived while the VM was suspended", func() {
		setPermitReply(0, false, 0)
		Expect(ask().StatusCode).To(Equal(503))
		setPermitReply(7, true, permitLifetime)
		Expect(ask().StatusCode).To(Equal(503))
		Expect(b.upstreamCount("1")).To(BeZero())
	})

	It("is served by one that is not rate-limited if the others grant no permit", func() {
		setPermitReply(0, true, 0)
		b.tracker.SetReport(b.facts.Instance("w").Address, placement.LoadReport{
			ReceivedAt: s.now(), ValidUntil: s.now().Add(time.Hour), Held: []facts.Held{{Model: "m", Revision: 1}}, Limit: throttle.Announcement{Incarnation: 1, LimitInfo: throttle.LimitInfo{State: throttle.Unlimited}},
		})
		Expect(ask().StatusCode).To(Equal(200))
		Expect(permitRequests.Load()).To(BeNumerically("<=", maxPermitRequests))
		Expect(b.upstreamCount("1")).To(Equal(1))
	})
})

var _ = Describe("a rate limit that responses state", func() {
	It("is reported to the stager on the upstream's VM: each time if there is one, and its end with the permit of the request", func() {
		b := newTestbed(route(catalog.Unsafe, "engines"))
		d := testDialect()
		readResponse := d.ReadResponse
		d.ReadResponse = func(status int, h http.Header) ResponseMeta {
			v := readResponse(status, h)
			v.Limit = throttle.ParseLimit(h.Get("X-Limit"))
			return v
		}
		b.gateway.dialect = d
		limitHeader := "2"
		b.addUpstream("u", "engines", func(q *http.Request, _ string, c net.Conn) { reply(c, q, 200, "X-Limit: "+limitHeader+"\r\n", "ran") })
		address := b.facts.Instances()[0].Address
		report := func(w throttle.Announcement) {
			b.tracker.SetReport(address, placement.LoadReport{ReceivedAt: time.Now(), Held: []facts.Held{{Model: "m", Revision: 1}}, Limit: w})
		}
		var reportedLimits []throttle.Rate
		var endedPermits []uint64
		b.gateway.loadSources.Permits = PermitClient{
			Acquire:        func(context.Context, string, id.Incarnation) (uint64, bool) { return 9, true },
			ReportLimit:    func(_ string, _ id.Incarnation, r throttle.Rate) { reportedLimits = append(reportedLimits, r) },
			ReportLimitEnd: func(_ string, _ id.Incarnation, permit uint64) { endedPermits = append(endedPermits, permit) },
		}
		report(throttle.Announcement{Incarnation: 1})
		for range 2 {
			_, _, err := b.sendRequest("POST", "/p/", "x", xModel, "m")
			Expect(err).NotTo(HaveOccurred())
			report(throttle.Announcement{LimitInfo: throttle.LimitInfo{State: throttle.Limited, Rate: 2}, Incarnation: 1, Permits: 2})
		}
		Expect(reportedLimits).To(Equal([]throttle.Rate{2, 2}))
		limitHeader = ""
		_, _, err := b.sendRequest("POST", "/p/", "x", xModel, "m")
		Expect(err).NotTo(HaveOccurred())
		Expect(endedPermits).To(Equal([]uint64{9}))
	})
})

var _ = Describe("a stream that breaks off at one upstream while the other is rate-limited", func() {
	It("continues there only with a permit", func() {
		b := newTestbed(route(catalog.Streaming, "engines"))
		for _, n := range []string{"u", "v"} {
			b.addUpstream(n, "engines", func(q *http.Request, _ string, c net.Conn) {
				stream(c, q, xRevision+": 1\r\n", "id: 1\ndata: a\n\n")
				if q.Header.Get(xLastEventID) != "" {
					_, _ = io.WriteString(c, "0\r\n\r\n")
				}
			})
		}
		i := b.facts.Instance("v")
		b.tracker.SetReport(i.Address, placement.LoadReport{
			ReceivedAt: time.Now().Add(time.Minute), ValidUntil: time.Now().Add(time.Hour), Held: i.Held,
			Limit: throttle.Announcement{LimitInfo: throttle.LimitInfo{State: throttle.Limited, Rate: 0.1}, Incarnation: 1},
		})
		_, _, err := b.sendRequest("POST", "/p/", "x", xModel, "m")
		Expect(err).To(HaveOccurred(), "truncated, as no other upstream may continue it")
		Expect(b.upstreamCount("1")).To(Equal(1))
	})
})
