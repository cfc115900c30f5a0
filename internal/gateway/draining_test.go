package gateway

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/phuslu/log"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/reports"
)

// testStager is the stager on an upstream's VM: its own upstream list, and the reporter that sends datagrams to a
// gateway.
type testStager struct {
	facts    *facts.Facts
	reporter *reports.Reporter
	address  string
}

// logBuffer collects log lines.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (p *logBuffer) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.text.Write(b)
}

// String implements fmt.Stringer.
func (p *logBuffer) String() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.text.String()
}

func listenUDP() *net.UDPConn {
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = c.Close() })
	return c
}

// newStager starts the stager on the VM of the gateway's only upstream and subscribes the gateway to it.
func (b *testbed) newStager() *testStager {
	discard := &log.Logger{Level: log.PanicLevel}
	c := listenUDP()
	n := &testStager{facts: facts.New(time.Now), address: b.facts.Instances()[0].Address}
	n.reporter = reports.NewReporter(c, "d", n.facts, time.Now, discard)
	s := reports.NewSubscriber(listenUDP(), c.LocalAddr().(*net.UDPAddr).Port, "d", b.facts, time.Now, discard)
	b.gateway.loadSources.Tracker = s.Tracker()
	ctx, stop := context.WithCancel(context.Background())
	DeferCleanup(stop)
	go func() { _ = n.reporter.Run(ctx) }()
	go func() { _ = s.Run(ctx) }()
	Eventually(func() bool {
		n.publish()
		_, ok := s.Tracker().FreshReport(n.address)
		return ok
	}).Should(BeTrue())
	return n
}

func (n *testStager) publish() {
	n.reporter.Publish(&pb.UpstreamReport{Address: n.address, Pace: 1, Held: []*pb.HeldWeights{{Model: "m", Revision: 1}}}, time.Now())
}

var _ = Describe("an upstream whose stager knows that it is draining", func() {
	// Guards against requests to an upstream that is draining. Its announcement reached its own failure domain but was
	// lost on its way to a gateway in another one, which went on sending requests to it. The stager on its VM knew of
	// the draining and reported the upstream's load to that gateway five times a second.
	It("gets no more requests from a gateway whose list still shows it as ready", func() {
		r := route(catalog.Streaming, "engines")
		r.LatencyTarget = 400 * time.Millisecond
		b := newTestbed(r)
		b.addUpstream("u", "engines", func(q *http.Request, _ string, c net.Conn) {
			stream(c, q, xRevision+": 1\r\n", "id: 1\ndata: a\n\n")
			_, _ = c.Write([]byte("0\r\n\r\n"))
		})
		lines := &logBuffer{}
		b.gateway.log = &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: lines}}
		n := b.newStager()
		listed := *b.facts.Instance("u")
		listed.ListPosition = 3
		b.facts.SetInstance(&listed)
		n.facts.SetInstance(&facts.Instance{ID: "u", Pool: "engines", Address: n.address, ListPosition: 3})
		n.publish()
		a, _, err := b.sendRequest("POST", "/p/", "x", xModel, "m")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(200))
		n.facts.SetInstance(&facts.Instance{ID: "u", Pool: "engines", Address: n.address, ListPosition: 4, Leaving: true})
		n.publish()
		time.Sleep(100 * time.Millisecond)
		a, _, err = b.sendRequest("POST", "/p/", "x", xModel, "m", xRequest, "2")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(503))
		Expect(b.upstreamCount("2")).To(BeZero())
		Expect(b.facts.Instance("u").Leaving).To(BeFalse(), "the gateway's list has not changed")
		Eventually(lines.String).Should(ContainSubstring(`"left_out":{"leaving":1}`))
	})

	It("gets no retry of a request that was in flight when the announcement arrived", func() {
		b := newTestbed(route(catalog.Unsafe, "plain"))
		address := map[string]string{}
		var first sync.Once
		for _, n := range []string{"u", "v"} {
			other := map[string]string{"u": "v", "v": "u"}[n]
			b.addUpstream(n, "plain", func(q *http.Request, _ string, c net.Conn) {
				first.Do(func() {
					b.facts.ApplyAnnouncement(facts.Announcement{Instance: id.Instance(other), Address: address[other], Left: true, Position: 5})
				})
				reply(c, q, 503, xNotRun+": 1\r\n", "")
			})
		}
		for _, i := range b.facts.Instances() {
			address[string(i.ID)] = i.Address
		}
		a, _, err := b.sendRequest("POST", "/p/", "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(503))
		Expect(b.upstreamCount("1")).To(Equal(1))
	})
})
