package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/placement"
)

// started makes the list say that the only upstream of a gateway started at a moment, holding a version, or none for 0.
func (b *testbed) started(born id.Incarnation, held id.Revision) *facts.Instance {
	i := *b.facts.Instances()[0]
	i.Born, i.Held = born, nil
	if held > 0 {
		i.Held = []facts.Held{{Model: "m", Revision: held}}
	}
	i.ListPosition++
	Expect(b.facts.SetInstance(&i)).To(BeTrue())
	return &i
}

var _ = Describe("an upstream that starts again under its ID", func() {
	echo := func(q *http.Request, body string, c net.Conn) { reply(c, q, 200, "", body) }
	stream := func(q *http.Request, _ string, c net.Conn) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n", xRequest, q.Header.Get(xRequest))
	}
	asked := []string{xModel, "m"}

	It("gets no request for weights that its start before held, once a report says that it has started", func() {
		b := newTestbed(route(catalog.Streaming, "engines"))
		b.upstream("u", "engines", echo)
		i := b.started(10, 1)
		b.tracker.SetReport(i.Address, placement.LoadReport{Incarnation: 20, ReceivedAt: time.Now().Add(-time.Minute)})
		a, _, err := b.ask("POST", "/p/x", "", asked...)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(http.StatusServiceUnavailable), "the report is too old to be believed, and the start is not")
		Expect(b.runs("1")).To(BeZero())
	})

	It("gets no request for weights that a late report of its start before tells of, while its own list has the new start", func() {
		b := newTestbed(route(catalog.Streaming, "engines"))
		b.upstream("u", "engines", echo)
		i := b.started(20, 0)
		b.tracker.Report(i)
		b.tracker.SetReport(i.Address, placement.LoadReport{
			Incarnation: 10, Held: []facts.Held{{Model: "m", Revision: 1}}, ReceivedAt: time.Now(),
		})
		a, _, err := b.ask("POST", "/p/x", "", asked...)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(b.runs("1")).To(BeZero())
	})

	It("is asked at once although its start before was left alone for its failures", func() {
		b := newTestbed(route(catalog.Safe, "plain"))
		var fails atomic.Bool
		fails.Store(true)
		b.upstream("u", "plain", func(q *http.Request, body string, c net.Conn) {
			if fails.Load() {
				c.Close()
				return
			}
			echo(q, body, c)
		})
		i := b.started(10, 0)
		_, _, err := b.ask("GET", "/p/x", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(b.tracker.Candidate(i, 0).Suspect).To(BeTrue())
		fails.Store(false)
		again := b.started(20, 0)
		Expect(b.tracker.Candidate(again, 0).Suspect).To(BeFalse())
		a, _, err := b.ask("GET", "/p/x", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(http.StatusOK))
	})

	// The connection breaks with the process. What the start before may have run is not run by the next one.
	DescribeTable("in the middle of a request", func(kind catalog.Kind, pool id.Pool, runs, status int) {
		b := newTestbed(route(kind, pool))
		began := make(chan net.Conn, 4)
		b.upstream("u", pool, func(q *http.Request, body string, c net.Conn) {
			if b.runs("1") > 1 {
				if kind == catalog.Streaming {
					stream(q, body, c)
					_, _ = io.WriteString(c, "0\r\n\r\n")
					return
				}
				echo(q, body, c)
				return
			}
			began <- c
			<-q.Context().Done()
		})
		b.started(10, 1)
		go func() {
			defer GinkgoRecover()
			c := <-began
			b.started(20, 1)
			c.Close()
		}()
		method := map[catalog.Kind]string{catalog.Safe: "GET", catalog.Unsafe: "POST", catalog.Streaming: "POST"}[kind]
		a, _, err := b.ask(method, "/p/x", "", asked...)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(status))
		Expect(b.runs("1")).To(Equal(runs))
	},
		Entry("an unsafe one is not run again", catalog.Unsafe, id.Pool("plain"), 1, http.StatusBadGateway),
		Entry("a safe one is not offered to the same ID again", catalog.Safe, id.Pool("plain"), 1, http.StatusBadGateway),
		Entry("nor is a stream", catalog.Streaming, id.Pool("engines"), 1, http.StatusBadGateway),
	)

	It("counts no request of its start before as running there", func() {
		b := newTestbed(route(catalog.Unsafe, "plain"))
		began := make(chan struct{}, 1)
		b.upstream("u", "plain", func(q *http.Request, _ string, _ net.Conn) {
			began <- struct{}{}
			<-q.Context().Done()
		})
		i := b.started(10, 0)
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		go func() {
			q, _ := http.NewRequestWithContext(ctx, http.MethodPost, b.server.URL+"/p/x", http.NoBody)
			q.Host = "h.example"
			q.Header.Set(xRequest, "1")
			if a, err := http.DefaultClient.Do(q); err == nil {
				a.Body.Close()
			}
		}()
		<-began
		Expect(b.tracker.Candidate(i, 0).InFlight).To(Equal(1))
		Expect(b.tracker.Candidate(b.started(20, 0), 0).InFlight).To(BeZero())
	})
})
