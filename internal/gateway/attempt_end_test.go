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

var _ = Describe("the log line of a request whose response ended early", func() {
	event := "id: 1\ndata: a\n\n"
	silent := func(q *http.Request, _ string, c net.Conn) {
		stream(c, q, "", event)
		_, _ = c.Read(make([]byte, 1))
	}
	var (
		b     *testbed
		r     *catalog.Route
		lines *logBuffer
	)
	BeforeEach(func() {
		r = route(catalog.Streaming, "engines")
		r.MaxAttempts = 1
		b = newTestbed(r)
		lines = &logBuffer{}
		b.gateway.log = &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: lines}}
	})
	expectEnd := func(reason endReason) {
		GinkgoHelper()
		Eventually(lines.String).Should(ContainSubstring(
			fmt.Sprintf(`"ended":[{"reason":%q,"instance":"u","progress":"in body","events":1,"silent_ms":`, reason)))
		Expect(b.gateway.metrics.vars.Get("attempt_ended_" + string(reason)).String()).To(Equal("1"))
	}

	It("states that the upstream broke off", func() {
		b.addUpstream("u", "engines", func(q *http.Request, _ string, c net.Conn) { stream(c, q, "", event) })
		_, _, _ = b.sendRequest("POST", "/p/", "x", xModel, "m", "X-Hang-Up", "1")
		expectEnd(endBrokeOff)
	})

	It("states that the upstream was about to load weights", func() {
		b.addUpstream("u", "engines", func(q *http.Request, _ string, c net.Conn) {
			stream(c, q, "", event)
			b.tracker.SetReport(b.facts.Instance("u").Address, placement.LoadReport{Closed: true, ReceivedAt: time.Now()})
		})
		_, _, _ = b.sendRequest("POST", "/p/", "x", xModel, "m", "X-Hang-Up", "1")
		expectEnd(endLoading)
	})

	It("states that the route timed out", func() {
		r.Timeout = 100 * time.Millisecond
		b.addUpstream("u", "engines", silent)
		_, _, _ = b.sendRequest("POST", "/p/", "x", xModel, "m")
		expectEnd(endRouteTimeout)
	})

	It("states that the caller's deadline passed", func() {
		b.addUpstream("u", "engines", silent)
		_, _, _ = b.sendRequest("POST", "/p/", "x", xModel, "m", xTimeout, "100")
		expectEnd(endCallerDeadline)
	})

	It("states that the caller disconnected", func() {
		b.addUpstream("u", "engines", silent)
		c, err := net.Dial("tcp", strings.TrimPrefix(b.server.URL, "http://"))
		Expect(err).NotTo(HaveOccurred())
		_, err = io.WriteString(c, "POST /p/ HTTP/1.1\r\nHost: h.example\r\n"+xRequest+": 1\r\n"+xModel+": m\r\nContent-Length: 1\r\n\r\nx")
		Expect(err).NotTo(HaveOccurred())
		_, err = c.Read(make([]byte, 1))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Close()).To(Succeed())
		expectEnd(endCallerLeft)
	})

	It("lists both attempts of a stream that breaks off twice", func() {
		r.MaxAttempts = 2
		breaks := func(q *http.Request, _ string, c net.Conn) { stream(c, q, xRevision+": 1\r\n", event, "id: 2\nda") }
		b.addUpstream("u", "engines", breaks)
		b.addUpstream("v", "engines", breaks)
		_, _, _ = b.sendRequest("POST", "/p/", "x", xModel, "m", "X-Hang-Up", "1")
		Eventually(lines.String).Should(And(
			MatchRegexp(`"ended":\[\{"reason":"upstream_broke_off","instance":"[uv]","progress":"in body","events":1,`),
			MatchRegexp(`\},\{"reason":"upstream_broke_off","instance":"[uv]","progress":"in body","events":0,`),
		))
	})
})
