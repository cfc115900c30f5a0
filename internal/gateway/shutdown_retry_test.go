package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/catalog"
)

var _ = Describe("a graceful shutdown that has stopped taking requests, with most of its time left", func() {
	newLeavingTestbed := func(k catalog.Kind, play func(q *http.Request, body string, c net.Conn)) *testbed {
		r := route(k, "plain")
		r.Timeout = time.Minute
		b := newTestbed(r)
		b.addUpstream("u", "plain", play)
		b.addUpstream("v", "plain", play)
		ctx, stop := context.WithTimeout(context.Background(), 30*time.Second)
		DeferCleanup(stop)
		go b.gateway.Drain(ctx)
		Eventually(b.gateway.isLeaving).Should(BeTrue())
		return b
	}

	It("repeats a request of a plain service whose upstream breaks off", func() {
		var first atomic.Bool
		b := newLeavingTestbed(catalog.Safe, func(q *http.Request, _ string, c net.Conn) {
			if !first.Swap(true) {
				time.Sleep(acceptPeriod + time.Second)
				c.Close()
				return
			}
			reply(c, q, 200, "", "whole")
		})
		a, body, err := b.sendRequest("GET", "/p/", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(http.StatusOK), body)
	})

	It("continues a stream of a plain service whose upstream breaks off", func() {
		b := newLeavingTestbed(catalog.Streaming, func(q *http.Request, _ string, c net.Conn) {
			if q.Header.Get(xLastEventID) != "" {
				stream(c, q, "", "id: 4\ndata: a\n\n", "id: 5\ndata: b\n\n")
				_, _ = io.WriteString(c, "0\r\n\r\n")
				return
			}
			stream(c, q, "", "id: 0\ndata: a\n\n")
			for i := range 5 {
				time.Sleep(acceptPeriod / 4)
				e := fmt.Sprintf("id: %d\ndata: a\n\n", i)
				_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e)
			}
			c.Close()
		})
		_, body, err := b.sendRequest("POST", "/p/", "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(HaveSuffix("id: 5\ndata: b\n\n"))
	})
})
