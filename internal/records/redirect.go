package records

import (
	"context"
	"slices"
	"sync"
	"time"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/rendezvous"
)

const (
	// maxFollowers is how many processes follow one directly. Beyond it, a process redirects to those that follow it, so
	// that n processes form a tree of depth log(n) instead of a star, whose centre could not serve all of them in time.
	maxFollowers = 16
	// followerTTL is how long a process counts as a follower after its last request. It is longer than the time between
	// two requests, which a source may hold for longPollWait.
	followerTTL = 2 * time.Second
	// maxRedirects is the number of processes that a redirect names.
	maxRedirects = 3
)

// followerSet holds the processes that follow this one. It is safe for concurrent use. A nil set stays empty.
type followerSet struct {
	now func() time.Time

	mu sync.Mutex
	// until holds the time until which each process counts as a follower.
	until map[string]time.Time
}

func newFollowerSet(now func() time.Time) *followerSet {
	return &followerSet{now: now, until: map[string]time.Time{}}
}

// admit adds a process or keeps it, and returns nil. If there are too many others, it returns some of them to redirect the
// process to, which differ between processes.
func (s *followerSet) admit(address string) (redirects []string) {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if _, known := s.until[address]; known || len(s.until) < maxFollowers {
		s.until[address] = s.now().Add(followerTTL)
		return nil
	}
	var vms []id.VM
	for a := range s.until {
		vms = append(vms, id.VM(a))
	}
	for _, v := range rendezvous.Order(redirectOrderKey+address, vms)[:maxRedirects] {
		redirects = append(redirects, string(v))
	}
	return redirects
}

// redirectOrderKey makes the order of redirects independent of other rendezvous orders of the same processes.
const redirectOrderKey = "records/redirect/"

// any reports whether any process follows this one.
func (s *followerSet) any() bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return len(s.until) > 0
}

// expire removes the processes that have stopped following. The caller holds the lock.
func (s *followerSet) expire() {
	now := s.now()
	for a, until := range s.until {
		if now.After(until) {
			delete(s.until, a)
		}
	}
}

// redirect is a process that a source has named in its own place.
type redirect struct {
	source, to string
}

// redirected returns the process to follow in place of a chosen source: the one that the source has named, while that is
// usable, or the source itself.
func (f *Follower) redirected(source string) string {
	f.viaRedirect = (source == f.redirect.source || source == f.redirect.to) && f.firstUsable([]string{f.redirect.to}) != ""
	if f.viaRedirect {
		return f.redirect.to
	}
	f.redirect = redirect{}
	return source
}

// followRedirect notes the redirect in an answer. If none of the named processes is usable, the next request asks the
// source to serve this process all the same.
func (f *Follower) followRedirect(source string, a *pb.FollowResponse) {
	f.metrics.Add("redirected", 1)
	named := slices.DeleteFunc(slices.Clone(a.GetRedirects()), func(to string) bool { return to == f.self })
	f.redirect = redirect{source: f.sourceOfRedirect(source), to: f.firstUsable(named)}
	f.insist = f.redirect.to == ""
}

// sourceOfRedirect returns the chosen source whose place a process has, which may itself redirect.
func (f *Follower) sourceOfRedirect(address string) string {
	if f.viaRedirect {
		return f.redirect.source
	}
	return address
}

// pauseIfBehind waits a little if a source that was named by another one has lost its own source. This process stays with
// it, as it finds another one sooner than all its followers would, but must not ask it without a pause meanwhile.
func (f *Follower) pauseIfBehind(ctx context.Context) {
	if f.viaRedirect && f.oldestAge() >= maxFreshAge {
		f.hint.wait(ctx, chooseRetryPause)
	}
}
