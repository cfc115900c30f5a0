package decide

import (
	"container/heap"
	"time"
)

// clock is virtual time: it runs what is due in order, and what is due at once in the order in which it was set.
type clock struct {
	start time.Time
	at    time.Duration
	count uint64
	queue alarms
}

// alarm is something that is due.
type alarm struct {
	at    time.Duration
	count uint64
	do    func()
}

// stop keeps an alarm from being carried out.
func (a *alarm) stop() {
	if a != nil {
		a.do = nil
	}
}

// alarms is a heap by time.
type alarms []*alarm

func (l alarms) Len() int { return len(l) }

func (l alarms) Less(i, j int) bool {
	if l[i].at != l[j].at {
		return l[i].at < l[j].at
	}
	return l[i].count < l[j].count
}

func (l alarms) Swap(i, j int) { l[i], l[j] = l[j], l[i] }

// Push implements heap.Interface.
func (l *alarms) Push(x any) { *l = append(*l, x.(*alarm)) }

// Pop implements heap.Interface.
func (l *alarms) Pop() any {
	old := *l
	last := old[len(old)-1]
	*l = old[:len(old)-1]
	return last
}

func newClock() *clock {
	return &clock{start: time.Unix(1_000_000, 0)}
}

// now is the time as the decisions see it.
func (c *clock) now() time.Time {
	return c.start.Add(c.at)
}

// since is a time of the decisions as one of the play.
func (c *clock) since(t time.Time) time.Duration {
	return t.Sub(c.start)
}

// after sets an alarm.
func (c *clock) after(d time.Duration, do func()) *alarm {
	return c.on(c.at+max(0, d), do)
}

// on sets an alarm for a time, or for now where that has passed.
func (c *clock) on(at time.Duration, do func()) *alarm {
	c.count++
	a := &alarm{at: max(at, c.at), count: c.count, do: do}
	heap.Push(&c.queue, a)
	return a
}

// run carries out what is due until nothing is.
func (c *clock) run() {
	for len(c.queue) > 0 {
		a := heap.Pop(&c.queue).(*alarm)
		if a.do == nil {
			continue
		}
		c.at = a.at
		a.do()
	}
}
