package records

import (
	"context"
	"sync"
	"time"

	pb "github.com/springrail/springrail/gen/springrail/v1"
)

// claim asks the other processes of the failure domain whether this one may read a topic whole from the store. Where another
// one reads it, or has it, that one is followed.
func (f *Follower) claim(ctx context.Context, l *Log, failed bool) bool {
	round := append(f.claimees(), l.turn.claim(failed)...)
	asked := map[string]bool{f.self: true}
	c := &pb.Claim{Topic: l.topic.Name, Claimant: f.self, Domain: string(f.domain), Failed: failed}
	for len(round) > 0 {
		var rivals []string
		for _, a := range f.askAll(ctx, round, asked, c) {
			if a.GetRefused() {
				l.turn.end()
				f.hint.set(a.GetFollow())
				f.vars.Add("claims_refused", 1)
				return false
			}
			rivals = append(rivals, a.GetRivals()...)
		}
		round = rivals
	}
	return l.turn.begin()
}

// claimees lists whom a claim is told at first: the gateways of the failure domain, and before any is known the
// processes that the settings name. All that start together know these, and learn of each other from them: without, all
// processes of a domain read a configuration of 358 KB at once after a loss of power, 1.3 to 2.1 s each.
func (f *Follower) claimees() []string {
	l := f.gateways()
	if len(l) < 2 {
		l = append(l, f.seeds...)
	}
	return l
}

// askAll asks processes that have not been asked yet at the same time, and returns the answers that come in time.
func (f *Follower) askAll(ctx context.Context, addresses []string, asked map[string]bool, c *pb.Claim) []*pb.ClaimAnswer {
	ctx, stop := context.WithTimeout(ctx, claimWait)
	defer stop()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var l []*pb.ClaimAnswer
	for _, address := range addresses {
		if asked[address] {
			continue
		}
		asked[address] = true
		wg.Go(func() {
			a, err := f.ask(ctx, address, &pb.FollowRequest{Claim: c})
			if err != nil {
				// It is taken to agree.
				return
			}
			mu.Lock()
			defer mu.Unlock()
			l = append(l, a.GetClaim())
		})
	}
	wg.Wait()
	return l
}

// answerClaim is what this process says to another one's claim. One that has read the store since it last failed there
// is followed, and so is the one that is let read: its word comes sooner than any question whether it has the records
// by now.
func (s *Service) answerClaim(c *pb.Claim) *pb.FollowResponse {
	if c.GetDomain() != string(s.domain) {
		return &pb.FollowResponse{Claim: &pb.ClaimAnswer{Rivals: s.elsewhere.claimed(c)}}
	}
	for _, l := range s.logs {
		if l.topic.Name != c.GetTopic() {
			continue
		}
		if l.ownFresh() {
			return &pb.FollowResponse{Claim: &pb.ClaimAnswer{Refused: true, Follow: l.turn.self}}
		}
		a := l.turn.answer(c.GetClaimant(), c.GetFailed())
		if !a.GetRefused() {
			s.hint.set(c.GetClaimant())
		}
		return &pb.FollowResponse{Claim: a}
	}
	return &pb.FollowResponse{Claim: &pb.ClaimAnswer{}}
}

// elsewhere are the claims of processes of other failure domains, which know this one from their settings.
type elsewhere struct {
	now func() time.Time

	mu sync.Mutex
	of map[elsewhereTopic]rivals
}

// elsewhereTopic is a topic that is claimed in a failure domain.
type elsewhereTopic struct {
	domain, topic string
}

// mostElsewhere bounds the failure domains and topics that claims are kept of; the users' target has 8 domains.
const mostElsewhere = 64

// claimed notes a claim and returns the others.
func (e *elsewhere) claimed(c *pb.Claim) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	k := elsewhereTopic{domain: c.GetDomain(), topic: c.GetTopic()}
	r := e.of[k]
	if r == nil {
		if len(e.of) >= mostElsewhere {
			return nil
		}
		r = rivals{}
		e.of[k] = r
	}
	now := e.now()
	l := r.but(c.GetClaimant(), now)
	r.note(c.GetClaimant(), now)
	return l
}

// hintFor is how long a process that reads, or has the records, goes before the usual sources.
const hintFor = 2 * time.Second

// hint is a process that is known to read the store, to have its records or to be about to, for a process that has neither. It is
// asked again soon where it does not have them yet.
type hint struct {
	now func() time.Time

	mu      sync.Mutex
	address string
	until   time.Time
	// fresh is true until the hint has been taken up.
	fresh bool
	// given closes with the next hint.
	given chan struct{}
}

func newHint(now func() time.Time) *hint {
	return &hint{now: now, given: make(chan struct{})}
}

func (h *hint) set(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.address, h.until, h.fresh = address, h.now().Add(hintFor), true
	close(h.given)
	h.given = make(chan struct{})
}

// get returns the process named, empty for none, and whether that is news.
func (h *hint) get() (address string, news bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.now().Before(h.until) {
		return "", false
	}
	news, h.fresh = h.fresh, false
	return h.address, news
}

// names says whether a process is the one named.
func (h *hint) names(address string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.address == address && h.now().Before(h.until)
}

// wait waits for a time, the next hint or the context's end.
func (h *hint) wait(ctx context.Context, d time.Duration) {
	h.mu.Lock()
	c := h.given
	h.mu.Unlock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-c:
	case <-t.C:
	}
}
