package facts

import (
	"fmt"
	"testing"
	"time"

	"github.com/springrail/springrail/internal/id"
)

// BenchmarkList adds 3,000 upstreams entry by entry, as a starting process does, and then builds the list once.
func BenchmarkList(b *testing.B) {
	for b.Loop() {
		f := New(time.Now)
		for n := range 3000 {
			f.SetInstance(&Instance{ID: id.Instance(fmt.Sprint(n)), Pool: "p", Address: fmt.Sprint("10.0.0.1:", n), ListPosition: id.Position(n)})
		}
		if len(f.Instances()) != 3000 {
			b.Fatal("upstreams are missing from the list")
		}
	}
}
