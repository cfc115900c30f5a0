package upconn

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("an upstream that sends bytes without end", func() {
	const (
		foreign  = "HTTP/1.1 200 OK\r\n" + idHeader + ": other\r\n"
		own      = "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\n"
		chunked  = "Transfer-Encoding: chunked\r\n\r\n"
		interim  = "HTTP/1.1 103 Early Hints\r\nLink: "
		giveUp   = 2 * time.Second
		fragment = 1 << 10
	)
	var sent atomic.Int64
	// endless answers with a beginning and then repeats junk until the caller closes; a pause drips it.
	endless := func(beginning, junk string, pause time.Duration) *fakeUpstream {
		return startUpstream(func(u *fakeUpstream, _ int32, c net.Conn, r *bufio.Reader) {
			if _, ok := u.readRequest(r); !ok {
				return
			}
			_, err := io.WriteString(c, beginning)
			b := []byte(junk)
			if pause == 0 {
				b = bytes.Repeat(b, fragment)
			}
			for err == nil {
				var n int
				n, err = c.Write(b)
				sent.Add(int64(n))
				time.Sleep(pause)
			}
		})
	}
	// exchange sends a request and reads its answer to the end.
	exchange := func(u *fakeUpstream) error {
		e, err := newPool().Send(context.Background(), u.address, &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{idHeader: {"1"}}})
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, io.LimitReader(e.Body, maxSkippedBody))
		e.Release(err == nil)
		return err
	}
	BeforeEach(func() { sent.Store(0) })

	DescribeTable("is given up within a bound of time and bytes", func(beginning, junk string, pause time.Duration) {
		u := endless(beginning, junk, pause)
		done := make(chan error, 1)
		go func() { done <- exchange(u) }()
		Eventually(done).WithTimeout(giveUp).Should(Receive(HaveOccurred()))
		time.Sleep(50 * time.Millisecond)
		before := sent.Load()
		Consistently(sent.Load).WithTimeout(100*time.Millisecond).Should(Equal(before), "the connection is closed")
		// The socket buffers of both sides take a few MB more than what is read.
		Expect(before).To(BeNumerically("<", 16<<20))
	},
		Entry("in a header", "HTTP/1.1 200 OK\r\nX: ", "x", time.Duration(0)),
		Entry("in interim responses", "", interim+"x\r\n\r\n", time.Duration(0)),
		Entry("in a response to another request, without a length", foreign+"\r\n", "x", time.Duration(0)),
		Entry("in a response to another request, in chunks", foreign+chunked, "1\r\nx\r\n", time.Duration(0)),
		Entry("in a response to another request, slowly", foreign+"\r\n", "x", 20*time.Millisecond),
		Entry("in responses to other requests", "", foreign+"Content-Length: 1\r\n\r\nx", time.Duration(0)),
		Entry("in the size of a chunk", own+chunked, "1", time.Duration(0)),
		Entry("in the extension of a chunk", own+chunked+"1;", "x", time.Duration(0)),
		Entry("in trailers", own+chunked+"0\r\n", "X: x\r\n", time.Duration(0)),
	)

	It("after a whole response gets no further request on that connection", func() {
		u := endless(response("1", "whole"), "x", 0)
		p := newPool()
		for range 2 {
			e, err := p.Send(context.Background(), u.address, &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{idHeader: {"1"}}})
			Expect(err).NotTo(HaveOccurred())
			b, err := io.ReadAll(e.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(b)).To(Equal("whole"))
			e.Release(true)
			Eventually(sent.Load).Should(BeNumerically(">", 0))
		}
		Expect(u.accepted.Load()).To(BeEquivalentTo(2))
	})
})
