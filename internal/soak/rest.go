package soak

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/springrail/springrail/internal/kernel"
)

const (
	// toldWithinLeaving is how long after a gateway has passed on an answer that says so a request of it may still reach
	// an upstream that leaves.
	toldWithinLeaving = 2 * time.Second
	// restSlack is how long after an upstream has asked for rest a request that was on its way may still arrive, and
	// restMost how many may in the rest of that time.
	restSlack = 500 * time.Millisecond
	restMost  = 2
	// restEvery is the mean time between two upstreams that ask for rest, and restLeast and restLongest are the bounds of
	// how long one does so.
	restEvery              = 8 * time.Second
	restLeast, restLongest = 2 * time.Second, 9 * time.Second
	// leastRest and mostRest bound the Retry-After that it names, in seconds.
	leastRest, mostRest = 0.6, 4.0
)

// told is what an upstream has told a gateway in its answers.
type told struct {
	// leaving is when the gateway passed on the first answer that says so.
	leaving time.Time
	rests   []rest
}

// rest is a time in which an upstream wants no request of a gateway.
type rest struct {
	from, until time.Time
	got         int
}

// restOne has an upstream answer every request with 503 and a Retry-After for a time.
func (w *Fleet) restOne(ctx context.Context, s Step) {
	u := w.upstream(s)
	u.mu.Lock()
	server, id, listed := u.server, u.id, u.listed
	u.mu.Unlock()
	if !listed {
		return
	}
	w.history.RecordEvent("%s asks for rest", id)
	w.history.Count("upstreams that ask for rest")
	server.SetRetryAfter(fmt.Sprintf("%.2f", leastRest+s.Magnitude*(mostRest-leastRest)))
	kernel.Pause(ctx, s.Duration)
	server.SetRetryAfter("")
}

// toldOf is what an upstream has told a gateway; the caller holds the lock.
func (b *History) toldOf(gateway, instance string) *told {
	key := gateway + " " + instance
	t := b.told[key]
	if t == nil {
		t = &told{}
		b.told[key] = t
	}
	return t
}

// RecordLeavingNotice notes that a gateway has passed on an answer of an upstream that says that it leaves.
func (b *History) RecordLeavingNotice(id, instance string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t := b.toldOf(b.requests[id].gateway.name, instance); t.leaving.IsZero() {
		b.counts["told that an upstream leaves"]++
		t.leaving = b.now()
	}
}

// RecordRestRequest notes that an upstream has turned a request away and named a Retry-After.
func (b *History) RecordRestRequest(id, instance, retryAfter string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, s := b.requests[id], retryAfter
	seconds, err := strconv.ParseFloat(s, 64)
	if r == nil || err != nil {
		return
	}
	b.counts["asked for rest"]++
	now := b.now()
	t := b.toldOf(r.gateway.name, instance)
	t.rests = append(t.rests, rest{from: now, until: now.Add(time.Duration(seconds * float64(time.Second)))})
}

// toldArrived checks a request that reaches an upstream against what that has told its gateway; the caller holds the lock.
func (b *History) toldArrived(r *request, id, instance string) {
	g, now := r.gateway.name, b.now()
	t := b.told[g+" "+instance]
	if t == nil {
		return
	}
	if late := now.Sub(t.leaving); !t.leaving.IsZero() && late > toldWithinLeaving {
		b.unless(!b.lived(t.leaving, g), "told-leaving", g, id, instance, "reached %s %.2f s after an answer had told its gateway that it leaves",
			instance, late.Seconds())
	}
	t.rests = slices.DeleteFunc(t.rests, func(s rest) bool { return now.After(s.until) })
	for i := range t.rests {
		s := &t.rests[i]
		if now.Sub(s.from) <= restSlack {
			continue
		}
		if s.got++; s.got > restMost {
			excused := !b.lived(s.from, g) || !b.clean(s.from, now, g)
			b.unless(excused, "rest", g, id, instance, "%s got %d requests in a rest that it had asked its gateway for %.2f s before",
				instance, s.got, now.Sub(s.from).Seconds())
		}
	}
}

// lived says whether a process has neither started nor stood still since a moment; the caller holds the lock.
func (b *History) lived(since time.Time, process string) bool {
	if b.standsStill(b.now()) || !b.clean(since, b.now(), theMachine) {
		return false
	}
	return !slices.ContainsFunc(b.spans[process], func(s *span) bool {
		return slices.Contains([]string{spanPaused, spanKilled, spanTerminated}, s.what) && (s.until.IsZero() || s.until.After(since))
	})
}
