package records

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/kernel"
)

// requestLease asks the other processes of the failure domain for the lease to read a topic's snapshot from the store.
// If it is refused, the process that reads the topic, or holds it, becomes the hinted source. Silence counts as agreement
// only if no other process has provided the topic meanwhile, or is about to.
func (f *Follower) requestLease(ctx context.Context, l *Log, failed bool) bool {
	wasFresh := l.fresh()
	targets := append(f.leasePeers(), l.lease.request(failed)...)
	contacted := map[string]bool{f.self: true}
	c := &pb.Claim{Topic: l.topic.Name, Claimant: f.self, Domain: string(f.domain), Failed: failed}
	firstTimeout := leaseRequestTimeout
	if _, started := l.Position(); !started {
		firstTimeout = firstAnswerTimeout
	}
	for len(targets) > 0 {
		var others []string
		answers := f.askAll(ctx, targets, contacted, c, firstTimeout)
		if len(answers) > 0 {
			firstTimeout = leaseRequestTimeout
		}
		for _, a := range answers {
			if a.GetRefused() {
				l.lease.release()
				f.hint.setReader(a.GetFollow())
				f.metrics.Add("claims_refused", 1)
				return false
			}
			others = append(others, a.GetRivals()...)
		}
		targets = others
	}
	if !wasFresh && l.providedByOthers() {
		l.lease.release()
		f.metrics.Add("claims_needless", 1)
		return false
	}
	return l.lease.acquire()
}

// leasePeers returns the processes that a lease request goes to first: the first gateways of the failure domain in the
// order of sources, and the configured seeds while fewer than two gateways are known. As all requests go to the same few,
// these know a process that reads, and the number of requests in a large domain grows with its processes only. Processes
// that start together share the seeds and learn of each other from them. Without seeds, all processes of a domain read a
// configuration of 358 KB at once after a power failure, in 1.3 to 2.1 s each. Those that a reader of one topic has refused
// share that one as well, so that a seed that answers late does not delay the other topic.
func (f *Follower) leasePeers() []string {
	l, _ := Sources(f.domain, f.gateways(), "")
	if len(l) < 2 {
		l = slices.Concat(l, f.hint.lastReader(), f.seeds)
	}
	return l[:min(len(l), maxRequesters)]
}

// askAll sends a lease request in parallel to all processes that have not been asked yet, and returns the answers that
// arrive within leaseRequestTimeout, or within firstTimeout while there is none. Until then it asks again where a request
// fails: of processes that start together, some ask before others listen.
func (f *Follower) askAll(ctx context.Context, addresses []string, contacted map[string]bool, c *pb.Claim, firstTimeout time.Duration) (l []*pb.ClaimAnswer) {
	ctx, stop := context.WithTimeout(ctx, firstTimeout)
	defer stop()
	pending := 0
	// A nil answer stands for a process that does not answer, which counts as agreeing.
	answers := make(chan *pb.ClaimAnswer, len(addresses))
	for _, address := range addresses {
		if contacted[address] {
			continue
		}
		contacted[address] = true
		pending++
		go func() {
			a, err := f.ask(ctx, address, &pb.FollowRequest{Claim: c})
			for err != nil && firstTimeout > leaseRequestTimeout && ctx.Err() == nil {
				kernel.Pause(ctx, rand.N(2*chooseRetryPause))
				a, err = f.ask(ctx, address, &pb.FollowRequest{Claim: c})
			}
			if err != nil {
				a = nil
			}
			answers <- a.GetClaim()
		}()
	}
	usual := time.NewTimer(leaseRequestTimeout)
	defer usual.Stop()
	usualOver := false
	for pending > 0 && (!usualOver || len(l) == 0) {
		select {
		case a := <-answers:
			pending--
			if a != nil {
				l = append(l, a)
			}
		case <-usual.C:
			usualOver = true
		case <-ctx.Done():
			return l
		}
	}
	return l
}

