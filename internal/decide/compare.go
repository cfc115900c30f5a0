package decide

import (
	"context"
	"math"
	"sync"

	"github.com/gravitational/trace"
)

// Difference is the comparison of a variant with the baseline on the same seeds.
type Difference struct {
	Variant string `json:"way"`
	Seeds   int    `json:"seeds"`
	// Mean is the mean of the per-seed differences in score, and HalfInterval half the width of its 95% confidence
	// interval.
	Mean         float64 `json:"mean"`
	HalfInterval float64 `json:"half"`
	// Worth and Base are the mean scores of the variant and of the baseline.
	Worth float64 `json:"worth"`
	Base  float64 `json:"base"`
}

// normal95 is half the width of the 95% confidence interval in standard deviations of a normal distribution; below 20
// seeds the true interval is wider by a tenth or more.
const normal95 = 1.96

// ComparePaired compares two lists of results of the same seeds, pair by pair.
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

// Run simulates each variant on each seed from firstSeed on, with up to jobs simulations in parallel, and returns the
// results by variant.
func Run(ctx context.Context, s *Scenario, variants []*Variant, firstSeed uint64, seeds, jobs int) ([][]*Result, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	results := make([][]*Result, len(variants))
	type task struct{ variant, seed int }
	tasks := make(chan task)
	var workers sync.WaitGroup
	for range max(1, jobs) {
		workers.Go(func() {
			for t := range tasks {
				results[t.variant][t.seed] = Simulate(s, variants[t.variant], firstSeed+uint64(t.seed))
			}
		})
	}
	for i := range variants {
		results[i] = make([]*Result, seeds)
	}
	for n := range seeds {
		for i := range variants {
			select {
			case <-ctx.Done():
			case tasks <- task{i, n}:
			}
		}
	}
	close(tasks)
	workers.Wait()
	return results, trace.Wrap(ctx.Err())
}
