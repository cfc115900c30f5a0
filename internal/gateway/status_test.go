package gateway

import (
	"fmt"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/id"
)

var _ = Describe("an answer with an invalid status", func() {
	const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	// invalid writes an answer whose body has the form of a sealed one.
	invalid := func(c net.Conn, q *http.Request, status, extra string) {
		const event = "id: 9\ndata: safe\n\n"
		body := fmt.Sprintf("HTTP/1.1 200 x\r\n%s: %s\r\nX-Seal: s\r\n%s: 1\r\nContent-Length: %d\r\n\r\n%s",
			xRequest, q.Header.Get(xRequest), xRevision, len(event), event)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %s x\r\n%s: %s\r\nX-Seal: s\r\n%sContent-Length: %d\r\n\r\n%s", status, xRequest, q.Header.Get(xRequest), extra, len(body), body)
	}
	statuses := []string{"000", "001", "099", "101", "199", "600", "999"}

	// Guards against an invalid status or its body that reaches the caller, and against callers who wait for another answer.
	DescribeTable("is reported as failed at once if no other upstream may run the request", func(kind catalog.Kind, pool id.Pool, extra string) {
		for i, status := range statuses {
			b := newTestbed(route(kind, pool))
			b.addUpstream("u", pool, func(q *http.Request, _ string, c net.Conn) { invalid(c, q, status, extra) })
			start := time.Now()
			a, body, err := b.sendRequest("POST", "/p/", "x", xModel, "m", xRequest, fmt.Sprint(i))
			Expect(err).NotTo(HaveOccurred())
			Expect(a.StatusCode).To(Equal(http.StatusBadGateway), status)
			Expect(a.Header.Get("X-Seal")).To(BeEmpty())
			Expect(body).NotTo(ContainSubstring("safe"))
			Expect(time.Since(start)).To(BeNumerically("<", time.Second))
			Expect(b.upstreamCount(fmt.Sprint(i))).To(Equal(1))
		}
	},
		Entry("an unsafe request", catalog.Unsafe, id.Pool("plain"), ""),
		Entry("an unsafe request, with the statement that it was not run", catalog.Unsafe, id.Pool("plain"), xNotRun+": 1\r\n"),
		Entry("a safe request without another upstream", catalog.Safe, id.Pool("plain"), ""),
		Entry("a stream without another upstream", catalog.Streaming, id.Pool("engines"), ""),
	)

	// Guards against a request that is given up although another upstream would answer it.
	It("makes another upstream run a request that may be repeated", func() {
		for i, status := range statuses {
			b := newTestbed(route(catalog.Safe, "plain"))
			for _, name := range []string{"u", "v"} {
				b.addUpstream(name, "plain", func(q *http.Request, _ string, c net.Conn) {
					if b.upstreamCount(q.Header.Get(xRequest)) > 1 {
						reply(c, q, 200, "", "sound")
						return
					}
					invalid(c, q, status, "")
				})
			}
			a, body, err := b.sendRequest("POST", "/p/", "x", xRequest, fmt.Sprint(i))
			Expect(err).NotTo(HaveOccurred())
			Expect(fmt.Sprint(a.StatusCode, body)).To(Equal("200sound"), status)
		}
	})

	// Guards against an invalid status in a stream whose header the caller already has.
	It("is not taken for the rest of a stream, which a third upstream continues", func() {
		r := route(catalog.Streaming, "engines")
		r.MaxAttempts = 3
		b := newTestbed(r)
		for _, name := range []string{"u", "v", "w"} {
			b.addUpstream(name, "engines", func(q *http.Request, _ string, c net.Conn) {
				switch b.upstreamCount(q.Header.Get(xRequest)) {
				case 1:
					stream(c, q, xRevision+": 1\r\n", events)
					_ = c.Close()
				case 2:
					invalid(c, q, "000", xRevision+": 1\r\n")
				default:
					stream(c, q, xRevision+": 1\r\n", thirdEvent)
					_, _ = c.Write([]byte("0\r\n\r\n"))
				}
			})
		}
		a, body, err := b.sendRequest("POST", "/p/", "x", xModel, "m")
		Expect(err).NotTo(HaveOccurred())
		Expect(fmt.Sprint(a.StatusCode, body)).To(Equal("200" + events + thirdEvent))
	})

	// Guards against a hedged request that is won by an invalid answer.
	It("does not win against a silent upstream whose stream goes on later", func() {
		r := route(catalog.Streaming, "engines")
		r.Timeout = 10 * time.Second
		b := newTestbed(r)
		for _, name := range []string{"u", "v"} {
			b.addUpstream(name, "engines", func(q *http.Request, _ string, c net.Conn) {
				if b.upstreamCount(q.Header.Get(xRequest)) > 1 {
					invalid(c, q, "000", xRevision+": 1\r\n")
					return
				}
				stream(c, q, xRevision+": 1\r\n", events)
				time.Sleep(2 * eventStallTimeout)
				_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", len(thirdEvent), thirdEvent)
			})
		}
		a, body, err := b.sendRequest("POST", "/p/", "x", xModel, "m")
		Expect(err).NotTo(HaveOccurred())
		Expect(fmt.Sprint(a.StatusCode, body)).To(Equal("200" + events + thirdEvent))
		Expect(b.upstreamCount("1")).To(Equal(2))
	})
})
