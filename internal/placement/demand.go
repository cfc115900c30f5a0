package placement

import (
	"time"

	"github.com/springrail/springrail/internal/id"
)

// OfferedLoad is what callers bring, in requests a second.
type OfferedLoad struct {
	// OnTime can still be served in time, Late can't.
	OnTime, Late float64
}

// Demand is what callers bring to the gateways of each failure domain for a pool.
type Demand map[id.Domain]OfferedLoad

// MergeMax takes the larger of each figure for a failure domain.
func (d Demand) MergeMax(n id.Domain, o OfferedLoad) {
	old := d[n]
	d[n] = OfferedLoad{OnTime: max(old.OnTime, o.OnTime), Late: max(old.Late, o.Late)}
}

// DemandMeter follows what callers bring to this process.
type DemandMeter struct {
	// OnTime are requests that can still be served in time, Late those that can't.
	OnTime, Late *RateMeter
	// CrossDomain are those of them that were sent to another failure domain.
	CrossDomain *RateMeter
}

// NewDemandMeter makes an empty record.
func NewDemandMeter(now func() time.Time) *DemandMeter {
	return &DemandMeter{OnTime: NewRateMeter(now), Late: NewRateMeter(now), CrossDomain: NewRateMeter(now)}
}

// Total is the present rate of all requests.
func (o *DemandMeter) Total() float64 {
	return o.OnTime.Total() + o.Late.Total()
}

// Record notes a request.
func (o *DemandMeter) Record(p id.Pool, late bool) {
	if late {
		o.Late.Record(p)
		return
	}
	o.OnTime.Record(p)
}
