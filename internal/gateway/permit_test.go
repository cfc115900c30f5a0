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

var _ = Describe("a request before limited upstreams", func() {
	var (
		b     *testbed
		s     *sleeper
		asked atomic.Int32
	)
	limited := throttle.LimitInfo{State: throttle.Limited, Rate: 2}
	// limit has the stager beside an upstream tell a limit, of which two permits are there.
	limit := func(name string) {
		b.tracker.SetReport(b.facts.Instance(id.Instance(name)).Address, placement.LoadReport{
			ReceivedAt: s.now(), ValidUntil: s.now().Add(time.Hour), Held: []facts.Held{{Model: "m", Revision: 1}},
			Limit: throttle.Announcement{LimitInfo: limited, Incarnation: 1, Permits: 2},
		})
	}
	// answers has questions answered in a way.
	answers := func(permit uint64, answered bool, took time.Duration) {
		b.gateway.load.Permits.Acquire = func(ctx context.Context, _ string, _ id.Incarnation) (uint64, bool) {
			asked.Add(1)
			s.lost.Add(int64(took))
			if !answered {
				<-ctx.Done()
			}
			return permit, answered
		}
	}
	ask := func() *http.Response {
		a, _, err := b.ask("POST", "/p/", "x", xModel, "m", xWait, "6000")
		Expect(err).NotTo(HaveOccurred())
		return a
	}
	BeforeEach(func() {
		s = &sleeper{}
		asked.Store(0)
		b = newTestbedAt(s.now, route(catalog.Unsafe, "engines"))
		b.gateway.load.Permits.ReportLimit = func(string, id.Incarnation, throttle.Rate) {}
		b.gateway.load.Permits.ReportLimitEnd = func(string, id.Incarnation, uint64) {}
		for _, n := range []string{"u", "v", "w", "x"} {
			b.upstream(n, "engines", func(q *http.Request, _ string, c net.Conn) { reply(c, q, 200, "", "ran") })
			limit(n)
		}
	})

	It("goes to one that gives a permit", func() {
		answers(7, true, 0)
		Expect(ask().StatusCode).To(Equal(200))
		Expect(asked.Load()).To(BeEquivalentTo(1))
	})

	It("is refused at once where none has one, after three questions, and told to come back when one is due", func() {
		answers(0, true, 0)
		a := ask()
		Expect(a.StatusCode).To(Equal(503))
		Expect(b.runs("1")).To(BeZero())
		Expect(asked.Load()).To(BeEquivalentTo(mostPermitAsks))
		ms, err := strconv.Atoi(a.Header.Get(xRetry))
		Expect(err).NotTo(HaveOccurred())
		Expect(ms).To(BeNumerically(">=", 300))
		Expect(ms).To(BeNumerically("<=", 2000))
	})

	It("is not sent on silence, nor on a permit that came while the VM was suspended", func() {
		answers(0, false, 0)
		Expect(ask().StatusCode).To(Equal(503))
		answers(7, true, permitLife)
		Expect(ask().StatusCode).To(Equal(503))
		Expect(b.runs("1")).To(BeZero())
	})

	It("is served by one that is not limited where the others give no permit", func() {
		answers(0, true, 0)
		b.tracker.SetReport(b.facts.Instance("w").Address, placement.LoadReport{
			ReceivedAt: s.now(), ValidUntil: s.now().Add(time.Hour), Held: []facts.Held{{Model: "m", Revision: 1}}, Limit: throttle.Announcement{Incarnation: 1, LimitInfo: throttle.LimitInfo{State: throttle.Unlimited}},
		})
		Expect(ask().StatusCode).To(Equal(200))
		Expect(asked.Load()).To(BeNumerically("<=", mostPermitAsks))
		Expect(b.runs("1")).To(Equal(1))
	})
})

var _ = Describe("what answers say of a limit", func() {
	It("is told to the stager beside the upstream: a limit each time, its end with the permit of the request", func() {
		b := newTestbed(route(catalog.Unsafe, "engines"))
		d := testDialect()
		verdict := d.ReadResponse
		d.ReadResponse = func(status int, h http.Header) ResponseMeta {
			v := verdict(status, h)
			v.Limit = throttle.ParseLimit(h.Get("X-Limit"))
			return v
		}
		b.gateway.dialect = d
		text := "2"
		b.upstream("u", "engines", func(q *http.Request, _ string, c net.Conn) { reply(c, q, 200, "X-Limit: "+text+"\r\n", "ran") })
		address := b.facts.Instances()[0].Address
		told := func(w throttle.Announcement) {
			b.tracker.SetReport(address, placement.LoadReport{ReceivedAt: time.Now(), Held: []facts.Held{{Model: "m", Revision: 1}}, Limit: w})
		}
		var named []throttle.Rate
		var ended []uint64
		b.gateway.load.Permits = PermitClient{
			Acquire:        func(context.Context, string, id.Incarnation) (uint64, bool) { return 9, true },
			ReportLimit:    func(_ string, _ id.Incarnation, r throttle.Rate) { named = append(named, r) },
			ReportLimitEnd: func(_ string, _ id.Incarnation, permit uint64) { ended = append(ended, permit) },
		}
		told(throttle.Announcement{Incarnation: 1})
		for range 2 {
			_, _, err := b.ask("POST", "/p/", "x", xModel, "m")
			Expect(err).NotTo(HaveOccurred())
			told(throttle.Announcement{LimitInfo: throttle.LimitInfo{State: throttle.Limited, Rate: 2}, Incarnation: 1, Permits: 2})
		}
		Expect(named).To(Equal([]throttle.Rate{2, 2}))
		text = ""
		_, _, err := b.ask("POST", "/p/", "x", xModel, "m")
		Expect(err).NotTo(HaveOccurred())
		Expect(ended).To(Equal([]uint64{9}))
	})
})

var _ = Describe("a stream that breaks off at one upstream while the other is limited", func() {
	It("goes on there only with a permit", func() {
		b := newTestbed(route(catalog.Streaming, "engines"))
		for _, n := range []string{"u", "v"} {
			b.upstream(n, "engines", func(q *http.Request, _ string, c net.Conn) {
				stream(c, q, xRevision+": 1\r\n", "id: 1\ndata: a\n\n")
				if q.Header.Get(xAfter) != "" {
					_, _ = io.WriteString(c, "0\r\n\r\n")
				}
			})
		}
		i := b.facts.Instance("v")
		b.tracker.SetReport(i.Address, placement.LoadReport{
			ReceivedAt: time.Now().Add(time.Minute), ValidUntil: time.Now().Add(time.Hour), Held: i.Held,
			Limit: throttle.Announcement{LimitInfo: throttle.LimitInfo{State: throttle.Limited, Rate: 0.1}, Incarnation: 1},
		})
		_, _, err := b.ask("POST", "/p/", "x", xModel, "m")
		Expect(err).To(HaveOccurred(), "cut, as nothing else may have it")
		Expect(b.runs("1")).To(Equal(1))
	})
})
