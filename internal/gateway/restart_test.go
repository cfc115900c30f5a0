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

// setIncarnation makes the list show that the gateway's only upstream started at the given time and holds the given
// version, or none for 0.
func (b *testbed) setIncarnation(born id.Incarnation, held id.Revision) *facts.Instance {
	i := *b.facts.Instances()[0]
	i.Born, i.Held = born, nil
	if held > 0 {
		i.Held = []facts.Held{{Model: "m", Revision: held}}
	}
	i.ListPosition++
	Expect(b.facts.SetInstance(&i)).To(BeTrue())
	return &i
}

var _ = Describe("an upstream that restarts with the same ID", func() {
	echo := func(q *http.Request, body string, c net.Conn) { reply(c, q, 200, "", body) }
	stream := func(q *http.Request, _ string, c net.Conn) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n", xRequest, q.Header.Get(xRequest))
	}
	modelHeader := []string{xModel, "m"}

	It("gets no request for weights that its previous process held, once a report shows the restart", func() {
		b := newTestbed(route(catalog.Streaming, "engines"))
		b.addUpstream("u", "engines", echo)
		i := b.setIncarnation(10, 1)
		b.tracker.SetReport(i.Address, placement.LoadReport{Incarnation: 20, ReceivedAt: time.Now().Add(-time.Minute)})
		a, _, err := b.sendRequest("POST", "/p/x", "", modelHeader...)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(http.StatusServiceUnavailable), "the report is too old for its load to count, but the restart counts")
		Expect(b.upstreamCount("1")).To(BeZero())
	})

	It("gets no request for weights in a late report of its previous process, if the list already shows the restart", func() {
		b := newTestbed(route(catalog.Streaming, "engines"))
		b.addUpstream("u", "engines", echo)
		i := b.setIncarnation(20, 0)
		b.tracker.Report(i)
		b.tracker.SetReport(i.Address, placement.LoadReport{
			Incarnation: 10, Held: []facts.Held{{Model: "m", Revision: 1}}, ReceivedAt: time.Now(),
		})
		a, _, err := b.sendRequest("POST", "/p/x", "", modelHeader...)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(b.upstreamCount("1")).To(BeZero())
	})

	It("is used at once although its previous process was avoided because of failures", func() {
		b := newTestbed(route(catalog.Safe, "plain"))
		var fails atomic.Bool
		fails.Store(true)
		b.addUpstream("u", "plain", func(q *http.Request, body string, c net.Conn) {
			if fails.Load() {
				c.Close()
				return
			}
			echo(q, body, c)
		})
		i := b.setIncarnation(10, 0)
		_, _, err := b.sendRequest("GET", "/p/x", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(b.tracker.Candidate(i, 0).Suspect).To(BeTrue())
		fails.Store(false)
		restarted := b.setIncarnation(20, 0)
		Expect(b.tracker.Candidate(restarted, 0).Suspect).To(BeFalse())
		a, _, err := b.sendRequest("GET", "/p/x", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(http.StatusOK))
	})

	// The connection breaks with the process. The next process must not run what the previous one may have run.
	DescribeTable("during a request", func(kind catalog.Kind, pool id.Pool, runs, status int) {
		b := newTestbed(route(kind, pool))
		began := make(chan net.Conn, 4)
		b.addUpstream("u", pool, func(q *http.Request, body string, c net.Conn) {
			if b.upstreamCount("1") > 1 {
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
		b.setIncarnation(10, 1)
		go func() {
			defer GinkgoRecover()
			c := <-began
			b.setIncarnation(20, 1)
			c.Close()
		}()
		method := map[catalog.Kind]string{catalog.Safe: "GET", catalog.Unsafe: "POST", catalog.Streaming: "POST"}[kind]
		a, _, err := b.sendRequest(method, "/p/x", "", modelHeader...)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(status))
		Expect(b.upstreamCount("1")).To(Equal(runs))
	},
		Entry("an unsafe request is not run again", catalog.Unsafe, id.Pool("plain"), 1, http.StatusBadGateway),
		Entry("a safe request is not sent to the same ID again", catalog.Safe, id.Pool("plain"), 1, http.StatusBadGateway),
		Entry("a stream is not sent to the same ID again", catalog.Streaming, id.Pool("engines"), 1, http.StatusBadGateway),
	)

	It("counts no request of its previous process as running", func() {
		b := newTestbed(route(catalog.Unsafe, "plain"))
		began := make(chan struct{}, 1)
		b.addUpstream("u", "plain", func(q *http.Request, _ string, _ net.Conn) {
			began <- struct{}{}
			<-q.Context().Done()
		})
		i := b.setIncarnation(10, 0)
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
		Expect(b.tracker.Candidate(b.setIncarnation(20, 0), 0).InFlight).To(BeZero())
	})
})
