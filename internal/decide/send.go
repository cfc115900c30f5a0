package decide

import (
	"time"

	"github.com/springrail/springrail/internal/placement"
)

// send is one attempt's exchange with an engine, seen from the gateway.
type send struct {
	flight *flight
	choice placement.Choice
	engine *engine
	mark   *placement.Attempt
	job    *job
	at     time.Duration
	begun  bool
	over   bool
	stall  *alarm
	begin  *alarm
}

// close ends the exchange; the engine hears of it a way later.
func (s *send) close() {
	if s.over {
		return
	}
	s.over = true
	s.stall.stop()
	s.begin.stop()
	s.mark.End()
	p := s.engine.play
	p.after(p.between(s.flight.door.domain, s.engine.domain), func() { s.engine.drop(s.job) })
}

// reach brings something from the engine to the gateway.
func (s *send) reach(do func()) {
	p := s.engine.play
	p.after(p.between(s.flight.door.domain, s.engine.domain), func() {
		if !s.over && !s.flight.over {
			do()
		}
	})
}

// refused is an engine's word that the request did not run.
func (s *send) refused() {
	s.reach(func() {
		s.close()
		s.flight.failed(true)
	})
}

// unsent is an engine that takes no connection.
func (s *send) unsent() {
	s.reach(func() {
		s.mark.RecordFailure()
		s.close()
		s.flight.sends--
		s.flight.failed(true)
	})
}

// cut is an exchange that broke off.
func (s *send) cut() {
	s.reach(func() {
		if r, ok := s.flight.door.tracker.FreshReport(s.choice.Address); !ok || !r.Closed {
			s.mark.RecordFailure()
		}
		s.close()
		s.flight.resume()
	})
}

// resume has a stream that broke off continued elsewhere: what the caller has is read there with the prompt.
func (f *flight) resume() {
	f.query.PromptTokens = f.request.prompt + float64(f.given*f.door.play.scenario.Engine.Stride)
	f.failed(false)
}

// stalled gives a silent engine up where another one may have the request.
func (s *send) stalled() {
	const look = 1200 * time.Millisecond
	if s.over || s.begun {
		return
	}
	d, q := s.flight.door, s.flight.query
	q.Attempts = s.flight.sends
	if _, no := d.desk.Choose(&q); !d.budget.RetryAvailable(pool) || (no != nil && !d.play.way.leaveSilent) {
		s.stall = s.engine.play.after(look, s.stalled)
		return
	}
	s.mark.RecordStall()
	s.close()
	s.flight.resume()
}

// versionOver gives up a request that has not begun when its version's time is over.
func (s *send) versionOver() {
	if s.over || s.begun {
		return
	}
	s.mark.RecordStall()
	s.close()
	s.flight.resume()
}

// first is the first event at the gateway.
func (s *send) first() {
	f := s.flight
	s.begun = true
	s.stall.stop()
	s.begin.stop()
	took := s.mark.RecordFirstEvent()
	f.door.learn(s, took)
	if f.query.HeadSent {
		return
	}
	f.query.HeadSent, f.query.Revision = true, s.choice.Revision
	f.leave.stop()
	p, q := f.door.play, f.request
	q.firstAt = p.at + ms(p.scenario.Links.CallerMs)
	p.points = append(p.points, point{predicted: s.choice.Predicted, took: took})
}

// whole is the answer's end at the gateway.
func (s *send) whole() {
	f := s.flight
	f.close()
	f.request.served()
}

// point is a prediction with what came.
type point struct {
	predicted, took time.Duration
}
