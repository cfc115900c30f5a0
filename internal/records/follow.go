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
	// followWait is how long a question to a source waits there for a change. It bounds how long a source that freezes
	// goes unnoticed, with followSlack for the way and for a source that is short of processor time.
	followWait  = 500 * time.Millisecond
	followSlack = 400 * time.Millisecond
	// successorWait is followWait of the process that goes first once its source fails: the others of the domain wait for it.
	successorWait = 200 * time.Millisecond
	// newSlack is what the first question to a source gets beside followSlack: its answer may bring some seconds of news. It
	// does not wait there, as a second source that is frozen too would add its whole time.
	newSlack = 200 * time.Millisecond
	// freshMost is the greatest age of a source's records: readers ask the store each 0.7 s, and what the store took has to
	// be known everywhere two seconds later.
	freshMost = 1100 * time.Millisecond
	// slowMost is the same for the operators' records, beside a list that is fresh and shows that the source has its way to the
	// store: a record of 600 KB may be on that way. With freshMost followers left a healthy reader whenever such a record came
	// over a link of 24 Mbit/s that three failure domains share, and choked that link by reading it themselves.
	slowMost = 3 * time.Second
	// blameFor is how long a source that failed is left alone; it is how long a disruption at least lasts.
	blameFor = 3 * time.Second
	// staleFor is the same for a source that has lost the store itself, or follows this process while that has no fresh
	// records: it may have it back, or take the reading over, at any moment. Left alone for 3 s, they let a gateway
	// that was cut off from the store lag by 4 s.
	staleFor = 300 * time.Millisecond
	// lackFor is how long a source that has asked the store itself in vain is taken to lack it.
	lackFor = time.Second
	// awayPause is the wait between two questions to others while the store is away for all.
	awayPause = 400 * time.Millisecond
	// lookPause is the wait before sources are looked for again.
	lookPause = 100 * time.Millisecond
	// differPause is the least time between two questions for a whole topic because the source holds other records. Where one
	// does not settle it the source lacks a word, which its own readings have to bring.
	differPause = 2 * time.Second
	// takeoverStep is how much longer each further process of a domain lets those before it take over the reading of the
	// store: all at once, they choked a link of 24 Mbit/s between regions with configurations of 600 KB.
	takeoverStep = 250 * time.Millisecond
	// takeoverMost bounds the steps, and how many times longer the last ones wait between two tries at the store.
	takeoverMost = 12
)

var (
	// errStale says that a source has itself lost the store.
	errStale = errors.New("the source's records are too old")
	// errOwn says that a source has its records from this process.
	errOwn = errors.New("the source follows this process")
)

// Follower keeps the logs up to date from other processes and opens the gate to the store where none will do.
type Follower struct {
	logs []*Log
	// gate lets this process read the list of upstreams from the store, and long the operators' records, which may have
	// hundreds of KB.
	gate, long *gate
	origin     *origin
	self       string
	domain     id.Domain
	// gateways lists those of the own failure domain, this process included once others know it.
	gateways func() []string
	// peers lists stagers of the own failure domain that the list of upstreams shows.
	peers func() []string
	// seeds are processes that the settings name.
	seeds []string
	ask   func(ctx context.Context, address string, q *pb.FollowRequest) (*pb.FollowResponse, error)
	now   func() time.Time
	log   *log.Logger
	vars  *expvar.Map
	hint  *hint
	// stale counts the answers in a row of sources that have lost the store.
	stale int

	// lostAt is when the last source failed; zero while one is followed.
	lostAt time.Time
	// startUntil is the end of the time in which a gateway may make itself known before this process asks the store.
	startUntil time.Time
	blamed     map[string]time.Time
	// lacking holds sources that have asked the store itself in vain, and until when they are taken to lack it.
	lacking map[string]time.Time
	// behind are processes that follow this one: until then they are no sources while this one has fresh records.
	behind map[string]time.Time
	source string
	// lookedWithList is true once the list had been read when a source was last looked for: it names peers that have the rest.
	lookedWithList bool
	// viaPeer is true while the source is a peer.
	viaPeer bool
	epoch   uint64
	from    []uint64
	// wholeAgain is when each topic may be asked for as a whole again because the source holds other records.
	wholeAgain map[string]time.Time
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		address, preferred := f.choose()
		if address == "" || (!preferred && f.age() >= freshMost) {
			f.takeOver()
		}
		if address == "" {
			f.hint.wait(ctx, lookPause)
			continue
		}
		err := f.follow(ctx, address)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			f.blame(address, err)
			f.rest(ctx, err)
		default:
			f.found(address)
		}
	}
}

