package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/catalog"
)

var _ = Describe("a graceful shutdown", func() {
	It("completes requests in flight, refuses later ones as not run, and fails the readiness probe at once", func() {
		b := newTestbed(route(catalog.Unsafe, "plain"))
		b.addUpstream("u", "plain", func(q *http.Request, _ string, c net.Conn) {
			time.Sleep(acceptPeriod + 300*time.Millisecond)
			reply(c, q, 200, "", "whole")
		})
		b.gateway.facts.Catalog().Match("h.example", "/p/").Timeout = 10 * time.Second
		type result struct {
			body string
			err  error
		}
		done := make(chan result, 1)
		go func() {
			_, body, err := b.sendRequest("POST", "/p/", "x")
			done <- result{body: body, err: err}
		}()
		Eventually(func() int { return b.upstreamCount("1") }).Should(Equal(1))
		ctx, stop := context.WithTimeout(context.Background(), 8*time.Second)
		defer stop()
		go b.gateway.Drain(ctx)
		Eventually(b.gateway.NotReady).Should(Equal("leaving"))
		time.Sleep(acceptPeriod + 50*time.Millisecond)
		a, _, err := b.sendRequest("POST", "/p/", "x", xRequest, "2")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(503))
		r := <-done
		Expect(r.err).NotTo(HaveOccurred())
		Expect(r.body).To(Equal("whole"))
	})
})
