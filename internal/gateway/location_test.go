package gateway

import (
	"fmt"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/placement"
)

// addUpstreamsIn adds one plain upstream in each of the failure domains, named after it. All of them accept every
// request but those in failing, which break the connection.
func (b *testbed) addUpstreamsIn(failing map[id.Domain]bool, domains ...id.Domain) {
	for _, d := range domains {
		b.addUpstream(string(d), "plain", func(q *http.Request, _ string, c net.Conn) {
			if failing[d] {
				_ = c.Close()
				return
			}
			reply(c, q, 200, "", string(d))
		})
		i := *b.facts.Instance(id.Instance(d))
		i.Domain, i.ListPosition = d, i.ListPosition+1
		b.facts.SetInstance(&i)
	}
}

// servedIn sends requests and counts the responses by upstream, and refusals by their status.
func (b *testbed) servedIn(n int, headers ...string) map[string]int {
	by := map[string]int{}
	for k := range n {
		a, body, err := b.sendRequest("GET", "/p/", "", append([]string{xRequest, fmt.Sprintf("%p-%d", &by, k)}, headers...)...)
		Expect(err).NotTo(HaveOccurred())
		if a.StatusCode != http.StatusOK {
			body = http.StatusText(a.StatusCode)
		}
		by[body]++
	}
	return by
}

var _ = Describe("requests that may be served in some regions only", func() {
	restricted := func(routeRegions, organisationRegions []id.Region) *testbed {
		r := route(catalog.Safe, "plain")
		r.Public, r.AllowedRegions = false, catalog.NewRegions(routeRegions)
		b := newTestbed()
		old := b.facts.Catalog()
		o := &catalog.Organisation{Name: "gym", Keys: []string{"secret"}, AllowedRegions: catalog.NewRegions(organisationRegions)}
		b.facts.SetCatalog(catalog.New(old.Revision+1, []*catalog.Route{r}, []*catalog.Service{old.Services["plain"]}, []*catalog.Organisation{o}, old.Limits))
		return b
	}

	DescribeTable("reach upstreams there only", func(routeRegions, organisationRegions []id.Region, want ...string) {
		b := restricted(routeRegions, organisationRegions)
		b.addUpstreamsIn(nil, "d1", "e1", "f1")
		served := b.servedIn(40, xKey, "secret")
		Expect(served).To(HaveLen(len(want)))
		for _, d := range want {
			Expect(served).To(HaveKey(d))
		}
	},
		Entry("by the route", []id.Region{"region-e"}, nil, "e1"),
		Entry("by the organisation", nil, []id.Region{"region-f"}, "f1"),
		Entry("by both, whichever region is in both", []id.Region{"region-e", "region-d"}, []id.Region{"region-f", "region-e"}, "e1"),
		Entry("and are refused if none is in both", []id.Region{"region-e"}, []id.Region{"region-f"}, http.StatusText(http.StatusServiceUnavailable)),
		Entry("and are refused if no upstream is there", []id.Region{"region-x"}, nil, http.StatusText(http.StatusServiceUnavailable)),
	)

	It("are not retried elsewhere", func() {
		b := restricted([]id.Region{"region-e"}, nil)
		b.addUpstreamsIn(map[id.Domain]bool{"e1": true, "e2": true}, "d1", "e1", "e2", "f1")
		Expect(b.servedIn(10, xKey, "secret")).NotTo(Or(HaveKey("d1"), HaveKey("f1")))
	})

	It("expect no load of domains outside these regions", func() {
		b := restricted(nil, nil)
		d := b.gateway.balancer()
		all := map[id.Domain]float64{"d1": 5, "e1": 7, "f1": 9}
		d.Load.Demand = func(id.Pool) placement.Demand {
			l := placement.Demand{}
			for n, perSecond := range all {
				l.MergeMax(n, placement.OfferedLoad{OnTime: perSecond})
			}
			return l
		}
		l := d.demand(&Query{Regions: catalog.NewRegions([]id.Region{"region-e"})})
		Expect(l).To(Equal(placement.Demand{"e1": placement.OfferedLoad{OnTime: 7}}))
	})
})

var _ = Describe("an evacuated failure domain", func() {
	It("gets no new request until the evacuation ends, while its gateways go on", func() {
		b := newTestbed(route(catalog.Safe, "plain"))
		b.addUpstreamsIn(nil, "d", "e")
		b.facts.SetEvacuated("d", true)
		Expect(b.servedIn(20)).To(Equal(map[string]int{"e": 20}))
		b.facts.SetEvacuated("d", false)
		Expect(b.servedIn(20)).To(HaveKey("d"))
	})

	It("leaves nothing to serve a request that is restricted to its region", func() {
		r := route(catalog.Safe, "plain")
		r.AllowedRegions = catalog.NewRegions([]id.Region{"region-d"})
		b := newTestbed(r)
		b.addUpstreamsIn(nil, "d", "e")
		b.facts.SetEvacuated("d", true)
		Expect(b.servedIn(5)).To(Equal(map[string]int{http.StatusText(http.StatusServiceUnavailable): 5}))
	})

	It("is listed with the time since which it is evacuated", func() {
		b := newTestbed()
		b.facts.SetEvacuated("d", true)
		Expect(b.facts.Evacuations()).To(ConsistOf(HaveField("Domain", id.Domain("d"))))
		Expect(b.facts.SetEvacuated("d", true)).To(BeFalse())
	})
})

var _ = Describe("a cold engine in a pool with a cold rate", func() {
	It("gets requests only while the process beside it reports, which gives permits for them", func() {
		b := newTestbed(route(catalog.Streaming, "engines"))
		old := b.facts.Catalog()
		services := []*catalog.Service{{Name: "engines", Engine: old.Services["engines"].Engine, ColdRate: 20}}
		b.facts.SetCatalog(catalog.New(old.Revision+1, []*catalog.Route{route(catalog.Streaming, "engines")}, services, nil, old.Limits))
		b.addUpstream("u", "engines", func(q *http.Request, _ string, c net.Conn) { reply(c, q, 200, xRevision+": 1\r\n", "") })
		i := *b.facts.Instance("u")
		i.Cold, i.ListPosition = true, i.ListPosition+1
		b.facts.SetInstance(&i)
		a, _, err := b.sendRequest("POST", "/p/", "x", xModel, "m", xRequest, "silent")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(b.upstreamCount("silent")).To(BeZero())
		b.tracker.SetReport(i.Address, placement.LoadReport{Held: i.Held, ReceivedAt: time.Now()})
		_, _, err = b.sendRequest("POST", "/p/", "x", xModel, "m", xRequest, "reported")
		Expect(err).NotTo(HaveOccurred())
		Expect(b.upstreamCount("reported")).To(Equal(1))
	})
})
