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
