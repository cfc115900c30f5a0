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

var _ = Describe("an upload that is too long to buffer, in a graceful shutdown", func() {
	It("is not broken off without an answer when the time for taking requests is over, once it was sent on", func() {
		r := route(catalog.Unsafe, "plain")
		r.Timeout = 6 * time.Second
		p := startProcess(newTestbed(r))
		p.facts.SetCatalog(catalog.New(8, []*catalog.Route{r}, slices.Collect(maps.Values(p.facts.Catalog().Services)), nil, catalog.Limits{BodyBytes: 2 * maxBufferedBody}))
		p.addWorkingUpstream("v")
		p.terminate(5 * time.Second)
		p.sleepUntil(acceptPeriod - time.Second)
		c, err := net.Dial("tcp", p.address)
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		_, _ = fmt.Fprintf(c, "POST /p/ HTTP/1.1\r\nHost: h.example\r\n%s: 1\r\nContent-Length: %d\r\n\r\n%s", xRequest, maxBufferedBody+1, strings.Repeat("x", maxBufferedBody))
		p.sleepUntil(acceptPeriod + 200*time.Millisecond)
		_, _ = io.WriteString(c, "x")
		a, err := http.ReadResponse(bufio.NewReader(c), nil)
		Expect(err).NotTo(HaveOccurred())
		defer a.Body.Close()
		Expect(a.StatusCode).To(Equal(http.StatusOK))
	})
})
