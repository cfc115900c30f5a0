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

var _ = Describe("an upstream whose answer says that it leaves", func() {
	var b *testbed
	extra := xLeaving + ": 1\r\n"
	ask := func(request string) int {
		a, _, err := b.ask("POST", "/p/", "x", xModel, "m", xWait, "6000", xRequest, request)
		Expect(err).NotTo(HaveOccurred())
		return a.StatusCode
	}
	BeforeEach(func() {
		b = newTestbed(route(catalog.Unsafe, "engines"))
	})

	DescribeTable("gets no request more, and callers are refused where it is the last one", func(status int, more string) {
		b.upstream("u", "engines", func(q *http.Request, _ string, c net.Conn) { reply(c, q, status, extra+more, "ran") })
		ask("1")
		Expect(ask("2")).To(Equal(503))
		Expect(b.runs("2")).To(BeZero())
	},
		Entry("in an answer of success", 200, ""), Entry("in a failure", 500, ""),
		Entry("as it turns a request away", 503, xNotRun+": 1\r\n"))

	It("gets no request for which it was chosen before and whose connection comes after", func() {
		for _, n := range []string{"u", "v"} {
			b.upstream(n, "engines", func(q *http.Request, _ string, c net.Conn) { reply(c, q, 200, "", "ran") })
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
		b.gateway.pool = upconn.New(connect, time.Now, b.gateway.dialect.ResponseMatches)
		Expect(ask("1")).To(Equal(200))
		Expect(b.runs("1")).To(Equal(1))
		Expect(b.gateway.tally.vars.Get("held_for_leaving").String()).To(Equal("1"))
	})

	It("gets no request where the process beside it says so", func() {
		b.upstream("u", "engines", func(q *http.Request, _ string, c net.Conn) { reply(c, q, 200, "", "ran") })
		held := []facts.Held{{Model: "m", Revision: 1}}
		b.tracker.SetReport(b.facts.Instances()[0].Address, placement.LoadReport{ReceivedAt: time.Now(), Held: held, Leaving: true})
		Expect(ask("1")).To(Equal(503))
		b.tracker.SetReport(b.facts.Instances()[0].Address, placement.LoadReport{ReceivedAt: time.Now(), Held: held})
		Expect(ask("2")).To(Equal(200))
	})
})

var _ = Describe("an upstream that asks for rest", func() {
	var (
		b *testbed
		s *sleeper
	)
	rests := func(ms string) func(q *http.Request, _ string, c net.Conn) {
		return func(q *http.Request, _ string, c net.Conn) {
			reply(c, q, 503, xNotRun+": 1\r\n"+xRest+": "+ms+"\r\n", "")
		}
	}
	serves := func(q *http.Request, _ string, c net.Conn) { reply(c, q, 200, "", "ran") }
	ask := func(request string) *http.Response {
		a, _, err := b.ask("POST", "/p/", "x", xModel, "m", xWait, "60000", xRequest, request)
		Expect(err).NotTo(HaveOccurred())
		return a
	}
	retry := func(a *http.Response) int {
		ms, err := strconv.Atoi(a.Header.Get(xRetry))
		Expect(err).NotTo(HaveOccurred())
		return ms
	}
	BeforeEach(func() {
		s = &sleeper{}
		b = newTestbedAt(s.now, route(catalog.Unsafe, "engines"))
	})

	It("gets no request until then, and callers are refused until then where it is the only one", func() {
		b.upstream("u", "engines", rests("3000"))
		a := ask("1")
		Expect(a.StatusCode).To(Equal(503))
		Expect(retry(a)).To(BeNumerically(">", 2900))
		s.lost.Add(int64(2 * time.Second))
		a = ask("2")
		Expect(a.StatusCode).To(Equal(503))
		Expect(b.runs("2")).To(BeZero())
		Expect(retry(a)).To(BeNumerically(">", 900))
		s.lost.Add(int64(time.Second))
		ask("3")
		Expect(b.runs("3")).To(Equal(1))
	})

	It("leaves the requests to the others, at which their callers may come back soon", func() {
		b.upstream("u", "engines", rests("3000"))
		b.upstream("v", "engines", serves)
		for n := range 20 {
			request := strconv.Itoa(n + 1)
			Expect(ask(request).StatusCode).To(Equal(200))
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		turned := 0
		for _, at := range b.arrived {
			if slices.Contains(at, "u") {
				turned++
			}
		}
		Expect(turned).To(BeNumerically("<=", 1))
	})

	It("is left alone also by a request for which it was chosen before and whose connection comes after", func() {
		b.upstream("u", "engines", serves)
		b.upstream("v", "engines", serves)
		asked := false
		connect := func(ctx context.Context, network, address string) (net.Conn, error) {
			for _, i := range b.facts.Instances() {
				if i.Address == address && !asked {
					asked = true
					f := b.tracker.Begin(address, 0)
					f.RecordRest(i.ID, time.Second)
					f.End()
				}
			}
			return (&net.Dialer{}).DialContext(ctx, network, address)
		}
		b.gateway.pool = upconn.New(connect, time.Now, b.gateway.dialect.ResponseMatches)
		Expect(ask("1").StatusCode).To(Equal(200))
		Expect(b.runs("1")).To(Equal(1))
		Expect(b.gateway.tally.vars.Get("held_for_resting").String()).To(Equal("1"))
	})
})
