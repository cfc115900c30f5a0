package swarm

import "time"

// freshShare is the part of the longest gap for which the origin counts as answering after its last known answer. It
// leaves time for a check to be answered before the gap is too long.
const freshShare = 2

// OriginAnswers is what a VM knows of the time during which the origin answers any VM. A new chunk of any lane shows
// that it does, which distinguishes a dead VM of a lane from an origin that is unavailable to all.
type OriginAnswers struct {
	// since and last are the times of the first and the last answer of the current period without a longer gap.
	since, last time.Time
	// failedAt is when the first request of this VM failed after the last one that was answered.
	failedAt time.Time
}

// Record records that the origin has answered some VM. An answer after more than the longest gap begins a new period.
func (o *OriginAnswers) Record(now time.Time, maxGap time.Duration) {
	if now.Sub(o.last) > maxGap {
		o.since = now
	}
	o.last = now
}

// RecordOwn records that the origin has answered this VM. If it has not for longer than the longest gap, a new period
// begins even if it has answered others, as it may begin to answer the VMs of lower ranks at the same time.
func (o *OriginAnswers) RecordOwn(now time.Time, maxGap time.Duration) {
	o.Record(now, maxGap)
	if !o.failedAt.IsZero() && now.Sub(o.failedAt) > maxGap {
		o.since = now
	}
	o.failedAt = time.Time{}
}

// RecordFailure records that the origin has not answered a request of this VM.
func (o *OriginAnswers) RecordFailure(now time.Time) {
	if o.failedAt.IsZero() {
		o.failedAt = now
	}
}

// Unknown reports whether it takes a request to find out if the origin answers this VM.
func (o *OriginAnswers) Unknown(now time.Time, maxGap time.Duration) bool {
	return !o.failedAt.IsZero() || now.Sub(o.last) > maxGap/freshShare
}

// AnsweringSince returns for how much of the time since a lane's last new chunk the origin is known to answer; zero if
// it does not answer this VM or its last answer is too old.
func (o *OriginAnswers) AnsweringSince(lastNew time.Time, maxGap time.Duration, now time.Time) time.Duration {
	if !o.failedAt.IsZero() || now.Sub(o.last) > maxGap {
		return 0
	}
	from, until := o.since, o.last.Add(maxGap/freshShare)
	if lastNew.After(from) {
		from = lastNew
	}
	if now.Before(until) {
		until = now
	}
	return max(0, until.Sub(from))
}
