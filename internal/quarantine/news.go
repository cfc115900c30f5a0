package quarantine

import (
	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/id"
)

const (
	// maxRequestsPerMessage limits the requests in one message so that it fits into a packet; each takes about 40 bytes.
	maxRequestsPerMessage = 32
	// bytesPerRequest and bytesPerPart are the sizes of the requests in flight at a crash and of the parts of their prompts,
	// of which maxBytesPerMessage fit into a packet.
	bytesPerRequest    = 40
	bytesPerPart       = fingerprintBytes + 2
	maxBytesPerMessage = maxRequestsPerMessage * bytesPerRequest
)

// Messages encodes crash news, as several messages if one would not fit into a packet.
func (n CrashNews) Messages() (l []*pb.CrashNews) {
	for _, e := range n.Crashes {
		for rest := e.Requests; len(rest) > 0; {
			fit := requestsThatFit(rest)
			end := &pb.UpstreamEnd{Start: e.Incarnation.toProto(), Requests: inFlightToProto(rest[:fit]), Presumed: e.Presumed}
			if !e.At.IsZero() {
				end.AgeMs = uint32(n.SentAt.Sub(e.At).Milliseconds())
			}
			l = append(l, &pb.CrashNews{Ends: []*pb.UpstreamEnd{end}})
			rest = rest[fit:]
		}
	}
	if len(n.Served) > 0 {
		m := &pb.CrashNews{}
		for _, f := range n.Served[:min(maxRequestsPerMessage, len(n.Served))] {
			m.Served = append(m.Served, f[:])
		}
		l = append(l, m)
	}
	for rest := n.Written; len(rest) > 0; {
		n := min(maxRequestsPerMessage, len(rest))
		l = append(l, &pb.CrashNews{Written: fingerprintsToProto(rest[:n])})
		rest = rest[n:]
	}
	for _, h := range n.Held {
		l = append(l, &pb.CrashNews{Held: []*pb.HeldNews{h.news(n.Recorded)}})
	}
	if len(n.Tried) > 0 {
		l = append(l, &pb.CrashNews{Tried: fingerprintsToProto(n.Tried)})
	}
	for _, f := range n.Released {
		l = append(l, &pb.CrashNews{Released: [][]byte{f[:]}})
	}
	return l
}

// news encodes a held request, and whether the platform's store has, or had, the record of it.
func (h *HeldRequest) news(recorded bool) *pb.HeldNews {
	return &pb.HeldNews{Fingerprint: h.Fingerprint[:], Request: h.toProto(), Recorded: recorded}
}

// requestsThatFit returns how many of the requests, at least one, fit into a message.
func requestsThatFit(of []InFlightRequest) (n int) {
	size := 0
	for ; n < len(of); n++ {
		size += bytesPerRequest + bytesPerPart*len(of[n].Parts)
		if of[n].Use != (Fingerprint{}) {
			// Its content, its key and the contents of its parts.
			size += bytesPerPart * (2 + len(of[n].Parts))
		}
		if n > 0 && size > maxBytesPerMessage {
			break
		}
	}
	return n
}

func inFlightToProto(of []InFlightRequest) (l []*pb.PresentRequest) {
	for _, p := range of {
		q := p.identity()
		use := q.use()
		r := &pb.PresentRequest{
			Fingerprint: use[:], Organisation: string(p.Organisation), Try: uint32(p.Attempt), Alone: p.Alone,
			Parts: fingerprintsToProto(q.partUses()), Beginning: p.Progress == Beginning,
		}
		if p.Use != (Fingerprint{}) {
			r.Content, r.Contents = p.Fingerprint[:], fingerprintsToProto(p.Parts)
		}
		if p.Key != (Fingerprint{}) {
			r.Key = p.Key[:]
		}
		l = append(l, r)
	}
	return l
}

func fingerprintsToProto(l []Fingerprint) (b [][]byte) {
	for _, f := range l {
		b = append(b, f[:])
	}
	return b
}

