package stager

import (
	"context"
	"time"

	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/reservation"
)

// reservationPollAge is the age of the upstream's figures from which on a request for a reservation starts a poll. An
// engine gets and ends a request about every 90 ms each; a poll on the same machine takes less than a millisecond.
const reservationPollAge = 20 * time.Millisecond

// pollForReservation starts a poll of the upstream if its figures are outdated. It does not wait for the poll.
func (s *Stager) pollForReservation() {
	if s.now().UnixNano()-s.polledAt.Load() < int64(reservationPollAge) {
		return
	}
	select {
	case s.pollNow <- struct{}{}:
	default:
	}
}

// waitForPoll waits until the next poll is due: after pollInterval, or when a reservation is asked for.
func (s *Stager) waitForPoll(ctx context.Context) {
	t := time.NewTimer(pollInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-s.pollNow:
	}
}

// updateLedger gives the ledger of reservations the state of the upstream, as read at readAt. The caller holds the lock.
func (s *Stager) updateLedger() {
	if s.reporter == nil || s.readAt.IsZero() {
		return
	}
	l := s.reporter.Ledger()
	l.SetEngine(s.engine())
	l.RecordState(reservation.State{
		ReadAt: s.readAt, Running: s.state.Running, Waiting: s.state.Waiting, Slowdown: s.state.Pace, Held: s.state.Held,
		Closed: s.closed || s.down || s.state.Leaving || s.leavesByList(),
	})
}

// leavesByList reports whether the list of upstreams has the upstream as leaving. A gateway whose copy of the list lacks that
// learns it from the refusal of its reservation.
func (s *Stager) leavesByList() bool {
	leaving := false
	for _, i := range s.facts.Instances() {
		if i.Address != s.ports.Address {
			continue
		}
		if !i.Leaving {
			return false
		}
		leaving = true
	}
	return leaving
}

// engine returns the properties of the upstream, or nil as long as no configuration is known.
func (s *Stager) engine() *catalog.Engine {
	c := s.facts.Catalog()
	if c == nil || c.Services[id.Pool(s.settings.Pool)] == nil {
		return nil
	}
	return c.Services[id.Pool(s.settings.Pool)].Engine
}
