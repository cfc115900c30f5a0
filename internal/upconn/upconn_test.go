package upconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/spec"
)

func TestUpconn(t *testing.T) {
	spec.Run(t, "Connections to upstreams")
}

// idHeader contains the request ID in these specs.
const idHeader = "X-Id"

// fakeUpstream is a server whose connections are handled by a spec.
type fakeUpstream struct {
	address  string
	accepted atomic.Int32
	arrived  atomic.Int32
}

// startUpstream starts a server that calls handle for each connection, with the connection's number, starting at 1.
func startUpstream(handle func(u *fakeUpstream, n int32, c net.Conn, r *bufio.Reader)) *fakeUpstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	u := &fakeUpstream{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n := u.accepted.Add(1)
			go func() {
				defer c.Close()
				handle(u, n, c, bufio.NewReader(c))
			}()
		}
	}()
	return u
}

// readRequest reads a complete request and returns its ID, or false when the connection ends.
func (u *fakeUpstream) readRequest(r *bufio.Reader) (string, bool) {
	q, err := http.ReadRequest(r)
	if err != nil {
		return "", false
	}
	u.arrived.Add(1)
	_, _ = io.Copy(io.Discard, q.Body)
	return q.Header.Get(idHeader), true
}

func response(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

func newPool() *Pool {
	return New((&net.Dialer{Timeout: time.Second}).DialContext, time.Now, func(q, a http.Header) bool {
		return a.Get(idHeader) == q.Get(idHeader)
	})
}

var _ = Describe("a reused connection", func() {
	// During a network partition a connection to the previous incarnation stays silent, and a request sent over it has an
	// unknown outcome.
	It("is not used for a later incarnation of its upstream than it was opened to", func() {
		u := startUpstream(func(u *fakeUpstream, _ int32, c net.Conn, r *bufio.Reader) {
			for {
				name, ok := u.readRequest(r)
				if !ok {
					return
				}
				_, _ = io.WriteString(c, response(name, "x"))
			}
		})
		p := newPool()
		for n, born := range []id.Incarnation{10, 10, 20, 20, 0, 20} {
			q := newRequest(fmt.Sprint(n))
			q.Incarnation = born
			e, err := p.Send(context.Background(), u.address, q)
			Expect(err).NotTo(HaveOccurred())
			_, err = io.ReadAll(e.Body)
			Expect(err).NotTo(HaveOccurred())
			e.Release(true)
		}
		Expect(u.accepted.Load()).To(Equal(int32(2)))
	})
})

func newRequest(id string) *Request {
	return &Request{Method: http.MethodPost, Target: "/a?b=c", Host: "h", Header: http.Header{idHeader: {id}}, Body: []byte("hello")}
}

// send sends a request and reads the whole response.
func send(p *Pool, address string, r *Request) (string, error) {
	ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
	defer stop()
	e, err := p.Send(ctx, address, r)
	if err != nil {
		return "", err
	}
	b, err := io.ReadAll(e.Body)
	e.Release(err == nil)
	return string(b), err
}

var _ = Describe("a connection to an upstream", func() {
	It("is reused, and replaced by a new one after the upstream has closed it", func() {
		u := startUpstream(func(u *fakeUpstream, n int32, c net.Conn, r *bufio.Reader) {
			for {
				id, ok := u.readRequest(r)
				if !ok {
					return
				}
				_, _ = io.WriteString(c, response(id, "x"))
				if n == 1 && id == "2" {
					return
				}
			}
		})
		p := newPool()
		for _, id := range []string{"1", "2"} {
			Expect(send(p, u.address, newRequest(id))).To(Equal("x"))
		}
		Expect(u.accepted.Load()).To(Equal(int32(1)))
		time.Sleep(20 * time.Millisecond)
		Expect(send(p, u.address, newRequest("3"))).To(Equal("x"))
		Expect(u.accepted.Load()).To(Equal(int32(2)))
	})

	It("that fails during a request doesn't cause a retry", func() {
		u := startUpstream(func(u *fakeUpstream, _ int32, c net.Conn, r *bufio.Reader) {
			id, ok := u.readRequest(r)
			if ok {
				_, _ = io.WriteString(c, response(id, "x"))
			}
			u.readRequest(r)
		})
		p := newPool()
		get := newRequest("1")
		get.Method, get.Body = http.MethodGet, nil
		Expect(send(p, u.address, get)).To(Equal("x"))
		get.Header.Set(idHeader, "2")
		_, err := send(p, u.address, get)
		Expect(errors.Is(err, ErrOutcomeUnknown)).To(BeTrue())
		time.Sleep(50 * time.Millisecond)
		Expect(u.arrived.Load()).To(Equal(int32(2)))
	})

	It("that was never established proves that nothing was sent", func() {
		_, err := send(newPool(), "127.0.0.1:1", newRequest("1"))
		Expect(errors.Is(err, ErrNotSent)).To(BeTrue())
	})

	It("is closed after a duplicate response, and a late response to another request is skipped", func() {
		u := startUpstream(func(u *fakeUpstream, n int32, c net.Conn, r *bufio.Reader) {
			id, _ := u.readRequest(r)
			switch n {
			case 1:
				_, _ = io.WriteString(c, response(id, "first")+response(id, "again"))
			default:
				_, _ = io.WriteString(c, response("0", "stray")+response(id, "mine"))
			}
			u.readRequest(r)
		})
		p := newPool()
		Expect(send(p, u.address, newRequest("1"))).To(Equal("first"))
		time.Sleep(20 * time.Millisecond)
		Expect(send(p, u.address, newRequest("2"))).To(Equal("mine"))
		Expect(u.accepted.Load()).To(Equal(int32(2)))
	})

	It("with bytes that aren't HTTP returns no response", func() {
		u := startUpstream(func(u *fakeUpstream, _ int32, c net.Conn, r *bufio.Reader) {
			u.readRequest(r)
			_, _ = io.WriteString(c, "\x00\x01 nonsense\r\n\r\n")
		})
		_, err := send(newPool(), u.address, newRequest("1"))
		Expect(errors.Is(err, ErrOutcomeUnknown)).To(BeTrue())
	})

	It("that is reset during a response without a length doesn't complete the response", func() {
		u := startUpstream(func(u *fakeUpstream, _ int32, c net.Conn, r *bufio.Reader) {
			id, _ := u.readRequest(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+idHeader+": "+id+"\r\n\r\npart")
			time.Sleep(20 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		})
		_, err := send(newPool(), u.address, newRequest("1"))
		Expect(err).To(HaveOccurred())
	})

	It("is not reused after a response that arrived before the whole body was sent", func() {
		u := startUpstream(func(u *fakeUpstream, _ int32, c net.Conn, r *bufio.Reader) {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"+response(q.Header.Get(idHeader), "early"))
			_, _ = io.Copy(io.Discard, r)
		})
		p := newPool()
		upload := newRequest("1")
		reader, writer := io.Pipe()
		defer writer.Close()
		upload.BodyRest, upload.ContentLength = reader, -1
		Expect(send(p, u.address, upload)).To(Equal("early"))
		Expect(send(p, u.address, newRequest("2"))).To(Equal("early"))
		Expect(u.accepted.Load()).To(Equal(int32(2)))
	})

	DescribeTable("streams a long body", func(length int64) {
		got := make(chan string, 1)
		u := startUpstream(func(_ *fakeUpstream, _ int32, c net.Conn, r *bufio.Reader) {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			b, _ := io.ReadAll(q.Body)
			got <- string(b)
			_, _ = io.WriteString(c, response(q.Header.Get(idHeader), "done"))
		})
		upload := newRequest("1")
		rest := strings.Repeat("0123456789", 20000)
		upload.BodyRest, upload.ContentLength = strings.NewReader(rest), length
		Expect(send(newPool(), u.address, upload)).To(Equal("done"))
		Expect(<-got == "hello"+rest).To(BeTrue())
	}, Entry("with its length", int64(200005)), Entry("in chunks", int64(-1)))

	DescribeTable("is kept for the idle timeout that the upstream states", func(header string, want time.Duration) {
		a, err := http.ReadResponse(bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"+header+"\r\n")), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(idleTimeout(a)).To(Equal(want))
	}, Entry("nothing stated", "", defaultIdleTimeout), Entry("close", "Connection: close\r\n", time.Duration(0)),
		Entry("seconds", "Keep-Alive: timeout=2, max=5\r\n", time.Second), Entry("one second", "Keep-Alive: timeout=1\r\n", time.Duration(0)))

	It("is aborted when its caller disconnects, so that the upstream can stop", func() {
		closed := make(chan time.Time, 1)
		u := startUpstream(func(u *fakeUpstream, _ int32, _ net.Conn, r *bufio.Reader) {
			u.readRequest(r)
			u.readRequest(r)
			closed <- time.Now()
		})
		ctx, cancel := context.WithCancel(context.Background())
		timer := time.AfterFunc(50*time.Millisecond, cancel)
		defer timer.Stop()
		_, err := newPool().Send(ctx, u.address, newRequest("1"))
		Expect(errors.Is(err, ErrOutcomeUnknown)).To(BeTrue())
		Eventually(closed).WithTimeout(500 * time.Millisecond).Should(Receive())
	})
})
