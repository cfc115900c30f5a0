package soak

import (
	"fmt"
	"strings"
	"time"

	"github.com/springrail/springrail/internal/standin"
)

const (
	// leaveWithin is how soon after the store has taken the word nothing reaches an upstream that leaves; it is the
	// users' bound, and so is configWithin for a configuration.
	leaveWithin  = 3 * time.Second
	configWithin = 3 * time.Second
	// goneWithin is how long after its caller has closed a request may still reach an upstream.
	goneWithin = 500 * time.Millisecond
	// settle is how long after a fault a process is not held to what it may have missed in it.
	settle = 4 * time.Second
	// raceTime is how long before its connection ended a request may have been sent without being in flight for sure.
	raceTime = 200 * time.Millisecond
)

// sound says whether a request's gateway, the store and this machine have been without fault for the time to settle; the
// caller holds the lock.
func (b *History) sound(r *request) bool {
	now := b.now()
	return !b.standsStill(now) && b.clean(now.Add(-settle), now, r.gateway.name, theStore, theMachine)
}

// RecordTick notes that this process runs on.
func (b *History) RecordTick() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ticked = b.now()
}

// standsStill says whether this process has just stood still, and what was to see that has not run yet; the caller holds
// the lock.
func (b *History) standsStill(now time.Time) bool {
	return !b.ticked.IsZero() && now.Sub(b.ticked) > lagLook+lagMost
}

// RecordOverdueExit notes that a process is there long after it was asked to end.
func (b *History) RecordOverdueExit(process string, asked time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	ran := now.Sub(asked)
	for _, s := range b.stalls {
		if s.until.After(asked) {
			ran -= min(s.took, s.until.Sub(asked))
		}
	}
	if b.standsStill(now) {
		ran -= now.Sub(b.ticked)
	}
	b.unless(ran < grace, "grace", process, "", "", "the process is there %v after SIGTERM", now.Sub(asked).Round(time.Second))
}

// RecordStall notes that this process has stood still for a time.
func (b *History) RecordStall(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stalls = append(b.stalls, stall{until: b.now(), took: d})
}

// unless keeps a violation, or counts it where a fault excuses it; the caller holds the lock.
func (b *History) unless(excused bool, check, process, request, subject, format string, args ...any) {
	if excused {
		b.counts["excused by a fault: "+check]++
		return
	}
	b.violate(check, process, request, subject, format, args...)
}

// RecordSent notes a caller's request before it goes out.
func (b *History) RecordSent(id string, r *request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.sent = b.now()
	b.requests[id] = r
	b.counts["sent"]++
	if b.atEnd() && !r.crashes {
		b.counts[endSent]++
	}
}

// RecordAnswered notes an answer that came whole.
func (b *History) RecordAnswered(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts["answered"]++
	if r := b.requests[id]; r != nil && b.atEnd() {
		b.counts[endAnswered]++
	}
}

// What is counted in the last seconds of a run, which are without faults.
const (
	endSent, endAnswered = "sent at the end", "answered at the end"
	// endTime is how long before the run's end all must be well again, and endShare the least share that is answered then:
	// some callers leave early, and some requests are under way when the run ends.
	endTime  = 4 * time.Second
	endShare = 0.75
)

func (b *History) atEnd() bool {
	return !b.end.IsZero() && b.now().After(b.end.Add(-endTime))
}

// CheckFinalPhase checks that all was well again at the end.
func (b *History) CheckFinalPhase() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.now().Before(b.end) {
		// The run was broken off.
		return
	}
	sent, answered := b.counts[endSent], b.counts[endAnswered]
	if sent == 0 || float64(answered) < endShare*float64(sent) {
		b.unless(!b.clean(b.end.Add(-endTime), b.end, theMachine), "well-again", "callers", "", "",
			"%d of %d requests were answered in the last %v", answered, sent, endTime)
	}
}

// RecordClosed notes that a request's caller has closed its connection.
func (b *History) RecordClosed(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[id].closed = b.now()
}

