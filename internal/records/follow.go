package records

import (
	"context"
	"errors"
	"expvar"
	"time"

	"github.com/gravitational/trace"
	"github.com/phuslu/log"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/id"
)

const (
	// longPollWait is how long a request waits at a source for a change. With longPollSlack, for the network and for a
	// source that is short of processor time, it bounds how long a frozen source goes unnoticed.
	longPollWait  = 500 * time.Millisecond
	longPollSlack = 400 * time.Millisecond
	// successorPollWait replaces longPollWait in the process that takes over first when its source fails, and in those
	// that others follow, as the other processes of the domain wait for them.
	successorPollWait = 200 * time.Millisecond
	// firstPollSlack is added to longPollSlack in the first request to a source, whose answer may carry the changes of
	// several seconds. That request does not wait for changes: if the second source is frozen too, a wait would add to
	// the delay.
	firstPollSlack = 200 * time.Millisecond
	// maxFreshAge is the maximum age of a source's records of upstreams. Readers poll the store every 0.7 s, and any
	// record in the store must be known to all processes two seconds later.
	maxFreshAge = 1100 * time.Millisecond
	// maxOperatorsAge is the maximum age of a source's operator records, provided that its list of upstreams is fresh,
	// which proves that it reaches the store: a record of 600 KB may be in transfer. With maxFreshAge, followers left a
	// healthy reader whenever such a record crossed a 24 Mbit/s link shared by three failure domains, and saturated the
	// link by reading it themselves.
	maxOperatorsAge = 3 * time.Second
	// avoidFailedFor is how long a failed source is avoided, which is the shortest duration of a disruption.
	avoidFailedFor = 3 * time.Second
	// avoidStaleFor is how long a source is avoided that has lost the store, or that follows this process although this
	// one has no fresh records. Either may reach the store again, or take over reading, at any moment: avoided for 3 s,
	// such sources let a gateway that was cut off from the store lag by 4 s.
	avoidStaleFor = 300 * time.Millisecond
	// withoutStoreFor is how long a source whose own requests to the store have failed counts as cut off from it.
	withoutStoreFor = time.Second
	// outagePollPause is the wait between two requests to other processes while no process reaches the store.
	outagePollPause = 400 * time.Millisecond
	// chooseRetryPause is the wait before a source is chosen again if there was none.
	chooseRetryPause = 100 * time.Millisecond
	// snapshotRetryPause is the minimum time between two snapshot requests for a topic because of different digests. If
	// a snapshot does not settle the difference, the source itself lacks a record, which only its next reads of the
	// store can bring.
	snapshotRetryPause = 2 * time.Second
	// takeoverStep is the additional delay before each further process of a domain takes over reading the store.
	// Without it, all read at once and saturated a 24 Mbit/s link between regions with configurations of 600 KB.
	takeoverStep = 250 * time.Millisecond
	// maxTakeoverRank bounds the number of takeover steps, and the factor by which the last processes wait longer
	// between two requests to the store.
	maxTakeoverRank = 12
)

var (
	// errStale says that a source has itself lost the store.
	errStale = errors.New("the source's records are too old")
	// errFollowsSelf says that a source has its records from this process.
	errFollowsSelf = errors.New("the source follows this process")
)

// Follower keeps the logs up to date from other processes, and lets the readers use the store if no source is usable.
type Follower struct {
	logs []*Log
	// upstreamsGate lets this process read the list of upstreams from the store, and operatorsGate the operators'
	// records, which can have hundreds of KB.
	upstreamsGate, operatorsGate *gate
	origin                       *origin
	self                         string
	domain                       id.Domain
	// gateways returns the known gateways of this failure domain, including this process once others have announced it.
	gateways func() []string
	// peers returns the stagers of this failure domain that the list of upstreams shows, and witnesses some of others.
	peers, witnesses func() []string
	// seeds are the configured addresses of other processes.
	seeds []string
	// ask sends a request to another process.
	ask     func(ctx context.Context, address string, q *pb.FollowRequest) (*pb.FollowResponse, error)
	now     func() time.Time
	log     *log.Logger
	metrics *expvar.Map
	hint    *sourceHint
	// staleAnswers counts consecutive answers of sources that have lost the store.
	staleAnswers int

	// sourceLostAt is when the last source failed; zero while a source is followed.
	sourceLostAt time.Time
	// startUntil is the end of the start wait: until then this process does not ask the store, as a gateway may
	// announce itself.
	startUntil time.Time
	// avoidUntil holds sources that have failed, and until when they are not used.
	avoidUntil map[string]time.Time
	// withoutStoreUntil holds the time until which a source counts as cut off from the store, as its own requests to
	// the store have failed.
	withoutStoreUntil map[string]time.Time
	// followsThisUntil holds processes that follow this one. Until the time given they are not used as sources while
	// this process has fresh records.
	followsThisUntil map[string]time.Time
	// source is the address of the process that is followed; empty if there is none.
	source string
	// choseWithList is true if the list of upstreams, which shows the peers, had been read when a source was last
	// chosen.
	choseWithList bool
	// viaPeer is true while the source is a peer, and viaRedirect while it was named by the chosen one.
	viaPeer, viaRedirect bool
	// redirect is the last redirect that a source has answered with, and insist is true if the next request is to be
	// served without one.
	redirect redirect
	insist   bool
	// followers are the processes that follow this one; nil for none.
	followers *followerSet
	// epoch is the source's epoch, and lastChanges holds the number of the last change received from it in each topic.
	epoch       uint64
	lastChanges []uint64
	// nextSnapshotAt is when a topic's snapshot may next be requested because of a different digest.
	nextSnapshotAt map[string]time.Time
}

