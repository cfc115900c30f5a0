package placement

import (
	"sync"

	"github.com/springrail/springrail/internal/id"
)

// answerLengthWeight is the weight of the newest answer in the mean of its route: the mean follows a change within some
// tens of answers, which are seconds of one gateway's traffic.
const answerLengthWeight = 0.05

// AnswerLengths learns the mean length of the complete answers of each route, in tokens. It is safe for concurrent use.
type AnswerLengths struct {
	mu    sync.Mutex
	means map[id.Route]float64
}

// NewAnswerLengths returns a collector that has seen no answer.
func NewAnswerLengths() *AnswerLengths {
	return &AnswerLengths{means: map[id.Route]float64{}}
}

// Record adds the length of a complete answer.
func (a *AnswerLengths) Record(r id.Route, tokens float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	mean, known := a.means[r]
	if !known {
		mean = tokens
	}
	a.means[r] = mean + answerLengthWeight*(tokens-mean)
}

// Expected returns the expected length of an answer: the route's mean, or the given one while no answer was seen, and at
// most what the request allows; limit 0 stands for no limit.
func (a *AnswerLengths) Expected(r id.Route, usual, limit float64) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	expected, known := a.means[r]
	if !known {
		expected = usual
	}
	if limit > 0 {
		return min(expected, limit)
	}
	return expected
}
