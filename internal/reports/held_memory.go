package reports

import (
	"bytes"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/springrail/springrail/gen/springrail/v1"
)

const (
	// maxHeldRemembered limits the holds that a stager remembers; an entry takes 0.3 KB.
	maxHeldRemembered = 128
	// heldMemoryTTL is how long a hold is remembered after it was last announced. By then the platform's store has its record.
	heldMemoryTTL = 10 * time.Minute
	// maxHeldPerAnswer is the number of holds in one datagram of an answer.
	maxHeldPerAnswer = 3
)

// heldMemory holds what gateways have recently announced by way of a stager that they hold. It is for gateways that start, or
// miss news, while the platform's store lacks the records; it may be lost at any time.
type heldMemory struct {
	// entries are in the order in which they were last announced.
	entries []rememberedHold
}

// rememberedHold is a hold and when it was last announced.
type rememberedHold struct {
	news        *pb.HeldNews
	announcedAt time.Time
}

// note applies crash news.
func (m *heldMemory) note(n *pb.CrashNews, now time.Time) {
	for _, h := range n.GetHeld() {
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
	for _, f := range slices.Concat(n.GetReleased(), n.GetServed()) {
		m.remove(func(o *pb.HeldNews) bool {
			return bytes.Equal(o.GetFingerprint(), f) || slices.ContainsFunc(o.GetRequest().GetParts(), func(p []byte) bool { return bytes.Equal(p, f) })
		})
	}
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
	l := r.heldMemory.list(r.now())
	if len(l) == 0 && question == 0 {
		return
	}
	r.log.Info().Str("gateway", s.addr.String()).Int("held", len(l)).Bool("asked", question != 0).Msg("a gateway is told what is held")
	for {
		n := min(len(l), maxHeldPerAnswer)
		news := &pb.CrashNews{Sender: r.upstreamAddress, Held: l[:n]}
		l = l[n:]
		if len(l) == 0 {
			news.Answers = question
		}
		b, err := proto.Marshal(&pb.UpstreamReport{News: news})
		if err != nil {
			r.log.Error().Err(err).Msg("failed to encode what is held")
			return
		}
		if _, err := r.conn.WriteToUDP(b, s.addr); err != nil {
			r.vars.Add("send_failed", 1)
			return
		}
		r.vars.Add("held_sent", 1)
		r.onSent(s.domain, len(b))
		if len(l) == 0 {
			return
		}
	}
}
