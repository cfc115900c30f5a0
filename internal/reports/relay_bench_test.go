package reports

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRelay is what a relay's state costs in a domain of 76 gateways with 302 upstreams beyond it (680 processes): a round with nobody
// new, one with another gateway, and a look.
func BenchmarkRelay(b *testing.B) {
	var far, others []string
	for k := range 302 {
		far = append(far, fmt.Sprintf("10.1.%d.%d:9000", k/250, k%250))
	}
	for k := range 75 {
		others = append(others, fmt.Sprintf("10.0.0.%d:7700", k+1))
	}
	y := newRelay("10.0.0.99:7700", time.Now)
	b.Run("round", func(b *testing.B) {
		for b.Loop() {
			y.set(others, far)
		}
	})
	b.Run("another gateway", func(b *testing.B) {
		for k := 0; b.Loop(); k++ {
			y.set(others[k%2:], far)
		}
	})
	b.Run("look", func(b *testing.B) {
		for b.Loop() {
			y.look()
		}
	})
}