// found notes that a source has fresh records. Whoever reads goes on, wherever it stands in the order: taking the
// reading back, four processes of a domain read the same new configuration at once after an outage.
//
// One that only reads may be turned away in the next moment: where a store turned five of twelve away, the others began
// to wait anew with each that tried, and did not have a change after 2 s.
func (f *Follower) found(address string) {
	if f.age() >= freshMost {
		return
	}
	if f.stale > 0 {
		f.log.Info().Str("source", address).Int("asked_in_vain", f.stale).Msg("a source has the store again")
	}
	f.stale = 0
	f.lostAt = time.Time{}
	f.openGate(false)
}

// awayFor is the age of a process's own records from which on the store is taken to be away for all of its failure domain: had
// only its reader lost it, the next one would have taken over. Sooner, sources are asked as fast as they answer.
const awayFor = slowMost

// rest waits after an answer of a source that has lost the store, once nobody has it: all twelve gateways of a domain
// asked each other 36 times a second each. Who gets it again says so.
func (f *Follower) rest(ctx context.Context, err error) {
	if !errors.Is(err, errStale) && !errors.Is(err, errOwn) {
		return
	}
	f.stale++
	if f.away() {
		f.hint.wait(ctx, awayPause)
	}
}

// away says whether the store is taken to be away for all. A process that has just started knows nothing of that.
func (f *Follower) away() bool {
	return f.started() && f.age() > awayFor
}

// age is that of the oldest log.
func (f *Follower) age() time.Duration {
	most := time.Duration(0)
	for _, l := range f.logs {
		most = max(most, l.Age())
	}
	return most
}

func (f *Follower) blame(address string, err error) {
	now := f.now()
	for a, until := range f.blamed {
		if now.After(until) {
			delete(f.blamed, a)
		}
	}
	until := blameFor
	lost := errors.Is(err, errStale) || errors.Is(err, errOwn)
	switch {
	case lost && f.away() && !f.hint.names(address):
		// Each other source is asked before this one is again.
		until = min(blameFor, awayPause*time.Duration(max(1, len(f.gateways())-1)))
	case lost:
		until = staleFor
	}
	f.blamed[address] = now.Add(until)
	f.vars.Add("failed", 1)
	if errors.Is(err, errOwn) && f.age() < freshMost {
		// All is well: this process reads for one that goes before it.
		f.behind[address] = now.Add(blameFor)
		return
	}
	if !lost || f.stale == 0 {
		f.logBlame(address, err)
	}
	f.takeOver()
}

// logBlame says why a source was left. A process that has just started asks several until one has the records, which is
// no reason to warn.
func (f *Follower) logBlame(address string, err error) {
	e := f.log.Warn()
	if !f.started() {
		e = f.log.Info()
	}
	f.logAge(e.Err(err).Str("source", address)).Msg("another source of records is needed")
}

// logAge adds the age of the records to a line, if any have been read.
func (f *Follower) logAge(e *log.Entry) *log.Entry {
	if !f.started() {
		return e
	}
	return e.Int64("age_ms", f.age().Milliseconds())
}

// takeOver lets this process read the store once those before it have had time to.
func (f *Follower) takeOver() {
	if f.now().Before(f.startUntil) {
		return
	}
	if f.lostAt.IsZero() {
		f.lostAt = f.now()
	}
	if f.now().Sub(f.lostAt) >= time.Duration(f.waitsFor())*takeoverStep {
		f.openGate(true)
	}
}

