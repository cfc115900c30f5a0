package placement

import (
	"time"

	"github.com/springrail/springrail/internal/id"
)

// Offered is what callers bring, in requests a second.
type Offered struct {
	// First can still be served in time, Late can't.
	First, Late float64
}

// Demand is what callers bring to the gateways of each failure domain for a pool.
type Demand map[id.Domain]Offered

// Raise takes the larger of each figure for a failure domain.
func (d Demand) Raise(n id.Domain, o Offered) {
	old := d[n]
	d[n] = Offered{First: max(old.First, o.First), Late: max(old.Late, o.Late)}
}

// Offers follows what callers bring to this process.
type Offers struct {
	// First are requests that can still be served in time, Late those that can't.
	First, Late *Rate
	// Far are those of them that were sent to another failure domain.
	Far *Rate
}

// NewOffers makes an empty record.
func NewOffers(now func() time.Time) *Offers {
	return &Offers{First: NewRate(now), Late: NewRate(now), Far: NewRate(now)}
}

// Total is the present rate of all requests.
func (o *Offers) Total() float64 {
	return o.First.Total() + o.Late.Total()
}

// Came notes a request.
func (o *Offers) Came(p id.Pool, late bool) {
	if late {
		o.Late.Came(p)
		return
	}
	o.First.Came(p)
}
