package decide

import (
	"container/heap"
	"time"
)

// clock is a discrete-event scheduler in virtual time: it runs timers in the order of their due times, and those due at
// the same time in the order in which they were set.
type clock struct {
	start    time.Time
	elapsed  time.Duration
	sequence uint64
	timers   timerHeap
}

// timer is a callback with its due time.
type timer struct {
	due      time.Duration
	sequence uint64
	callback func()
}

// stop cancels a timer.
func (a *timer) stop() {
	if a != nil {
		a.callback = nil
	}
}

// timerHeap is a heap of timers by due time.
type timerHeap []*timer

func (l timerHeap) Len() int { return len(l) }

func (l timerHeap) Less(i, j int) bool {
	if l[i].due != l[j].due {
		return l[i].due < l[j].due
	}
	return l[i].sequence < l[j].sequence
}

func (l timerHeap) Swap(i, j int) { l[i], l[j] = l[j], l[i] }

// Push implements heap.Interface.
func (l *timerHeap) Push(x any) { *l = append(*l, x.(*timer)) }

// Pop implements heap.Interface.
func (l *timerHeap) Pop() any {
	old := *l
	last := old[len(old)-1]
	*l = old[:len(old)-1]
	return last
}

func newClock() *clock {
	return &clock{start: time.Unix(1_000_000, 0)}
}

// now returns the virtual time as a time of day, for code that takes one.
func (c *clock) now() time.Time {
	return c.start.Add(c.elapsed)
}

// since converts a time of day, as returned by now, to the virtual time since the start.
func (c *clock) since(t time.Time) time.Duration {
	return t.Sub(c.start)
}

// after sets a timer that is due after d.
func (c *clock) after(d time.Duration, do func()) *timer {
	return c.schedule(c.elapsed+max(0, d), do)
}

// schedule sets a timer for a virtual time, or for the present if that has passed.
func (c *clock) schedule(due time.Duration, do func()) *timer {
	c.sequence++
	a := &timer{due: max(due, c.elapsed), sequence: c.sequence, callback: do}
	heap.Push(&c.timers, a)
	return a
}

// run runs timers until none remains.
func (c *clock) run() {
	for len(c.timers) > 0 {
		a := heap.Pop(&c.timers).(*timer)
		if a.callback == nil {
			continue
		}
		c.elapsed = a.due
		a.callback()
	}
}
