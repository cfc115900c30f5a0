package placement

import (
	"time"

	"github.com/springrail/springrail/internal/id"
)

// OfferedLoad is the rate of incoming requests, in requests a second.
type OfferedLoad struct {
	// OnTime requests can still be served within the latency target, Late ones can't.
	OnTime, Late float64
}

// Demand is the load offered to the gateways of each failure domain for a pool.
type Demand map[id.Domain]OfferedLoad

// MergeMax raises a failure domain's rates to the given ones where those are larger.
func (d Demand) MergeMax(domain id.Domain, load OfferedLoad) {
	old := d[domain]
	d[domain] = OfferedLoad{OnTime: max(old.OnTime, load.OnTime), Late: max(old.Late, load.Late)}
}

// DemandMeter measures the load offered to this process.
type DemandMeter struct {
	// OnTime counts requests that can still be served within the latency target, Late those that can't.
	OnTime, Late *RateMeter
	// CrossDomain counts requests of both kinds that were sent to another failure domain.
	CrossDomain *RateMeter
}

// NewDemandMeter returns a meter without requests.
func NewDemandMeter(now func() time.Time) *DemandMeter {
	return &DemandMeter{OnTime: NewRateMeter(now), Late: NewRateMeter(now), CrossDomain: NewRateMeter(now)}
}

// Total returns the current rate of all requests over all pools.
func (o *DemandMeter) Total() float64 {
	return o.OnTime.Total() + o.Late.Total()
}

// Record counts a request for a pool.
func (o *DemandMeter) Record(p id.Pool, late bool) {
	if late {
		o.Late.Record(p)
		return
	}
	o.OnTime.Record(p)
}
