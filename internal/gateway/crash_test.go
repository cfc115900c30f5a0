package gateway

import (
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/phuslu/log"

	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/quarantine"
)

var _ = Describe("the line of a request under which an upstream broke off", func() {
	DescribeTable("tells it from others across its repeats, on which start of which upstream, and how far the answer had come",
		func(broken string, play func(q *http.Request, body string, c net.Conn)) {
			b := newBackstage(route(catalog.Streaming, "engines"))
			b.upstream("u", "engines", play)
			lines := &pages{}
			b.gateway.log = &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: lines}}
			_, _, _ = b.ask("POST", "/p/", "x", xModel, "m", "X-Hang-Up", "1")
			Eventually(lines.String).Should(And(
				ContainSubstring(`"fingerprint":"`+quarantine.Of("POST", "/p/", "", []byte("x")).String()+`"`),
				ContainSubstring(`"broken":"`+broken+`","broken_instance":"u"`),
			))
		},
		Entry("before its head", noHead, func(*http.Request, string, net.Conn) {}),
		Entry("after its head", headOnly, func(q *http.Request, _ string, c net.Conn) { stream(c, q, "") }),
		Entry("in mid-stream", inBody, func(q *http.Request, _ string, c net.Conn) { stream(c, q, "", "id: 1\ndata: a\n\n") }),
	)

	It("has no fingerprint where the request was refused before its body was read", func() {
		b := newBackstage(route(catalog.Streaming, "engines"))
		lines := &pages{}
		b.gateway.log = &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: lines}}
		_, _, _ = b.ask("POST", "/elsewhere/", "x")
		Eventually(lines.String).Should(ContainSubstring("no route"))
		Expect(lines.String()).NotTo(ContainSubstring("fingerprint"))
	})
})
