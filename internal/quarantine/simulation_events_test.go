package quarantine

import (
	"slices"
	"time"
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

func (p *fakeUpstream) has(r *simulatedRequest) bool {
	return slices.Contains(p.requests, r)
}

func (p *fakeUpstream) remove(r *simulatedRequest) {
	p.requests = slices.DeleteFunc(p.requests, func(o *simulatedRequest) bool { return o == r })
}
