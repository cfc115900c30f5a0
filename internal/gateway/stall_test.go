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
		pause = eventStallTimeout + 700*time.Millisecond
	)
	var b *testbed
	BeforeEach(func() {
		r := route(catalog.Streaming, "engines")
		r.Timeout = 5 * time.Second
		b = newTestbed(r)
	})
	endStream := func(c net.Conn, body string) {
		_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	// pausing adds the upstream that receives the request first, and calls joined when it does.
	pausing := func(joined func()) {
		b.addUpstream("u", "engines", func(q *http.Request, _ string, c net.Conn) {
			joined()
			stream(c, q, xRevision+": 1\r\nX-Seal: u\r\n", first)
			time.Sleep(pause)
			endStream(c, rest)
		})
	}
	expectWhole := func(seal string) {
		GinkgoHelper()
		a, body, err := b.sendRequest("POST", "/p/", "x", xModel, "m")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(http.StatusOK))
		Expect(body).To(Equal(first + rest))
		Expect(a.Header.Get("X-Seal")).To(Equal(seal))
	}
	continueStream := func(q *http.Request, _ string, c net.Conn) {
		if q.Header.Get(xLastEventID) == "" {
			stream(c, q, xRevision+": 1\r\nX-Seal: v\r\n", first, rest)
		} else {
			stream(c, q, xRevision+": 1\r\nX-Seal: v\r\n", rest)
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}

	It("is waited for if the others serve another version", func() {
		pausing(func() {
			b.addUpstream("v", "engines", continueStream)
			v := *b.facts.Instance("v")
			v.Held = []facts.Held{{Model: "m", Revision: 2}}
			v.ListPosition = 1
			b.facts.SetInstance(&v)
		})
		expectWhole("u")
	})

	It("is waited for if the others serve no version", func() {
		pausing(func() {
			b.addUpstream("v", "engines", continueStream)
			v := *b.facts.Instance("v")
			v.Held, v.ListPosition = nil, 1
			b.facts.SetInstance(&v)
		})
		expectWhole("u")
	})

	It("is waited for if another one refuses it", func() {
		pausing(func() {
			b.addUpstream("v", "engines", func(q *http.Request, _ string, c net.Conn) { reply(c, q, 503, xNotRun+": 1\r\n", "full") })
		})
		expectWhole("u")
	})

	It("is waited for if another one breaks off", func() {
		pausing(func() {
			b.addUpstream("v", "engines", func(_ *http.Request, _ string, c net.Conn) { _ = c.Close() })
		})
		expectWhole("u")
	})

	It("is waited for if another one is silent as well", func() {
		pausing(func() {
			b.addUpstream("v", "engines", func(_ *http.Request, _ string, c net.Conn) { _, _ = c.Read(make([]byte, 1)) })
		})
		expectWhole("u")
	})

	It("is continued by the other one if that sends data first", func() {
		pausing(func() { b.addUpstream("v", "engines", continueStream) })
		began := time.Now()
		expectWhole("u")
		Expect(time.Since(began)).To(BeNumerically("<", pause))
	})

	It("is continued by the first upstream if that sends data first", func() {
		disconnected := make(chan struct{})
		pausing(func() {
			b.addUpstream("v", "engines", func(_ *http.Request, _ string, c net.Conn) {
				_, _ = c.Read(make([]byte, 1))
				close(disconnected)
			})
		})
		expectWhole("u")
		Eventually(disconnected).Should(BeClosed(), "the losing attempt is cancelled at its upstream")
	})

	It("is not continued by another one if the response is not a stream", func() {
		half := strings.Repeat("x", maxBufferedAnswer)
		b.addUpstream("u", "engines", func(q *http.Request, _ string, c net.Conn) {
			b.addUpstream("v", "engines", continueStream)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 500 x\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", xRequest, q.Header.Get(xRequest), 2*maxBufferedAnswer, half)
			time.Sleep(pause)
			_, _ = io.WriteString(c, half)
		})
		a, body, err := b.sendRequest("POST", "/p/", "x", xModel, "m")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(500))
		Expect(body).To(Equal(half + half))
	})

	It("is waited for before its first event if no other one is available", func() {
		b.addUpstream("u", "engines", func(q *http.Request, _ string, c net.Conn) {
			time.Sleep(firstEventSlack + 600*time.Millisecond)
			stream(c, q, xRevision+": 1\r\nX-Seal: u\r\n", first, rest)
			_, _ = io.WriteString(c, "0\r\n\r\n")
		})
		expectWhole("u")
	})

	It("is answered by the other one before its first event if that sends data first", func() {
		b.addUpstream("u", "engines", func(_ *http.Request, _ string, c net.Conn) {
			b.addUpstream("v", "engines", continueStream)
			_, _ = c.Read(make([]byte, 1))
		})
		expectWhole("v")
	})
})
