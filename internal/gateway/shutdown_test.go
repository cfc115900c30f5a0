package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/phuslu/log"

	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/kernel"
)

// xWork is how long an upstream takes to answer a request.
const xWork = "X-Work-Ms"

// closingListener closes all its connections at once, as the end of a process does.
type closingListener struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

func (l *closingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	return c, err
}

func (l *closingListener) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		if c != nil {
			c.Close()
		}
	}
}

// process is a gateway that runs and ends as in a process of its own.
type process struct {
	*testbed
	address  string
	listener *closingListener
	stopRun  context.CancelFunc
	termAt   time.Time
	// ended is closed when the process has ended, after took.
	ended chan struct{}
	took  time.Duration
}

func startProcess(b *testbed) *process {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	p := &process{testbed: b, address: l.Addr().String(), listener: &closingListener{Listener: l}, ended: make(chan struct{})}
	b.gateway.listener = p.listener
	ctx, stop := context.WithCancel(context.Background())
	p.stopRun = stop
	DeferCleanup(stop)
	go func() { _ = b.gateway.Run(ctx) }()
	return p
}

// terminate shuts the gateway down within the given time, and then ends the process.
func (p *process) terminate(within time.Duration) {
	p.termAt = time.Now()
	go func() {
		defer close(p.ended)
		ctx, stop := context.WithTimeout(context.Background(), within)
		defer stop()
		p.gateway.Drain(ctx)
		p.stopRun()
		p.listener.closeAll()
		p.took = time.Since(p.termAt)
	}()
}

func (p *process) sleepUntil(afterTerm time.Duration) {
	time.Sleep(time.Until(p.termAt.Add(afterTerm)))
}

// send sends the header and the first byte of a body of two at one time after SIGTERM, and the second byte at another.
func (p *process) send(request string, deadline, work, headerAt, bodyAt time.Duration) (status int, body string, err error) {
	p.sleepUntil(headerAt)
	c, err := net.Dial("tcp", p.address)
	if err != nil {
		return 0, "", err
	}
	defer c.Close()
	_, _ = fmt.Fprintf(c, "POST /p/ HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: %d\r\n%s: %d\r\nContent-Length: 2\r\n\r\nx",
		xRequest, request, xTimeout, deadline.Milliseconds(), xWork, work.Milliseconds())
	go func() {
		p.sleepUntil(bodyAt)
		_, _ = io.WriteString(c, "y")
	}()
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", err
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return a.StatusCode, string(b), err
}

// addWorkingUpstream adds an upstream that answers each request after the time that its header states.
func (b *testbed) addWorkingUpstream(name string) {
	b.addUpstream(name, "plain", func(q *http.Request, _ string, c net.Conn) {
		ms, _ := strconv.Atoi(q.Header.Get(xWork))
		time.Sleep(time.Duration(ms) * time.Millisecond)
		reply(c, q, 200, "", "whole")
	})
}

