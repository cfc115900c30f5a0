package gateway

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/placement"
	"github.com/springrail/springrail/internal/upconn"
)

var _ = Describe("an upstream whose response states that it is draining", func() {
	var b *testbed
	leavingHeader := xLeaving + ": 1\r\n"
	ask := func(request string) int {
		a, _, err := b.sendRequest("POST", "/p/", "x", xModel, "m", xTimeout, "6000", xRequest, request)
		Expect(err).NotTo(HaveOccurred())
		return a.StatusCode
	}
	BeforeEach(func() {
		b = newTestbed(route(catalog.Unsafe, "engines"))
	})

	DescribeTable("gets no more requests, and callers are refused if it is the last one", func(status int, notRunHeader string) {
		b.addUpstream("u", "engines", func(q *http.Request, _ string, c net.Conn) { reply(c, q, status, leavingHeader+notRunHeader, "ran") })
		ask("1")
		Expect(ask("2")).To(Equal(503))
		Expect(b.upstreamCount("2")).To(BeZero())
	},
		Entry("in a successful response", 200, ""), Entry("in a failed response", 500, ""),
		Entry("in a refusal", 503, xNotRun+": 1\r\n"))

	It("gets no request for which it was chosen before and connected to after that", func() {
		for _, n := range []string{"u", "v"} {
			b.addUpstream(n, "engines", func(q *http.Request, _ string, c net.Conn) { reply(c, q, 200, "", "ran") })
		}
		var first string
		connect := func(ctx context.Context, network, address string) (net.Conn, error) {
			if first == "" {
				first = address
				for _, i := range b.facts.Instances() {
					if i.Address == address {
						b.facts.MarkLeaving(i.ID, i.Born)
					}
				}
			}
			return (&net.Dialer{}).DialContext(ctx, network, address)
		}
		b.gateway.connections = upconn.New(connect, time.Now, b.gateway.dialect.ResponseMatches)
		Expect(ask("1")).To(Equal(200))
		Expect(b.upstreamCount("1")).To(Equal(1))
		Expect(b.gateway.metrics.vars.Get("held_for_leaving").String()).To(Equal("1"))
	})

	It("gets no request if the stager on its VM reports that", func() {
		b.addUpstream("u", "engines", func(q *http.Request, _ string, c net.Conn) { reply(c, q, 200, "", "ran") })
		held := []facts.Held{{Model: "m", Revision: 1}}
		b.tracker.SetReport(b.facts.Instances()[0].Address, placement.LoadReport{ReceivedAt: time.Now(), Held: held, Leaving: true})
		Expect(ask("1")).To(Equal(503))
		b.tracker.SetReport(b.facts.Instances()[0].Address, placement.LoadReport{ReceivedAt: time.Now(), Held: held})
		Expect(ask("2")).To(Equal(200))
	})
})

var _ = Describe("an upstream that asks for a pause", func() {
	var (
		b *testbed
		s *suspendableClock
	)
	asksForPause := func(ms string) func(q *http.Request, _ string, c net.Conn) {
		return func(q *http.Request, _ string, c net.Conn) {
			reply(c, q, 503, xNotRun+": 1\r\n"+xRest+": "+ms+"\r\n", "")
		}
	}
	succeeds := func(q *http.Request, _ string, c net.Conn) { reply(c, q, 200, "", "ran") }
	ask := func(request string) *http.Response {
		a, _, err := b.sendRequest("POST", "/p/", "x", xModel, "m", xTimeout, "60000", xRequest, request)
		Expect(err).NotTo(HaveOccurred())
		return a
	}
	retryAfter := func(a *http.Response) int {
		ms, err := strconv.Atoi(a.Header.Get(xRetry))
		Expect(err).NotTo(HaveOccurred())
		return ms
	}
	BeforeEach(func() {
		s = &suspendableClock{}
		b = newTestbedAt(s.now, route(catalog.Unsafe, "engines"))
	})

	It("gets no request until the pause ends, and callers are refused until then if it is the only one", func() {
		b.addUpstream("u", "engines", asksForPause("3000"))
		a := ask("1")
		Expect(a.StatusCode).To(Equal(503))
		Expect(retryAfter(a)).To(BeNumerically(">", 2900))
		s.suspension.Add(int64(2 * time.Second))
		a = ask("2")
		Expect(a.StatusCode).To(Equal(503))
		Expect(b.upstreamCount("2")).To(BeZero())
		Expect(retryAfter(a)).To(BeNumerically(">", 900))
		s.suspension.Add(int64(time.Second))
		ask("3")
		Expect(b.upstreamCount("3")).To(Equal(1))
	})

	It("is replaced by the others, so that callers may retry soon", func() {
		b.addUpstream("u", "engines", asksForPause("3000"))
		b.addUpstream("v", "engines", succeeds)
		for n := range 20 {
			request := strconv.Itoa(n + 1)
			Expect(ask(request).StatusCode).To(Equal(200))
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		refused := 0
		for _, at := range b.arrivals {
			if slices.Contains(at, "u") {
				refused++
			}
		}
		Expect(refused).To(BeNumerically("<=", 1))
	})

	It("gets no request either for which it was chosen before and connected to after that", func() {
		b.addUpstream("u", "engines", succeeds)
		b.addUpstream("v", "engines", succeeds)
		paused := false
		connect := func(ctx context.Context, network, address string) (net.Conn, error) {
			for _, i := range b.facts.Instances() {
				if i.Address == address && !paused {
					paused = true
					f := b.tracker.Begin(address, 0)
					f.RecordRest(i.ID, time.Second)
					f.End()
				}
			}
			return (&net.Dialer{}).DialContext(ctx, network, address)
		}
		b.gateway.connections = upconn.New(connect, time.Now, b.gateway.dialect.ResponseMatches)
		Expect(ask("1").StatusCode).To(Equal(200))
		Expect(b.upstreamCount("1")).To(Equal(1))
		Expect(b.gateway.metrics.vars.Get("held_for_resting").String()).To(Equal("1"))
	})
})
