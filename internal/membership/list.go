package membership

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/id"
)

// The roles of VMs in the platform's list.
const (
	RoleEntry    = "entry"
	RoleUpstream = "upstream"
)

// List caches the platform's VM list, so that it stays available while the platform is not.
type List struct {
	mu      sync.Mutex
	list    *pb.VMList
	changed chan struct{}
}

// NewList returns an empty list.
func NewList() *List {
	return &List{list: &pb.VMList{}, changed: make(chan struct{})}
}

// Set replaces the list if m has a higher version, and reports whether it did.
func (l *List) Set(m *pb.VMList) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m.GetVersion() <= l.list.GetVersion() {
		return false
	}
	l.list = m
	close(l.changed)
	l.changed = make(chan struct{})
	return true
}

// Get returns the list. The caller must not modify it.
func (l *List) Get() *pb.VMList {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.list
}

// Changed returns a channel that is closed when the list next changes.
func (l *List) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// Find returns the VM of the given ID, or nil if it is not in the list.
func (l *List) Find(v id.VM) *pb.VM {
	for _, m := range l.Get().GetVms() {
		if m.GetId() == string(v) {
			return m
		}
	}
	return nil
}

// Entries returns the entries of a failure domain, or of all domains if d is empty. Entries that are shutting down are omitted.
func (l *List) Entries(d id.Domain) []*pb.VM {
	var found []*pb.VM
	for _, v := range l.Get().GetVms() {
		if v.GetRole() == RoleEntry && !v.GetLeaving() && (d == "" || v.GetDomain() == string(d)) {
			found = append(found, v)
		}
	}
	return found
}

// Poll reads the platform's list at the given interval until the context ends.
func (l *List) Poll(ctx context.Context, interval time.Duration, g *log.Logger,
	read func(ctx context.Context) (*pb.VMList, error),
) {
	failing := false
	for ctx.Err() == nil {
		m, err := read(ctx)
		if err == nil {
			l.Set(m)
		} else if !failing {
			g.Warn().Err(err).Msg("the VM list can't be read; keeping the last one")
		}
		failing = err != nil
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}
