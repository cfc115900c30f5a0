package engine

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/spec"
)

func TestEngine(t *testing.T) {
	spec.Run(t, "The client of an engine")
}

var _ = Describe("an answer with an invalid status", func() {
	// Guards against a health check or an order that counts as answered because its status is no failure.
	DescribeTable("is a failure of the call", func(status string) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = fmt.Fprintf(c, "HTTP/1.1 %s x\r\nContent-Length: 2\r\n\r\n{}", status)
				}
				c.Close()
			}
		}()
		e, ctx := New("http://"+l.Addr().String(), 1), context.Background()
		Expect(e.Healthy(ctx)).To(BeFalse())
		Expect(e.Load(ctx, Order{})).To(MatchError(ErrUnreachable))
		_, err = e.State(ctx)
		Expect(err).To(MatchError(ErrUnreachable))
	}, Entry("000", "000"), Entry("099", "099"), Entry("101", "101"), Entry("600", "600"))
})
