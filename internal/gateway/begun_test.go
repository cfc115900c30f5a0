package gateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/placement"
)

var _ = Describe("an answer that has begun", func() {
	const first, rest = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"

	// settings are a second configuration, with a key and limits that the first does not have.
	settings := func(b *testbed, routes []*catalog.Route, keys ...string) {
		services := []*catalog.Service{{Name: "plain"}, {Name: "engines", Engine: &catalog.Engine{Slots: 4, StepTime: time.Millisecond, PrefillTokensPerSecond: 100000}}}
		orgs := []*catalog.Organisation{{Name: "gym", Keys: keys}}
		b.facts.SetCatalog(catalog.New(8, routes, services, orgs, catalog.Limits{HeaderBytes: 1, BodyBytes: 1, IdleTimeout: time.Millisecond}))
	}
	changed := func(change func(r *catalog.Route)) *catalog.Route {
		r := route(catalog.Streaming, "engines")
		change(r)
		return r
	}

	DescribeTable("is brought to its end whatever is planned under it",
		func(plan func(b *testbed)) {
			r := route(catalog.Streaming, "engines")
			r.Public = false
			b := newTestbed(r)
			b.upstream("u", "engines", func(q *http.Request, _ string, c net.Conn) {
				stream(c, q, "", first)
				plan(b)
				time.Sleep(400 * time.Millisecond)
				_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", len(rest), rest)
			})
			_, body, err := b.ask("POST", "/p/", "x", xModel, "m", xKey, "secret")
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal(first + rest))
		},
		Entry("its route is dropped", func(b *testbed) { settings(b, nil, "secret") }),
		Entry("its route goes to another service", func(b *testbed) {
			settings(b, []*catalog.Route{changed(func(r *catalog.Route) { r.Shares = []catalog.Share{{Pool: "plain", Weight: 1}} })}, "secret")
		}),
		Entry("its route's timeout is shortened", func(b *testbed) {
			settings(b, []*catalog.Route{changed(func(r *catalog.Route) { r.Timeout = 10 * time.Millisecond })}, "secret")
		}),
		Entry("its key is taken away, and its body and head are above new limits", func(b *testbed) { settings(b, nil, "other") }),
		Entry("its upstream says that it leaves", func(b *testbed) {
			u := *b.facts.Instance("u")
			u.Leaving, u.ListPosition = true, 1
			b.facts.SetInstance(&u)
		}),
		Entry("its upstream's entry goes", func(b *testbed) { b.facts.DropInstance("u", 1) }),
		Entry("its upstream is about to load weights", func(b *testbed) {
			b.tracker.SetReport(b.facts.Instance("u").Address, placement.LoadReport{Closed: true, ReceivedAt: time.Now()})
		}),
		Entry("its model's version is over", func(b *testbed) {
			b.gateway.settings.SwapWithin = 100 * time.Millisecond
			b.facts.SetWanted("m", secondNamed())
		}),
		Entry("its gateway is to stop", func(b *testbed) {
			ctx, stop := context.WithTimeout(context.Background(), 8*time.Second)
			DeferCleanup(stop)
			go b.gateway.Drain(ctx)
		}),
	)

	It("reaches its caller whole and in order whenever two upstreams pause", func() {
		const streams, events, pauseMost = 60, 6, 2500
		r := route(catalog.Streaming, "engines")
		r.Timeout = 12 * time.Second
		b := newTestbed(r)
		b.gateway.budget = placement.NewRetryBudget(placement.RetryBudgetRule{Slack: streams, Window: time.Minute}, func() int { return 1 }, time.Now)
		pausing := func(q *http.Request, _ string, c net.Conn) {
			after, _ := strconv.Atoi(q.Header.Get(xAfter))
			random := rand.New(rand.NewPCG(uint64(len(q.Header.Get(xRequest))), uint64(after)+uint64(time.Now().UnixNano())))
			pauseAt := after + 1 + random.IntN(events)
			time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
			stream(c, q, xRevision+": 1\r\n")
			for n := after + 1; n <= events; n++ {
				if n == pauseAt {
					time.Sleep(time.Duration(random.IntN(pauseMost)) * time.Millisecond)
				}
				e := fmt.Sprintf("id: %d\ndata: %s\n\n", n, q.Header.Get(xRequest))
				_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e)
			}
			_, _ = io.WriteString(c, "0\r\n\r\n")
		}
		for _, name := range []string{"u", "v"} {
			b.upstream(name, "engines", pausing)
			u := *b.facts.Instance(id.Instance(name))
			u.Slots, u.ListPosition = 2*streams, 1
			u.Held = []facts.Held{{Model: "m", Revision: 1}}
			b.facts.SetInstance(&u)
		}
		var wg sync.WaitGroup
		for n := range streams {
			wg.Go(func() {
				defer GinkgoRecover()
				request := strconv.Itoa(n)
				_, body, err := b.ask("POST", "/p/", "x"+request, xModel, "m", xRequest, request)
				Expect(err).NotTo(HaveOccurred())
				var whole strings.Builder
				for n := 1; n <= events; n++ {
					fmt.Fprintf(&whole, "id: %d\ndata: %s\n\n", n, request)
				}
				Expect(body).To(Equal(whole.String()))
			})
		}
		wg.Wait()
		Expect(b.gateway.tally.vars.Get("hedged")).NotTo(BeNil(), "some pause was long enough")
	})
})
