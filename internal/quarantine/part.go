package quarantine

import (
	"math/rand/v2"
	"slices"
	"time"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/gen/springrail/v1/springrailv1connect"
	"github.com/springrail/springrail/internal/clock"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/records"
	"github.com/springrail/springrail/internal/reports"
	"github.com/springrail/springrail/internal/rpc"
)

// PartName is the name under which other parts list the quarantine as a dependency.
const PartName = "quarantine"

func init() {
	kernel.Register(kernel.Part{
		Name:  PartName,
		Needs: []string{facts.PartName, reports.SubscriberPart, records.PlatformPartName, rpc.PartName},
		New: func(h *kernel.Host) (any, error) {
			p := h.Part(records.PlatformPartName).(*records.Platform)
			q := New(NewSuspectTracker(h.Identity.VM, clock.Now, h.Log), h.Part(reports.SubscriberPart).(*reports.Subscriber), p)
			q.Knowledge.storeAnsweredAt = h.Part(facts.PartName).(*facts.Facts).StoreAnsweredAt
			h.Part(rpc.PartName).(*rpc.Server).Handle(springrailv1connect.NewQuarantineServiceHandler(q))
			h.Metric("quarantine", q.Suspects.vars)
			return q, nil
		},
	})
}

// Quarantine is a gateway's suspect tracker, connected to the other gateways and to the platform's store.
type Quarantine struct {
	*Persister
	Suspects *SuspectTracker
	// Broadcast sends crash news to all gateways.
	Broadcast func(n CrashNews)
	// Knowledge is whether this gateway knows what is held.
	Knowledge Knowledge
}

// New connects a suspect tracker with the other gateways, by way of stagers, and with the platform's store.
func New(l *SuspectTracker, s *reports.Subscriber, p *records.Platform) *Quarantine {
	q := &Quarantine{Suspects: l, Persister: NewPersister(p.Store, p.HeldTopic, l, l.now, l.log)}
	q.Knowledge.begin(l.now, s.AskHeld, l.log)
	q.Knowledge.OnStopped, q.Knowledge.OnStoreBack = q.ReadAgain, q.RetryRead
	q.onRead = q.Knowledge.noteStore
	q.onRecorded = q.broadcastRecorded
	q.Broadcast = func(n CrashNews) {
		n.SentAt = l.now()
		for _, m := range n.Messages() {
			s.BroadcastCrashNews(m)
		}
	}
	s.OnCrashNews = q.applyNews
	s.OnHeldAsked = q.Knowledge.noteAsked
	s.Held = reports.HeldSource{
		List: q.heldNews, Complete: func() bool { return l.recordsRead.Load() && q.Knowledge.Known() }, Delay: func() time.Duration { return l.AnnounceDelay() },
		Evidence: l.evidence,
	}
	l.OnHeld = append(l.OnHeld, q.Persist, q.broadcastHeld)
	l.OnHeldChanged = append(l.OnHeldChanged, q.update)
	l.OnServed = func(f Fingerprint) { q.Broadcast(CrashNews{Served: []Fingerprint{f}}) }
	l.OnReleased = q.release
	l.OnMissed = func(h HeldRequest) {
		q.Broadcast(CrashNews{Held: []HeldRequest{h}, Recorded: q.isStored(h.Fingerprint)})
	}
	l.OnTry = func(f Fingerprint) { q.Broadcast(CrashNews{Tried: []Fingerprint{f}}) }
	l.AnnounceDelay = func() time.Duration {
		return rand.N(minAnnounceSpread + time.Duration(s.GatewayCount())*announceSpreadPerGateway)
	}
	l.OnAnswered = newAnswerBatch(s.BroadcastCrashNews, l.after).add
	l.OnUnlikely = func(parts []Fingerprint) { q.Broadcast(CrashNews{Written: parts}) }
	return q
}

// release deletes the record of what is no longer held, or leaves that to the gateway that found it out.
func (q *Quarantine) release(f Fingerprint, here bool) {
	if here {
		q.Remove(f)
		q.Broadcast(CrashNews{Released: []Fingerprint{f}})
	} else {
		q.CancelWrite(f)
	}
}

// update writes the record of what is held for other uses than before, and tells the other gateways, if this one found it out.
func (q *Quarantine) update(h HeldRequest, here bool) {
	if here {
		q.Update(h)
		q.Broadcast(CrashNews{Held: []HeldRequest{h}, Recorded: q.isStored(h.Fingerprint)})
	}
}

// broadcastHeld sends a request that this gateway has decided to hold to the other gateways, because one that missed the
// report of a crash can't decide so itself.
func (q *Quarantine) broadcastHeld(h HeldRequest) {
	if h.HeldBy == q.Suspects.vm {
		q.Broadcast(CrashNews{Held: []HeldRequest{h}, Recorded: q.isStored(h.Fingerprint)})
	}
}

// broadcastRecorded sends a held request whose record this process has written, so that stagers know that the store has it.
func (q *Quarantine) broadcastRecorded(f Fingerprint) {
	for _, h := range q.Suspects.HeldRequests() {
		if h.Fingerprint == f {
			q.Broadcast(CrashNews{Held: []HeldRequest{h}, Recorded: true})
		}
	}
}

// heldNews lists what this gateway holds, oldest first.
func (q *Quarantine) heldNews() (l []*pb.HeldNews) {
	for _, h := range q.Suspects.HeldRequests() {
		l = append(l, h.news(q.isStored(h.Fingerprint)))
	}
	return l
}

// applyNews applies the crash news of another gateway, or the answer of a stager.
func (q *Quarantine) applyNews(m *pb.CrashNews) {
	m.Held = slices.DeleteFunc(m.GetHeld(), func(h *pb.HeldNews) bool {
		f, err := FromBytes(h.GetFingerprint())
		return err == nil && !q.accepts(f, h.GetRecorded())
	})
	q.Suspects.ApplyNews(m)
	if n := m.GetAnswers(); n != 0 {
		q.Knowledge.noteAnswer(n, m.GetSender(), !m.GetIncomplete())
	}
}

// ReportCrash adds a crash that this gateway has seen, and sends it to the other gateways.
func (q *Quarantine) ReportCrash(e Crash) {
	q.Suspects.logCrash(e)
	q.Suspects.RecordCrash(e)
	q.Broadcast(CrashNews{Crashes: []Crash{e}})
}