// answerLeaseRequest answers another process's lease request. A request is refused by a process with fresh records of
// its own from the store. A requester that is not refused becomes the hinted source here: its request announces the new
// records sooner than polling would.
func (s *Service) answerLeaseRequest(c *pb.Claim) *pb.FollowResponse {
	if c.GetWitness() {
		return &pb.FollowResponse{Claim: s.answerWitness(c)}
	}
	if c.GetDomain() != string(s.domain) {
		return &pb.FollowResponse{Claim: &pb.ClaimAnswer{Rivals: s.remoteRequests.register(c)}}
	}
	for _, l := range s.logs {
		if l.topic.Name != c.GetTopic() {
			continue
		}
		if l.freshFromStore() {
			return &pb.FollowResponse{Claim: &pb.ClaimAnswer{Refused: true, Follow: l.lease.self}}
		}
		a := l.lease.answerRequest(c.GetClaimant(), c.GetFailed())
		if _, started := l.Position(); !started && !a.GetRefused() {
			a.Rivals = append(a.Rivals, s.hint.lastReader()...)
		}
		if !a.GetRefused() {
			s.hint.set(c.GetClaimant())
		}
		return &pb.FollowResponse{Claim: a}
	}
	return &pb.FollowResponse{Claim: &pb.ClaimAnswer{}}
}

// remoteRequests holds the lease requests of processes of other failure domains, which reach this one as a configured
// seed.
type remoteRequests struct {
	now func() time.Time

	mu      sync.Mutex
	byTopic map[remoteTopic]requesters
}

// remoteTopic is a topic as read in another failure domain.
type remoteTopic struct {
	domain, topic string
}

// maxRemoteTopics bounds the pairs of failure domain and topic for which lease requests are kept; the largest planned
// deployment has 8 domains.
const maxRemoteTopics = 64

// register adds a lease request and returns the other recent requesters of the same domain and topic.
func (e *remoteRequests) register(c *pb.Claim) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	k := remoteTopic{domain: c.GetDomain(), topic: c.GetTopic()}
	r := e.byTopic[k]
	if r == nil {
		if len(e.byTopic) >= maxRemoteTopics {
			return nil
		}
		r = requesters{}
		e.byTopic[k] = r
	}
	now := e.now()
	l := r.except(c.GetClaimant(), now)
	r.add(c.GetClaimant(), now)
	return l
}

// hintTTL is how long a hinted source takes precedence over the usual sources.
const hintTTL = 2 * time.Second

// sourceHint is a process that reads the store, has its records or is about to read them. A process without fresh
// records follows it, and retries it soon if it does not have them yet.
type sourceHint struct {
	now func() time.Time

	mu      sync.Mutex
	address string
	until   time.Time
	// isNew is true until get has returned the hint once. reads is true if the process has refused this one's
	// lease request.
	isNew, reads bool
	// reader is the last process that has refused this one's lease request, and readerUntil when it is forgotten.
	reader      string
	readerUntil time.Time
	// updated closes at the next hint.
	updated chan struct{}
}

func newSourceHint(now func() time.Time) *sourceHint {
	return &sourceHint{now: now, updated: make(chan struct{})}
}

// set replaces the hint by a process that is about to read the store, and wakes waiters.
func (h *sourceHint) set(address string) {
	h.replace(address, false)
}

// setReader replaces the hint by a process that has refused this one's lease request, as it reads the store, takes
// precedence in reading it or has its records.
func (h *sourceHint) setReader(address string) {
	h.replace(address, true)
}

// lastReader returns the last process that has refused this one's lease request; none if none has recently.
func (h *sourceHint) lastReader() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.now().Before(h.readerUntil) {
		return nil
	}
	return []string{h.reader}
}

func (h *sourceHint) replace(address string, reads bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.address, h.until, h.isNew, h.reads = address, h.now().Add(hintTTL), true, reads
	if reads {
		h.reader, h.readerUntil = address, h.until
	}
	close(h.updated)
	h.updated = make(chan struct{})
}

// get returns the hinted process, empty if there is none, whether the hint is new since the last call, and whether the
// process has refused this one's lease request.
func (h *sourceHint) get() (address string, isNew, reads bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.now().Before(h.until) {
		return "", false, false
	}
	isNew, h.isNew = h.isNew, false
	return h.address, isNew, h.reads
}

// matches reports whether a process is the hinted one.
func (h *sourceHint) matches(address string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.address == address && h.now().Before(h.until)
}

// refusedBy reports whether a process is the hinted one because it has refused this process's lease request.
func (h *sourceHint) refusedBy(address string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reads && h.address == address && h.now().Before(h.until)
}

// wait returns after d, at the next hint or when the context ends.
func (h *sourceHint) wait(ctx context.Context, d time.Duration) {
	h.mu.Lock()
	c := h.updated
	h.mu.Unlock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-c:
	case <-t.C:
	}
}
