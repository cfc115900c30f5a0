package reports

import (
	"bytes"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/springrail/springrail/gen/springrail/v1"
)

const (
	// maxHeldRemembered limits the holds that a stager remembers; an entry takes 0.3 KB.
	maxHeldRemembered = 128
	// heldMemoryTTL is how long a hold is remembered after it was last announced, and heldRefreshInterval the time after which a
	// stager asks gateways again what they hold.
	heldMemoryTTL       = 10 * time.Minute
	heldRefreshInterval = heldMemoryTTL / 2
	// maxAnswering limits the gateways whose answers to a stager are received at the same time.
	maxAnswering = 64
	// maxHeldPerAnswer is the number of holds in one datagram of an answer.
	maxHeldPerAnswer = 3
)

// heldMemory is a stager's copy of what gateways hold. It is for gateways that start, or miss news, while the platform's store is
// unavailable or lacks the records. It may be lost at any time, so a stager that has just started asks gateways for it, and later
// asks again before entries expire.
type heldMemory struct {
	// entries are in the order in which they were last announced.
	entries []rememberedHold
	// releasedAt is when holds were released. An answer that was sent before may still contain them.
	releasedAt map[string]time.Time
	// question is the number of the question that gateways are asked; 0 for none. received are the holds in their answers, by
	// gateway, and completeAt is when a complete answer had been received; zero before.
	question   uint64
	received   map[string]map[string]struct{}
	completeAt time.Time
}

// rememberedHold is a hold and when it was last announced.
type rememberedHold struct {
	news        *pb.HeldNews
	announcedAt time.Time
}

// note applies crash news.
func (m *heldMemory) note(n *pb.CrashNews, now time.Time) {
	for _, h := range n.GetHeld() {
		f := string(h.GetFingerprint())
		if at, ok := m.releasedAt[f]; ok && n.GetAnswer() != nil && now.Sub(at) < heldMemoryTTL {
			continue
		}
		delete(m.releasedAt, f)
		recorded := h.GetRecorded()
		m.remove(func(o *pb.HeldNews) bool {
			same := bytes.Equal(o.GetFingerprint(), h.GetFingerprint())
			recorded = recorded || same && o.GetRecorded()
			return same
		})
		e := proto.CloneOf(h)
		e.Recorded = recorded
		m.entries = append(m.entries, rememberedHold{news: e, announcedAt: now})
	}
	if len(m.entries) > maxHeldRemembered {
		m.entries = slices.Clone(m.entries[len(m.entries)-maxHeldRemembered:])
	}
	for _, f := range n.GetReleased() {
		m.noteReleased(f, now)
	}
	for _, f := range slices.Concat(n.GetReleased(), n.GetServed()) {
		m.remove(func(o *pb.HeldNews) bool {
			return bytes.Equal(o.GetFingerprint(), f) || slices.ContainsFunc(o.GetRequest().GetParts(), func(p []byte) bool { return bytes.Equal(p, f) })
		})
	}
}

// noteReleased notes that a hold was released.
func (m *heldMemory) noteReleased(f []byte, now time.Time) {
	maps.DeleteFunc(m.releasedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= heldMemoryTTL })
	if m.releasedAt == nil {
		m.releasedAt = map[string]time.Time{}
	}
	if len(m.releasedAt) < maxHeldRemembered {
		m.releasedAt[string(f)] = now
	}
}

// ask returns the number of the question that gateways are to be asked; 0 for none.
func (m *heldMemory) ask(now time.Time) uint64 {
	if m.question == 0 && (m.completeAt.IsZero() || now.Sub(m.completeAt) >= heldRefreshInterval) {
		m.question, m.received = rand.Uint64()|1, map[string]map[string]struct{}{}
	}
	return m.question
}

// noteAnswer notes a datagram of a gateway's answer. It returns true once the answer is complete.
func (m *heldMemory) noteAnswer(n *pb.CrashNews, now time.Time) bool {
	a := n.GetAnswer()
	if a.GetQuestion() == 0 || a.GetQuestion() != m.question || !a.GetComplete() {
		return false
	}
	holds := m.received[n.GetSender()]
	if holds == nil {
		if len(m.received) >= maxAnswering {
			clear(m.received)
		}
		holds = map[string]struct{}{}
		m.received[n.GetSender()] = holds
	}
	for _, h := range n.GetHeld() {
		holds[string(h.GetFingerprint())] = struct{}{}
	}
	if len(holds) < int(a.GetHolds()) {
		return false
	}
	m.question, m.received, m.completeAt = 0, nil, now
	return true
}

func (m *heldMemory) remove(matches func(h *pb.HeldNews) bool) {
	m.entries = slices.DeleteFunc(m.entries, func(e rememberedHold) bool { return matches(e.news) })
}

// list returns what is remembered, oldest first.
func (m *heldMemory) list(now time.Time) (l []*pb.HeldNews) {
	m.entries = slices.DeleteFunc(m.entries, func(e rememberedHold) bool { return now.Sub(e.announcedAt) >= heldMemoryTTL })
	for _, e := range m.entries {
		l = append(l, e.news)
	}
	return l
}

// stats describes the memory for the metrics.
func (m *heldMemory) stats(now time.Time) map[string]int64 {
	l := m.list(now)
	oldest := time.Duration(0)
	if len(l) > 0 {
		oldest = now.Sub(m.entries[0].announcedAt)
	}
	return map[string]int64{"holds": int64(len(l)), "oldest_ms": oldest.Milliseconds()}
}

// sendHeld sends a gateway what is remembered. The last datagram answers its question, if it asked one; the caller holds
// the lock.
func (r *Reporter) sendHeld(s *subscriber, question uint64) {
	now := r.now()
	l, evidence := r.heldMemory.list(now), splitEvidence(r.crashMemory.list(now))
	if len(l) == 0 && len(evidence) == 0 && question == 0 {
		return
	}
	r.log.Info().Str("gateway", s.addr.String()).Int("held", len(l)).Int("crashes", len(r.crashMemory.crashes)).Bool("asked", question != 0).
		Msg("what is held and suspected is sent to a gateway")
	for _, n := range evidence {
		if !r.sendRemembered(s, n) {
			return
		}
	}
	for first := true; first || len(l) > 0; first = false {
		n := min(len(l), maxHeldPerAnswer)
		news := &pb.CrashNews{Held: l[:n]}
		l = l[n:]
		if len(l) == 0 {
			news.Answers, news.Incomplete = question, r.heldMemory.completeAt.IsZero()
		}
		if !r.sendRemembered(s, news) {
			return
		}
	}
}

// sendRemembered sends a gateway a datagram of what is remembered, and reports whether it was sent. The caller holds the lock.
func (r *Reporter) sendRemembered(s *subscriber, n *pb.CrashNews) bool {
	n.Sender = r.upstreamAddress
	b, err := proto.Marshal(&pb.UpstreamReport{News: n})
	if err != nil {
		r.log.Error().Err(err).Msg("failed to encode what is held or suspected")
		return false
	}
	if _, err := r.conn.WriteToUDP(b, s.addr); err != nil {
		r.vars.Add("send_failed", 1)
		return false
	}
	r.vars.Add("held_sent", 1)
	r.onSent(s.domain, len(b))
	return true
}
