package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/phuslu/log"

	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/placement"
)

var _ = Describe("the line of a request whose answer ended early", func() {
	event := "id: 1\ndata: a\n\n"
	silent := func(q *http.Request, _ string, c net.Conn) {
		stream(c, q, "", event)
		_, _ = c.Read(make([]byte, 1))
	}
	var (
		b     *testbed
		r     *catalog.Route
		lines *pages
	)
	BeforeEach(func() {
		r = route(catalog.Streaming, "engines")
		r.MaxAttempts = 1
		b = newTestbed(r)
		lines = &pages{}
		b.gateway.log = &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: lines}}
	})
	ended := func(reason endReason) {
		GinkgoHelper()
		Eventually(lines.String).Should(ContainSubstring(
			fmt.Sprintf(`"ended":[{"reason":%q,"instance":"u","progress":"in body","events":1,"silent_ms":`, reason)))
		Expect(b.gateway.tally.vars.Get("attempt_ended_" + string(reason)).String()).To(Equal("1"))
	}

	It("says that the upstream broke off", func() {
		b.upstream("u", "engines", func(q *http.Request, _ string, c net.Conn) { stream(c, q, "", event) })
		_, _, _ = b.ask("POST", "/p/", "x", xModel, "m", "X-Hang-Up", "1")
		ended(endBrokeOff)
	})

	It("says that the upstream was about to load weights", func() {
		b.upstream("u", "engines", func(q *http.Request, _ string, c net.Conn) {
			stream(c, q, "", event)
			b.tracker.SetReport(b.facts.Instance("u").Address, placement.LoadReport{Closed: true, ReceivedAt: time.Now()})
		})
		_, _, _ = b.ask("POST", "/p/", "x", xModel, "m", "X-Hang-Up", "1")
		ended(endLoading)
	})

	It("says that the route's timeout passed", func() {
		r.Timeout = 100 * time.Millisecond
		b.upstream("u", "engines", silent)
		_, _, _ = b.ask("POST", "/p/", "x", xModel, "m")
		ended(endRouteTimeout)
	})

	It("says that the caller's deadline passed", func() {
		b.upstream("u", "engines", silent)
		_, _, _ = b.ask("POST", "/p/", "x", xModel, "m", xWait, "100")
		ended(endDeadline)
	})

	It("says that the caller left", func() {
		b.upstream("u", "engines", silent)
		c, err := net.Dial("tcp", strings.TrimPrefix(b.server.URL, "http://"))
		Expect(err).NotTo(HaveOccurred())
		_, err = io.WriteString(c, "POST /p/ HTTP/1.1\r\nHost: h.example\r\n"+xRequest+": 1\r\n"+xModel+": m\r\nContent-Length: 1\r\n\r\nx")
		Expect(err).NotTo(HaveOccurred())
		_, err = c.Read(make([]byte, 1))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Close()).To(Succeed())
		ended(endCallerLeft)
	})

	It("names both attempts of a stream that breaks off twice", func() {
		r.MaxAttempts = 2
		breaks := func(q *http.Request, _ string, c net.Conn) { stream(c, q, xRevision+": 1\r\n", event, "id: 2\nda") }
		b.upstream("u", "engines", breaks)
		b.upstream("v", "engines", breaks)
		_, _, _ = b.ask("POST", "/p/", "x", xModel, "m", "X-Hang-Up", "1")
		Eventually(lines.String).Should(And(
			MatchRegexp(`"ended":\[\{"reason":"upstream_broke_off","instance":"[uv]","progress":"in body","events":1,`),
			MatchRegexp(`\},\{"reason":"upstream_broke_off","instance":"[uv]","progress":"in body","events":0,`),
		))
	})
})
