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

// idHeader names a request in these specs.
const idHeader = "X-Id"

// upstream is a server whose connections a spec plays by hand.
type upstream struct {
	address  string
	accepted atomic.Int32
	arrived  atomic.Int32
}

// serve plays each connection; play gets the connection's number from 1.
func serve(play func(u *upstream, n int32, c net.Conn, r *bufio.Reader)) *upstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	u := &upstream{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n := u.accepted.Add(1)
			go func() {
				defer c.Close()
				play(u, n, c, bufio.NewReader(c))
			}()
		}
	}()
	return u
}

// next reads a request, whole, and returns its id, or false at the connection's end.
func (u *upstream) next(r *bufio.Reader) (string, bool) {
	q, err := http.ReadRequest(r)
	if err != nil {
		return "", false
	}
	u.arrived.Add(1)
	_, _ = io.Copy(io.Discard, q.Body)
	return q.Header.Get(idHeader), true
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

func newPool() *Pool {
	return New((&net.Dialer{Timeout: time.Second}).DialContext, time.Now, func(q, a http.Header) bool {
		return a.Get(idHeader) == q.Get(idHeader)
	})
}

var _ = Describe("a kept connection", func() {
	// Behind a cut the connection of the start before stays silent, and what is sent over it has an unknown outcome.
	It("is not used for a later start of its upstream than it was opened to", func() {
		u := serve(func(u *upstream, _ int32, c net.Conn, r *bufio.Reader) {
			for {
				name, ok := u.next(r)
				if !ok {
					return
				}
				_, _ = io.WriteString(c, answer(name, "x"))
			}
		})
		p := newPool()
		for n, born := range []id.Incarnation{10, 10, 20, 20, 0, 20} {
			q := request(fmt.Sprint(n))
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

func request(id string) *Request {
	return &Request{Method: http.MethodPost, Target: "/a?b=c", Host: "h", Header: http.Header{idHeader: {id}}, Body: []byte("hello")}
}

// ask sends a request and reads its answer whole.
func ask(p *Pool, address string, r *Request) (string, error) {
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
	It("is used again, and is new where the upstream has closed it in between", func() {
		u := serve(func(u *upstream, n int32, c net.Conn, r *bufio.Reader) {
			for {
				id, ok := u.next(r)
				if !ok {
					return
				}
				_, _ = io.WriteString(c, answer(id, "x"))
				if n == 1 && id == "2" {
					return
				}
			}
		})
		p := newPool()
		for _, id := range []string{"1", "2"} {
			Expect(ask(p, u.address, request(id))).To(Equal("x"))
		}
		Expect(u.accepted.Load()).To(Equal(int32(1)))
		time.Sleep(20 * time.Millisecond)
		Expect(ask(p, u.address, request("3"))).To(Equal("x"))
		Expect(u.accepted.Load()).To(Equal(int32(2)))
	})

	It("that dies under a request is not followed by a second send", func() {
		u := serve(func(u *upstream, _ int32, c net.Conn, r *bufio.Reader) {
			id, ok := u.next(r)
			if ok {
				_, _ = io.WriteString(c, answer(id, "x"))
			}
			u.next(r)
		})
		p := newPool()
		get := request("1")
		get.Method, get.Body = http.MethodGet, nil
		Expect(ask(p, u.address, get)).To(Equal("x"))
		get.Header.Set(idHeader, "2")
		_, err := ask(p, u.address, get)
		Expect(errors.Is(err, ErrOutcomeUnknown)).To(BeTrue())
		time.Sleep(50 * time.Millisecond)
		Expect(u.arrived.Load()).To(Equal(int32(2)))
	})

	It("that was never made proves that nothing was sent", func() {
		_, err := ask(newPool(), "127.0.0.1:1", request("1"))
		Expect(errors.Is(err, ErrNotSent)).To(BeTrue())
	})

	It("is dropped where a second answer lies on it, and a late one to another request is passed over", func() {
		u := serve(func(u *upstream, n int32, c net.Conn, r *bufio.Reader) {
			id, _ := u.next(r)
			switch n {
			case 1:
				_, _ = io.WriteString(c, answer(id, "first")+answer(id, "again"))
			default:
				_, _ = io.WriteString(c, answer("0", "stray")+answer(id, "mine"))
			}
			u.next(r)
		})
		p := newPool()
		Expect(ask(p, u.address, request("1"))).To(Equal("first"))
		time.Sleep(20 * time.Millisecond)
		Expect(ask(p, u.address, request("2"))).To(Equal("mine"))
		Expect(u.accepted.Load()).To(Equal(int32(2)))
	})

	It("with bytes that are no answer gives none", func() {
		u := serve(func(u *upstream, _ int32, c net.Conn, r *bufio.Reader) {
			u.next(r)
			_, _ = io.WriteString(c, "\x00\x01 nonsense\r\n\r\n")
		})
		_, err := ask(newPool(), u.address, request("1"))
		Expect(errors.Is(err, ErrOutcomeUnknown)).To(BeTrue())
	})

	It("that is reset in an answer without a length does not make it whole", func() {
		u := serve(func(u *upstream, _ int32, c net.Conn, r *bufio.Reader) {
			id, _ := u.next(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+idHeader+": "+id+"\r\n\r\npart")
			time.Sleep(20 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		})
		_, err := ask(newPool(), u.address, request("1"))
		Expect(err).To(HaveOccurred())
	})

	It("is not used again after an answer that came before the body's end", func() {
		u := serve(func(u *upstream, _ int32, c net.Conn, r *bufio.Reader) {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"+answer(q.Header.Get(idHeader), "early"))
			_, _ = io.Copy(io.Discard, r)
		})
		p := newPool()
		long := request("1")
		reader, writer := io.Pipe()
		defer writer.Close()
		long.BodyRest, long.ContentLength = reader, -1
		Expect(ask(p, u.address, long)).To(Equal("early"))
		Expect(ask(p, u.address, request("2"))).To(Equal("early"))
		Expect(u.accepted.Load()).To(Equal(int32(2)))
	})

	DescribeTable("passes a long body on as it comes", func(length int64) {
		got := make(chan string, 1)
		u := serve(func(_ *upstream, _ int32, c net.Conn, r *bufio.Reader) {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			b, _ := io.ReadAll(q.Body)
			got <- string(b)
			_, _ = io.WriteString(c, answer(q.Header.Get(idHeader), "done"))
		})
		long := request("1")
		rest := strings.Repeat("0123456789", 20000)
		long.BodyRest, long.ContentLength = strings.NewReader(rest), length
		Expect(ask(newPool(), u.address, long)).To(Equal("done"))
		Expect(<-got == "hello"+rest).To(BeTrue())
	}, Entry("with its length", int64(200005)), Entry("in chunks", int64(-1)))

	DescribeTable("is kept as long as the upstream says", func(header string, want time.Duration) {
		a, err := http.ReadResponse(bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"+header+"\r\n")), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(keepFor(a)).To(Equal(want))
	}, Entry("no word", "", defaultKeep), Entry("close", "Connection: close\r\n", time.Duration(0)),
		Entry("seconds", "Keep-Alive: timeout=2, max=5\r\n", time.Second), Entry("one second", "Keep-Alive: timeout=1\r\n", time.Duration(0)))

	It("breaks when its caller leaves, so that the upstream can stop", func() {
		gone := make(chan time.Time, 1)
		u := serve(func(u *upstream, _ int32, _ net.Conn, r *bufio.Reader) {
			u.next(r)
			u.next(r)
			gone <- time.Now()
		})
		ctx, leave := context.WithCancel(context.Background())
		left := time.AfterFunc(50*time.Millisecond, leave)
		defer left.Stop()
		_, err := newPool().Send(ctx, u.address, request("1"))
		Expect(errors.Is(err, ErrOutcomeUnknown)).To(BeTrue())
		Eventually(gone).WithTimeout(500 * time.Millisecond).Should(Receive())
	})
})

var _ = Describe("the question whether a process has ended", func() {
	ctx := context.Background()
	pool := func(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Pool {
		return New(dial, time.Now, func(http.Header, http.Header) bool { return true })
	}

	It("is answered by its VM, which refuses a connection", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		p := pool((&net.Dialer{}).DialContext)
		refused, known := p.ProbeRefused(ctx, l.Addr().String(), 0)
		Expect(refused).To(BeFalse())
		Expect(known).To(BeTrue())
		Expect(p.idle.conns[l.Addr().String()]).To(HaveLen(1), "the connection is there for the next request")
		Expect(l.Close()).To(Succeed())
		refused, known = p.ProbeRefused(ctx, l.Addr().String(), 0)
		Expect(refused).To(BeTrue())
		Expect(known).To(BeTrue())
	})

	It("is not answered by silence", func() {
		p := pool(func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
		short, stop := context.WithTimeout(ctx, 20*time.Millisecond)
		defer stop()
		_, known := p.ProbeRefused(short, "127.0.0.1:1", 0)
		Expect(known).To(BeFalse())
	})
})
