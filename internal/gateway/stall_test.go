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
	"github.com/springrail/springrail/internal/facts"
)

var _ = Describe("a stream whose upstream pauses", func() {
	const (
		first = "id: 1\ndata: a\n\n"
		rest  = "id: 2\ndata: b\n\nid: 3\ndata: c\n\n"
		pause = eventStall + 700*time.Millisecond
	)
	var b *testbed
	BeforeEach(func() {
		r := route(catalog.Streaming, "engines")
		r.Timeout = 5 * time.Second
		b = newTestbed(r)
	})
	finish := func(c net.Conn, body string) {
		_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	// pausing adds the upstream that gets the request first, and calls joined as it does.
	pausing := func(joined func()) {
		b.upstream("u", "engines", func(q *http.Request, _ string, c net.Conn) {
			joined()
			stream(c, q, xRevision+": 1\r\nX-Seal: u\r\n", first)
			time.Sleep(pause)
			finish(c, rest)
		})
	}
	expectWhole := func(seal string) {
		GinkgoHelper()
		a, body, err := b.ask("POST", "/p/", "x", xModel, "m")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(http.StatusOK))
		Expect(body).To(Equal(first + rest))
		Expect(a.Header.Get("X-Seal")).To(Equal(seal))
	}
	whole := func(q *http.Request, _ string, c net.Conn) {
		if q.Header.Get(xAfter) == "" {
			stream(c, q, xRevision+": 1\r\nX-Seal: v\r\n", first, rest)
		} else {
			stream(c, q, xRevision+": 1\r\nX-Seal: v\r\n", rest)
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}

	It("is waited for where the others serve another version", func() {
		pausing(func() {
			b.upstream("v", "engines", whole)
			v := *b.facts.Instance("v")
			v.Held = []facts.Held{{Model: "m", Revision: 2}}
			v.ListPosition = 1
			b.facts.SetInstance(&v)
		})
		expectWhole("u")
	})

	It("is waited for where the others serve no version", func() {
		pausing(func() {
			b.upstream("v", "engines", whole)
			v := *b.facts.Instance("v")
			v.Held, v.ListPosition = nil, 1
			b.facts.SetInstance(&v)
		})
		expectWhole("u")
	})

	It("is waited for where another one refuses it", func() {
		pausing(func() {
			b.upstream("v", "engines", func(q *http.Request, _ string, c net.Conn) { reply(c, q, 503, xNotRun+": 1\r\n", "full") })
		})
		expectWhole("u")
	})

	It("is waited for where another one breaks off", func() {
		pausing(func() {
			b.upstream("v", "engines", func(_ *http.Request, _ string, c net.Conn) { _ = c.Close() })
		})
		expectWhole("u")
	})

	It("is waited for where another one is silent as well", func() {
		pausing(func() {
			b.upstream("v", "engines", func(_ *http.Request, _ string, c net.Conn) { _, _ = c.Read(make([]byte, 1)) })
		})
		expectWhole("u")
	})

	It("is answered by the other one where that begins first", func() {
		pausing(func() { b.upstream("v", "engines", whole) })
		began := time.Now()
		expectWhole("u")
		Expect(time.Since(began)).To(BeNumerically("<", pause))
	})

	It("is answered by its own upstream where that goes on first", func() {
		gone := make(chan struct{})
		pausing(func() {
			b.upstream("v", "engines", func(_ *http.Request, _ string, c net.Conn) {
				_, _ = c.Read(make([]byte, 1))
				close(gone)
			})
		})
		expectWhole("u")
		Eventually(gone).Should(BeClosed(), "the attempt that lost is ended at its upstream")
	})

	It("is not continued by another one where its answer is no stream", func() {
		long := strings.Repeat("x", heldAnswer)
		b.upstream("u", "engines", func(q *http.Request, _ string, c net.Conn) {
			b.upstream("v", "engines", whole)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 500 x\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", xRequest, q.Header.Get(xRequest), 2*heldAnswer, long)
			time.Sleep(pause)
			_, _ = io.WriteString(c, long)
		})
		a, body, err := b.ask("POST", "/p/", "x", xModel, "m")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(500))
		Expect(body).To(Equal(long + long))
	})

	It("is waited for before its first event where no other one may have it", func() {
		b.upstream("u", "engines", func(q *http.Request, _ string, c net.Conn) {
			time.Sleep(firstStall + 600*time.Millisecond)
			stream(c, q, xRevision+": 1\r\nX-Seal: u\r\n", first, rest)
			_, _ = io.WriteString(c, "0\r\n\r\n")
		})
		expectWhole("u")
	})

	It("is answered by the other one before its first event where that begins first", func() {
		b.upstream("u", "engines", func(_ *http.Request, _ string, c net.Conn) {
			b.upstream("v", "engines", whole)
			_, _ = c.Read(make([]byte, 1))
		})
		expectWhole("v")
	})
})
