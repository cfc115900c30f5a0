package facts

import (
	"slices"
	"time"

	"github.com/springrail/springrail/internal/dating"
	"github.com/springrail/springrail/internal/id"
)

// Wanted is a version of a model that operators have published.
type Wanted struct {
	Revision id.Revision
	// PublishTime bounds the time of publication. The remaining time of older versions counts from it, so that learning
	// of the version late does not extend it.
	PublishTime dating.TimeBounds
	// LearntAt is when this process learnt of the version.
	LearntAt time.Time
	// gap marks a placeholder for all versions up to this one whose records this process has not read. Its publish time
	// is that of the earliest of them, because the time within which older versions must be replaced counts from that.
	gap bool
	// observed is true of a version without a record: an upstream serves it, or the origin has it.
	observed bool
}

// expired reports whether the time within which the version has to be in use has passed. It assumes so if the publish
// time is unknown.
func (w Wanted) expired(now time.Time, within time.Duration) bool {
	return w.PublishTime.After.IsZero() || now.Sub(w.PublishTime.After) > within
}

// Publication is a record of a new version that this process has read.
type Publication struct {
	Revision id.Revision
	// PublishTime bounds the time of publication. CompleteUntil is a time up to which this process has read all
	// publications, or zero if none is known.
	PublishTime   dating.TimeBounds
	CompleteUntil time.Time
}

// PublicationResult is the effect of a publication on the facts.
type PublicationResult struct {
	// New is true if the version was not known.
	New bool
	// DateOutcome is the result of merging the publish time.
	DateOutcome dating.Outcome
}

// SetWanted stores the version that operators have published for a model, unless a newer one is known.
func (f *Facts) SetWanted(m id.Model, n Publication) PublicationResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.wanted[m]
	last := newest(l)
	if last.Revision >= n.Revision {
		return PublicationResult{DateOutcome: f.mergePublishTime(m, n.Revision, n.PublishTime)}
	}
	now := f.now()
	if last.Revision+1 < n.Revision {
		// The versions in between may have been published too, the earliest of them right after CompleteUntil.
		l = appendVersion(l, Wanted{Revision: n.Revision - 1, PublishTime: dating.TimeBounds{After: n.CompleteUntil}, LearntAt: now, gap: true})
	}
	d, o := dating.TimeBounds{KnownAt: now}.Merge(n.PublishTime)
	f.wanted[m], _ = withdrawContradictedTimes(appendVersion(l, Wanted{Revision: n.Revision, PublishTime: d, LearntAt: now}))
	f.notify()
	return PublicationResult{New: true, DateOutcome: o}
}

// ObserveRevision notes a version that must have been published, because an upstream serves it or the origin has it as
// the newest. It returns false if that version or a newer one was known. A process that starts reads only the newest
// record, which is of an older version if it was written late.
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
		l = appendVersion(l, Wanted{Revision: r - 1, LearntAt: now, gap: true})
	}
	f.wanted[m], _ = withdrawContradictedTimes(appendVersion(l, Wanted{Revision: r, PublishTime: dating.TimeBounds{KnownAt: now}, LearntAt: now, observed: true}))
	f.notify()
	return true
}

// ObservedRevision returns the newest version of a model if it is known without its record, or 0.
func (f *Facts) ObservedRevision(m id.Model) id.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := newest(f.wanted[m]); w.observed {
		return w.Revision
	}
	return 0
}

// MergePublishTime merges the publish time of a version as another process knows it. A process that starts during a
// rollout reads the version in the store without its age.
func (f *Facts) MergePublishTime(m id.Model, r id.Revision, d dating.TimeBounds) dating.Outcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mergePublishTime(m, r, d)
}

// mergePublishTime is MergePublishTime for callers that hold the lock.
func (f *Facts) mergePublishTime(m id.Model, r id.Revision, d dating.TimeBounds) dating.Outcome {
	i := slices.IndexFunc(f.wanted[m], func(w Wanted) bool { return w.Revision == r && !w.gap })
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
	l, withdrawn := withdrawContradictedTimes(l)
	f.wanted[m] = l
	if withdrawn || !merged.After.Equal(old.After) {
		f.notify()
	}
	return o
}

// withdrawContradictedTimes removes publish times that are later than when some process knew of a later version. Reports
// contain the newest version only, so a wrong time of the version before it would otherwise persist. It returns whether
// it removed one; the slice must not be shared.
func withdrawContradictedTimes(l []Wanted) (_ []Wanted, withdrawn bool) {
	for i := len(l) - 2; i >= 0; i-- {
		d, o := l[i].PublishTime.Merge(dating.TimeBounds{KnownAt: l[i+1].PublishTime.KnownAt})
		l[i].PublishTime, withdrawn = d, withdrawn || o == dating.Withdrawn
	}
	return l, withdrawn
}

// appendVersion adds a version to a bounded list without modifying the slice.
func appendVersion(l []Wanted, w Wanted) []Wanted {
	if len(l) >= maxVersions {
		l = l[1:]
	}
	return append(l[:len(l):len(l)], w)
}

const (
	// firstRevision is the revision of a model before operators publish another one.
	firstRevision = 1
	// maxVersions limits the published versions that are kept for a model; only those of the last seconds matter. A
	// limit of 16 was too low: after 21 versions in 8 s, the entry that ended an older version had been dropped, and
	// requests still began on that version 2.3 s after its end. At one version every 0.1 s, 200 have to be kept.
	maxVersions = 256
)

func newest(l []Wanted) Wanted {
	if len(l) == 0 {
		return Wanted{Revision: firstRevision}
	}
	return l[len(l)-1]
}

// Wanted returns the newest published version of a model.
func (f *Facts) Wanted(m id.Model) Wanted {
	f.mu.Lock()
	defer f.mu.Unlock()
	return newest(f.wanted[m])
}

// MinRevision returns the oldest version of a model that may still take requests, or 0 if any may. Each version, or a
// newer one, has to be in use within the given time of its publication, whatever was published after it.
func (f *Facts) MinRevision(m id.Model, within time.Duration) id.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	l := f.wanted[m]
	for i := len(l) - 1; i >= 0; i-- {
		if l[i].expired(now, within) {
			return l[i].Revision
		}
	}
	return 0
}

// OvertakenAt returns when this process learnt of the newest version of a model, if at least two known versions are newer
// than r. The time within which r must be replaced was then already running, since the first of them. Otherwise it
// returns zero.
func (f *Facts) OvertakenAt(m id.Model, r id.Revision) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.wanted[m]
	if len(l) < 2 || l[len(l)-2].Revision <= r {
		return time.Time{}
	}
	return l[len(l)-1].LearntAt
}

// ServableUntil returns when a version of a model may no longer take new requests: the given time after the first newer
// one was published, or when this process learnt of that one if its publish time is unknown. It is zero if no newer
// version is known.
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
