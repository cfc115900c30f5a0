package stager

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/throttle"
)

var _ = Describe("the rate limit of an upstream that may be cold", func() {
	unlimited := throttle.LimitInfo{State: throttle.Unlimited}
	limited := func(r throttle.Rate) throttle.LimitInfo {
		return throttle.LimitInfo{State: throttle.Limited, Rate: r}
	}

	DescribeTable("is the lower one of its own and the cold rate of its pool", func(cold bool, coldRate float64, announced, want throttle.LimitInfo) {
		s, f, _ := startReporting(newFakeUpstream(facts.Held{Model: "m", Revision: 1}), 0)
		f.SetCatalog(catalog.New(99, nil, []*catalog.Service{{Name: id.Pool(s.settings.Pool), ColdRate: coldRate, Engine: &catalog.Engine{}}}, nil, catalog.Limits{}))
		f.SetInstance(&facts.Instance{ID: "cold", Pool: id.Pool(s.settings.Pool), Address: s.ports.Address, Cold: cold, ListPosition: 1000})
		Expect(s.limitWhileCold(announced)).To(Equal(want))
	},
		Entry("cold, without a limit of its own", true, 26.0, unlimited, limited(26)),
		Entry("cold, with a lower limit of its own", true, 26.0, limited(5), limited(5)),
		Entry("cold, with a higher limit of its own", true, 26.0, limited(40), limited(26)),
		Entry("warm", false, 26.0, unlimited, unlimited),
		Entry("cold in a pool without a cold rate", true, 0.0, unlimited, unlimited),
	)
})
