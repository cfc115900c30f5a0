// Package swarm decides which chunks a VM fetches from which neighbour or from the origin. It has no side effects: it
// opens no sockets, starts no goroutines, and receives the time and its source of randomness as arguments.
package swarm

import (
	"math/bits"

	"github.com/springrail/springrail/internal/id"
)

// Set is a bit set of chunk numbers.
type Set struct {
	words []uint64
	count int
}

// NewSet returns an empty set for chunk numbers below n.
func NewSet(n int) *Set {
	return &Set{words: make([]uint64, (n+63)/64)}
}

// Has reports whether a chunk is in the set.
func (s *Set) Has(c id.Chunk) bool {
	return s.words[c/64]&(1<<(c%64)) != 0
}

// Add adds a chunk to the set and reports whether it was missing.
func (s *Set) Add(c id.Chunk) bool {
	if s.Has(c) {
		return false
	}
	s.words[c/64] |= 1 << (c % 64)
	s.count++
	return true
}

// Len returns the number of chunks in the set.
func (s *Set) Len() int {
	return s.count
}

// Missing calls f for each chunk below n that is not in the set, until f returns false.
func (s *Set) Missing(n int, f func(c id.Chunk) bool) {
	for w, word := range s.words {
		for rest := ^word; rest != 0; rest &= rest - 1 {
			c := w*64 + bits.TrailingZeros64(rest)
			if c >= n {
				return
			}
			if !f(id.Chunk(c)) {
				return
			}
		}
	}
}
