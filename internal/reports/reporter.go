package reports

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/kernel"
)

// ReporterPart is what other parts name in their needs.
const ReporterPart = "reporter"

// maxSubscribers bounds the gateways that a stager reports to; the users' target has 350 nodes in 8 failure domains.
const maxSubscribers = 512

func init() {
	kernel.Register(kernel.Part{
		Name:     ReporterPart,
		Section:  ReporterPart,
		Needs:    []string{facts.PartName},
		Settings: func() kernel.Section { return &Settings{} },
		New: func(h *kernel.Host) (any, error) {
			c, err := listen(h.Section(ReporterPart).(*Settings).Listen)
			if err != nil {
				return nil, trace.Wrap(err, "reporter.listen")
			}
			r := NewReporter(c, h.Part(facts.PartName).(*facts.Facts), time.Now, h.Log)
			h.Metric("reports", r.vars)
			return r, nil
		},
	})
}

// Reporter is a stager's end.
type Reporter struct {
	conn        *net.UDPConn
	facts       *facts.Facts
	now         func() time.Time
	log         *log.Logger
	vars        *expvar.Map
	incarnation uint64

	mu          sync.Mutex
	number      uint64
	subscribers map[string]subscriber
}

// subscriber is a gateway with the moment at which its subscription ends.
type subscriber struct {
	to    *net.UDPAddr
	until time.Time
}

// NewReporter makes a reporter over a socket.
func NewReporter(c *net.UDPConn, f *facts.Facts, now func() time.Time, l *log.Logger) *Reporter {
	return &Reporter{
		conn: c, facts: f, now: now, log: l, vars: new(expvar.Map), incarnation: rand.Uint64() | 1,
		subscribers: map[string]subscriber{},
	}
}

// Run takes subscriptions until the context ends.
func (r *Reporter) Run(ctx context.Context) error {
	defer context.AfterFunc(ctx, func() { r.conn.Close() })()
	receive(ctx, r.conn, r.vars, r.take)
	return nil
}

func (r *Reporter) take(b []byte) {
	var s pb.ReportSubscription
	if err := proto.Unmarshal(b, &s); err != nil {
		r.vars.Add("malformed", 1)
		return
	}
	to, err := net.ResolveUDPAddr("udp4", s.GetSender())
	if err != nil || to.IP == nil {
		r.vars.Add("malformed", 1)
		return
	}
	r.facts.Heard(s.GetConfigOffset())
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.subscribers[s.GetSender()]; !known && len(r.subscribers) >= maxSubscribers {
		r.vars.Add("refused", 1)
		return
	}
	r.subscribers[s.GetSender()] = subscriber{to: to, until: r.now().Add(subscriptionLife)}
}

// Publish sends a report to all subscribers.
func (r *Reporter) Publish(p *pb.UpstreamReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for name, s := range r.subscribers {
		if now.After(s.until) {
			delete(r.subscribers, name)
		}
	}
	r.number++
	p.ConfigOffset, _ = r.facts.Hearing()
	p.Incarnation, p.Number, p.Subscribers = r.incarnation, r.number, uint32(len(r.subscribers))
	b, err := proto.Marshal(p)
	if err != nil {
		r.log.Error().Err(err).Msg("a report can't be encoded")
		return
	}
	for _, s := range r.subscribers {
		if _, err := r.conn.WriteToUDP(b, s.to); err != nil {
			r.vars.Add("send_failed", 1)
		}
	}
}
