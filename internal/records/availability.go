package records

import (
	"context"
	"net"
	"time"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/rendezvous"
)

// maxWitnesses bounds the processes of other failure domains that are asked since when the store has been available.
const maxWitnesses = 3

// isHandOver reports whether a batch follows a break in which the store is known to have served some process, so that only
// this failure domain's reader had lost it. A longer break is none: upstreams on machines that were cut off as long could not
// renew their entries. The caller holds the lock.
func (l *Log) isHandOver(b Batch) bool {
	missed := b.ConfirmedAt.Sub(l.confirmedAt)
	return l.started && missed > maxFreshAge && missed <= outageThreshold && l.coversBreak(b.AvailableSince)
}

// noteAvailability updates since when the store is known to have been available. The caller holds the lock.
func (l *Log) noteAvailability(b Batch) {
	known := b.AvailableSince
	if known.IsZero() {
		known = b.ConfirmedAt
	}
	switch {
	case b.ConfirmedAt.IsZero():
	case !l.started || (b.ConfirmedAt.Sub(l.confirmedAt) > maxFreshAge && known.Sub(l.confirmedAt) > maxFreshAge):
		l.availableSince = known
	case known.Before(l.availableSince) && l.availableSince.Sub(b.ConfirmedAt) <= maxFreshAge:
		l.availableSince = known
	}
}

// needsWitness reports whether other failure domains can tell if the store was available while this process had no records
// of it.
func (l *Log) needsWitness() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	age := l.now().Sub(l.confirmedAt)
	return l.topic.KeysAreUpstreams && l.started && age > maxFreshAge && age <= outageThreshold
}

// availability returns the time since when the store is known to have been available, as of the age of the records; negative
// if unknown.
func (l *Log) availability() (available, age time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.started {
		return -1, -1
	}
	now := l.now()
	return ageOrUnknown(now, l.availableSince), ageOrUnknown(now, l.confirmedAt)
}

// availableElsewhere asks processes of other failure domains since when the store has been available; zero if none has fresh
// records.
func (f *Follower) availableElsewhere(ctx context.Context, l *Log) (since time.Time) {
	targets := f.witnesses()
	if len(targets) == 0 {
		return time.Time{}
	}
	c := &pb.Claim{Topic: l.topic.Name, Claimant: f.self, Domain: string(f.domain), Witness: true}
	answers := f.askAll(ctx, targets, map[string]bool{f.self: true}, c, leaseRequestTimeout)
	now := f.now()
	for _, a := range answers {
		if a.AvailableMs == nil || a.AgeMs == nil || a.GetAgeMs() < 0 || a.GetAgeMs() > maxFreshAge.Milliseconds() {
			continue
		}
		if s := timeBefore(now, a.AvailableMs); since.IsZero() || s.Before(since) {
			since = s
		}
	}
	f.log.Info().Int("asked", len(targets)).Int("answers", len(answers)).Int64("available_ms", ageOrUnknown(now, since).Milliseconds()).
		Msg("other failure domains were asked whether the store was available")
	return since
}

// askInPlaceOf asks other failure domains whether the store was available during a break of which the source of an answer
// knows nothing, as it has just started. It does not ask itself, as its link is busy with weights. A source
// of a release that never tells is left out, as each of its answers would lead to requests.
func (f *Follower) askInPlaceOf(ctx context.Context, l *Log, t *pb.TopicChanges) {
	if t.AvailableMs == nil || !l.needsWitness() || l.wasAvailable(timeBefore(f.now(), t.AvailableMs)) {
		return
	}
	if since := f.availableElsewhere(ctx, l); !since.IsZero() {
		t.AvailableMs = floorMillis(f.now().Sub(since))
	}
}

// wasAvailable reports whether the store is known to have been available since this process's last records.
func (l *Log) wasAvailable(since time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.coversBreak(since)
}

// coversBreak is wasAvailable for callers that hold the lock.
func (l *Log) coversBreak(since time.Time) bool {
	return !since.IsZero() && since.Sub(l.confirmedAt) <= maxFreshAge
}

// answerWitness tells a process of another failure domain since when the store has been available.
func (s *Service) answerWitness(c *pb.Claim) *pb.ClaimAnswer {
	for _, l := range s.logs {
		if l.topic.Name == c.GetTopic() {
			available, age := l.availability()
			return &pb.ClaimAnswer{AvailableMs: floorMillis(available), AgeMs: ceilMillis(age)}
		}
	}
	return &pb.ClaimAnswer{}
}

// witnesses returns a function that lists stagers of other failure domains, one of each domain first.
func witnesses(f *facts.Facts, d id.Domain, self string) func() []string {
	_, port, err := net.SplitHostPort(self)
	if err != nil {
		return func() []string { return nil }
	}
	return func() (l []string) {
		domainOf := map[id.VM]id.Domain{}
		var vms []id.VM
		for _, i := range f.Instances() {
			host, _, err := net.SplitHostPort(i.Address)
			if err == nil && i.Domain != d && len(i.Held) > 0 && !i.Leaving {
				v := id.VM(net.JoinHostPort(host, port))
				domainOf[v] = i.Domain
				vms = append(vms, v)
			}
		}
		asked := map[id.Domain]bool{}
		var more []string
		for _, v := range rendezvous.Order(witnessOrderKey+self, vms) {
			if asked[domainOf[v]] {
				more = append(more, string(v))
				continue
			}
			asked[domainOf[v]] = true
			l = append(l, string(v))
		}
		l = append(l, more...)
		return l[:min(len(l), maxWitnesses)]
	}
}

// witnessOrderKey makes the order of witnesses independent of other rendezvous orders of the same processes.
const witnessOrderKey = "records/witnesses/"
