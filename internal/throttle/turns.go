package throttle

import "time"

// turnLife is how long a turn may be used. Turns that could be kept would be used by all gateways at once after a time
// without callers.
const turnLife = time.Second

// turns are the moments at which one of several gateways may send on its own part of a limit.
type turns struct {
	part Rate
	// next is the turn that has not been used; it may have begun.
	next time.Time
}

// newTurns makes the turns of a part; the first one comes at a random place of the time between two, so that gateways'
// turns don't fall together.
func newTurns(part Rate, now time.Time, random func() float64) turns {
	t := turns{part: part}
	t.next = now.Add(time.Duration(random() * float64(t.period())))
	return t
}

// period is the time between two turns.
func (t *turns) period() time.Duration {
	if s := 1 / float64(t.part); s < never.Seconds() {
		return time.Duration(s * float64(time.Second))
	}
	return never
}

// set changes the part from now on: what is left of the time until the next turn changes with it.
func (t *turns) set(part Rate, now time.Time) {
	if part == t.part {
		return
	}
	left := max(0, t.next.Sub(now))
	t.next = now.Add(time.Duration(float64(left) / float64(t.period()) * float64((&turns{part: part}).period())))
	t.part = part
}

// pass leaves out the turns whose time is over.
func (t *turns) pass(now time.Time) {
	if over := now.Sub(t.next) - turnLife; over > 0 {
		t.next = t.next.Add((over/t.period() + 1) * t.period())
	}
}

// due is how long it takes until a turn comes; 0 during one.
func (t *turns) due(now time.Time) time.Duration {
	t.pass(now)
	return max(0, t.next.Sub(now))
}

// take takes a turn if there is one.
func (t *turns) take(now time.Time) bool {
	if t.due(now) > 0 {
		return false
	}
	t.next = t.next.Add(t.period())
	return true
}