// RecordArrival checks a request that reaches an upstream.
func (b *History) RecordArrival(id, instance, address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.requests[id]
	if r == nil {
		b.violate("unknown-request", address, id, "", "an upstream got a request that nobody sent")
		return
	}
	now := b.now()
	r.at = append(r.at, address)
	sound := b.sound(r) && b.clean(now.Add(-settle), now, address)
	b.limitArrived(r, id, instance, sound)
	b.toldArrived(r, id, instance)
	if d, ok := b.departed[instance]; ok {
		late := now.Sub(d.at)
		b.counts["reached an upstream after it left"]++
		if late > leaveWithin {
			b.unless(!sound, "leaving", r.gateway.name, id, instance, "reached %s %.2f s after the store had its word (%s)", instance, late.Seconds(), d.how)
		}
	}
	if !r.closed.IsZero() {
		b.counts["reached an upstream after its caller closed"]++
		if late := now.Sub(r.closed); late > goneWithin {
			b.unless(!sound, "gone-client", r.gateway.name, id, "", "reached %s %.2f s after its caller had closed", instance, late.Seconds())
		}
	}
}

// RecordRun checks a run of a request at an upstream.
func (b *History) RecordRun(x standin.RequestRun) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.requests[x.Request]
	if r == nil {
		return
	}
	r.runs++
	b.counts["runs"]++
	if r.crashes {
		b.crashRan(r, x.Request)
	}
	if r.unsafe && r.runs > 1 {
		b.violate("once-at-most", r.gateway.name, x.Request, "", "an unsafe request ran %d times, now at %s", r.runs, x.Instance)
	}
	if r.refused > 0 {
		b.violate("refused-ran", r.gateway.name, x.Request, "", "ran at %s after its caller was told %d", x.Instance, r.refused)
	}
	r.version = x.Version
	if x.Version == 0 {
		return
	}
	for _, n := range b.versions {
		if n.number <= x.Version {
			continue
		}
		late := x.At.Sub(n.at) - swapWithin
		b.counts["ran on an older version"]++
		// Whoever could not read the naming has learnt of it late, and counts from then.
		heard := b.clean(n.at.Add(-raceTime), n.at.Add(settle), r.gateway.name, theStore, theMachine)
		if late > 0 {
			b.unless(!heard || !b.sound(r), "version", r.gateway.name, x.Request, fmt.Sprint("version ", n.number), "began on version %d at %s %.2f s after the time for version %d",
				x.Version, x.Instance, late.Seconds(), n.number)
		}
		return
	}
}

// RecordDeparture notes that the store has taken the word that an upstream leaves.
func (b *History) RecordDeparture(instance, how string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.departed[instance]; ok {
		return
	}
	b.departed[instance] = departure{at: b.now(), how: how}
	b.counts["left: "+how]++
	b.note("%s left: %s", instance, how)
}

// RecordVersion notes that the store has taken a version.
func (b *History) RecordVersion(version int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.versions = append(b.versions, named{number: version, at: b.now()})
	b.counts["versions named"]++
	b.note("version %d named", version)
}

// RecordConfig notes that the store has taken a configuration.
func (b *History) RecordConfig(version, size int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.configs = append(b.configs, named{number: version, at: b.now()})
	b.counts["configurations"]++
	b.note("configuration %d of %d bytes", version, size)
}

// configDue is the newest configuration that must be in force; 0 is none.
func (b *History) configDue() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	due := 0
	for _, c := range b.configs {
		if b.now().Sub(c.at) > configWithin {
			due = c.number
		}
	}
	return due
}

// RecordRefused checks a promise that a request was not run.
func (b *History) RecordRefused(id string, status int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.requests[id]
	r.refused = status
	b.counts["refused"]++
	if r.runs > 0 {
		b.violate("refused-ran", r.gateway.name, id, "", "its caller was told %d and it ran %d times", status, r.runs)
	}
}