// Run polls sources until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		address, preferred := f.chooseSource()
		if address == "" || (!preferred && f.oldestAge() >= maxFreshAge) {
			f.takeOver()
		}
		if address == "" {
			f.hint.wait(ctx, chooseRetryPause)
			continue
		}
		address = f.redirected(address)
		err := f.followOnce(ctx, address)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			f.avoid(address, err)
			f.backOff(ctx, err)
		default:
			f.noteFreshSource(address)
			f.pauseIfBehind(ctx)
		}
	}
}

// noteFreshSource notes that a source has fresh records, and closes the gates to the store. Whichever process reads the
// store goes on, regardless of its rank: when the first in the order took the reading back, four processes of a domain
// read the same new configuration at once after an outage.
//
// A source that is still reading does not count, as the store may refuse it next: where a store refused five of twelve
// processes, each attempt made the others start their waits anew, and they lacked a change after 2 s.
func (f *Follower) noteFreshSource(address string) {
	if f.oldestAge() >= maxFreshAge {
		return
	}
	if f.staleAnswers > 0 {
		f.log.Info().Str("source", address).Int("asked_in_vain", f.staleAnswers).Msg("a source reaches the store again")
	}
	f.staleAnswers = 0
	f.sourceLostAt = time.Time{}
	f.setGates(false)
}

// outageThreshold is the age of a process's own records from which on the store counts as unavailable to the whole
// failure domain: if only the reader had lost it, the next process would have taken over. Below it, sources are polled
// as fast as they answer.
const outageThreshold = maxOperatorsAge

// backOff waits after an answer of a source that has lost the store, if no process reaches it: without the pause, the
// twelve gateways of a domain asked each other 36 times a second each. A process that reaches the store again announces
// it, which ends the wait.
func (f *Follower) backOff(ctx context.Context, err error) {
	if !errors.Is(err, errStale) && !errors.Is(err, errFollowsSelf) {
		return
	}
	f.staleAnswers++
	if f.storeUnavailable() {
		f.hint.wait(ctx, outagePollPause)
	}
}

// storeUnavailable reports whether the store counts as unavailable to the whole failure domain. A process that has just
// started cannot tell.
func (f *Follower) storeUnavailable() bool {
	return f.allRead() && f.oldestAge() > outageThreshold
}

// oldestAge returns the age of the log with the oldest records.
func (f *Follower) oldestAge() time.Duration {
	oldest := time.Duration(0)
	for _, l := range f.logs {
		oldest = max(oldest, l.Age())
	}
	return oldest
}

// avoid excludes a failed source for a time that depends on the error, and lets this process take over reading if it is
// its turn.
func (f *Follower) avoid(address string, err error) {
	now := f.now()
	for a, until := range f.avoidUntil {
		if now.After(until) {
			delete(f.avoidUntil, a)
		}
	}
	until := avoidFailedFor
	stale := errors.Is(err, errStale) || errors.Is(err, errFollowsSelf)
	switch {
	case stale && f.storeUnavailable() && !f.hint.matches(address):
		// Every other source is tried before this one is tried again.
		until = min(avoidFailedFor, outagePollPause*time.Duration(max(1, len(f.gateways())-1)))
	case stale:
		until = avoidStaleFor
	}
	f.avoidUntil[address] = now.Add(until)
	f.metrics.Add("failed", 1)
	if errors.Is(err, errFollowsSelf) && f.oldestAge() < maxFreshAge {
		// This is normal: this process reads the store in place of one of higher rank.
		f.followsThisUntil[address] = now.Add(avoidFailedFor)
		return
	}
	if !stale || f.staleAnswers == 0 {
		f.logSourceFailure(address, err)
	}
	f.takeOver()
}

// logSourceFailure logs why a source is no longer followed. A process that has just started tries several sources until
// one has records, which is logged at info level.
func (f *Follower) logSourceFailure(address string, err error) {
	e := f.log.Warn()
	if !f.allRead() {
		e = f.log.Info()
	}
	f.logAge(e.Err(err).Str("source", address)).Msg("another source of records is needed")
}

// logAge adds the age of the records to a log entry, if all topics have been read.
func (f *Follower) logAge(e *log.Entry) *log.Entry {
	if !f.allRead() {
		return e
	}
	return e.Int64("age_ms", f.oldestAge().Milliseconds())
}

