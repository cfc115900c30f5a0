// Package upstream is an agent's side towards the upstream on its VM: it orders a model engine to load versions,
// announces what the engine serves, and is the only door through which requests reach the upstream.
package upstream

import (
	"context"
	"slices"
	"strings"
	"sync"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/id"
)

// modelKey names a model of an organisation.
type modelKey struct {
	organisation id.Organisation
	model        id.Model
}

// liveModel is a version that the engine serves and the requests that run on it.
type liveModel struct {
	version  id.Version
	rollout  id.Rollout
	inFlight int
}

// LiveVersions is what the engine serves and what runs on it. A request holds its version from Acquire to leave, and a swap
// waits until no request holds the version that it takes away.
type LiveVersions struct {
	mu     sync.Mutex
	models map[modelKey]*liveModel
	idle   chan struct{}
}

// NewLiveVersions makes an empty one.
func NewLiveVersions() *LiveVersions {
	return &LiveVersions{models: map[modelKey]*liveModel{}, idle: make(chan struct{})}
}

// Announce makes a version live and says whether that is new.
func (l *LiveVersions) Announce(k modelKey, v id.Version, r id.Rollout) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m := l.models[k]; m != nil && m.rollout == r {
		return false
	}
	l.models[k] = &liveModel{version: v, rollout: r}
	return true
}

// Withdraw ends a model's live version; requests that hold it go on. It says whether there was one.
func (l *LiveVersions) Withdraw(k modelKey) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.models[k]
	if m == nil || m.rollout == "" {
		return false
	}
	m.rollout = ""
	if m.inFlight == 0 {
		delete(l.models, k)
	}
	return true
}

// Rollout returns the rollout that is live for a model, or nothing.
func (l *LiveVersions) Rollout(k modelKey) id.Rollout {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m := l.models[k]; m != nil {
		return m.rollout
	}
	return ""
}

// Acquire holds a model's live version for a request if it is of the wanted rollout.
func (l *LiveVersions) Acquire(k modelKey, r id.Rollout) (v id.Version, leave func(), ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.models[k]
	if m == nil || m.rollout == "" || m.rollout != r {
		return "", nil, false
	}
	m.inFlight++
	return m.version, func() { l.leave(k, m) }, true
}

func (l *LiveVersions) leave(k modelKey, m *liveModel) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m.inFlight--
	if m.inFlight > 0 {
		return
	}
	if m.rollout == "" && l.models[k] == m {
		delete(l.models, k)
	}
	close(l.idle)
	l.idle = make(chan struct{})
}

// WaitIdle waits until no request holds a withdrawn model, or the context ends.
func (l *LiveVersions) WaitIdle(ctx context.Context, k modelKey) bool {
	for {
		l.mu.Lock()
		m, idle := l.models[k], l.idle
		busy := m != nil && m.inFlight > 0
		l.mu.Unlock()
		if !busy {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-idle:
		}
	}
}

// List returns the live versions by organisation and model.
func (l *LiveVersions) List() []*pb.LiveVersion {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*pb.LiveVersion
	for k, m := range l.models {
		if m.rollout != "" {
			out = append(out, &pb.LiveVersion{
				Organisation: string(k.organisation), Model: string(k.model), Version: string(m.version),
				Rollout: string(m.rollout),
			})
		}
	}
	slices.SortFunc(out, func(a, b *pb.LiveVersion) int {
		return strings.Compare(a.GetOrganisation()+"/"+a.GetModel(), b.GetOrganisation()+"/"+b.GetModel())
	})
	return out
}
