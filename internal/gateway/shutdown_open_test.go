package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/catalog"
)

var _ = Describe("a connection that is open when a graceful shutdown closes the listener", func() {
	It("does not end in silence once it has brought a complete request", func() {
		p := startProcess(newTestbed(route(catalog.Unsafe, "plain")))
		p.addWorkingUpstream("u")
		c, err := net.Dial("tcp", p.address)
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		p.terminate(5 * time.Second)
		p.sleepUntil(acceptPeriod - 100*time.Millisecond)
		_, _ = fmt.Fprintf(c, "POST /p/ HTTP/1.1\r\nHost: h.example\r\n%s: 1\r\n", xRequest)
		p.sleepUntil(acceptPeriod + 100*time.Millisecond)
		_, _ = io.WriteString(c, "Content-Length: 1\r\n\r\nx")
		a, err := http.ReadResponse(bufio.NewReader(c), nil)
		Expect(err).NotTo(HaveOccurred())
		defer a.Body.Close()
		Expect(a.StatusCode).To(BeElementOf(200, 503))
	})
})