// takeOver lets this process read the store once the processes before it have had their time to take over.
func (f *Follower) takeOver() {
	if f.now().Before(f.startUntil) {
		return
	}
	if f.sourceLostAt.IsZero() {
		f.sourceLostAt = f.now()
	}
	if f.now().Sub(f.sourceLostAt) >= time.Duration(f.takeoverDelaySteps())*takeoverStep {
		f.setGates(true)
	}
}

// takeoverRank returns this process's rank among those of its domain that may take over. The first source has rank 0,
// and so has the process after it, which is next once the first one has failed.
func (f *Follower) takeoverRank() int {
	preferred, _ := Sources(f.domain, f.gateways(), f.self)
	return min(max(0, len(preferred)-1), maxTakeoverRank)
}

// takeoverDelaySteps returns the number of processes that get time to take over before this one: those before it, except
// for the failed source and those whose own requests to the store have failed.
func (f *Follower) takeoverDelaySteps() int {
	preferred, _ := Sources(f.domain, f.gateways(), f.self)
	withoutStore := 0
	for _, a := range preferred {
		if f.now().Before(f.withoutStoreUntil[a]) {
			withoutStore++
		}
	}
	return min(max(0, len(preferred)-max(1, withoutStore)), maxTakeoverRank)
}

// storeBackoff returns the wait before this process retries the store. Processes of lower rank retry more often, and
// the others follow them once the store is available.
func (f *Follower) storeBackoff() time.Duration {
	return retryPause * time.Duration(1+f.takeoverRank())
}

// setGates allows or forbids this process to read the store. At start the list of upstreams comes first: it has some
// tens of KB and shows peers that hold the operators' records.
//
// Without this, eight stagers that started beside new upstreams within seconds each read a configuration of 300 KB, and
// again after each change, over one 24 Mbit/s link between regions. The list then took up to 1.5 s on that link, so
// gateways did not learn of the new upstreams, whose stagers in turn learned of no gateway and kept reading. Requests
// reached upstreams that had left 3.4 s before.
func (f *Follower) setGates(open bool) {
	f.operatorsGate.set(open && (f.choseWithList || f.now().Sub(f.sourceLostAt) > listHeadStart))
	if f.upstreamsGate.set(open) {
		f.logAge(f.log.Info().Bool("from_store", open).Str("source", f.source)).Msg("source of records")
	}
}

// upstreamsRead reports whether the list of upstreams has been read.
func (f *Follower) upstreamsRead() bool {
	for _, l := range f.logs {
		if l.topic.KeysAreUpstreams {
			_, ok := l.Position()
			return ok
		}
	}
	return true
}

// listHeadStart is how long reading the list of upstreams may delay reading the operators' records; a store that cannot
// serve the list may still serve the records.
const listHeadStart = time.Second

// followOnce polls a source once and merges its answer.
func (f *Follower) followOnce(ctx context.Context, address string) error {
	if address != f.source {
		f.source, f.epoch, f.lastChanges = address, 0, make([]uint64, len(f.logs))
	}
	wait, timeout := f.pollTimeouts()
	q := &pb.FollowRequest{Epoch: f.epoch, WaitMs: wait.Milliseconds(), Follower: f.self}
	if f.insist {
		q.Follower, f.insist = "", false
	}
	for i, l := range f.logs {
		next, _ := l.Position()
		q.Positions = append(q.Positions, &pb.TopicPosition{Topic: l.topic.Name, From: f.lastChanges[i], Next: uint64(next)})
	}
	pollCtx, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	f.metrics.Add("asked", 1)
	requestedAt := f.now()
	a, err := f.ask(pollCtx, address, q)
	if err != nil {
		f.source = ""
		return trace.Wrap(err)
	}
	if len(a.GetRedirects()) > 0 {
		f.source = ""
		f.followRedirect(address, a)
		return nil
	}
	if err := f.checkSource(a); err != nil {
		f.source = ""
		return err
	}
	answeredAt := requestedAt.Add(time.Duration(max(0, a.GetHeldMs())) * time.Millisecond)
	for i, t := range a.GetTopics() {
		if err := f.mergeTopic(ctx, i, t, address, answeredAt); err != nil {
			f.source = ""
			return err
		}
	}
	if err := f.checkAnswer(a); err != nil {
		f.source = ""
		if a.GetStoreFailed() {
			f.withoutStoreUntil[address] = f.now().Add(withoutStoreFor)
		}
		return err
	}
	delete(f.withoutStoreUntil, address)
	f.epoch = a.GetEpoch()
	f.origin.set(a.GetOrigin())
	f.compareDigests(address, a)
	return nil
}

// pollTimeouts returns how long a request may wait at the source, and the timeout of the whole request.
func (f *Follower) pollTimeouts() (wait, timeout time.Duration) {
	switch {
	case f.epoch == 0 && (f.allRead() || f.viaPeer):
		// A peer that holds the records answers at once. One on a VM that is down delays a start by no more than this
		// timeout, as the store is asked after the first failure.
		return 0, firstPollSlack + longPollSlack
	case f.epoch != 0 && (f.takeoverRank() == 0 || f.followers.any()):
		wait = successorPollWait
	default:
		wait = longPollWait
	}
	return wait, wait + longPollSlack
}
