package measure

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/records"
)

// The topics of the simulated store.
const (
	newsOperators = "operators"
	newsUpstreams = "upstreams"
)

// The processes' settings, as deployed; gateways have the start wait too, as the start is not measured.
const (
	newsListEvery = 700 * time.Millisecond
	newsStartWait = 600 * time.Millisecond
	// newsGatewayNoticeEvery is the interval at which processes are notified of the gateways of their domain.
	newsGatewayNoticeEvery = time.Second
)

// errNewsProcessEnded means that the called process has ended.
var errNewsProcessEnded = errors.New("the process has ended")

// newsDiscardLogger keeps the processes' log lines out of the printed tables.
var newsDiscardLogger = &log.Logger{Level: log.PanicLevel}

// newsRole is a process's role at the start of a run.
type newsRole int

const (
	newsFirstGateway newsRole = iota
	newsOtherGateway
	newsStager
	newsRoleCount
)

func (r newsRole) String() string {
	return [...]string{"first gateway", "other gateway", "stager"}[r]
}

// newsProcess is a simulated process with a real records component; its observer records what it applies.
type newsProcess struct {
	name        string
	role        newsRole
	domain      int
	region      int
	facts       *facts.Facts
	records     *records.Records
	service     *records.Service
	storeClient *newsStoreClient
	uplink      *newsLink
	downlink    *newsLink
	observer    *newsObserver
	// ctx is cancelled when the process ends.
	ctx  context.Context
	stop context.CancelFunc
	// questions counts the requests to other processes; sentBytes and receivedBytes count the answers to and from
	// them.
	questions, sentBytes, receivedBytes atomic.Int64

	mu sync.Mutex
	// frozen is closed when a suspended process resumes; it is nil while the process runs.
	frozen chan struct{}
}

// waitUnfrozen blocks while the process is suspended; it ignores deadlines, which a suspended process does not
// notice.
func (p *newsProcess) waitUnfrozen() {
	p.mu.Lock()
	c := p.frozen
	p.mu.Unlock()
	if c == nil {
		return
	}
	select {
	case <-c:
	case <-p.ctx.Done():
	}
}

// waitUnfrozenOrDone blocks while the process is suspended, at most until the caller's context ends.
func (p *newsProcess) waitUnfrozenOrDone(ctx context.Context) {
	p.mu.Lock()
	c := p.frozen
	p.mu.Unlock()
	if c == nil {
		return
	}
	select {
	case <-c:
	case <-p.ctx.Done():
	case <-ctx.Done():
	}
}

func (p *newsProcess) freeze() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.frozen == nil {
		p.frozen = make(chan struct{})
	}
}

func (p *newsProcess) unfreeze() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.frozen != nil {
		close(p.frozen)
		p.frozen = nil
	}
}

func (p *newsProcess) isFrozen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.frozen != nil
}

// platform returns the process's connection to the simulated platform.
func (p *newsProcess) platform() *records.Platform {
	return &records.Platform{
		Store: records.Store{
			Probe: func(ctx context.Context, _ string, _ id.Position) error {
				p.waitUnfrozen()
				err := p.storeClient.probe(ctx)
				p.waitUnfrozen()
				return err
			},
			Snapshot: func(ctx context.Context, topic string, progress records.Progress) ([]records.Record, id.Position, error) {
				p.waitUnfrozen()
				l, next, err := p.storeClient.snapshot(ctx, topic, progress)
				p.waitUnfrozen()
				p.observer.noteFromStore(p.learntViaStore(), l)
				return l, next, err
			},
			Read: func(ctx context.Context, topic string, from id.Position, wait time.Duration) (records.ReadResult, error) {
				p.waitUnfrozen()
				l, next, err := p.storeClient.read(ctx, topic, from, wait)
				p.waitUnfrozen()
				p.observer.noteFromStore(p.learntViaStore(), l)
				return records.ReadResult{Records: l, Next: next, End: next}, err
			},
		},
		Operators: records.Topic{Name: newsOperators, Apply: p.applyConfig, Version: newsConfigNumber},
		Upstreams: records.Topic{Name: newsUpstreams, Apply: p.applyUpstream, Normalise: newsStripHeartbeat, KeysAreUpstreams: true},
	}
}

func (p *newsProcess) learntViaStore() newsLearntVia {
	if p.role == newsFirstGateway {
		return newsViaReaderStore
	}
	return newsViaOtherStore
}

