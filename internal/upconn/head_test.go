package upconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the header of a response", func() {
	send := func(extra, body string) (*Exchange, error) {
		u := startUpstream(func(u *fakeUpstream, _ int32, c net.Conn, r *bufio.Reader) {
			if _, ok := u.readRequest(r); ok {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", extra, len(body), body)
			}
		})
		p := New((&net.Dialer{}).DialContext, time.Now, func(http.Header, http.Header) bool { return true })
		return p.Send(context.Background(), u.address, &Request{Method: http.MethodGet, Target: "/", Host: "h"})
	}

	// Guards against an upstream that makes the gateway hold a header of any length.
	It("is not read beyond its bound", func() {
		_, err := send(strings.Repeat("X-Fill: "+strings.Repeat("x", 1000)+"\r\n", 2*maxResponseHeadBytes/1000), "")
		Expect(err).To(MatchError(ErrOutcomeUnknown))
		Expect(err).To(MatchError(errHeadTooLong))
	})

	// Guards against a bound that counts the body as well.
	It("has a bound that does not hold for the body", func() {
		long := strings.Repeat("b", 4*maxResponseHeadBytes)
		e, err := send("X-Fill: "+strings.Repeat("x", maxResponseHeadBytes/2)+"\r\n", long)
		Expect(err).NotTo(HaveOccurred())
		defer e.Release(true)
		body, err := io.ReadAll(e.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body) == long).To(BeTrue())
	})
})

var _ = Describe("the status of a response", func() {
	// sealed has the form of a response to the request, as a body may have.
	sealed := response("a", "smuggled")
	sendTo := func(answer string) (string, error) {
		u := startUpstream(func(u *fakeUpstream, _ int32, c net.Conn, r *bufio.Reader) {
			if _, ok := u.readRequest(r); ok {
				_, _ = io.WriteString(c, answer)
				_, _ = io.Copy(io.Discard, r)
			}
		})
		return send(newPool(), u.address, newRequest("a"))
	}
	head := func(status, extra, body string) string {
		return "HTTP/1.1 " + status + "\r\n" + idHeader + ": a\r\n" + extra + "\r\n" + body
	}
	lengthOf := func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n", len(body)) }

	// Guards against a body that is taken for the next response, and against a wait for one that never comes.
	DescribeTable("that no protocol knows is an error at once", func(answer string) {
		start := time.Now()
		body, err := sendTo(answer)
		Expect(err).To(MatchError(ErrOutcomeUnknown))
		Expect(err).To(MatchError(ErrInvalidResponse), body)
		Expect(time.Since(start)).To(BeNumerically("<", time.Second))
	},
		Entry("000", head("000 x", "Content-Length: 0\r\n", "")),
		Entry("000 without a reason", head("000", "Content-Length: 0\r\n", "")),
		Entry("000 with a body that has the form of a response", head("000 x", lengthOf(sealed), sealed)),
		Entry("000 with such a body in chunks", head("000 x", "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(sealed), sealed))),
		Entry("000 before a sound response", head("000 x", "", sealed)),
		Entry("001", head("001 x", "", "")),
		Entry("099", head("099 x", "", "")),
		Entry("+20", head("+20 x", "", "")),
		Entry("101, which nobody asked for", head("101 x", "Upgrade: x\r\n", "")),
		Entry("103 with a length", head("103 x", lengthOf(sealed), sealed)),
		Entry("103 in chunks", head("103 x", "Transfer-Encoding: chunked\r\n", sealed)),
		Entry("600", head("600 x", "Content-Length: 0\r\n", "")),
		Entry("999", head("999 x", "Content-Length: 0\r\n", "")),
		Entry("000 after an interim response", head("100 x", "", head("000 x", "", ""))),
		Entry("000 after a late response to another request", response("b", "late")+head("000 x", "", "")),
	)

	// Guards against a request that fails because its upstream says several times that it works on it.
	It("that is interim is skipped any number of times within the bound of a header", func() {
		interim := "HTTP/1.1 102 Processing\r\n\r\n"
		Expect(sendTo(strings.Repeat(interim, 100) + sealed)).To(Equal("smuggled"))
		_, err := sendTo(strings.Repeat(interim, 2*maxResponseHeadBytes/len(interim)) + sealed)
		Expect(err).To(MatchError(errHeadTooLong))
	})

	DescribeTable("that is interim is skipped", func(status string) {
		Expect(sendTo(head(status, "", sealed))).To(Equal("smuggled"))
	}, Entry("100", "100 Continue"), Entry("102", "102 Processing"), Entry("103", "103 Early Hints"), Entry("199", "199 x"))
})
