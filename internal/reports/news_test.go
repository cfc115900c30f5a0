package reports

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/placement"
)

var _ = describe("a gateway's news", func() {
	engines := []*catalog.Service{{Name: "p", Engine: &catalog.Engine{}}, {Name: "plain"}}

	it("reaches all other gateways by way of stagers, once a stager, and is no report of any upstream", func() {
		ctx, stop := context.WithCancel(context.Background())
		ginkgo.DeferCleanup(stop)
		r := NewReporter(socket(), "d", facts.New(time.Now), time.Now, quiet)
		go func() { _ = r.Run(ctx) }()
		f := facts.New(time.Now)
		f.SetCatalog(catalog.New(1, nil, engines, nil, catalog.Limits{}))
		f.SetInstance(&facts.Instance{ID: "i", Pool: "p", Address: "127.0.0.1:9"})
		var mu sync.Mutex
		heard := map[int]int{}
		var gateways []*Subscriber
		for n := range 3 {
			s := NewSubscriber(socket(), port(r.conn), "d", f, time.Now, quiet)
			s.OnCrashNews = func(m *pb.CrashNews) {
				mu.Lock()
				defer mu.Unlock()
				heard[n] += len(m.GetServed())
			}
			go func() { _ = s.Run(ctx) }()
			gateways = append(gateways, s)
		}
		Eventually(func() int {
			r.mu.Lock()
			defer r.mu.Unlock()
			return len(r.subscribers)
		}).Should(Equal(3))
		gateways[0].BroadcastCrashNews(&pb.CrashNews{Served: [][]byte{{1}}})
		Eventually(func() map[int]int {
			mu.Lock()
			defer mu.Unlock()
			return map[int]int{0: heard[0], 1: heard[1], 2: heard[2]}
		}).Should(Equal(map[int]int{0: 0, 1: 1, 2: 1}))
		_, ok := gateways[1].Tracker().FreshReport("127.0.0.1:9")
		Expect(ok).To(BeFalse())
	})

	it("goes by stagers of different failure domains that have reported lately", func() {
		f := facts.New(time.Now)
		f.SetCatalog(catalog.New(1, nil, engines, nil, catalog.Limits{}))
		s := NewSubscriber(socket(), 1, "d0", f, time.Now, quiet)
		for n := range 12 {
			i := &facts.Instance{ID: id.Instance(fmt.Sprint(n)), Pool: "p", Address: fmt.Sprintf("127.0.0.%d:9", n+1), Domain: id.Domain(fmt.Sprint("d", n%4))}
			f.SetInstance(i)
		}
		f.SetInstance(&facts.Instance{ID: "plain", Pool: "plain", Address: "127.0.0.99:9", Domain: "d9"})
		Expect(s.relays()).To(HaveLen(newsRelays), "any stager will do while none has reported")
		for n := range 8 {
			s.Tracker().SetReport(fmt.Sprintf("127.0.0.%d:9", n+1), placement.LoadReport{ReceivedAt: time.Now()})
		}
		for range 50 {
			domains := map[id.Domain]bool{}
			for _, i := range s.relays() {
				domains[i.Domain] = true
				_, fresh := s.Tracker().FreshReport(i.Address)
				Expect(fresh).To(BeTrue())
			}
			Expect(domains).To(HaveLen(newsRelays))
		}
	})

	it("is bounded at its sender and at the stagers that pass it on", func() {
		now := time.Now()
		f := facts.New(time.Now)
		s := NewSubscriber(socket(), 1, "d", f, func() time.Time { return now }, quiet)
		for range newsAtOnce + 7 {
			s.BroadcastCrashNews(&pb.CrashNews{})
		}
		Expect(s.vars.Get("news_over_rate").String()).To(Equal("7"))
		r := NewReporter(socket(), "d", f, func() time.Time { return now }, quiet)
		for range passedAtOnce + 5 {
			r.passOn(&pb.CrashNews{})
		}
		Expect(r.vars.Get("news_over_rate").String()).To(Equal("5"))
	})
})
