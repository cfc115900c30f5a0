package reports

import (
	"fmt"
	"net"
	"slices"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
)

// fleetFacts lists stagers in several failure domains, each with the given number.
func fleetFacts(now func() time.Time, domains, stagersPerDomain int) *facts.Facts {
	f := facts.New(now)
	f.SetCatalog(catalog.New(1, nil, []*catalog.Service{{Name: "p", Engine: &catalog.Engine{}}}, nil, catalog.Limits{}))
	for d := range domains {
		for n := range stagersPerDomain {
			address := fmt.Sprintf("10.%d.%d.%d:8001", d, n/200, n%200)
			f.SetInstance(&facts.Instance{ID: id.Instance(address), Pool: "p", Address: address, Domain: domainNumber(d)})
		}
	}
	return f
}

func domainNumber(n int) id.Domain {
	return id.Domain(fmt.Sprint("d", n))
}

// newGateways returns subscribers in the first domain that share the facts of one process.
func newGateways(n int, f *facts.Facts, now func() time.Time) (l []*Subscriber) {
	for range n {
		l = append(l, NewSubscriber(newSocket(), 9, domainNumber(0), f, now, discardLog))
	}
	return l
}

var _ = describe("the stagers that a gateway subscribes to", func() {
	now := time.Now
	sizes := func(chosen map[string]*facts.Instance) (local, remote int) {
		for _, i := range chosen {
			if i.Domain == domainNumber(0) {
				local++
			} else {
				remote++
			}
		}
		return local, remote
	}

	it("are all of them in a fleet whose reports are few", func() {
		s := newGateways(1, fleetFacts(now, 5, 24), now)[0]
		local, remote := sizes(s.subset())
		Expect([]int{local, remote}).To(Equal([]int{24, 96}))
	})

	it("do not become more as the fleet grows", func() {
		for _, stagers := range []int{88, 176, 352} {
			s := newGateways(1, fleetFacts(now, 5, stagers), now)[0]
			local, remote := sizes(s.subset())
			Expect(localReportsPerSecond*local+remote).To(BeNumerically("<=", maxReportsPerSecond), "with %d stagers a domain", stagers)
			Expect(remote).To(Equal(4 * minRemoteStagers))
		}
	})

	it("are spread, so that the gateways of one stager do not become more in a fleet that grows as a whole", func() {
		for _, n := range []int{88, 176} {
			by := map[string]int{}
			f := fleetFacts(now, 1, n)
			gateways := newGateways(n, f, now)
			local, _ := sizes(gateways[0].subset())
			for _, s := range gateways {
				for a := range s.subset() {
					by[a]++
				}
			}
			for _, i := range f.Instances() {
				Expect(by[i.Address]).To(And(BeNumerically(">", local/4), BeNumerically("<", 2*local)), "with %d stagers", n)
			}
		}
	})

	it("include more of the other domains while many requests go there, and those whose upstream is in use", func() {
		s := newGateways(1, fleetFacts(now, 5, 88), now)[0]
		local, remote := sizes(s.subset())
		for range 10 {
			s.demandMeter.OnTime.Record("p")
			s.demandMeter.CrossDomain.Record("p")
		}
		_, more := sizes(s.subset())
		Expect(more).To(BeNumerically(">", remote))
		Expect(localReportsPerSecond * (local + more)).To(BeNumerically("<=", maxReportsPerSecond))
		chosen := s.subset()
		for _, i := range s.facts.Instances() {
			if chosen[i.Address] == nil {
				s.tracker.Begin(i.Address, 1)
				Expect(s.subset()).To(HaveKey(i.Address))
				return
			}
		}
	})

	it("are all in other domains while the gateway's own one is evacuated", func() {
		f := fleetFacts(now, 5, 88)
		s := newGateways(1, f, now)[0]
		_, before := sizes(s.subset())
		f.SetEvacuated(domainNumber(0), true)
		local, remote := sizes(s.subset())
		Expect(local).To(BeZero())
		Expect(remote).To(BeNumerically(">", 4*before))
		Expect(localReportsPerSecond * remote).To(BeNumerically("<=", maxReportsPerSecond))
	})

	it("are mostly the same after one was removed", func() {
		f := fleetFacts(now, 5, 88)
		s := newGateways(1, f, now)[0]
		before := s.subset()
		for a := range before {
			f.DropInstance(id.Instance(a), 1)
			break
		}
		kept := 0
		for a := range s.subset() {
			if before[a] != nil {
				kept++
			}
		}
		Expect(kept).To(Equal(len(before) - 1))
	})

	it("know of all gateways together: each gateway counts the whole fleet, whatever part of it a stager knows", func() {
		f := fleetFacts(now, 2, 88)
		s := newGateways(1, f, now)[0]
		r := NewReporter(newSocket(), domainNumber(0), facts.New(now), now, discardLog)
		for d := range 2 {
			for n := range 10 {
				b, err := proto.Marshal(&pb.ReportSubscription{Sender: fmt.Sprintf("10.9.%d.%d:7", d, n), Domain: string(domainNumber(d)), Gateways: uint32(100 + d + n)})
				Expect(err).NotTo(HaveOccurred())
				r.handleDatagram(b)
			}
		}
		s.acceptReport(&pb.UpstreamReport{Address: "10.0.0.0:8001", Incarnation: 1, Number: 1, Subscribers: 20, Demand: r.totalDemand()})
		Expect(s.GatewayCount()).To(Equal(109 + 110))
	})
})

var _ = describe("a stager with many gateways", func() {
	it("lists all of them within half of the time for which they are remembered", func() {
		r := NewReporter(newSocket(), "d", facts.New(time.Now), time.Now, discardLog)
		for n := range 100 {
			name := fmt.Sprintf("10.0.0.%d:7", n)
			r.subscribers[name] = subscriber{addr: &net.UDPAddr{}, local: true}
		}
		seen := map[string]bool{}
		for range int(gatewayListCycle / cycle) {
			var p pb.UpstreamReport
			r.addGateways(&p)
			for _, a := range p.GetGateways() {
				seen[a] = true
			}
		}
		Expect(len(seen)).To(BeNumerically(">=", 80))
		var p pb.UpstreamReport
		r.addGateways(&p)
		for _, a := range p.GetGateways() {
			seen[a] = true
		}
		Expect(seen).To(HaveLen(100))
	})
})

var _ = describe("crash news in a fleet whose gateways subscribe to subsets", func() {
	it("goes through stagers of each domain that nearly all gateways subscribe to", func() {
		const gateways, broadcasts = 100, 20
		f := fleetFacts(time.Now, 3, 88)
		l := newGateways(gateways, f, time.Now)
		var subsets []map[string]*facts.Instance
		for _, s := range l {
			subsets = append(subsets, s.subset())
		}
		missed := 0
		for range broadcasts {
			relays := l[0].pickRelays("")
			byDomain := map[id.Domain]int{}
			for _, i := range relays {
				byDomain[i.Domain]++
			}
			Expect(byDomain).To(HaveLen(3))
			for _, chosen := range subsets {
				if !slices.ContainsFunc(relays, func(i *facts.Instance) bool { return chosen[i.Address] != nil }) {
					missed++
				}
			}
		}
		// Five times the share that is aimed at, as the relays are drawn at random.
		Expect(missed).To(BeNumerically("<=", 5*maxUncoveredShare*gateways*broadcasts))
	})

	it("goes through a few stagers of a domain all of whose gateways subscribe to all of them", func() {
		Expect(relaysPerDomain(20, 32)).To(Equal(newsRelays))
		Expect(relaysPerDomain(2, 32)).To(Equal(2))
	})
})
