package throttle

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkWays holds ways of keeping to a limit against each other: permits that one gives, an even part for each
// gateway, and none. It tells the most requests in any 4 s as a share of what is allowed, how much of the limit was
// used, and the share of the refused for whom there was room, at three times as many callers as the limit takes, which
// are uneven over the gateways.
func BenchmarkWays(b *testing.B) {
	const seeds = 20
	for _, way := range []string{"permits", "parts", "none"} {
		for _, gateways := range []int{7, 40, 300} {
			for _, limit := range []Rate{0.1, 0.5, 2.1, 10} {
				b.Run(fmt.Sprintf("%s/%d/%g", way, gateways, float64(limit)), func(b *testing.B) {
					for b.Loop() {
						worst, used, vain := 0.0, 0.0, 0.0
						for seed := range uint64(seeds) {
							s := newScene(gateways, limit, true, seed)
							s.follow(way)
							s.play(10*time.Second, 3*float64(limit))
							from := s.now
							s.play(120*time.Second, 3*float64(limit))
							worst = max(worst, float64(s.worst(from))/s.allowed())
							used += s.used(from) / seeds
							vain += float64(s.vain) / float64(max(1, s.refused)) / seeds
						}
						b.ReportMetric(worst, "worst/allowed")
						b.ReportMetric(used, "used/limit")
						b.ReportMetric(vain, "in-vain/refused")
					}
				})
			}
		}
	}
}

// follow has gateways keep to the limit in a way.
func (s *scene) follow(way string) {
	if way == "permits" {
		return
	}
	s.silent = func(int) bool { return true }
	if way == "parts" {
		s.lone = true
		for n := range s.gateways {
			s.gateways[n].ApplyAnswer(LimitInfo{State: Limited, Rate: s.limit}, s.now, s.now, true)
		}
	}
}
