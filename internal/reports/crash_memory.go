package reports

import (
	"bytes"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/springrail/springrail/gen/springrail/v1"
)

const (
	// CrashMemoryTTL is how long processes remember a crash for those that have missed the news.
	CrashMemoryTTL = 5 * time.Minute
	// maxCrashesRemembered limits the crashes that a stager remembers, maxRequestsRemembered the requests at one of them, and
	// maxAnsweredRemembered the answers on what was suspected. Together they take 1 MB at most.
	maxCrashesRemembered  = 32
	maxRequestsRemembered = 64
	maxAnsweredRemembered = 512
	// maxEvidenceBytes is the size of a datagram with what is remembered of crashes.
	maxEvidenceBytes = 1200
)

// crashMemory is a stager's copy of the crashes that gateways have reported, and of the answers on what was suspected. It is for
// gateways that start, or miss news, before anything is held. It may be lost at any time, so a stager that has just started asks
// gateways for it.
type crashMemory struct {
	// crashes are in the order in which they happened, and answered in that in which they were noted.
	crashes  []*rememberedCrash
	answered []rememberedAnswer
}

// rememberedCrash is the crash of an upstream, with the requests in flight of all gateways that have reported it.
type rememberedCrash struct {
	start    *pb.UpstreamStart
	requests []*pb.PresentRequest
	at       time.Time
	// presumed is true while no gateway has proved the crash.
	presumed bool
	// explained is true once something that was present is held, which also ends what the crash says about the rest.
	explained bool
}

// rememberedAnswer is a request or part that was served, or on which an answer was written.
type rememberedAnswer struct {
	fingerprint []byte
	written     bool
	at          time.Time
}

// note applies crash news; held is what gateways hold.
func (m *crashMemory) note(n *pb.CrashNews, held []*pb.HeldNews, now time.Time) {
	for _, e := range slices.Concat(n.GetEnds(), n.GetRemembered()) {
		c := m.noteCrash(e, ageAgo(e.GetAgeMs(), now))
		c.explained = c.explained || slices.ContainsFunc(held, c.explainedBy)
	}
	for _, c := range m.crashes {
		c.explained = c.explained || slices.ContainsFunc(n.GetHeld(), c.explainedBy)
	}
	for _, f := range n.GetServed() {
		m.noteAnswered(rememberedAnswer{fingerprint: f, at: now})
	}
	for _, f := range n.GetWritten() {
		m.noteAnswered(rememberedAnswer{fingerprint: f, written: true, at: now})
	}
	for _, a := range n.GetAnswered() {
		m.noteAnswered(rememberedAnswer{fingerprint: a.GetFingerprint(), written: a.GetWritten(), at: ageAgo(a.GetAgeMs(), now)})
	}
	m.crashes = m.crashes[max(0, len(m.crashes)-maxCrashesRemembered):]
	m.answered = m.answered[max(0, len(m.answered)-maxAnsweredRemembered):]
}

// ageAgo returns the time of something of a given age.
func ageAgo(ms uint32, now time.Time) time.Time {
	return now.Add(-time.Duration(ms) * time.Millisecond)
}

// noteCrash adds the requests at a crash to those that are known.
func (m *crashMemory) noteCrash(e *pb.UpstreamEnd, at time.Time) *rememberedCrash {
	n := slices.IndexFunc(m.crashes, func(c *rememberedCrash) bool { return proto.Equal(c.start, e.GetStart()) })
	if n < 0 {
		n = len(m.crashes)
		for n > 0 && m.crashes[n-1].at.After(at) {
			n--
		}
		m.crashes = slices.Insert(m.crashes, n, &rememberedCrash{start: proto.CloneOf(e.GetStart()), at: at, presumed: true})
	}
	c := m.crashes[n]
	c.presumed = c.presumed && e.GetPresumed()
	for _, r := range e.GetRequests() {
		known := slices.ContainsFunc(c.requests, func(o *pb.PresentRequest) bool {
			return o.GetTry() == r.GetTry() && bytes.Equal(o.GetFingerprint(), r.GetFingerprint())
		})
		if !known && len(c.requests) < maxRequestsRemembered {
			c.requests = append(c.requests, proto.CloneOf(r))
		}
	}
	return c
}

