package quarantine

import (
	"github.com/springrail/springrail/gen/springrail/v1/springrailv1connect"
	"github.com/springrail/springrail/internal/clock"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/records"
	"github.com/springrail/springrail/internal/reports"
	"github.com/springrail/springrail/internal/rpc"
)

// PartName is what other parts name in their needs.
const PartName = "quarantine"

func init() {
	kernel.Register(kernel.Part{
		Name:  PartName,
		Needs: []string{reports.SubscriberPart, records.PlatformPartName, rpc.PartName},
		New: func(h *kernel.Host) (any, error) {
			p := h.Part(records.PlatformPartName).(*records.Platform)
			q := New(NewList(h.Identity.VM, clock.Now, h.Log), h.Part(reports.SubscriberPart).(*reports.Subscriber), p)
			h.Part(rpc.PartName).(*rpc.Server).Handle(springrailv1connect.NewQuarantineServiceHandler(q))
			h.Metric("quarantine", q.List.vars)
			return q, nil
		},
	})
}

// Quarantine is a gateway's list, with the ways on which it hears of others' and is kept.
type Quarantine struct {
	*Keeper
	List *List
	// Tell tells all gateways.
	Tell func(n News)
}

// New connects a list with other gateways, by way of stagers, and with the platform's store.
func New(l *List, s *reports.Subscriber, p *records.Platform) *Quarantine {
	q := &Quarantine{List: l, Keeper: NewKeeper(p.Store, p.HeldTopic, l, l.now, l.log)}
	q.Tell = func(n News) {
		for _, m := range n.Tell() {
			s.Tell(m)
		}
	}
	s.OnNews = l.HearNews
	l.OnHeld = append(l.OnHeld, q.Keep, q.tellHeld)
	l.OnServed = func(f Fingerprint) {
		q.Drop(f)
		q.Tell(News{Served: []Fingerprint{f}})
	}
	return q
}

// tellHeld tells the others of a request that this gateway has come to hold by itself: one that lacks news of an end has it so.
func (q *Quarantine) tellHeld(h Hold) {
	if h.By == q.List.vm {
		q.Tell(News{Held: []Hold{h}})
	}
}

// Saw takes an end that this gateway has seen, and tells the others.
func (q *Quarantine) Saw(e End) {
	q.List.Hear(e)
	q.Tell(News{Ends: []End{e}})
}
