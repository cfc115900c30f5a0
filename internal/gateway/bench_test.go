package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/dating"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/placement"
)

// BenchmarkChoice selects an upstream in a large deployment: 870 in 8 failure domains, with load reports of all and
// 60 requests expected until the next reports.
func BenchmarkChoice(b *testing.B) {
	_, newRequest := newChoiceBenchmark(b, 870, 8, 40)
	for b.Loop() {
		if c, _ := newRequest().choose(context.Background()); c.Address == "" {
			b.Fatal("nothing chosen")
		}
	}
}

// BenchmarkChoices selects the upstreams that one request asks for a reservation. Where few requests are expected, upstreams
// without an assigned request fill up the list.
func BenchmarkChoices(b *testing.B) {
	for _, size := range []struct{ upstreams, domains int }{{34, 3}, {870, 8}} {
		for _, expected := range []float64{40, 0} {
			for _, n := range []int{1, maxReservationRequests} {
				b.Run(fmt.Sprintf("upstreams=%d/perSecond=%g/choices=%d", size.upstreams, expected, n), func(b *testing.B) {
					g, newRequest := newChoiceBenchmark(b, size.upstreams, size.domains, expected)
					l := g.balancer()
					for b.Loop() {
						if chosen, _ := l.Choices(newRequest().query(), n); len(chosen) < n {
							b.Fatal("too few are chosen")
						}
					}
				})
			}
		}
	}
}

// newChoiceBenchmark returns a gateway with load reports of all upstreams and a demand from each failure domain, and a function
// that returns a new request.
func newChoiceBenchmark(b *testing.B, upstreams, domains int, perSecond float64) (*Gateway, func() *callerRequest) {
	now := time.Now()
	clock := func() time.Time { return now }
	f := facts.New(clock)
	e := &catalog.Engine{
		Slots: 12, StepTime: 9 * time.Millisecond, PrefillTokensPerSecond: 19100, MaxPrefillTokens: 2048, StepsPerPass: 5, MeanPromptTokens: 900, MeanAnswerTokens: 100,
		Models: []id.Model{"m"},
	}
	r := route(catalog.Streaming, "engines")
	f.SetCatalog(catalog.New(1, []*catalog.Route{r}, []*catalog.Service{{Name: "engines", Engine: e}}, nil, catalog.Limits{}))
	f.SetWanted("m", facts.Publication{Revision: 2, PublishTime: dating.TimeBounds{After: now}, CompleteUntil: now})
	t := placement.NewTracker(clock)
	held := []facts.Held{{Model: "m", Revision: 1}}
	for n := range upstreams {
		address := fmt.Sprintf("10.%d.0.%d:8000", n%domains, n)
		f.SetInstance(&facts.Instance{
			ID: id.Instance(fmt.Sprint("i-", n)), Born: 5, Pool: "engines", Address: address, Domain: id.Domain(fmt.Sprint(n % domains)),
			Slots: 12, Held: held, ListPosition: id.Position(n),
		})
		t.SetReport(address, placement.LoadReport{Incarnation: 5, Running: n % 12, Waiting: n % 3, Slowdown: 1, Held: held, ReceivedAt: now.Add(-time.Duration(n%200) * time.Millisecond)})
	}
	demand := placement.Demand{}
	for d := range domains {
		demand.MergeMax(id.Domain(fmt.Sprint(d)), placement.OfferedLoad{OnTime: perSecond})
	}
	load := LoadSources{
		Tracker: t, Offers: placement.NewDemandMeter(clock), Gateways: func() int { return 350 },
		Demand: func(id.Pool) placement.Demand { return demand },
	}
	g := New(NewSettings(), testDialect(), f, load, emptyQuarantine(), (&net.Dialer{}).DialContext, Location{Domain: "0"}, &log.Logger{Level: log.PanicLevel})
	q, err := http.NewRequest(http.MethodPost, "/p/x", http.NoBody)
	if err != nil {
		b.Fatal(err)
	}
	return g, func() *callerRequest {
		return &callerRequest{
			gateway: g, httpRequest: q, arrived: now, catalog: f.Catalog(), route: r, pool: "engines", tried: map[id.Instance]bool{},
			meta: RequestMeta{Model: "m", PromptTokens: 900}, deadline: now.Add(6 * time.Second), callerDeadline: now.Add(6 * time.Second),
		}
	}
}
