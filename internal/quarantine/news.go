package quarantine

import (
	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/id"
)

// maxRequestsPerMessage limits the requests in one message so that it fits into a packet; each takes about 40 bytes.
const maxRequestsPerMessage = 32

// Messages encodes crash news, as several messages if one would not fit into a packet.
func (n CrashNews) Messages() (l []*pb.CrashNews) {
	for _, e := range n.Crashes {
		for rest := e.Requests; len(rest) > 0; {
			part := rest[:min(maxRequestsPerMessage, len(rest))]
			rest = rest[len(part):]
			l = append(l, &pb.CrashNews{Ends: []*pb.UpstreamEnd{{Start: e.Incarnation.toProto(), Requests: inFlightToProto(part)}}})
		}
	}
	if len(n.Served) > 0 {
		m := &pb.CrashNews{}
		for _, f := range n.Served[:min(maxRequestsPerMessage, len(n.Served))] {
			m.Served = append(m.Served, f[:])
		}
		l = append(l, m)
	}
	for _, h := range n.Held {
		l = append(l, &pb.CrashNews{Held: []*pb.HeldNews{{Fingerprint: h.Fingerprint[:], Request: h.toProto()}}})
	}
	return l
}

func inFlightToProto(of []InFlightRequest) (l []*pb.PresentRequest) {
	for _, p := range of {
		l = append(l, &pb.PresentRequest{Fingerprint: p.Fingerprint[:], Organisation: string(p.Organisation), Try: uint32(p.Attempt), Alone: p.Alone})
	}
	return l
}

func (s Incarnation) toProto() *pb.UpstreamStart {
	return &pb.UpstreamStart{Address: s.Address, Instance: string(s.Instance), Born: uint64(s.Born)}
}

func incarnationFromProto(m *pb.UpstreamStart) Incarnation {
	return Incarnation{Address: m.GetAddress(), Instance: id.Instance(m.GetInstance()), Born: id.Incarnation(m.GetBorn())}
}

// ApplyNews applies the crash news of another gateway. Invalid fingerprints are counted and skipped.
func (l *SuspectTracker) ApplyNews(m *pb.CrashNews) {
	for _, crash := range m.GetEnds() {
		e := Crash{Incarnation: incarnationFromProto(crash.GetStart())}
		for _, p := range crash.GetRequests() {
			f, err := FromBytes(p.GetFingerprint())
			if err != nil {
				l.vars.Add("malformed", 1)
				continue
			}
			e.Requests = append(e.Requests, InFlightRequest{
				Fingerprint: f, Organisation: id.Organisation(p.GetOrganisation()), Attempt: CallerAttempt(p.GetTry()), Alone: p.GetAlone(),
			})
		}
		l.RecordCrash(e)
	}
	for _, b := range m.GetServed() {
		f, err := FromBytes(b)
		if err != nil {
			l.vars.Add("malformed", 1)
			continue
		}
		l.ClearSuspicion(f)
	}
	for _, h := range m.GetHeld() {
		f, err := FromBytes(h.GetFingerprint())
		if err != nil {
			l.vars.Add("malformed", 1)
			continue
		}
		l.AddHeld(heldFromProto(f, h.GetRequest()))
	}
}
