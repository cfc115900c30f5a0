package records

import (
	"context"
	"expvar"
	"net"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/phuslu/log"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/gen/springrail/v1/springrailv1connect"
	"github.com/springrail/springrail/internal/clock"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/rpc"
	"github.com/springrail/springrail/internal/traffic"
)

// PartName is the name by which other parts require this one.
const PartName = "records"

// topicCount is the number of topics that are followed.
const topicCount = 2

// maxRequestBytes bounds a follower's request, which names two topics.
const maxRequestBytes = 4 << 10

// Settings is the section [records].
type Settings struct {
	// ConfigWait is how long a read of the operators' records waits at the store for a change.
	ConfigWait time.Duration `toml:"config_wait"`
	// ListEvery is how often the list of upstreams is read. Upstreams write about once a second each, so a read that
	// waits for a change would return at once.
	ListEvery time.Duration `toml:"list_every"`
	// StartWait is how long a new process waits for a gateway of its failure domain to announce itself before it asks
	// the store.
	StartWait time.Duration `toml:"start_wait"`
	// Seeds are addresses of some processes of any failure domain. Only their hosts are used, with the port of this
	// process. Processes that start together learn of each other from the seeds; if no seed answers, they start without
	// knowing each other.
	Seeds []string `toml:"seeds"`
}

// Check implements kernel.Section.
func (s *Settings) Check(c *kernel.Checker) {
	c.Require(s.ConfigWait > 0 && s.ConfigWait <= 30*time.Second, "config_wait", "a time above 0 and up to 30s")
	c.Require(s.ListEvery >= 50*time.Millisecond, "list_every", "a time of at least 50ms")
	for _, a := range s.Seeds {
		_, _, err := net.SplitHostPort(a)
		c.Require(err == nil, "seeds", `a list of IP numbers and ports such as ["10.0.0.1:7700"]`)
	}
	c.Require(s.StartWait >= 0 && s.StartWait <= 10*time.Second, "start_wait", "a time from 0 to 10s")
}

func init() {
	kernel.Register(kernel.Part{
		Name:    PartName,
		Section: PartName,
		Needs:   []string{facts.PartName, rpc.PartName, PlatformPartName, traffic.PartName},
		Settings: func() kernel.Section {
			return &Settings{ConfigWait: 700 * time.Millisecond, ListEvery: 700 * time.Millisecond}
		},
		New: func(h *kernel.Host) (any, error) {
			r := h.Part(rpc.PartName).(*rpc.Server)
			s := New(h.Section(PartName).(*Settings), h.Part(PlatformPartName).(*Platform), h.Part(facts.PartName).(*facts.Facts),
				h.Identity.Domain, r.Address(), clock.Now, h.Log)
			s.follower.ask = func(ctx context.Context, address string, q *pb.FollowRequest) (*pb.FollowResponse, error) {
				return r.Records(address).Follow(ctx, q)
			}
			r.Handle(springrailv1connect.NewRecordServiceHandler(s.service, connect.WithReadMaxBytes(maxRequestBytes)))
			t := h.Part(traffic.PartName).(*traffic.Part).Counter
			r.CountTraffic(t)
			for _, one := range s.readers {
				one.onRequest = func(reason string) { t.CountCall("reading of "+one.log.topic.Name, reason) }
			}
			h.Metric("records", s.follower.metrics)
			return s, nil
		},
	})
}

// Records keeps this process's view of the platform's topics.
type Records struct {
	readers  []*Reader
	follower *Follower
	service  *Service
}

