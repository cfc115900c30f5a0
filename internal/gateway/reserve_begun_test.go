package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/admission"
	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/placement"
	"github.com/springrail/springrail/internal/reservation"
)

var _ = Describe("a stream that asks for reservations", func() {
	// begun returns the first and the last request's mark of a stream whose first upstream plays first.
	begun := func(first func(q *http.Request, c net.Conn)) (before, after bool) {
		b := newTestbed(route(catalog.Streaming, "engines"))
		var firstRequest sync.Once
		for _, n := range []string{"u", "v"} {
			b.addUpstream(n, "engines", func(q *http.Request, _ string, c net.Conn) {
				played := false
				firstRequest.Do(func() { played = true; first(q, c) })
				if !played {
					stream(c, q, xRevision+": 1\r\n", "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n")
					_, _ = c.Write([]byte("0\r\n\r\n"))
				}
			})
		}
		s := b.reserveWith(func(context.Context, string) (reservation.Answer, bool, bool) { return grants(time.Millisecond) })
		_, body, err := b.sendRequest("POST", "/p/", "x", xModel, "m", "X-Hang-Up", "1")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.requests[0].Begun, s.requests[len(s.requests)-1].Begun
	}

	It("marks the request as begun once its caller has a part of the answer", func() {
		before, after := begun(func(q *http.Request, c net.Conn) { stream(c, q, xRevision+": 1\r\n", "id: 1\ndata: a\n\n") })
		Expect([]bool{before, after}).To(Equal([]bool{false, true}))
	})

	It("marks a hedged request as begun", func() {
		before, after := begun(func(*http.Request, net.Conn) { time.Sleep(2 * HedgeDelay(time.Millisecond)) })
		Expect([]bool{before, after}).To(Equal([]bool{false, true}))
	})

	It("is not refused once its caller has the header, whatever the stagers answer", func() {
		for _, r := range []admission.Refusal{admission.Busy, admission.Closed, admission.Version} {
			b := newEngines("d1", "d2")
			b.reserveWith(func(context.Context, string) (reservation.Answer, bool, bool) { return refuses(r) })
			f := b.newRequest()
			f.headSent = true
			_, p := f.choose(context.Background())
			Expect(p).To(BeNil())
		}
	})

	// Guards against a hedge that leaves the regions in which the request may be served.
	It("stays within its regions when it is hedged", func() {
		f := newEngines("d1").newRequest()
		f.regions = catalog.NewRegions([]id.Region{"region-d"})
		t := &attempt{request: f, parentCtx: context.Background()}
		copied := t.forkRequest()
		defer copied.cancel(nil)
		Expect(copied.regions).To(Equal(f.regions))
	})
})

var _ = Describe("a request that needs no reservation", func() {
	DescribeTable("asks for none, and is sent where it would be without them", func(change func(b *testbed)) {
		b := newEngines("d1", "d2", "d3", "d4", "e1", "e2")
		s := b.reserveWith(func(context.Context, string) (reservation.Answer, bool, bool) { return grants(0) })
		change(b)
		for seed := range uint64(100) {
			r := rand.New(rand.NewPCG(seed, 1))
			b.gateway.random = func() *rand.Rand { return r }
			f := b.newRequest()
			got, p := f.choose(context.Background())
			Expect(p).To(BeNil())
			r = rand.New(rand.NewPCG(seed, 1))
			want, refusal := b.gateway.balancer().Choose(f.query())
			Expect(refusal).To(BeNil())
			Expect(got.Instance).To(Equal(want.Instance))
			Expect(f.permit).To(BeZero())
		}
		Expect(s.asked).To(BeEmpty())
	},
		Entry("the setting is off", func(b *testbed) { b.gateway.settings.ReservationMinGateways = 0 }),
		Entry("there are too few gateways", func(b *testbed) { b.gateway.settings.ReservationMinGateways = 5 }),
	)

	It("has its place in the queue stated only towards engines whose requests have several ranks", func() {
		urgent, relaxed, plain := route(catalog.Unsafe, "engines"), route(catalog.Unsafe, "engines"), route(catalog.Unsafe, "plain")
		relaxed.Name, relaxed.PathPrefix, relaxed.Priority = "s", "/s/", 4
		plain.Name, plain.PathPrefix, plain.Priority = "t", "/t/", 4
		engines, service := &catalog.Service{Name: "engines", Engine: &catalog.Engine{}}, &catalog.Service{Name: "plain"}
		for _, l := range [][]*catalog.Route{{urgent, relaxed, plain}, {urgent}} {
			c := catalog.New(1, l, []*catalog.Service{engines, service}, nil, catalog.Limits{})
			for n, r := range l {
				f := newTestbed().newRequest()
				f.catalog, f.route, f.pool, f.rank = c, r, r.Shares[0].Pool, catalog.NewRank(nil, r)
				f.httpRequest = &http.Request{Header: http.Header{}}
				var meta ForwardMeta
				f.gateway.dialect.PrepareHeader = func(_ http.Header, m ForwardMeta) { meta = m }
				f.upstreamRequest(placement.Choice{})
				Expect(meta.Ranked).To(Equal(len(l) > 1 && r != plain))
				if meta.Ranked {
					Expect(meta.QueuePriority).To(Equal(n))
				}
			}
		}
	})

	It("asks for none as its pool is not one of engines", func() {
		b := newTestbed(route(catalog.Unsafe, "plain"))
		b.addUpstream("u", "plain", func(q *http.Request, _ string, c net.Conn) { reply(c, q, 200, "", "ran") })
		s := b.reserveWith(func(context.Context, string) (reservation.Answer, bool, bool) { return grants(0) })
		_, body, err := b.sendRequest("POST", "/p/", "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("ran"))
		Expect(s.asked).To(BeEmpty())
	})
})
