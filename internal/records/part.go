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

// PartName is what other parts name in their needs.
const PartName = "records"

// topics is the number of topics that are followed.
const topics = 2

// mostQuestion bounds a follower's question in bytes; one names two topics.
const mostQuestion = 4 << 10

// Settings is the section [records].
type Settings struct {
	// ConfigWait is how long one read for configuration waits at the store.
	ConfigWait time.Duration `toml:"config_wait"`
	// ListEvery is how often the list of upstreams is read. They write about once a second each, so that a read that
	// waits would come back at once.
	ListEvery time.Duration `toml:"list_every"`
	// StartWait is how long a new process waits for a gateway of its failure domain to make itself known before it asks the
	// store.
	StartWait time.Duration `toml:"start_wait"`
	// Seeds are addresses of some processes of any failure domain, of which the hosts count; the port is that of this
	// process. Those that start together learn of each other from them, and go on without where none answers.
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
			r.Handle(springrailv1connect.NewRecordServiceHandler(s.service, connect.WithReadMaxBytes(mostQuestion)))
			t := h.Part(traffic.PartName).(*traffic.Part).Counter
			r.CountTraffic(t)
			for _, one := range s.readers {
				one.asked = func(reason string) { t.Call("reading of "+one.log.topic.Name, reason) }
			}
			h.AddMetric("records", s.follower.vars)
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

// New makes the records of a process; self is the address under which others follow it.
func New(s *Settings, p *Platform, f *facts.Facts, d id.Domain, self string, now func() time.Time, l *log.Logger) *Records {
	operators, upstreams := NewLog(p.Operators, f, now, l), NewLog(p.Upstreams, f, now, l)
	upstreams.epoch = operators.epoch
	logs := []*Log{operators, upstreams}
	for _, one := range logs {
		one.turn = newTurn(self, d, now)
	}
	t := newHint(now)
	g, long := &gate{}, &gate{}
	g.set(s.StartWait == 0)
	long.set(false)
	vars := new(expvar.Map)
	vars.Set("age_ms", expvar.Func(func() any {
		return map[string]int64{"operators": operators.Age().Milliseconds(), "upstreams": upstreams.Age().Milliseconds()}
	}))
	vars.Set("position", expvar.Func(func() any {
		o, _ := operators.Position()
		u, _ := upstreams.Position()
		return map[string]string{"operators": o.String(), "upstreams": u.String()}
	}))
	vars.Set("skipped", expvar.Func(func() any {
		return map[string]int64{"operators": operators.skipped.Value(), "upstreams": upstreams.skipped.Value()}
	}))
	o := newOrigin(self, now)
	w := &Follower{
		logs: logs, gate: g, long: long, origin: o, peers: peers(f, d, self), self: self, domain: d, gateways: f.Gateways, now: now, log: l, vars: vars,
		blamed: map[string]time.Time{}, behind: map[string]time.Time{}, lacking: map[string]time.Time{}, wholeAgain: map[string]time.Time{}, startUntil: now().Add(s.StartWait), hint: t, seeds: withPortOf(self, s.Seeds),
	}
	return &Records{
		readers: []*Reader{
			{store: &p.Store, log: operators, facts: f, gate: long, now: now, own: o.setOwn, tryPause: w.tryPause, claim: w.claim, look: upstreams, wait: s.ConfigWait},
			{store: &p.Store, log: upstreams, facts: f, gate: g, now: now, own: o.setOwn, tryPause: w.tryPause, claim: w.claim, look: upstreams, pause: s.ListEvery},
		},
		follower: w,
		service: &Service{
			logs: logs, origin: o, hint: t, domain: d, elsewhere: &elsewhere{now: now, of: map[elsewhereTopic]rivals{}},
		},
	}
}

// withPortOf puts the port of an address on the hosts of others.
func withPortOf(self string, others []string) (l []string) {
	_, port, err := net.SplitHostPort(self)
	if err != nil {
		return nil
	}
	for _, a := range others {
		if host, _, err := net.SplitHostPort(a); err == nil {
			l = append(l, net.JoinHostPort(host, port))
		}
	}
	return l
}

// peers lists the stagers beside upstreams of a failure domain that serve weights, with the port of this process. These
// have followed the records for a while, and a process knows them from the list of upstreams alone.
func peers(f *facts.Facts, d id.Domain, self string) func() []string {
	own, port, err := net.SplitHostPort(self)
	if err != nil {
		return func() []string { return nil }
	}
	return func() []string {
		var l []string
		for _, i := range f.Instances() {
			host, _, err := net.SplitHostPort(i.Address)
			if err == nil && i.Domain == d && host != own && len(i.Held) > 0 && !i.Leaving {
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
