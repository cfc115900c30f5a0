package gateway

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/catalog"
)

var _ = Describe("a graceful shutdown during a long upload", func() {
	const bytes = 2 * maxBufferedBody

	// upload sends a long body whose last byte comes at a time after SIGTERM, and returns the response.
	upload := func(lastByteAt time.Duration) (status int, body string, err error) {
		const within, deadline = 5 * time.Second, 6 * time.Second
		r := route(catalog.Unsafe, "plain")
		r.Timeout = deadline
		b := newTestbed(r)
		b.facts.SetCatalog(catalog.New(8, []*catalog.Route{r}, slices.Collect(maps.Values(b.facts.Catalog().Services)), nil, catalog.Limits{BodyBytes: 4 * maxBufferedBody}))
		b.addUpstream("u", "plain", func(q *http.Request, body string, c net.Conn) {
			reply(c, q, 200, "", fmt.Sprint(len(body)))
		})
		p := startProcess(b)
		p.terminate(within)
		Eventually(p.gateway.isLeaving).Should(BeTrue())
		c, err := net.Dial("tcp", p.address)
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		_, err = fmt.Fprintf(c, "POST /p/ HTTP/1.1\r\nHost: h.example\r\n%s: 1\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
			xRequest, xTimeout, deadline.Milliseconds(), bytes, strings.Repeat("x", bytes-1))
		Expect(err).NotTo(HaveOccurred())
		go func() {
			p.sleepUntil(lastByteAt)
			_, _ = io.WriteString(c, "y")
		}()
		a, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return 0, "", err
		}
		defer a.Body.Close()
		all, err := io.ReadAll(a.Body)
		return a.StatusCode, string(all), err
	}

	It("lets a body arrive that is being sent to an upstream when the gateway stops taking requests", func() {
		status, body, err := upload(acceptPeriod + time.Second/2)
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusOK), body)
		Expect(body).To(Equal(fmt.Sprint(bytes)))
	})

	It("answers a request whose body is still arriving at its end", func() {
		status, body, err := upload(time.Minute)
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(BeElementOf(http.StatusBadGateway, http.StatusServiceUnavailable), body)
	})
})
