package quarantine

import "time"

const (
	// BeginningTime is how long after its first data an answer counts as beginning. An upstream that crashes as it begins an
	// answer may have sent a few events of it.
	BeginningTime = 500 * time.Millisecond
	// beginTime is how long after a request was sent an upstream may be beginning it although it has not sent the header.
	beginTime = 100 * time.Millisecond
)

// AnswerTimes are the times at which parts of the answer to a request were received at a gateway; zero for what was not.
type AnswerTimes struct {
	SentAt time.Time
	// HeadAt and FirstDataAt are those of the header and of the first data after it.
	HeadAt, FirstDataAt time.Time
	// LastAt is when anything was last received.
	LastAt time.Time
}

// silence returns how long before a time the upstream last sent anything, or the request was sent.
func (t AnswerTimes) silence(now time.Time) time.Duration {
	return now.Sub(latest(t.SentAt, t.LastAt))
}

// progress returns how far the answer had come when the upstream's process ended.
func (t AnswerTimes) progress(end endTime) Progress {
	switch {
	case t.HeadAt.IsZero() && (!t.SentAt.After(end.from.Add(-beginTime)) || t.SentAt.After(end.until.Add(beginTime))):
		return Waiting
	case t.FirstDataAt.IsZero() || latest(end.from, t.LastAt).Sub(t.FirstDataAt) < BeginningTime:
		return Beginning
	default:
		return Writing
	}
}

// endTime is when a process ended, as far as known: after its last sign, but if it was sending no answer then, not before the
// first request that it was sent later.
type endTime struct {
	from, until time.Time
}

// endAfter returns when a process ended whose last sign is known, under requests that it sent nothing any more.
func endAfter(lastSign time.Time, requests []InFlightRequest) endTime {
	end := endTime{from: lastSign, until: lastSign}
	for _, r := range requests {
		if at := r.Times.SentAt; !at.After(lastSign) && !r.Times.LastAt.IsZero() {
			return endTime{from: lastSign, until: lastSign}
		} else if at.After(lastSign) && (end.until.Equal(lastSign) || at.Before(end.until)) {
			end.until = at
		}
	}
	return end
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
