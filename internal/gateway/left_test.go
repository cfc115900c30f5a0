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

// neighbour is the stager beside an upstream: its own list, and the reports that it sends to a gateway by datagrams.
type neighbour struct {
	facts    *facts.Facts
	reporter *reports.Reporter
	address  string
}

// pages collects log lines.
type pages struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (p *pages) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.text.Write(b)
}

// String implements fmt.Stringer.
func (p *pages) String() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.text.String()
}

func udp() *net.UDPConn {
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = c.Close() })
	return c
}

// newNeighbour makes the stager beside the only upstream of a gateway, to which the gateway subscribes.
func (b *testbed) newNeighbour() *neighbour {
	quiet := &log.Logger{Level: log.PanicLevel}
	c := udp()
	n := &neighbour{facts: facts.New(time.Now), address: b.facts.Instances()[0].Address}
	n.reporter = reports.NewReporter(c, "d", n.facts, time.Now, quiet)
	s := reports.NewSubscriber(udp(), c.LocalAddr().(*net.UDPAddr).Port, "d", b.facts, time.Now, quiet)
	b.gateway.load.Tracker = s.Tracker()
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

func (n *neighbour) publish() {
	n.reporter.Publish(&pb.UpstreamReport{Address: n.address, Pace: 1, Held: []*pb.HeldWeights{{Model: "m", Revision: 1}}}, time.Now())
}

var _ = Describe("an upstream whose stager knows that it leaves", func() {
	// An upstream said in the list that it leaves. The word came to its own failure domain, and was lost on its way to a
	// gateway of another one, which sent requests to it for as long as it served. The stager beside it knew all along and
	// reported its load to that gateway five times a second.
	It("gets no request any more from a gateway whose own list still has it as ready", func() {
		r := route(catalog.Streaming, "engines")
		r.LatencyTarget = 400 * time.Millisecond
		b := newTestbed(r)
		b.upstream("u", "engines", func(q *http.Request, _ string, c net.Conn) {
			stream(c, q, xRevision+": 1\r\n", "id: 1\ndata: a\n\n")
			_, _ = c.Write([]byte("0\r\n\r\n"))
		})
		lines := &pages{}
		b.gateway.log = &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: lines}}
		n := b.newNeighbour()
		own := *b.facts.Instance("u")
		own.ListPosition = 3
		b.facts.SetInstance(&own)
		n.facts.SetInstance(&facts.Instance{ID: "u", Pool: "engines", Address: n.address, ListPosition: 3})
		n.publish()
		a, _, err := b.ask("POST", "/p/", "x", xModel, "m")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(200))
		n.facts.SetInstance(&facts.Instance{ID: "u", Pool: "engines", Address: n.address, ListPosition: 4, Leaving: true})
		n.publish()
		time.Sleep(100 * time.Millisecond)
		a, _, err = b.ask("POST", "/p/", "x", xModel, "m", xRequest, "2")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(503))
		Expect(b.runs("2")).To(BeZero())
		Expect(b.facts.Instance("u").Leaving).To(BeFalse(), "the gateway's own list has not changed")
		Eventually(lines.String).Should(ContainSubstring(`"left_out":{"leaving":1}`))
	})

	It("gets no second try of a request that was on its way when the word came", func() {
		b := newTestbed(route(catalog.Unsafe, "plain"))
		address := map[string]string{}
		var first sync.Once
		for _, n := range []string{"u", "v"} {
			other := map[string]string{"u": "v", "v": "u"}[n]
			b.upstream(n, "plain", func(q *http.Request, _ string, c net.Conn) {
				first.Do(func() {
					b.facts.ApplyAnnouncement(facts.Announcement{Instance: id.Instance(other), Address: address[other], Left: true, Position: 5})
				})
				reply(c, q, 503, xNotRun+": 1\r\n", "")
			})
		}
		for _, i := range b.facts.Instances() {
			address[string(i.ID)] = i.Address
		}
		a, _, err := b.ask("POST", "/p/", "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(503))
		Expect(b.runs("1")).To(Equal(1))
	})
})
