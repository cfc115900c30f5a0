package gateway

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/catalog"
)

// addReadingUpstream adds an upstream that reads each body as it arrives and never answers. It counts the connections that are
// open after their request's header.
func (b *testbed) addReadingUpstream(name string) (open func() int) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	var mu sync.Mutex
	n := 0
	count := func(d int) { mu.Lock(); defer mu.Unlock(); n += d }
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if q, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					count(1)
					defer count(-1)
					_, _ = io.Copy(io.Discard, q.Body)
					_, _ = io.Copy(io.Discard, c)
				}
			}()
		}
	}()
	b.addUpstream(name, "plain", nil)
	i := *b.facts.Instances()[0]
	i.Address = l.Addr().String()
	i.ListPosition++
	b.facts.SetInstance(&i)
	return func() int { mu.Lock(); defer mu.Unlock(); return n }
}

var _ = Describe("a long body that is still on its way to its upstream", func() {
	const timeout = 400 * time.Millisecond
	newUploads := func() (*process, func() int) {
		r := route(catalog.Unsafe, "plain")
		r.Timeout = timeout
		b := newTestbed(r)
		b.facts.SetCatalog(catalog.New(8, []*catalog.Route{r}, slices.Collect(maps.Values(b.facts.Catalog().Services)), nil, catalog.Limits{BodyBytes: 16 * maxBufferedBody}))
		open := b.addReadingUpstream("u")
		return startProcess(b), open
	}
	// upload sends a header and a long part of a body, and then a byte now and then until the connection closes.
	upload := func(p *process, framing string, callerTimeout time.Duration) net.Conn {
		c, err := net.Dial("tcp", p.address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = c.Close() })
		chunk, more := strings.Repeat("x", 2*maxBufferedBody), "y"
		if strings.HasPrefix(framing, "Transfer") {
			chunk, more = fmt.Sprintf("%x\r\n%s\r\n", len(chunk), chunk), "1\r\ny\r\n"
		}
		_, err = fmt.Fprintf(c, "POST /p/ HTTP/1.1\r\nHost: h.example\r\n%s: 1\r\n%s: %d\r\n%s\r\n\r\n%s", xRequest, xTimeout, callerTimeout.Milliseconds(), framing, chunk)
		Expect(err).NotTo(HaveOccurred())
		go func() {
			for err == nil {
				time.Sleep(5 * time.Millisecond)
				_, err = io.WriteString(c, more)
			}
		}()
		return c
	}

	// Guards against a read deadline of the gateway's own that passes for a caller who left.
	DescribeTable("is answered with 504 when the time is over, and ends at its upstream", func(framing string, callerTimeout time.Duration) {
		const requests = 20
		p, open := newUploads()
		var all sync.WaitGroup
		for range requests {
			all.Go(func() {
				defer GinkgoRecover()
				c := upload(p, framing, callerTimeout)
				start := time.Now()
				a, _, err := readAnswer(c)
				Expect(err).NotTo(HaveOccurred())
				Expect(a.StatusCode).To(Equal(http.StatusGatewayTimeout))
				Expect(a.Close).To(BeTrue(), "the rest of the body must not be read as a request")
				Expect(time.Since(start)).To(BeNumerically("<", timeout+500*time.Millisecond))
			})
		}
		all.Wait()
		Eventually(open).WithTimeout(500 * time.Millisecond).Should(BeZero())
	},
		Entry("of a stated length, at its route's timeout", fmt.Sprint("Content-Length: ", 8*maxBufferedBody), 5*time.Second),
		Entry("in chunks, at its route's timeout", "Transfer-Encoding: chunked", 5*time.Second),
		Entry("of a stated length, at its caller's deadline", fmt.Sprint("Content-Length: ", 8*maxBufferedBody), timeout/2),
	)

	// Guards against a gateway that stood still and learns of both at once.
	It("is answered with 504 if the connection's read deadline passes with the request's", func() {
		const requests = 20
		p, open := newUploads()
		var all sync.WaitGroup
		for range requests {
			all.Go(func() {
				defer GinkgoRecover()
				a, _, err := readAnswer(upload(p, "Transfer-Encoding: chunked", 5*time.Second))
				Expect(err).NotTo(HaveOccurred())
				Expect(a.StatusCode).To(Equal(http.StatusGatewayTimeout))
			})
		}
		Eventually(open).Should(Equal(requests))
		p.gateway.inFlight.each(func(f *callerRequest) {
			_ = http.NewResponseController(f.writer).SetReadDeadline(f.deadline)
		})
		all.Wait()
	})

	// Guards against a stop that ends a wait for a body that has just come, which looks as if the caller had left.
	It("is answered if a stop ends the wait for it in the moment in which it is complete", func() {
		const requests = 100
		r := route(catalog.Unsafe, "plain")
		p := startProcess(newTestbed(r))
		p.addWorkingUpstream("u")
		var all sync.WaitGroup
		for i := range requests {
			all.Go(func() {
				defer GinkgoRecover()
				c, err := net.Dial("tcp", p.address)
				Expect(err).NotTo(HaveOccurred())
				defer c.Close()
				_, err = fmt.Fprintf(c, "POST /p/ HTTP/1.1\r\nHost: h.example\r\n%s: %d\r\n%s: 2000\r\nContent-Length: 1\r\n\r\nx", xRequest, i, xWork)
				Expect(err).NotTo(HaveOccurred())
				a, _, err := readAnswer(c)
				Expect(err).NotTo(HaveOccurred())
				Expect(a.StatusCode).To(Equal(http.StatusBadGateway))
			})
		}
		Eventually(func() (n int) {
			p.gateway.inFlight.each(func(f *callerRequest) {
				if f.progress.currentStage() == stageSent {
					n++
				}
			})
			return n
		}).Should(Equal(requests))
		p.gateway.inFlight.each(func(f *callerRequest) {
			f.cancel(errShutdown)
			f.progress.mu.Lock()
			f.progress.stage = stageReceiving
			f.progress.mu.Unlock()
			f.endReceiving()
		})
		all.Wait()
	})

	It("ends at its upstream within half a second after its caller has left", func() {
		p, open := newUploads()
		c := upload(p, "Transfer-Encoding: chunked", 5*time.Second)
		Eventually(open).Should(Equal(1))
		Expect(c.Close()).To(Succeed())
		Eventually(open).WithTimeout(timeout / 2).Should(BeZero())
	})
})