// rank is this process's place among those of its domain that may take over; the first source itself has none to wait
// for, and the one behind it goes first once that has failed.
func (f *Follower) rank() int {
	first, _ := Sources(f.domain, f.gateways(), f.self)
	return min(max(0, len(first)-1), takeoverMost)
}

// waitsFor is the number of processes that are given time to take over before this one: those before it that are not
// known to have asked the store in vain.
func (f *Follower) waitsFor() int {
	first, _ := Sources(f.domain, f.gateways(), f.self)
	lack := 0
	for _, a := range first {
		if f.now().Before(f.lacking[a]) {
			lack++
		}
	}
	return min(max(0, len(first)-max(1, lack)), takeoverMost)
}

// tryPause is the wait before this process tries the store again: those before it try more often, and the others follow
// them once the store is back.
func (f *Follower) tryPause() time.Duration {
	return retryPause * time.Duration(1+f.rank())
}

// openGate lets this process read the store, or not. At its start the list comes first: it has some tens of KB and
// shows peers that hold the operators' records. Eight stagers that started beside new upstreams within seconds each
// read a configuration of 300 KB, again with each change, over one link of 24 Mbit/s between regions: the list took up
// to 1.5 s on that link, gateways did not see the new upstreams, these heard of no gateway and went on reading, and
// requests reached upstreams that had left 3.4 s before.
func (f *Follower) openGate(open bool) {
	f.long.set(open && (f.lookedWithList || f.now().Sub(f.lostAt) > listMost))
	if f.gate.set(open) {
		f.logAge(f.log.Info().Bool("from_store", open).Str("source", f.source)).Msg("source of records")
	}
}

// listed says whether the list of upstreams has been read.
func (f *Follower) listed() bool {
	for _, l := range f.logs {
		if l.topic.KeysAreUpstreams {
			_, ok := l.Position()
			return ok
		}
	}
	return true
}

// listMost is how long the list of upstreams goes before the operators' records: a store that can't give the one may
// give the other.
const listMost = time.Second

// follow asks a source once and takes its answer.
func (f *Follower) follow(ctx context.Context, address string) error {
	if address != f.source {
		f.source, f.epoch, f.from = address, 0, make([]uint64, len(f.logs))
	}
	wait, most := f.patience()
	q := &pb.FollowRequest{Epoch: f.epoch, WaitMs: wait.Milliseconds()}
	for i, l := range f.logs {
		next, _ := l.Position()
		q.Positions = append(q.Positions, &pb.TopicPosition{Topic: l.topic.Name, From: f.from[i], Next: uint64(next)})
	}
	ask, stop := context.WithTimeout(ctx, most)
	defer stop()
	f.vars.Add("asked", 1)
	asked := f.now()
	a, err := f.ask(ask, address, q)
	if err != nil {
		f.source = ""
		return trace.Wrap(err)
	}
	if err := f.known(a); err != nil {
		f.source = ""
		return err
	}
	answered := asked.Add(time.Duration(max(0, a.GetHeldMs())) * time.Millisecond)
	for i, t := range a.GetTopics() {
		if err := f.takeTopic(i, t, address, answered); err != nil {
			f.source = ""
			return err
		}
	}
	if err := f.check(a); err != nil {
		f.source = ""
		if a.GetStoreFailed() {
			f.lacking[address] = f.now().Add(lackFor)
		}
		return err
	}
	delete(f.lacking, address)
	f.epoch = a.GetEpoch()
	f.origin.set(a.GetOrigin())
	f.compare(address, a)
	return nil
}

// patience is how long a question may wait at the source, and how long its answer is waited for at the most.
func (f *Follower) patience() (wait, most time.Duration) {
	switch {
	case f.epoch == 0 && (f.started() || f.viaPeer):
		// A peer that holds the records answers at once; one on a VM without power holds a start up for this long at the most, as
		// the store is asked after the first that fails.
		return 0, newSlack + followSlack
	case f.epoch != 0 && f.rank() == 0:
		wait = successorWait
	default:
		wait = followWait
	}
	return wait, wait + followSlack
}
