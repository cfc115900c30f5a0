package quarantine

import "time"

// timer is a function that is due at a time.
type timer struct {
	at time.Time
	do func()
}

// passTime lets time pass and calls the timers that are due, in order.
func passTime(now *time.Time, timers *[]timer, d time.Duration) {
	end := now.Add(d)
	for {
		next := -1
		for i, t := range *timers {
			if !t.at.After(end) && (next < 0 || t.at.Before((*timers)[next].at)) {
				next = i
			}
		}
		if next < 0 {
			*now = end
			return
		}
		t := (*timers)[next]
		*timers = append((*timers)[:next:next], (*timers)[next+1:]...)
		*now = t.at
		t.do()
	}
}
