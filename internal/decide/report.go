package decide

import (
	"time"

	"github.com/springrail/springrail/internal/placement"
)

const (
	// farLives is how many times the time to the next report a report from another failure domain is believed.
	farLives = 2.5
	// eachShare is the share of its requests beyond its failure domain from which on a gateway has each report of it.
	eachShare = 0.1
	// urgentReports is how often news is told: the first report may be lost.
	urgentReports = 2
)

// reporting is an engine's stager as far as it reports.
type reporting struct {
	every  time.Duration
	number int
	left   int
}

// tick reports and sets the next report.
func (e *engine) tick() {
	if e.play.at > e.play.ends() {
		return
	}
	e.report()
	e.play.after(e.every, e.tick)
}

// urgent tells all gateways at once, and once more.
func (e *engine) urgent() {
	e.left = urgentReports
	e.report()
}

// report tells gateways what the engine does; to those of other failure domains less often while only its load changes.
func (e *engine) report() {
	p := e.play
	s := &p.scenario.Reports
	e.number++
	far := max(1, int(s.RemoteIntervalMs/s.IntervalMs+0.5))
	toAll := e.left > 0 || e.number%far == 0
	if e.left > 0 {
		e.left--
	}
	r := placement.LoadReport{Incarnation: e.born, Slowdown: 1, Held: e.holds(), Closed: e.closed, Down: !e.up}
	for _, j := range e.places {
		if j.writing && !j.gone {
			r.Running++
		} else {
			r.Waiting++
		}
	}
	r.Waiting += len(e.queue)
	for i := range p.byDomain {
		e.tell(p.byDomain[i], r, toAll, ms(s.RemoteIntervalMs))
	}
}

// tell brings a report to the gateways of a failure domain.
func (e *engine) tell(l []*door, r placement.LoadReport, toAll bool, farEvery time.Duration) {
	p := e.play
	if len(l) == 0 {
		return
	}
	near := l[0].domain == e.domain
	var to []*door
	for _, d := range l {
		each := d.offers.CrossDomain.Total() > eachShare*d.offers.Total()
		if !near && !toAll && !each {
			continue
		}
		if p.links.Float64() >= p.scenario.Reports.LossShare {
			to = append(to, d)
		}
	}
	if len(to) == 0 {
		return
	}
	made := p.now()
	p.after(p.between(l[0].domain, e.domain), func() {
		for _, d := range to {
			q := r
			q.ReceivedAt, q.EchoedStamp, q.Interval = p.now(), made, e.every
			if !near && d.offers.CrossDomain.Total() <= eachShare*d.offers.Total() {
				q.ValidUntil = q.ReceivedAt.Add(time.Duration(farLives * float64(farEvery)))
			}
			d.tracker.SetReport(e.address, q)
		}
	})
}
