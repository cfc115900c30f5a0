// Package configlog holds a process's configuration, follows the platform's log, and appends operators' changes.
package configlog

import (
	"sync"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/config"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
)

// recentKept bounds the records held for processes that are a little behind.
const recentKept = 2048

// Store is the newest configuration of a process. It never goes back.
type Store struct {
	mu     sync.Mutex
	state  *config.State
	recent []*pb.LogRecord
	ready  bool
	change chan struct{}
	// observe notes the time of each change that is folded.
	observe func(t kernel.Time)
}

// NewStore makes a store before the first record; it is not ready.
func NewStore(observe func(t kernel.Time)) *Store {
	return &Store{state: config.NewState(), change: make(chan struct{}), observe: observe}
}

// State returns the newest configuration. It is not changed after it is returned.
func (s *Store) State() *config.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// Changed returns a channel that closes at the next change of state or readiness.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.change
}

// Ready says whether the store has once held all that its source had.
func (s *Store) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready
}

// SetReady notes that the store holds all that its source has.
func (s *Store) SetReady() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ready {
		s.ready = true
		s.notify()
	}
}

func (s *Store) notify() {
	close(s.change)
	s.change = make(chan struct{})
}

// Apply applies records in order and returns how many were new. Records that can't be decoded are skipped, as in
// every other process; a gap stops the fold with config.ErrGap.
func (s *Store) Apply(records []*pb.LogRecord) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.state.Clone()
	var fresh []*pb.LogRecord
	var failed error
	for _, r := range records {
		before := next.Offset()
		err := next.Apply(id.Offset(r.GetOffset()), r.GetData())
		if next.Offset() == before {
			if err != nil {
				failed = err
				break
			}
			continue
		}
		fresh = append(fresh, r)
		s.noteTime(r)
	}
	if len(fresh) == 0 {
		return 0, failed
	}
	s.state = next
	s.recent = append(s.recent, fresh...)
	if extra := len(s.recent) - recentKept; extra > 0 {
		s.recent = append([]*pb.LogRecord(nil), s.recent[extra:]...)
	}
	s.notify()
	return len(fresh), failed
}

// noteTime lets the time line's order run through the log.
func (s *Store) noteTime(r *pb.LogRecord) {
	m, err := config.Decode(r.GetData())
	if at := m.GetChange().GetAt(); err == nil && at != nil {
		s.observe(kernel.Time{WallUnixMs: at.GetWallUnixMs(), Logical: at.GetLogical()})
	}
}

// RestoreSnapshot takes a snapshot if it is ahead of the store and says whether it did.
func (s *Store) RestoreSnapshot(m *pb.State) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id.Offset(m.GetOffset()) <= s.state.Offset() {
		return false
	}
	s.state = config.FromSnapshot(m)
	s.recent = nil
	s.notify()
	return true
}

// RecordsAfter returns the records after an offset, or a snapshot where they are no longer held.
func (s *Store) RecordsAfter(offset id.Offset) ([]*pb.LogRecord, *pb.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if offset >= s.state.Offset() {
		return nil, nil
	}
	if len(s.recent) == 0 || s.recent[0].GetOffset() > uint64(offset)+1 {
		return nil, s.state.Snapshot()
	}
	skip := uint64(offset) + 1 - s.recent[0].GetOffset()
	return s.recent[skip:], nil
}

// NotReady says what is missing before the process can serve, or nothing.
func (s *Store) NotReady() string {
	if s.Ready() {
		return ""
	}
	return "no configuration yet: neither the platform's log nor another process has given it"
}