var _ = Describe("a graceful shutdown shorter than the requests' deadlines", func() {
	const within, deadline = 5 * time.Second, 6 * time.Second

	It("ends no request without a complete answer, and reports none as not run that was sent", func() {
		r := route(catalog.Unsafe, "plain")
		r.Timeout = deadline
		p := startProcess(newTestbed(r))
		p.addWorkingUpstream("u")
		p.terminate(within)
		const s = time.Second
		var wg sync.WaitGroup
		var mu sync.Mutex
		var wrong []string
		for n, k := range []struct {
			name                   string
			headerAt, bodyAt, work time.Duration
			deadline               time.Duration
			statuses               []int
		}{
			{"early and short", 0, 0, s / 10, deadline, []int{200}},
			{"early and slow, but over in time", 0, 0, 4 * s, deadline, []int{200}},
			{"while it takes requests, over in time afterwards", s, s, 5 * s / 2, deadline, []int{200}},
			{"sent at once, not over in time", 2 * s, 2 * s, 5 * s, deadline, []int{502, 503}},
			{"complete late, not over in time", 2 * s, 7 * s / 2, 5 * s, deadline, []int{503}},
			{"complete late", s / 2, 4 * s, s / 10, deadline, []int{200, 503}},
			{"never complete", 2 * s, 20 * s, 0, deadline, []int{503}},
			{"late", 7 * s / 2, 7 * s / 2, 5 * s, deadline, []int{503}},
			{"late, but over in time whatever happens", 7 * s / 2, 7 * s / 2, s / 10, s / 2, []int{200}},
		} {
			wg.Go(func() {
				request := strconv.Itoa(n)
				status, _, err := p.send(request, k.deadline, k.work, k.headerAt, k.bodyAt)
				ran := p.upstreamCount(request)
				if late := time.Since(p.termAt) - (within - kernel.AnswerReserve(within)); late > newConnPeriod/2 {
					err = errors.Join(err, fmt.Errorf("answered %v after answers were due", late))
				}
				if err != nil || !slices.Contains(k.statuses, status) || (status == http.StatusServiceUnavailable && ran > 0) {
					mu.Lock()
					defer mu.Unlock()
					wrong = append(wrong, fmt.Sprintf("%s: status %d, error %v, sent to %d upstreams", k.name, status, err, ran))
				}
			})
		}
		wg.Wait()
		Expect(wrong).To(BeEmpty())
		Eventually(p.ended, 2*within).Should(BeClosed())
		Expect(time.Since(p.termAt)).To(BeNumerically("<", within))
	})

	It("breaks off a stream that has begun so that it does not look complete, and says so in its line", func() {
		r := route(catalog.Streaming, "plain")
		r.Timeout = deadline
		p := startProcess(newTestbed(r))
		lines := &logBuffer{}
		p.gateway.log = &log.Logger{Writer: log.IOWriter{Writer: lines}}
		p.addUpstream("u", "plain", func(q *http.Request, _ string, c net.Conn) {
			stream(c, q, "", "id: 1\ndata: a\n\n")
			_, _ = c.Read(make([]byte, 1))
		})
		p.terminate(time.Second)
		status, body, err := p.send("1", deadline, 0, 0, 0)
		Expect(status).To(Equal(200))
		Expect(body).To(Equal("id: 1\ndata: a\n\n"))
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Eventually(lines.String).Should(ContainSubstring(`"reason":"gateway_shutdown"`))
	})

	It("is not prolonged by short requests that keep coming on new connections", func() {
		r := route(catalog.Unsafe, "plain")
		p := startProcess(newTestbed(r))
		p.addWorkingUpstream("u")
		p.terminate(10 * time.Second)
		var wg sync.WaitGroup
		for n := range 160 {
			wg.Go(func() {
				defer GinkgoRecover()
				at := time.Duration(n) * 50 * time.Millisecond
				request := strconv.Itoa(n)
				status, _, err := p.send(request, time.Second, 300*time.Millisecond, at, at)
				if err != nil {
					Expect(p.upstreamCount(request)).To(BeZero())
					return
				}
				Expect(status).To(Equal(200))
			})
		}
		wg.Wait()
		Eventually(p.ended, 2*within).Should(BeClosed())
		Expect(p.took).To(BeNumerically("<", acceptPeriod+listenPeriod+newConnPeriod+2*time.Second))
	})

	DescribeTable("does not send a request to an engine that is not expected to complete it in time", func(tokens float64, sent int) {
		r := route(catalog.Streaming, "engines")
		r.Timeout = deadline
		p := startProcess(newTestbed(r))
		p.addUpstream("u", "engines", func(q *http.Request, _ string, c net.Conn) { reply(c, q, 200, "", "id: 1\ndata: a\n\n") })
		for range 100 {
			p.gateway.answerLengths.Record(r.Name, tokens)
		}
		p.terminate(2 * time.Second)
		Eventually(p.gateway.isLeaving).Should(BeTrue())
		a, _, err := p.sendRequest("POST", "/p/", "x", xModel, "m")
		Expect(err).NotTo(HaveOccurred())
		Expect(p.upstreamCount("1")).To(Equal(sent))
		Expect(a.StatusCode == http.StatusServiceUnavailable).To(Equal(sent == 0))
	},
		Entry("an answer of 0.1 s", 100.0, 1),
		Entry("an answer of 5 s", 5000.0, 0))
})
