package decide

import (
	"context"
	"math"
	"sync"

	"github.com/gravitational/trace"
)

// Difference is one way against another on the same seeds.
type Difference struct {
	Variant string `json:"way"`
	Seeds   int    `json:"seeds"`
	// Mean is that of the differences of worth seed by seed, and Half half its interval, within which the true mean lies with 95%.
	Mean         float64 `json:"mean"`
	HalfInterval float64 `json:"half"`
	// Worth and Base are the mean worths.
	Worth float64 `json:"worth"`
	Base  float64 `json:"base"`
}

// normal95 is half the interval of 95% in deviations; below 20 seeds the true interval is wider by a tenth and more.
const normal95 = 1.96

// ComparePaired compares two lists of results of the same seeds.
func ComparePaired(base, other []*Result) Difference {
	n := float64(len(base))
	d := Difference{Seeds: len(base)}
	sum, squares := 0.0, 0.0
	for i := range base {
		d.Variant = other[i].Variant
		x := other[i].Worth - base[i].Worth
		sum, squares = sum+x, squares+x*x
		d.Worth += other[i].Worth / n
		d.Base += base[i].Worth / n
	}
	d.Mean = sum / n
	if len(base) > 1 {
		d.HalfInterval = normal95 * math.Sqrt(max(0, squares-n*d.Mean*d.Mean)/(n-1)/n)
	}
	return d
}

// Run plays each way on each seed from first on, as many plays at once as there are jobs, and returns the results by way.
func Run(ctx context.Context, s *Scenario, ways []*Variant, first uint64, seeds, jobs int) ([][]*Result, error) {
	rows := make([][]*Result, len(ways))
	type task struct{ way, seed int }
	todo := make(chan task)
	var all sync.WaitGroup
	for range max(1, jobs) {
		all.Go(func() {
			for t := range todo {
				rows[t.way][t.seed] = Simulate(s, ways[t.way], first+uint64(t.seed))
			}
		})
	}
	for i := range ways {
		rows[i] = make([]*Result, seeds)
	}
	for n := range seeds {
		for i := range ways {
			select {
			case <-ctx.Done():
			case todo <- task{i, n}:
			}
		}
	}
	close(todo)
	all.Wait()
	return rows, trace.Wrap(ctx.Err())
}
