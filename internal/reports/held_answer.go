package reports

import (
	"slices"
	"time"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/facts"
)

// heldAnswerInterval is the time after which a stager's question is answered again if the answer seems to be lost.
const heldAnswerInterval = 3 * time.Second

// HeldSource is what a gateway answers to stagers that ask what it holds. Its fields must be set before Run.
type HeldSource struct {
	// List returns what the gateway holds, oldest first.
	List func() []*pb.HeldNews
	// Evidence returns the crashes that nothing held explains, and what was answered although it was suspected.
	Evidence func() *pb.CrashNews
	// Complete reports whether the gateway knows all records of held requests.
	Complete func() bool
	// Delay returns a random time by which an answer is delayed, so that one gateway answers before most others.
	Delay func() time.Duration
}

// emptyHeldSource returns the source of a gateway that holds and suspects nothing.
func emptyHeldSource() HeldSource {
	return HeldSource{
		List: func() []*pb.HeldNews { return nil }, Evidence: func() *pb.CrashNews { return nil }, Complete: func() bool { return false },
		Delay: func() time.Duration { return 0 },
	}
}

// noteHeldQuestion notes the question of a stager's report, and answers it after a delay unless another gateway has done so by
// then. An incomplete answer is given only once, as all gateways give theirs.
func (s *Subscriber) noteHeldQuestion(address string, question uint64) {
	complete, delay := false, time.Duration(0)
	if question != 0 {
		complete, delay = s.Held.Complete(), s.Held.Delay()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.stagers[address]
	if h == nil {
		return
	}
	h.heldQuestion = question
	again := complete && (!h.answeredAll || s.now().Sub(h.answeredAt) >= heldAnswerInterval)
	if question == 0 || question == h.answered && !again {
		return
	}
	h.answered, h.answeredAt, h.answeredAll = question, s.now(), complete
	s.after(delay, func() { s.answerHeld(address, question) })
}

// answerHeld answers a stager's question, unless it no longer asks it.
func (s *Subscriber) answerHeld(address string, question uint64) {
	s.mu.Lock()
	h := s.stagers[address]
	asks := h != nil && h.heldQuestion == question
	s.mu.Unlock()
	all := s.facts.Instances()
	n := slices.IndexFunc(all, func(i *facts.Instance) bool { return i.Address == address })
	if !asks || n < 0 {
		return
	}
	to, complete := all[n], s.Held.Complete()
	for _, n := range splitEvidence(s.Held.Evidence()) {
		n.Sender, n.RememberOnly = s.self(), true
		s.sendNews(n, []*facts.Instance{to})
	}
	held := s.rememberedBy(to, s.Held.List())
	if len(held) == 0 && !complete {
		return
	}
	answer := &pb.HeldAnswer{Question: question, Holds: uint32(len(held)), Complete: complete}
	for first := true; first || len(held) > 0; first = false {
		n := min(len(held), maxHeldPerAnswer)
		s.sendNews(&pb.CrashNews{Sender: s.self(), Held: held[:n], RememberOnly: true, Answer: answer}, []*facts.Instance{to})
		held = held[n:]
	}
}

// rememberedBy returns the newest of the holds that the stager of an upstream is to remember.
func (s *Subscriber) rememberedBy(i *facts.Instance, l []*pb.HeldNews) []*pb.HeldNews {
	return slices.DeleteFunc(l[max(0, len(l)-maxHeldRemembered):], func(h *pb.HeldNews) bool {
		key := string(h.GetFingerprint())
		relays := s.pickRelays(key)
		return !slices.Contains(relays, i) && !slices.Contains(s.pickMoreToRemember(key, relays), i)
	})
}
