// Package upstream connects an agent with the upstream on its VM. It orders a model engine to load versions, announces which
// versions the engine serves, and is the only path by which requests reach the upstream.
package upstream

import (
	"context"
	"slices"
	"strings"
	"sync"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/id"
)

// modelKey identifies a model of an organisation.
type modelKey struct {
	organisation id.Organisation
	model        id.Model
}

// liveModel is a version that the engine serves, with the number of requests that run on it.
type liveModel struct {
	version  id.Version
	rollout  id.Rollout
	inFlight int
}

// LiveVersions tracks the versions that the engine serves and the requests that run on them. A request holds its version from
// Acquire until release, and a swap waits until no request holds the version that it replaces.
type LiveVersions struct {
	mu       sync.Mutex
	models   map[modelKey]*liveModel
	released chan struct{}
}

// NewLiveVersions returns a tracker without live versions.
func NewLiveVersions() *LiveVersions {
	return &LiveVersions{models: map[modelKey]*liveModel{}, released: make(chan struct{})}
}

// Announce makes a version of a model live, and reports whether it was not live before.
func (l *LiveVersions) Announce(k modelKey, v id.Version, r id.Rollout) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.models[k]
	if m == nil {
		m = &liveModel{}
		l.models[k] = m
	}
	if m.rollout == r {
		return false
	}
	// Requests on an earlier version of the model may still run.
	m.version, m.rollout = v, r
	return true
}

// Withdraw takes a model's live version out of service and reports whether there was one. Requests that hold the version
// continue.
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

// Rollout returns the rollout whose version is live for a model, or "".
func (l *LiveVersions) Rollout(k modelKey) id.Rollout {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m := l.models[k]; m != nil {
		return m.rollout
	}
	return ""
}

// Acquire holds a model's live version for a request if the version is of the requested rollout.
func (l *LiveVersions) Acquire(k modelKey, r id.Rollout) (v id.Version, release func(), ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.models[k]
	if m == nil || m.rollout == "" || m.rollout != r {
		return "", nil, false
	}
	m.inFlight++
	return m.version, func() { l.release(k, m) }, true
}

func (l *LiveVersions) release(k modelKey, m *liveModel) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m.inFlight--
	if m.inFlight > 0 {
		return
	}
	if m.rollout == "" && l.models[k] == m {
		delete(l.models, k)
	}
	close(l.released)
	l.released = make(chan struct{})
}

// WaitIdle waits until no request holds a version of the model. It returns false if the context ends first.
func (l *LiveVersions) WaitIdle(ctx context.Context, k modelKey) bool {
	for {
		l.mu.Lock()
		m, released := l.models[k], l.released
		busy := m != nil && m.inFlight > 0
		l.mu.Unlock()
		if !busy {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-released:
		}
	}
}

// List returns the live versions, sorted by organisation and model.
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