// newsConfigNumber returns the version number of a configuration record, counted from 1.
func newsConfigNumber(r records.Record) uint64 {
	return uint64(newsConfigVersion(r.Value) + 1)
}

func (p *newsProcess) applyConfig(r records.Record) error {
	p.observer.noteApplied(r)
	return nil
}

func (p *newsProcess) applyUpstream(r records.Record) error {
	if r.Value != nil {
		p.facts.SetInstance(&facts.Instance{
			ID: id.Instance(r.Key), Address: r.Key, Leaving: newsStageOf(r.Value) == newsLeaving, ListPosition: r.Position,
		})
	}
	p.observer.noteApplied(r)
	return nil
}

// newsHeartbeatSeparator separates the heartbeat counter from the rest of an upstream's value.
const newsHeartbeatSeparator = '|'

// newsStripHeartbeat removes the heartbeat counter from an upstream's value.
func newsStripHeartbeat(value []byte) []byte {
	if i := bytes.LastIndexByte(value, newsHeartbeatSeparator); i >= 0 {
		return value[:i]
	}
	return value
}

// newsNetwork connects processes by function calls over links of limited bandwidth.
type newsNetwork struct {
	byName map[string]*newsProcess
	// regionLinks holds the links from each region to each other one, indexed by source and destination.
	regionLinks [][]*newsLink
	// regionDelay is the one-way latency between two regions.
	regionDelay time.Duration
	// firstGateways holds the gateway of each domain that is first in the takeover order.
	firstGateways []*newsProcess
}

// delay returns the one-way latency between two regions.
func (n *newsNetwork) delay(from, to int) time.Duration {
	if from == to {
		return newsLocalDelay
	}
	return n.regionDelay
}

// linksTo lists the links from a region to a process.
func (n *newsNetwork) linksTo(from int, to *newsProcess) []*newsLink {
	if from == to.region {
		return []*newsLink{to.downlink}
	}
	return []*newsLink{n.regionLinks[from][to.region], to.downlink}
}

// follow sends a process's request for records to another process and returns the answer.
func (n *newsNetwork) follow(ctx context.Context, p *newsProcess, address string, q *pb.FollowRequest) (*pb.FollowResponse, error) {
	p.waitUnfrozen()
	p.questions.Add(1)
	to := n.byName[address]
	if to == nil {
		return nil, trace.NotFound("process %s does not exist", address)
	}
	delay := n.delay(p.region, to.region)
	kernel.Pause(ctx, delay)
	a, err := to.serveFollow(ctx, q)
	if err != nil {
		p.waitUnfrozen()
		return nil, err
	}
	size := proto.Size(a) + newsMessageOverhead
	if err := newsSend(ctx, size, delay, append(n.linksTo(to.region, p), to.uplink)...); err != nil {
		return nil, err
	}
	to.sentBytes.Add(int64(size))
	p.receivedBytes.Add(int64(size))
	p.waitUnfrozen()
	switch a.GetOrigin() {
	case p.name:
	// A follower ignores an answer that originates from itself.
	case n.firstGateways[p.domain].name:
		p.observer.noteFromPeer(newsViaFirstGateway, a)
	default:
		p.observer.noteFromPeer(newsViaOtherProcess, a)
	}
	return a, nil
}

// serveFollow answers a request for records once the process is not suspended; it fails if the process has ended.
func (p *newsProcess) serveFollow(ctx context.Context, q *pb.FollowRequest) (*pb.FollowResponse, error) {
	ctx, end := context.WithCancel(ctx)
	defer end()
	defer context.AfterFunc(p.ctx, end)()
	p.waitUnfrozenOrDone(ctx)
	if p.ctx.Err() != nil {
		return nil, trace.Wrap(errNewsProcessEnded)
	}
	a, err := p.service.Follow(ctx, q)
	p.waitUnfrozenOrDone(ctx)
	switch {
	case p.ctx.Err() != nil:
		return nil, trace.Wrap(errNewsProcessEnded)
	case err != nil:
		return nil, trace.Wrap(err)
	}
	return a, trace.Wrap(ctx.Err())
}

// newsAddress returns a process's name, which is also its address.
func newsAddress(kind string, domain, i int) string {
	return fmt.Sprintf("%s-%d-%d", kind, domain, i)
}
