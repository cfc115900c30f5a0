package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/catalog"
)

var _ = Describe("an upstream that sends bytes without end", func() {
	const events = "id: 1\ndata: a\n\n"
	type endless struct {
		status      int
		extra, junk string
		pause       time.Duration
	}
	var closed atomic.Int32
	play := func(e endless) func(q *http.Request, _ string, c net.Conn) {
		return func(q *http.Request, _ string, c net.Conn) {
			_, err := fmt.Fprintf(c, "HTTP/1.1 %d x\r\n%s: %s\r\n%s\r\n", e.status, xRequest, q.Header.Get(xRequest), e.extra)
			b := []byte(e.junk)
			if e.pause == 0 {
				b = bytes.Repeat(b, 1<<10)
			}
			for err == nil {
				_, err = c.Write(b)
				time.Sleep(e.pause)
			}
			closed.Add(1)
		}
	}
	whole := func(q *http.Request, _ string, c net.Conn) {
		stream(c, q, xRevision+": 1\r\n", events)
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}
	BeforeEach(func() { closed.Store(0) })

	DescribeTable("in a refusal does not delay the request, which another upstream serves", func(extra string, pause time.Duration) {
		b := newTestbed(route(catalog.Streaming, "engines"))
		for n := range 4 {
			b.addUpstream(fmt.Sprint("u", n), "engines", func(q *http.Request, body string, c net.Conn) {
				if b.upstreamCount(q.Header.Get(xRequest)) > 1 {
					whole(q, body, c)
					return
				}
				play(endless{status: http.StatusServiceUnavailable, extra: xNotRun + ": 1\r\n" + extra, junk: "x", pause: pause})(q, body, c)
			})
		}
		start := time.Now()
		_, body, err := b.sendRequest("POST", "/p/", "x", xModel, "m")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(events))
		Expect(time.Since(start)).To(BeNumerically("<", 400*time.Millisecond))
		Eventually(closed.Load).WithTimeout(time.Second).Should(BeEquivalentTo(1))
	},
		Entry("without a length", "", time.Duration(0)),
		Entry("without a length, slowly", "", 10*time.Millisecond),
		Entry("with a length, slowly", "Content-Length: 1000000\r\n", 10*time.Millisecond),
	)

	It("in a refusal with a long body gets no further request on that connection", func() {
		r := route(catalog.Safe, "plain")
		r.MaxAttempts = 1
		b := newTestbed(r)
		body := strings.Repeat("x", 2*maxBufferedAnswer)
		b.addUpstream("u", "plain", func(q *http.Request, _ string, c net.Conn) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 503 x\r\n%s: %s\r\n%s: 1\r\nContent-Length: %d\r\n\r\n%s", xRequest, q.Header.Get(xRequest), xNotRun, len(body), body[:maxBufferedAnswer])
			time.Sleep(100 * time.Millisecond)
			_, _ = io.WriteString(c, body[maxBufferedAnswer:])
		})
		for _, n := range []string{"1", "2"} {
			a, _, err := b.sendRequest("GET", "/p/", "", xRequest, n)
			Expect(err).NotTo(HaveOccurred())
			Expect(a.StatusCode).To(Equal(http.StatusServiceUnavailable))
		}
	})

	DescribeTable("in an answer is cut off at the bound, so that the answer does not look complete", func(kind catalog.Kind, extra, junk string) {
		r := route(kind, "engines")
		r.Resumable = false
		b := newTestbed(r)
		b.gateway.settings.AnswerBytes = 1 << 20
		b.addUpstream("u", "engines", play(endless{status: http.StatusOK, extra: extra, junk: junk}))
		start := time.Now()
		_, body, err := b.sendRequest("POST", "/p/", "x", xModel, "m")
		Expect(err).To(HaveOccurred())
		Expect(len(body)).To(BeNumerically("<=", 1<<20))
		Expect(time.Since(start)).To(BeNumerically("<", time.Second))
		Eventually(closed.Load).WithTimeout(time.Second).Should(BeEquivalentTo(1))
	},
		Entry("without a length", catalog.Safe, "", "x"),
		Entry("in chunks", catalog.Safe, "Transfer-Encoding: chunked\r\n", "1\r\nx\r\n"),
		Entry("within an event of a stream", catalog.Streaming, "Content-Type: text/event-stream\r\n", "x"),
		Entry("in whole events", catalog.Streaming, "Content-Type: text/event-stream\r\n", "data: x\n\n"),
	)

	It("slowly within an event does not keep another upstream from continuing the stream", func() {
		b := newTestbed(route(catalog.Streaming, "engines"))
		for n := range 2 {
			b.addUpstream(fmt.Sprint("u", n), "engines", func(q *http.Request, body string, c net.Conn) {
				if b.upstreamCount(q.Header.Get(xRequest)) > 1 {
					whole(q, body, c)
					return
				}
				play(endless{status: http.StatusOK, extra: "Content-Type: text/event-stream\r\n" + xRevision + ": 1\r\n", junk: "x", pause: 20 * time.Millisecond})(q, body, c)
			})
		}
		_, body, err := b.sendRequest("POST", "/p/", "x", xModel, "m")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(events))
	})

	It("within its first event does not win over a silent upstream", func() {
		r := route(catalog.Streaming, "engines")
		b := newTestbed(r)
		for n := range 2 {
			b.addUpstream(fmt.Sprint("u", n), "engines", func(q *http.Request, body string, c net.Conn) {
				if b.upstreamCount(q.Header.Get(xRequest)) > 1 {
					play(endless{status: http.StatusOK, extra: "Content-Type: text/event-stream\r\n" + xRevision + ": 1\r\n", junk: "x"})(q, body, c)
					return
				}
				time.Sleep(1500 * time.Millisecond)
				whole(q, body, c)
			})
		}
		_, body, err := b.sendRequest("POST", "/p/", "x", xModel, "m")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(events))
	})
})
