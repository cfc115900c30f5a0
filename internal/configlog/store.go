// Package configlog keeps the configuration of a process up to date from the platform's log, and appends operators' changes
// to it.
package configlog

import (
	"sync"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/config"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
)

// maxRecentRecords is the number of newest records kept for other processes; those that are further behind get a snapshot.
const maxRecentRecords = 2048

// Store holds the newest configuration that a process knows. Its offset never decreases.
type Store struct {
	mu      sync.Mutex
	state   *config.State
	recent  []*pb.LogRecord
	ready   bool
	changed chan struct{}
	// observe advances the process's clock past the timestamp of each applied change.
	observe func(t kernel.Time)
}

// NewStore returns an empty store, which is not ready.
func NewStore(observe func(t kernel.Time)) *Store {
	return &Store{state: config.NewState(), changed: make(chan struct{}), observe: observe}
}

// State returns the newest configuration. The returned state is immutable.
func (s *Store) State() *config.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// Changed returns a channel that is closed when the state or the readiness next changes.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Ready reports whether the store has caught up with its source at least once.
func (s *Store) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready
}

// SetReady marks the store as caught up with its source.
func (s *Store) SetReady() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ready {
		s.ready = true
		s.notify()
	}
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Apply applies records in order and returns the number of new ones. Records that can't be decoded are skipped, as in every
// other process. At a missing record it stops and returns config.ErrGap.
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
		s.observeTime(r)
	}
	if len(fresh) == 0 {
		return 0, failed
	}
	s.state = next
	s.recent = append(s.recent, fresh...)
	if extra := len(s.recent) - maxRecentRecords; extra > 0 {
		s.recent = append([]*pb.LogRecord(nil), s.recent[extra:]...)
	}
	s.notify()
	return len(fresh), failed
}

// observeTime advances the clock past the timestamp of a change, so that events caused by the change sort after it.
func (s *Store) observeTime(r *pb.LogRecord) {
	m, err := config.Decode(r.GetData())
	if at := m.GetChange().GetAt(); err == nil && at != nil {
		s.observe(kernel.Time{WallUnixMs: at.GetWallUnixMs(), Logical: at.GetLogical()})
	}
}

// RestoreSnapshot replaces the state by a snapshot if that is newer, and reports whether it was.
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

// RecordsAfter returns the records after an offset, or a snapshot if the store no longer holds all of them.
func (s *Store) RecordsAfter(offset id.Offset) ([]*pb.LogRecord, *pb.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if offset >= s.state.Offset() {
		return nil, nil
	}
	if len(s.recent) == 0 || s.recent[0].GetOffset() > uint64(offset)+1 {
		return nil, s.state.Snapshot()
	}
	skipped := uint64(offset) + 1 - s.recent[0].GetOffset()
	return s.recent[skipped:], nil
}

// NotReady implements kernel.ReadinessReporter.
func (s *Store) NotReady() string {
	if s.Ready() {
		return ""
	}
	return "no configuration yet: neither the platform's log nor another process has given it"
}