// New returns the records of a process; self is the address under which others follow it.
func New(s *Settings, p *Platform, f *facts.Facts, d id.Domain, self string, now func() time.Time, l *log.Logger) *Records {
	operators, upstreams := NewLog(p.Operators, f, now, l), NewLog(p.Upstreams, f, now, l)
	upstreams.epoch = operators.epoch
	logs := []*Log{operators, upstreams}
	for _, one := range logs {
		one.lease = newReadLease(self, d, now)
	}
	t := newSourceHint(now)
	upstreamsGate, operatorsGate := &gate{}, &gate{}
	upstreamsGate.set(s.StartWait == 0)
	operatorsGate.set(false)
	metrics := new(expvar.Map)
	metrics.Set("age_ms", expvar.Func(func() any {
		return map[string]int64{"operators": operators.Age().Milliseconds(), "upstreams": upstreams.Age().Milliseconds()}
	}))
	metrics.Set("position", expvar.Func(func() any {
		o, _ := operators.Position()
		u, _ := upstreams.Position()
		return map[string]string{"operators": o.String(), "upstreams": u.String()}
	}))
	metrics.Set("skipped", expvar.Func(func() any {
		return map[string]int64{"operators": operators.skipped.Value(), "upstreams": upstreams.skipped.Value()}
	}))
	o := newOrigin(self, now)
	followers := newFollowerSet(now)
	w := &Follower{
		logs: logs, upstreamsGate: upstreamsGate, operatorsGate: operatorsGate, origin: o, peers: peers(f, d, self), witnesses: witnesses(f, d, self), self: self, domain: d, gateways: f.Gateways, ask: noTransport, now: now, log: l, metrics: metrics,
		avoidUntil: map[string]time.Time{}, followsThisUntil: map[string]time.Time{}, withoutStoreUntil: map[string]time.Time{}, nextSnapshotAt: map[string]time.Time{}, startUntil: now().Add(s.StartWait), hint: t, seeds: withPortOf(self, s.Seeds), followers: followers,
	}
	return &Records{
		readers: []*Reader{
			{store: &p.Store, log: operators, facts: f, gate: operatorsGate, now: now, onStoreRead: o.setFromStore, backoff: w.storeBackoff, requestLease: w.requestLease, availableElsewhere: w.availableElsewhere, probeLog: upstreams, wait: s.ConfigWait},
			{store: &p.Store, log: upstreams, facts: f, gate: upstreamsGate, now: now, onStoreRead: o.setFromStore, backoff: w.storeBackoff, requestLease: w.requestLease, availableElsewhere: w.availableElsewhere, probeLog: upstreams, pause: s.ListEvery},
		},
		follower: w,
		service: &Service{
			logs: logs, origin: o, hint: t, domain: d, now: now, remoteRequests: &remoteRequests{now: now, byTopic: map[remoteTopic]requesters{}}, followers: followers,
		},
	}
}

// withPortOf returns the addresses of others with their ports replaced by that of self.
func withPortOf(self string, addresses []string) (l []string) {
	_, port, err := net.SplitHostPort(self)
	if err != nil {
		return nil
	}
	for _, a := range addresses {
		if host, _, err := net.SplitHostPort(a); err == nil {
			l = append(l, net.JoinHostPort(host, port))
		}
	}
	return l
}

// peers returns a function that lists the addresses of the other stagers of a failure domain: the hosts of upstreams that
// hold weights and are not draining, each with this process's port. A stager whose upstream holds weights has followed
// the records for some time, and it can be found from the list of upstreams alone.
func peers(f *facts.Facts, d id.Domain, self string) func() []string {
	selfHost, port, err := net.SplitHostPort(self)
	if err != nil {
		return func() []string { return nil }
	}
	return func() []string {
		var l []string
		for _, i := range f.Instances() {
			host, _, err := net.SplitHostPort(i.Address)
			if err == nil && i.Domain == d && host != selfHost && len(i.Held) > 0 && !i.Leaving {
				l = append(l, net.JoinHostPort(host, port))
			}
		}
		return l
	}
}

// Run keeps the records up to date until the context ends.
func (r *Records) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for _, one := range r.readers {
		wg.Go(func() { one.Run(ctx) })
	}
	r.follower.Run(ctx)
	wg.Wait()
	return nil
}
