package quarantine

import "time"

// AnswerTimes are the times at which parts of the answer to a request were received at a gateway; zero for what was not.
type AnswerTimes struct {
	SentAt time.Time
	// HeadAt and FirstDataAt are those of the header and of the first data after it.
	HeadAt, FirstDataAt time.Time
	// LastAt is when anything was last received.
	LastAt time.Time
}

// silence returns how long before a time the last sign of the upstream was received, or the request was sent.
func (t AnswerTimes) silence(now time.Time) time.Duration {
	if t.LastAt.IsZero() {
		return now.Sub(t.SentAt)
	}
	return now.Sub(t.LastAt)
}
