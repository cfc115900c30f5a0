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

var _ = Describe("a response that has begun", func() {
	const first, rest = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"

	// applyConfig applies a second configuration, with keys and limits that the first does not have.
	applyConfig := func(b *testbed, routes []*catalog.Route, keys ...string) {
		services := []*catalog.Service{{Name: "plain"}, {Name: "engines", Engine: &catalog.Engine{Slots: 4, StepTime: time.Millisecond, PrefillTokensPerSecond: 100000}}}
		orgs := []*catalog.Organisation{{Name: "gym", Keys: keys}}
		b.facts.SetCatalog(catalog.New(8, routes, services, orgs, catalog.Limits{HeaderBytes: 1, BodyBytes: 1, IdleTimeout: time.Millisecond}))
	}
	changedRoute := func(change func(r *catalog.Route)) *catalog.Route {
		r := route(catalog.Streaming, "engines")
		change(r)
		return r
	}

	DescribeTable("is completed whatever planned change happens meanwhile",
		func(change func(b *testbed)) {
			r := route(catalog.Streaming, "engines")
			r.Public = false
			b := newTestbed(r)
			b.addUpstream("u", "engines", func(q *http.Request, _ string, c net.Conn) {
				stream(c, q, "", first)
				change(b)
				time.Sleep(400 * time.Millisecond)
				_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", len(rest), rest)
			})
			_, body, err := b.sendRequest("POST", "/p/", "x", xModel, "m", xKey, "secret")
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal(first + rest))
		},
		Entry("its route is removed", func(b *testbed) { applyConfig(b, nil, "secret") }),
		Entry("its route is changed to another service", func(b *testbed) {
			applyConfig(b, []*catalog.Route{changedRoute(func(r *catalog.Route) { r.Shares = []catalog.Share{{Pool: "plain", Weight: 1}} })}, "secret")
		}),
		Entry("its route's timeout is shortened", func(b *testbed) {
			applyConfig(b, []*catalog.Route{changedRoute(func(r *catalog.Route) { r.Timeout = 10 * time.Millisecond })}, "secret")
		}),
		Entry("its key is revoked, and its body and header exceed new limits", func(b *testbed) { applyConfig(b, nil, "other") }),
		Entry("its upstream announces that it is draining", func(b *testbed) {
			u := *b.facts.Instance("u")
			u.Leaving, u.ListPosition = true, 1
			b.facts.SetInstance(&u)
		}),
		Entry("its upstream's entry is removed", func(b *testbed) { b.facts.DropInstance("u", 1) }),
		Entry("its upstream is about to load weights", func(b *testbed) {
			b.tracker.SetReport(b.facts.Instance("u").Address, placement.LoadReport{Closed: true, ReceivedAt: time.Now()})
		}),
		Entry("the grace period of its model's version ends", func(b *testbed) {
			b.gateway.settings.SwapWithin = 100 * time.Millisecond
			b.facts.SetWanted("m", newSecondVersion())
		}),
		Entry("its gateway shuts down", func(b *testbed) {
			ctx, stop := context.WithTimeout(context.Background(), 8*time.Second)
			DeferCleanup(stop)
			go b.gateway.Drain(ctx)
		}),
	)

	It("reaches its caller complete and in order whenever its two upstreams pause", func() {
		const streams, events, maxPauseMs = 60, 6, 2500
		r := route(catalog.Streaming, "engines")
		r.Timeout = 12 * time.Second
		b := newTestbed(r)
		b.gateway.retryBudget = placement.NewRetryBudget(placement.RetryBudgetRule{Slack: streams, Window: time.Minute}, func() int { return 1 }, time.Now)
		pausing := func(q *http.Request, _ string, c net.Conn) {
			after, _ := strconv.Atoi(q.Header.Get(xLastEventID))
			random := rand.New(rand.NewPCG(uint64(len(q.Header.Get(xRequest))), uint64(after)+uint64(time.Now().UnixNano())))
			pauseAt := after + 1 + random.IntN(events)
			time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
			stream(c, q, xRevision+": 1\r\n")
			for n := after + 1; n <= events; n++ {
				if n == pauseAt {
					time.Sleep(time.Duration(random.IntN(maxPauseMs)) * time.Millisecond)
				}
				e := fmt.Sprintf("id: %d\ndata: %s\n\n", n, q.Header.Get(xRequest))
				_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e)
			}
			_, _ = io.WriteString(c, "0\r\n\r\n")
		}
		for _, name := range []string{"u", "v"} {
			b.addUpstream(name, "engines", pausing)
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
				_, body, err := b.sendRequest("POST", "/p/", "x"+request, xModel, "m", xRequest, request)
				Expect(err).NotTo(HaveOccurred())
				var whole strings.Builder
				for n := 1; n <= events; n++ {
					fmt.Fprintf(&whole, "id: %d\ndata: %s\n\n", n, request)
				}
				Expect(body).To(Equal(whole.String()))
			})
		}
		wg.Wait()
		Expect(b.gateway.metrics.vars.Get("hedged")).NotTo(BeNil(), "at least one pause was long enough for a hedged request")
	})
})