// noteAnswered notes an answer, unless a later one of the kind is known.
func (m *crashMemory) noteAnswered(a rememberedAnswer) {
	same := func(o rememberedAnswer) bool {
		return o.written == a.written && bytes.Equal(o.fingerprint, a.fingerprint)
	}
	if n := slices.IndexFunc(m.answered, same); n >= 0 {
		if m.answered[n].at.After(a.at) {
			return
		}
		m.answered = slices.Delete(m.answered, n, n+1)
	}
	a.fingerprint = bytes.Clone(a.fingerprint)
	m.answered = append(m.answered, a)
}

// explainedBy reports whether a held request or held parts are a cause of the crash: if the upstream was beginning answers, only
// what these have in common with it.
func (c *rememberedCrash) explainedBy(h *pb.HeldNews) bool {
	parts := h.GetRequest().GetParts()
	if len(parts) == 0 {
		return slices.ContainsFunc(c.requests, func(r *pb.PresentRequest) bool {
			return bytes.Equal(r.GetFingerprint(), h.GetFingerprint()) || bytes.Equal(r.GetContent(), h.GetFingerprint())
		})
	}
	begun := slices.ContainsFunc(c.requests, func(r *pb.PresentRequest) bool { return r.GetBeginning() && len(r.GetParts()) > 0 })
	return !slices.ContainsFunc(parts, func(p []byte) bool {
		return !slices.ContainsFunc(c.requests, func(r *pb.PresentRequest) bool {
			return r.GetBeginning() == begun && slices.ContainsFunc(slices.Concat(r.GetContents(), r.GetParts()), func(o []byte) bool { return bytes.Equal(o, p) })
		})
	})
}

// list returns what is remembered, without crashes that are explained. Answers count without a crash here, as the news of both go
// through different stagers.
func (m *crashMemory) list(now time.Time) *pb.CrashNews {
	m.crashes = slices.DeleteFunc(m.crashes, func(c *rememberedCrash) bool { return now.Sub(c.at) >= CrashMemoryTTL })
	m.answered = slices.DeleteFunc(m.answered, func(a rememberedAnswer) bool { return now.Sub(a.at) >= CrashMemoryTTL })
	n := &pb.CrashNews{}
	for _, c := range m.crashes {
		if !c.explained {
			n.Remembered = append(n.Remembered, &pb.UpstreamEnd{Start: c.start, Requests: c.requests, AgeMs: ageSince(c.at, now), Presumed: c.presumed})
		}
	}
	for _, a := range m.answered {
		n.Answered = append(n.Answered, &pb.RememberedAnswer{Fingerprint: a.fingerprint, Written: a.written, AgeMs: ageSince(a.at, now)})
	}
	return n
}

// ageSince returns the age of something in ms.
func ageSince(at, now time.Time) uint32 {
	return uint32(now.Sub(at).Milliseconds())
}

// splitEvidence splits what is remembered of crashes into datagrams.
func splitEvidence(n *pb.CrashNews) (l []*pb.CrashNews) {
	size := maxEvidenceBytes
	fits := func(m proto.Message) bool { return size+proto.Size(m) <= maxEvidenceBytes }
	next := func() *pb.CrashNews {
		l, size = append(l, &pb.CrashNews{}), 0
		return l[len(l)-1]
	}
	var d *pb.CrashNews
	for _, a := range n.GetAnswered() {
		if !fits(a) {
			d = next()
		}
		d.Answered = append(d.Answered, a)
		size += proto.Size(a)
	}
	for _, e := range n.GetRemembered() {
		var piece *pb.UpstreamEnd
		for _, r := range e.GetRequests() {
			if piece == nil || !fits(r) {
				piece = &pb.UpstreamEnd{Start: e.GetStart(), AgeMs: e.GetAgeMs(), Presumed: e.GetPresumed()}
				if size += proto.Size(piece); !fits(r) {
					d = next()
					size = proto.Size(piece)
				}
				d.Remembered = append(d.Remembered, piece)
			}
			piece.Requests = append(piece.Requests, r)
			size += proto.Size(r)
		}
	}
	return l
}