// fingerprintsFromProto decodes fingerprints, or returns ErrFingerprint if one of them is invalid.
func fingerprintsFromProto(l [][]byte) (decoded []Fingerprint, err error) {
	for _, b := range l {
		f, err := FromBytes(b)
		if err != nil {
			return nil, err
		}
		decoded = append(decoded, f)
	}
	return decoded, nil
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
		e := Crash{}
		if crash.GetAgeMs() > 0 {
			e.At = l.timeOf(crash.GetAgeMs())
		}
		l.announceAgain(l.applyCrash(crash, e))
	}
	for _, crash := range m.GetRemembered() {
		l.applyCrash(crash, Crash{RememberedAt: l.timeOf(crash.GetAgeMs())})
	}
	for _, a := range m.GetAnswered() {
		l.applyRemembered(a)
	}
	for _, b := range m.GetServed() {
		f, err := FromBytes(b)
		if err != nil {
			l.vars.Add("malformed", 1)
			continue
		}
		l.ClearSuspicion(f)
	}
	for _, b := range m.GetWritten() {
		f, err := FromBytes(b)
		if err != nil {
			l.vars.Add("malformed", 1)
			continue
		}
		l.ApplyWritten(f)
	}
	for _, b := range m.GetTried() {
		f, err := FromBytes(b)
		if err != nil {
			l.vars.Add("malformed", 1)
			continue
		}
		l.NoteTry(f)
	}
	for _, h := range m.GetHeld() {
		f, err := FromBytes(h.GetFingerprint())
		if err != nil {
			l.vars.Add("malformed", 1)
			continue
		}
		e, err := heldFromProto(f, h.GetRequest())
		if err != nil {
			l.vars.Add("malformed", 1)
			continue
		}
		l.AddHeld(e)
	}
}

// applyCrash applies the crash that another gateway has reported, or that is remembered; e has its time.
func (l *SuspectTracker) applyCrash(m *pb.UpstreamEnd, e Crash) Crash {
	e.Incarnation, e.Presumed = incarnationFromProto(m.GetStart()), m.GetPresumed()
	for _, p := range m.GetRequests() {
		r, err := inFlightFromProto(p)
		if err != nil {
			l.vars.Add("malformed", 1)
			continue
		}
		e.Requests = append(e.Requests, r)
	}
	l.RecordCrash(e)
	return e
}

// maxPartsPerRequest limits the parts of a prompt that are read from a message.
const maxPartsPerRequest = 64

func inFlightFromProto(p *pb.PresentRequest) (r InFlightRequest, err error) {
	f, err := FromBytes(p.GetFingerprint())
	if err != nil {
		return r, err
	}
	parts := p.GetParts()
	r.Parts, err = fingerprintsFromProto(parts[:min(len(parts), maxPartsPerRequest)])
	r.Fingerprint, r.Organisation, r.Attempt, r.Alone = f, id.Organisation(p.GetOrganisation()), CallerAttempt(p.GetTry()), p.GetAlone()
	if p.GetBeginning() {
		r.Progress = Beginning
	}
	if err == nil && len(p.GetContent()) > 0 {
		err = r.setContents(p)
	}
	return r, err
}

// setContents decodes what a newer gateway tells of what a request holds, whoever sends it.
func (p *InFlightRequest) setContents(m *pb.PresentRequest) (err error) {
	p.Use, p.PartUses = p.Fingerprint, p.Parts
	if p.Fingerprint, err = FromBytes(m.GetContent()); err != nil {
		return err
	}
	contents := m.GetContents()
	if p.Parts, err = fingerprintsFromProto(contents[:min(len(contents), maxPartsPerRequest)]); err != nil {
		return err
	}
	if len(p.Parts) != len(p.PartUses) {
		return ErrFingerprint
	}
	if len(m.GetKey()) > 0 {
		p.Key, err = FromBytes(m.GetKey())
	}
	return err
}