// RecordDenied checks a status that denies a request which is allowed.
func (b *History) RecordDenied(id string, status, config int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.requests[id]
	b.counts["denied"]++
	switch {
	case config == 0:
		b.violate("denied", r.gateway.name, id, "", "an allowed request got %d", status)
	case !b.superseded(config):
		b.unless(!b.sound(r), "configuration", r.gateway.name, id, fmt.Sprint("configuration ", config), "the route of configuration %d got %d, %v after the store had it",
			config, status, configWithin)
	}
}

// superseded says whether a configuration without this one's route may be in force; the caller holds the lock.
func (b *History) superseded(config int) bool {
	return len(b.configs) > 0 && b.configs[len(b.configs)-1].number > config+keptRoutes
}

// RecordTruncated checks an answer that did not come whole; head says that some of it came.
func (b *History) RecordTruncated(id string, head bool, why error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.requests[id]
	b.counts["cut"]++
	now := b.now()
	if now.Sub(r.sent) >= patience {
		b.counts["cut at the caller's deadline"]++
		return
	}
	ns := r.gateway.termAt.Load()
	if ns == 0 {
		b.endedEarly(r, id, head, fmt.Sprintf("cut: %v", why))
		return
	}
	term := time.Unix(0, ns)
	if now.Sub(term) >= grace || now.Before(term) {
		return
	}
	sure := head || r.runs > 0 || now.Sub(r.sent) > raceTime
	if !sure {
		b.counts["closed under a request that had not begun"]++
		return
	}
	before := term.Add(-settle)
	hurt := !b.clean(before, now, append(r.at, theMachine)...) || !b.clean(before, term.Add(-time.Millisecond), r.gateway.name)
	b.unless(hurt, "lost", r.gateway.name, id, "", "cut %.2f s after SIGTERM, %.2f s after it was sent, with head %t: %v",
		now.Sub(term).Seconds(), now.Sub(r.sent).Seconds(), head, why)
}

// RecordFailed checks a request that the gateway answers as failed: one that an upstream runs is brought to its end.
func (b *History) RecordFailed(id string, status int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.requests[id]
	b.counts[fmt.Sprint("status ", status)]++
	if r.gateway.termAt.Load() == 0 {
		b.endedEarly(r, id, false, fmt.Sprint("answered ", status))
	}
}

// endedEarly checks an answer that ended early: nothing that is planned may do that, nor an upstream's silence. The
// caller holds the lock.
func (b *History) endedEarly(r *request, id string, head bool, how string) {
	if r.crashes || (!head && r.runs == 0) {
		return
	}
	now := b.now()
	if !b.end.IsZero() && !now.Before(b.end) {
		// Upstreams end with the run.
		b.counts["ended with the run"]++
		return
	}
	if !head && b.versionEnds(r.version, now) {
		b.counts["failed at its version's end with nothing of its answer there"]++
		return
	}
	hurt := !b.clean(r.sent.Add(-settle), now, append([]string{r.gateway.name, theMachine}, r.at...)...)
	b.unless(hurt, "ended-early", r.gateway.name, id, "", "%s, %.2f s after it was sent, with head %t, at %s", how, now.Sub(r.sent).Seconds(), head, strings.Join(r.at, ", "))
}

// givenUpBefore is how long before a version's end a gateway may give up a request that has not begun for all that it has
// seen: the naming may be dated by the reading before it, which waited for 0.7 s, and 0.2 s are left to the upstream.
const givenUpBefore = 1200 * time.Millisecond

// versionEnds says whether a version's time ends at a moment: a gateway then gives up a request of whose answer nothing
// has come, as it may not begin later. The caller holds the lock.
func (b *History) versionEnds(version int, now time.Time) bool {
	for _, n := range b.versions {
		if n.number > version && version > 0 {
			end := n.at.Add(swapWithin)
			return now.After(end.Add(-givenUpBefore)) && now.Before(end)
		}
	}
	return false
}
