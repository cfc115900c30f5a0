package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/id"
)

var _ = Describe("an answer that its upstream cuts off at any byte", func() {
	const (
		xCut    = "X-Cut"
		plain   = "whole answer"
		events  = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
		interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
		head    = "HTTP/1.1 200 OK\r\n" + xRequest + ": %s\r\nX-Seal: s\r\n"
	)
	lengthOf := func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) }
	inChunks := func(body, trailer string) string {
		return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n%s\r\n", 5, body[:5], len(body)-5, body[5:], trailer)
	}
	// cut answers with the first bytes of an answer, as many as the request asks for, and closes the connection.
	cut := func(answer string) func(q *http.Request, _ string, c net.Conn) {
		return func(q *http.Request, _ string, c net.Conn) {
			var n int
			_, _ = fmt.Sscan(q.Header.Get(xCut), &n)
			_, _ = c.Write([]byte(fmt.Sprintf(answer, q.Header.Get(xRequest)))[:n])
			_ = c.Close()
		}
	}

	DescribeTable("never looks whole to its caller", func(kind catalog.Kind, pool, answer, body string, headOnly bool) {
		const requestID = "0000"
		whole := len(fmt.Sprintf(answer, requestID))
		end := whole
		if headOnly {
			end = whole - len(body)
		}
		r := route(kind, id.Pool(pool))
		b := newTestbed(r)
		b.addUpstream("u", id.Pool(pool), cut(answer))
		for n := range end {
			a, got, err := b.sendRequest("POST", "/p/", "x", xModel, map[string]string{"engines": "m"}[pool], xRequest, fmt.Sprintf("%04d", n), xCut, fmt.Sprint(n))
			looksWhole := err == nil && a.StatusCode == http.StatusOK
			Expect(looksWhole).To(BeFalse(), "cut after %d of %d bytes: %q", n, whole, got)
		}
		a, got, err := b.sendRequest("POST", "/p/", "x", xModel, map[string]string{"engines": "m"}[pool], xRequest, requestID, xCut, fmt.Sprint(whole))
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(http.StatusOK))
		Expect(got).To(Equal(body))
	},
		Entry("with a length", catalog.Unsafe, "plain", head+lengthOf(plain), plain, false),
		Entry("with a length, on a route that is retried", catalog.Safe, "plain", head+lengthOf(plain), plain, false),
		Entry("with a length, after an interim response", catalog.Unsafe, "plain", interim+head+lengthOf(plain), plain, false),
		Entry("in chunks", catalog.Unsafe, "plain", head+inChunks(plain, ""), plain, false),
		Entry("in chunks with a trailer", catalog.Unsafe, "plain", head+inChunks(plain, "X-Sum: 1\r\n"), plain, false),
		Entry("without a length, in its header", catalog.Unsafe, "plain", head+"\r\n"+plain, plain, true),
		Entry("a stream in chunks", catalog.Streaming, "engines", strings.Replace(head, "X-Seal: s", "Content-Type: text/event-stream", 1)+inChunks(events, ""), events, false),
		Entry("a stream with a length", catalog.Streaming, "engines", head+lengthOf(events), events, false),
		Entry("a stream without a length, in its header", catalog.Streaming, "engines", head+"\r\n"+events, events, true),
	)
})
