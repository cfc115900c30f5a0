package throttle

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkStrategies compares strategies for keeping to a limit: permits from one issuer, an equal share for each
// gateway, and no limit. It reports the maximum number of requests in 4 s as a share of the allowed one, the utilisation
// of the limit, and the share of refused requests for which there was capacity. The load is three times the limit, and
// uneven over the gateways.
func BenchmarkStrategies(b *testing.B) {
	const seeds = 20
	for _, strategy := range []string{"permits", "parts", "none"} {
		for _, gateways := range []int{7, 40, 300} {
			for _, limit := range []Rate{0.1, 0.5, 2.1, 10} {
				b.Run(fmt.Sprintf("%s/%d/%g", strategy, gateways, float64(limit)), func(b *testing.B) {
					for b.Loop() {
						worst, utilisation, needless := 0.0, 0.0, 0.0
						for seed := range uint64(seeds) {
							s := newSimulation(gateways, limit, true, seed)
							s.setStrategy(strategy)
							s.run(10*time.Second, 3*float64(limit))
							from := s.now
							s.run(120*time.Second, 3*float64(limit))
							worst = max(worst, float64(s.maxInWindow(from))/s.allowed())
							utilisation += s.utilisation(from) / seeds
							needless += float64(s.needlessRefusals) / float64(max(1, s.refused)) / seeds
						}
						b.ReportMetric(worst, "worst/allowed")
						b.ReportMetric(utilisation, "used/limit")
						b.ReportMetric(needless, "in-vain/refused")
					}
				})
			}
		}
	}
}

// setStrategy makes gateways follow a strategy.
func (s *simulation) setStrategy(strategy string) {
	if strategy == "permits" {
		return
	}
	s.silent = func(int) bool { return true }
	if strategy == "parts" {
		s.noIssuer = true
		for n := range s.gateways {
			s.gateways[n].ApplyAnswer(LimitInfo{State: Limited, Rate: s.limit}, s.now, s.now, true)
		}
	}
}
