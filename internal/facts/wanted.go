package facts

import (
	"slices"
	"time"

	"github.com/springrail/springrail/internal/dating"
	"github.com/springrail/springrail/internal/id"
)

// Wanted is the newest weights that operators have named for a model.
type Wanted struct {
	Revision id.Revision
	// PublishTime is that of the naming. The time of older versions runs from it: what this process learns late must not come on top.
	PublishTime dating.TimeBounds
	// LearntAt is when this process read of it.
	LearntAt time.Time
	// unread says that it stands for all versions up to it that this process has not read of, dated by the first of
	// them: the date of the last one alone is too late.
	unread bool
	// proved says that no record names it here: an upstream serves it, or the origin has it.
	proved bool
}

// over says whether the time within which the weights have to be in use has passed. Where it is not known when they were
// named, it may have.
func (w Wanted) over(now time.Time, within time.Duration) bool {
	return w.PublishTime.After.IsZero() || now.Sub(w.PublishTime.After) > within
}

// Publication is what this process has read of new weights.
type Publication struct {
	Revision id.Revision
	// PublishTime is that of the naming; Missed is a moment before any naming that this process has not read, zero where none is known.
	PublishTime   dating.TimeBounds
	CompleteUntil time.Time
}

// PublicationResult is what a naming has changed here.
type PublicationResult struct {
	// New says that the weights were not known.
	New bool
	// DateOutcome is what became of the date that was told.
	DateOutcome dating.Outcome
}

// SetWanted takes the weights that operators name for a model unless it knows newer ones.
func (f *Facts) SetWanted(m id.Model, n Publication) PublicationResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.wanted[m]
	last := newest(l)
	if last.Revision >= n.Revision {
		return PublicationResult{DateOutcome: f.date(m, n.Revision, n.PublishTime)}
	}
	now := f.now()
	if last.Revision+1 < n.Revision {
		// Others may have been named in between, the first of them ever since the last reading.
		l = remember(l, Wanted{Revision: n.Revision - 1, PublishTime: dating.TimeBounds{After: n.CompleteUntil}, LearntAt: now, unread: true})
	}
	d, o := dating.TimeBounds{KnownAt: now}.Merge(n.PublishTime)
	f.wanted[m], _ = agree(remember(l, Wanted{Revision: n.Revision, PublishTime: d, LearntAt: now}))
	f.notify()
	return PublicationResult{New: true, DateOutcome: o}
}

// ObserveRevision takes a version that must have been named, as an upstream serves it or the origin calls it the newest, and says
// whether it was not known. The newest record of a naming may be an older version's, written late, and is all that a
// process can read at its start.
func (f *Facts) ObserveRevision(m id.Model, r id.Revision) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.wanted[m]
	last := newest(l)
	if last.Revision >= r {
		return false
	}
	now := f.now()
	if last.Revision+1 < r {
		l = remember(l, Wanted{Revision: r - 1, LearntAt: now, unread: true})
	}
	f.wanted[m], _ = agree(remember(l, Wanted{Revision: r, PublishTime: dating.TimeBounds{KnownAt: now}, LearntAt: now, proved: true}))
	f.notify()
	return true
}

// ObservedRevision returns the newest version of a model where it is known without its record, or 0.
func (f *Facts) ObservedRevision(m id.Model) id.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := newest(f.wanted[m]); w.proved {
		return w.Revision
	}
	return 0
}

// MergePublishTime takes what another process tells of the naming of weights: one that starts while a version is brought out reads
// it in the store without its age.
func (f *Facts) MergePublishTime(m id.Model, r id.Revision, d dating.TimeBounds) dating.Outcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.date(m, r, d)
}

// date is Date; the caller holds the lock.
func (f *Facts) date(m id.Model, r id.Revision, d dating.TimeBounds) dating.Outcome {
	i := slices.IndexFunc(f.wanted[m], func(w Wanted) bool { return w.Revision == r && !w.unread })
	if i < 0 {
		return dating.Kept
	}
	old := f.wanted[m][i].PublishTime
	merged, o := old.Merge(d)
	if merged == old {
		return o
	}
	l := slices.Clone(f.wanted[m])
	l[i].PublishTime = merged
	l, withdrawn := agree(l)
	f.wanted[m] = l
	if withdrawn || !merged.After.Equal(old.After) {
		f.notify()
	}
	return o
}

// agree withdraws the dates of versions that lie after a moment at which some process knew a later one. Reports tell of
// the newest version alone: a wrong date of the one before it would stand. It says whether one was withdrawn; the list
// must not be shared.
func agree(l []Wanted) (_ []Wanted, withdrawn bool) {
	for i := len(l) - 2; i >= 0; i-- {
		d, o := l[i].PublishTime.Merge(dating.TimeBounds{KnownAt: l[i+1].PublishTime.KnownAt})
		l[i].PublishTime, withdrawn = d, withdrawn || o == dating.Withdrawn
	}
	return l, withdrawn
}

// remember adds to the versions named for a model; the slice given stays as it is.
func remember(l []Wanted, w Wanted) []Wanted {
	if len(l) >= maxNamed {
		l = l[1:]
	}
	return append(l[:len(l):len(l)], w)
}

const (
	// firstRevision is what a model has before operators name another one.
	firstRevision = 1
	// maxNamed bounds the named versions that are remembered of a model; only those of the last seconds matter. With 16, 21
	// versions in 8 s let requests begin 2.3 s late on one whose end had been forgotten (fault soak); one each 0.1 s makes 200.
	maxNamed = 256
)

func newest(l []Wanted) Wanted {
	if len(l) == 0 {
		return Wanted{Revision: firstRevision}
	}
	return l[len(l)-1]
}

// Wanted returns the newest weights named for a model.
func (f *Facts) Wanted(m id.Model) Wanted {
	f.mu.Lock()
	defer f.mu.Unlock()
	return newest(f.wanted[m])
}

// MinRevision returns the oldest version of a model that may still take requests: each version has to be in use, or a newer
// one, within a time of its naming, whatever has been named since. It is 0 where any will do.
func (f *Facts) MinRevision(m id.Model, within time.Duration) id.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	l := f.wanted[m]
	for i := len(l) - 1; i >= 0; i-- {
		if l[i].over(now, within) {
			return l[i].Revision
		}
	}
	return 0
}

// OvertakenAt returns when this process learnt of the newest version of a model, where the time of an older one was
// running out by then, as another version had followed it before; it is zero elsewhere.
func (f *Facts) OvertakenAt(m id.Model, r id.Revision) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.wanted[m]
	if len(l) < 2 || l[len(l)-2].Revision <= r {
		return time.Time{}
	}
	return l[len(l)-1].LearntAt
}

// ServableUntil returns when a version of a model may take no new requests any more: a time after the first newer one was named,
// or when this process read of that one where it does not know since when it is named. It is zero for a version that
// nothing newer is known to follow.
func (f *Facts) ServableUntil(m id.Model, r id.Revision, within time.Duration) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.wanted[m] {
		if w.Revision > r && w.PublishTime.After.IsZero() {
			return w.LearntAt
		}
		if w.Revision > r {
			return w.PublishTime.After.Add(within)
		}
	}
	return time.Time{}
}
