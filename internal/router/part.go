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

// PartName is what other parts name in their needs.
const PartName = "router"

// refreshEvery is the longest time between two looks at the gates, for those that open by the clock.
const refreshEvery = 100 * time.Millisecond

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

// modelKey names a model of an organisation.
type modelKey struct {
	organisation id.Organisation
	model        id.Model
}

// view is what the router knows at one time.
type view struct {
	models   map[modelKey][]Candidate
	services map[id.Pool][]Candidate
}

// Router knows the upstreams that may take requests.
type Router struct {
	domain   id.Domain
	state    func() *config.State
	statuses func() []*pb.VMStatus
	changed  func() <-chan struct{}
	list     *membership.List
	events   *kernel.EventRing

	mu       sync.Mutex
	gates    *Gates
	view     view
	inFlight map[id.VM]int
	reported map[id.VM]int
	// refusing says until when a VM that took no connection is left alone.
	refusing map[id.VM]time.Time
}

// New makes a router with its seams: the configuration, the statuses with their change signal, and the VM list.
func New(d id.Domain, state func() *config.State, statuses func() []*pb.VMStatus, changed func() <-chan struct{},
	list *membership.List, e *kernel.EventRing,
) *Router {
	return &Router{
		domain: d, state: state, statuses: statuses, changed: changed, list: list, events: e,
		gates: NewGates(), inFlight: map[id.VM]int{}, reported: map[id.VM]int{}, refusing: map[id.VM]time.Time{},
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
		case <-time.After(refreshEvery):
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
		r.place(&v, s)
	}
	r.view = v
}

// place adds a VM to the view unless it leaves, by its own word or by the list's, or its upstream is down.
func (r *Router) place(v *view, s *pb.VMStatus) {
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
	return r.loaded(r.view.models[modelKey{organisation: o, model: m}])
}

// ServiceCandidates returns the upstreams of a plain service.
func (r *Router) ServiceCandidates(p id.Pool) []Candidate {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loaded(r.view.services[p])
}

// KeyOwner is the VM that a request of an idempotency key belongs to, among all VMs that the platform lists for the
// service, or for the model's current rollout. It does not look at which of them answer: a key whose home is silent
// must not move to another VM, as the silent one may have run it.
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

func (r *Router) loaded(l []Candidate) []Candidate {
	out := make([]Candidate, len(l))
	for i, c := range l {
		c.InFlight, c.ReportedInFlight = r.inFlight[c.VM], r.reported[c.VM]
		c.Unreachable = time.Now().Before(r.refusing[c.VM])
		out[i] = c
	}
	return out
}

// Models lists the models of an organisation that can be reached.
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

// IsOpen says whether this entry sends traffic to a rollout in a failure domain.
func (r *Router) IsOpen(name id.Rollout, d id.Domain) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.gates.IsOpen(name, d)
}

// BeginRequest counts a request towards an upstream; the caller calls the result when it has ended, with the load that the
// answer carried or nil.
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
			r.reported[v] = int(l.GetRunning() + l.GetQueued())
		}
	}
}

// refusingFor is how long a VM that took no connection is left alone where others are to be had: its status says within
// about a second that it has ended.
const refusingFor = time.Second

// MarkUnreachable notes that a VM took no connection.
func (r *Router) MarkUnreachable(v id.VM) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for name, until := range r.refusing {
		if now.After(until) {
			delete(r.refusing, name)
		}
	}
	r.refusing[v] = now.Add(refusingFor)
}
