package placement

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the time that a caller has lost", func() {
	const total = 6 * time.Second
	var (
		now time.Time
		p   *PatienceTracker
	)
	// arrive records first attempts of callers whose patience is between that share and the whole of the total.
	arrive := func(n int, least float64) (flagged int) {
		for i := range n {
			now = now.Add(10 * time.Millisecond)
			share := least + (1-least)*float64(i*7%n)/float64(n-1)
			if p.TimeLost("r", time.Duration(share*float64(total))) > 0 {
				flagged++
			}
		}
		return flagged
	}
	BeforeEach(func() {
		now = time.Unix(1000, 0)
		p = NewPatienceTracker(func() time.Time { return now })
	})

	// Callers whose patience varied were taken for returning ones and refused for lack of a free slot.
	It("is not taken from the callers' own variation, once first attempts have shown that", func() {
		arrive(100, 0.85)
		Expect(arrive(100, 0.85)).To(BeNumerically("<=", 6))
	})

	It("is still seen beyond that variation, less its mean", func() {
		arrive(100, 0.85)
		Expect(p.TimeLost("r", 4*time.Second)).To(BeNumerically("~", 2*time.Second-450*time.Millisecond, 60*time.Millisecond))
	})

	It("is not learnt as variation while refused callers return", func() {
		arrive(100, 1)
		for range 100 {
			now = now.Add(10 * time.Millisecond)
			p.RecordRefusal()
			Expect(p.TimeLost("r", 5*time.Second)).To(Equal(time.Second))
		}
	})
})
