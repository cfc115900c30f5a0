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

	"github.com/springrail/springrail/internal/catalog"
)

var _ = Describe("a request whose body comes later than its route's timeout", func() {
	const timeout, callerTimeout = 200 * time.Millisecond, 5 * time.Second

	DescribeTable("is not refused for good, as its caller may send it again",
		func(framing, start string) {
			r := route(catalog.Unsafe, "plain")
			r.Timeout = timeout
			p := startProcess(newTestbed(r))
			p.addWorkingUpstream("u")
			c, err := net.Dial("tcp", p.address)
			Expect(err).NotTo(HaveOccurred())
			defer c.Close()
			sentAt := time.Now()
			_, err = fmt.Fprintf(c, "POST /p/ HTTP/1.1\r\nHost: h.example\r\n%s: 1\r\n%s: %d\r\n%s\r\n\r\n%s", xRequest, xTimeout, callerTimeout.Milliseconds(), framing, start)
			Expect(err).NotTo(HaveOccurred())
			a, body, err := readAnswer(c)
			Expect(err).NotTo(HaveOccurred())
			Expect(a.StatusCode).To(Equal(http.StatusRequestTimeout), body)
			Expect(a.Close).To(BeTrue(), "the rest of the body must not be read as a request")
			Expect(time.Since(sentAt)).To(BeNumerically("~", timeout, timeout))
			_, _ = io.WriteString(c, "y")
			Consistently(func() int { return p.upstreamCount("1") }).WithTimeout(timeout).Should(BeZero())
		},
		Entry("of a stated length", "Content-Length: 2", "x"),
		Entry("of a stated length, with nothing of it", "Content-Length: 2", ""),
		Entry("chunked", "Transfer-Encoding: chunked", "1\r\nx\r\n"),
		Entry("of a stated length, of which most has come", "Content-Length: 1000", strings.Repeat("x", 999)),
	)
})
