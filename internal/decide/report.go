package decide

import (
	"time"

	"github.com/springrail/springrail/internal/placement"
)

const (
	// remoteValidIntervals is how many report intervals a report from another failure domain stays valid.
	remoteValidIntervals = 2.5
	// fullRateShare is the share of its requests that a gateway must send to other failure domains to receive every
	// report from there.
	fullRateShare = 0.1
	// urgentRepeats is how often a state change is reported to all gateways at once, as the first report may be lost.
	urgentRepeats = 2
	// reservationReportFactor scales the time between reports while gateways ask for reservations.
	reservationReportFactor = 2
)

// reporter is the reporting part of an engine's stager.
type reporter struct {
	interval      time.Duration
	reportCount   int
	urgentPending int
}

// reportPeriodically sends a report and schedules the next one.
func (e *engine) reportPeriodically() {
	if e.sim.elapsed > e.sim.endTime() {
		return
	}
	e.report()
	e.sim.after(e.interval, e.reportPeriodically)
}

// reportUrgently sends a report to all gateways at once, and has the next periodic one sent to all as well.
func (e *engine) reportUrgently() {
	e.urgentPending = urgentRepeats
	e.readState()
	e.report()
}

// report sends the engine's load and state to gateways, at a lower rate to other failure domains while only the load
// changes.
func (e *engine) report() {
	p := e.sim
	s := &p.scenario.Reports
	e.reportCount++
	interval := s.IntervalMs
	if p.variant.reservationsAsked > 0 {
		interval *= reservationReportFactor
	}
	remoteEvery := max(1, int(s.RemoteIntervalMs/interval+0.5))
	toAll := e.urgentPending > 0 || e.reportCount%remoteEvery == 0
	if e.urgentPending > 0 {
		e.urgentPending--
	}
	r := e.loadReport()
	for i := range p.gatewaysByDomain {
		e.deliver(p.gatewaysByDomain[i], r, toAll, ms(s.RemoteIntervalMs))
	}
}

// loadReport returns the engine's load and state.
func (e *engine) loadReport() placement.LoadReport {
	r := placement.LoadReport{Incarnation: e.born, Slowdown: e.pace, Held: e.heldVersions(), Closed: e.closed, Down: !e.up}
	for _, j := range e.running {
		if j.decoding && !j.cancelled {
			r.Running++
		} else {
			r.Waiting++
		}
	}
	r.Waiting += len(e.queue)
	return r
}

// deliver sends a report to the gateways of a failure domain.
func (e *engine) deliver(l []*simGateway, r placement.LoadReport, toAll bool, remoteInterval time.Duration) {
	p := e.sim
	if len(l) == 0 {
		return
	}
	isLocal := l[0].domain == e.domain
	var receivers []*simGateway
	for _, d := range l {
		fullRate := d.demandMeter.CrossDomain.Total() > fullRateShare*d.demandMeter.Total()
		if !isLocal && !toAll && !fullRate {
			continue
		}
		if p.linkRandom.Float64() >= p.scenario.Reports.LossShare {
			receivers = append(receivers, d)
		}
	}
	if len(receivers) == 0 {
		return
	}
	madeAt := p.now()
	p.after(p.oneWayDelay(l[0].domain, e.domain), func() {
		for _, d := range receivers {
			q := r
			q.ReceivedAt, q.EchoedStamp, q.Interval = p.now(), madeAt, e.interval
			if !isLocal && d.demandMeter.CrossDomain.Total() <= fullRateShare*d.demandMeter.Total() {
				q.ValidUntil = q.ReceivedAt.Add(time.Duration(remoteValidIntervals * float64(remoteInterval)))
			}
			d.tracker.SetReport(e.address, q)
		}
	})
}
