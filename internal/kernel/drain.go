package kernel

import (
	"context"
	"time"
)

const (
	// answerReserve is what is left of the time for a shutdown when answers are due, at most a share of that time.
	answerReserve      = 800 * time.Millisecond
	answerReserveShare = 0.25
)

// AnswerReserve returns what is left of the time for a shutdown when answers are due. In its first half the last answers
// are written, in the second one the process stops its parts.
func AnswerReserve(within time.Duration) time.Duration {
	return min(answerReserve, time.Duration(answerReserveShare*float64(within)))
}

// DrainTime returns the time for a shutdown that ends with the context.
func DrainTime(ctx context.Context) time.Duration {
	if end, ok := ctx.Deadline(); ok {
		return time.Until(end)
	}
	return defaultDrainTimeout
}

// DrainTimes are the moments of a graceful shutdown.
type DrainTimes struct {
	// AnswersDue is when the requests that are still in flight are ended, and ExitDue when their answers are out.
	AnswersDue, ExitDue time.Time
}

// NewDrainTimes returns the moments of a shutdown that ends with the context.
func NewDrainTimes(ctx context.Context) DrainTimes {
	within := DrainTime(ctx)
	reserve, end := AnswerReserve(within), time.Now().Add(within)
	return DrainTimes{AnswersDue: end.Add(-reserve), ExitDue: end.Add(-reserve / 2)}
}
