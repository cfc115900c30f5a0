package quarantine

import (
	"fmt"
	"slices"
	"time"

	"github.com/springrail/springrail/internal/id"
)

// event is a function to be called at a time.
type event struct {
	at       time.Duration
	sequence int
	do       func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].sequence < e[j].sequence)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	l := *e
	x := l[len(l)-1]
	*e = l[:len(l)-1]
	return x
}

// fakeUpstream is an upstream; restarts identifies its incarnation.
type fakeUpstream struct {
	restarts int
	up       bool
	// requests are those in flight, in the order in which they were sent.
	requests []*simulatedRequest
}

// instance returns the name of its process.
func (p *fakeUpstream) instance(t *simulation) id.Instance {
	return id.Instance(fmt.Sprintf("%d-%d", slices.Index(t.fakeUpstreams, p), p.restarts))
}

// isListed reports whether a process is in the list: it runs and is not cut off.
func (t *simulation) isListed(s Incarnation) bool {
	return slices.ContainsFunc(t.fakeUpstreams, func(p *fakeUpstream) bool { return p.up && p.instance(t) == s.Instance })
}

// cutOff makes an upstream silent for a time. It is presumed to have ended if that is long enough for its entry to lapse, and
// what it was sent is given up.
func (t *simulation) cutOff(p *fakeUpstream) {
	if !p.up {
		return
	}
	length := time.Duration(t.random.Int64N(int64(maxCutTime)))
	if length > t.lapse {
		t.report(p, min(t.lapse, patience), t.lapse, true)
	} else {
		for _, r := range p.requests {
			t.schedule(min(length, patience), func() { t.retry(r) })
		}
	}
	p.up, p.requests = false, nil
	t.schedule(length, func() { p.up = true })
}

func (p *fakeUpstream) has(r *simulatedRequest) bool {
	return slices.Contains(p.requests, r)
}

func (p *fakeUpstream) remove(r *simulatedRequest) {
	p.requests = slices.DeleteFunc(p.requests, func(o *simulatedRequest) bool { return o == r })
}
