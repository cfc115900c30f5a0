package router

import (
	"context"
	"sync"
	"time"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/config"
	"github.com/springrail/springrail/internal/configlog"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/membership"
)

// PartName is the name under which other parts declare a dependency on the router.
const PartName = "router"

// refreshInterval is the maximum time between two evaluations of the gates, some of which open at a given time.
const refreshInterval = 100 * time.Millisecond

func init() {
	kernel.Register(kernel.Part{
		Name:  PartName,
		Needs: []string{configlog.PartName, membership.PartName},
		New: func(h *kernel.Host) (any, error) {
			c := h.Part(configlog.PartName).(*configlog.Part)
			m := h.Part(membership.PartName).(*membership.Part)
			return New(h.Identity.Domain, c.State, m.Table.Statuses, m.Table.Changed, m.List, h.Events), nil
		},
	})
}

// modelKey identifies a model of an organisation.
type modelKey struct {
	organisation id.Organisation
	model        id.Model
}

// view is a snapshot of the upstreams that can take requests.
type view struct {
	models   map[modelKey][]Candidate
	services map[id.Pool][]Candidate
}

// Router tracks the upstreams that can take requests and their load.
type Router struct {
	domain   id.Domain
	state    func() *config.State
	statuses func() []*pb.VMStatus
	changed  func() <-chan struct{}
	list     *membership.List
	events   *kernel.EventRing

	mu               sync.Mutex
	gates            *Gates
	view             view
	inFlight         map[id.VM]int
	reportedInFlight map[id.VM]int
	// unreachableUntil is when a VM that refused a connection is considered again.
	unreachableUntil map[id.VM]time.Time
}

// New returns a router. The configuration, the VM statuses with their change signal, and the VM list are passed in
// so that tests can replace them.
func New(d id.Domain, state func() *config.State, statuses func() []*pb.VMStatus, changed func() <-chan struct{},
	list *membership.List, e *kernel.EventRing,
) *Router {
	return &Router{
		domain: d, state: state, statuses: statuses, changed: changed, list: list, events: e,
		gates: NewGates(), inFlight: map[id.VM]int{}, reportedInFlight: map[id.VM]int{}, unreachableUntil: map[id.VM]time.Time{},
	}
}

// Run keeps the view up to date until the context ends.
func (r *Router) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := r.changed()
		r.refresh(time.Now())
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(refreshInterval):
		}
	}
	return nil
}

func (r *Router) refresh(now time.Time) {
	statuses, state := r.statuses(), r.state()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range r.gates.Update(state, statuses, now) {
		r.events.Add(kernel.Event{
			Kind: kernel.EventDomainOpened, Rollout: id.Rollout(o.GetRollout()), Detail: o.GetDomain(),
			Organisation: id.Organisation(state.Rollout(id.Rollout(o.GetRollout())).GetOrganisation()),
		})
	}
	v := view{models: map[modelKey][]Candidate{}, services: map[id.Pool][]Candidate{}}
	for _, s := range statuses {
		r.addToView(&v, s)
	}
	r.view = v
}

// addToView adds a VM to the view unless it is draining, according to itself or to the VM list, or its upstream is
// down.
func (r *Router) addToView(v *view, s *pb.VMStatus) {
	name := id.VM(s.GetVm().GetId())
	if s.GetLeaving() || !s.GetUpstreamUp() || r.list.Find(name).GetLeaving() {
		return
	}
	d := id.Domain(s.GetVm().GetDomain())
	c := Candidate{VM: name, Address: s.GetVm().GetAddress(), Local: d == r.domain}
	if !s.GetVm().GetEngine() {
		p := id.Pool(s.GetVm().GetPool())
		v.services[p] = append(v.services[p], c)
		return
	}
	for _, l := range s.GetLive() {
		c.Rollout = id.Rollout(l.GetRollout())
		if r.gates.IsOpen(c.Rollout, d) {
			k := modelKey{organisation: id.Organisation(l.GetOrganisation()), model: id.Model(l.GetModel())}
			v.models[k] = append(v.models[k], c)
		}
	}
}

// ModelCandidates returns the upstreams that serve a model of an organisation.
func (r *Router) ModelCandidates(o id.Organisation, m id.Model) []Candidate {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.withLoad(r.view.models[modelKey{organisation: o, model: m}])
}

// ServiceCandidates returns the upstreams of a plain service.
func (r *Router) ServiceCandidates(p id.Pool) []Candidate {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.withLoad(r.view.services[p])
}

// KeyOwner returns the VM that runs requests with an idempotency key, among all VMs that the platform lists for the
// service or for the model's current rollout. It ignores whether they respond: if the owner does not, the key must
// not move to another VM, as the owner may have run the request.
func (r *Router) KeyOwner(o id.Organisation, m id.Model, service id.Pool, key string) (id.VM, bool) {
	rollout := r.state().Current(o, m)
	var l []Candidate
	for _, v := range r.list.Get().GetVms() {
		serves := v.GetRole() == membership.RoleUpstream && !v.GetEngine() && v.GetPool() == string(service)
		if service == "" {
			serves = rollout != nil && config.IsTarget(rollout, v)
		}
		if serves {
			l = append(l, Candidate{VM: id.VM(v.GetId())})
		}
	}
	c, ok := KeyOwner(l, string(o)+"/"+key)
	return c.VM, ok
}

func (r *Router) withLoad(l []Candidate) []Candidate {
	out := make([]Candidate, len(l))
	for i, c := range l {
		c.InFlight, c.ReportedInFlight = r.inFlight[c.VM], r.reportedInFlight[c.VM]
		c.Unreachable = time.Now().Before(r.unreachableUntil[c.VM])
		out[i] = c
	}
	return out
}

// Models returns the models of an organisation that are reachable.
func (r *Router) Models(o id.Organisation) []id.Model {
	r.mu.Lock()
	defer r.mu.Unlock()
	var l []id.Model
	for k := range r.view.models {
		if k.organisation == o {
			l = append(l, k.model)
		}
	}
	return l
}

// IsOpen reports whether this entry sends traffic to a rollout in a failure domain.
func (r *Router) IsOpen(name id.Rollout, d id.Domain) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.gates.IsOpen(name, d)
}

// BeginRequest counts a request in flight to an upstream. The caller calls the returned function when the request
// has ended, with the load stated in the response or nil.
func (r *Router) BeginRequest(v id.VM) func(l *pb.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight[v]++
	return func(l *pb.Load) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.inFlight[v]--
		if r.inFlight[v] == 0 {
			delete(r.inFlight, v)
		}
		if l != nil {
			r.reportedInFlight[v] = int(l.GetRunning() + l.GetQueued())
		}
	}
}

// unreachableFor is how long a VM that refused a connection is avoided if others are available: its status shows
// within about a second that it has terminated.
const unreachableFor = time.Second

// MarkUnreachable records that a VM refused a connection.
func (r *Router) MarkUnreachable(v id.VM) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for name, until := range r.unreachableUntil {
		if now.After(until) {
			delete(r.unreachableUntil, name)
		}
	}
	r.unreachableUntil[v] = now.Add(unreachableFor)
}
