package decide

import (
	"time"

	"github.com/springrail/springrail/internal/placement"
)

// upstreamAttempt is one attempt at an engine, from the gateway's side.
type upstreamAttempt struct {
	client       *clientAttempt
	choice       placement.Choice
	engine       *engine
	tracked      *placement.Attempt
	job          *job
	sentAt       time.Duration
	started      bool
	closed       bool
	stallTimer   *timer
	versionTimer *timer
}

// close ends the attempt; the engine notices it after the network delay.
func (s *upstreamAttempt) close() {
	if s.closed {
		return
	}
	s.closed = true
	s.stallTimer.stop()
	s.versionTimer.stop()
	s.tracked.End()
	p := s.engine.sim
	p.after(p.oneWayDelay(s.client.gateway.domain, s.engine.domain), func() { s.engine.cancel(s.job) })
}

// toGateway runs a callback at the gateway after the network delay, unless the attempt has ended.
func (s *upstreamAttempt) toGateway(do func()) {
	p := s.engine.sim
	p.after(p.oneWayDelay(s.client.gateway.domain, s.engine.domain), func() {
		if !s.closed && !s.client.closed {
			do()
		}
	})
}

// onRefused handles an engine's refusal of a request that did not run.
func (s *upstreamAttempt) onRefused() {
	s.toGateway(func() {
		s.close()
		s.client.retryOrFail(true)
	})
}

// onConnectFailed handles an engine that accepts no connections.
func (s *upstreamAttempt) onConnectFailed() {
	s.toGateway(func() {
		s.tracked.RecordFailure()
		s.close()
		s.client.attempts--
		s.client.retryOrFail(true)
	})
}

// onCut handles a response that broke off.
func (s *upstreamAttempt) onCut() {
	s.toGateway(func() {
		if r, ok := s.client.gateway.tracker.FreshReport(s.choice.Address); !ok || !r.Closed {
			s.tracked.RecordFailure()
		}
		s.close()
		s.client.resume()
	})
}

// resume retries a response that broke off on another upstream, which reads the delivered events along with the prompt.
func (f *clientAttempt) resume() {
	f.query.PromptTokens = f.request.prompt + float64(f.delivered*f.gateway.sim.scenario.Engine.Stride)
	f.retryOrFail(false)
}

// onStall abandons an engine whose first event is overdue, if another upstream can take the request.
func (s *upstreamAttempt) onStall() {
	const retryInterval = 1200 * time.Millisecond
	if s.closed || s.started {
		return
	}
	d, q := s.client.gateway, s.client.query
	q.Attempts = s.client.attempts
	if _, refusal := d.balancer.Choose(&q); !d.budget.RetryAvailable(pool) || (refusal != nil && !d.sim.variant.abandonSilent) {
		s.stallTimer = s.engine.sim.after(retryInterval, s.onStall)
		return
	}
	s.tracked.RecordStall()
	s.close()
	s.client.resume()
}

// onVersionExpired abandons a request that has not begun by the end of its version's lifetime.
func (s *upstreamAttempt) onVersionExpired() {
	if s.closed || s.started {
		return
	}
	s.tracked.RecordStall()
	s.close()
	s.client.resume()
}

// onFirstEvent handles the arrival of the first event at the gateway.
func (s *upstreamAttempt) onFirstEvent() {
	f := s.client
	s.started = true
	s.stallTimer.stop()
	s.versionTimer.stop()
	took := s.tracked.RecordFirstEvent()
	f.gateway.learnSlowdown(s, took)
	if f.query.HeadSent {
		return
	}
	f.query.HeadSent, f.query.Revision = true, s.choice.Revision
	f.leaveTimer.stop()
	p, q := f.gateway.sim, f.request
	q.firstEventAt = p.elapsed + ms(p.scenario.Links.CallerMs)
	if q.arrivedAt >= seconds(p.scenario.WarmUp) {
		p.latencySamples = append(p.latencySamples, latencySample{predicted: s.choice.Predicted, observed: took})
	}
}

// onComplete handles the end of a response at the gateway.
func (s *upstreamAttempt) onComplete() {
	f := s.client
	f.close()
	f.request.onServed()
}

// latencySample is a predicted and the observed time to a first event.
type latencySample struct {
	predicted, observed time.Duration
}
