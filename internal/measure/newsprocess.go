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

// The topics of the store.
const (
	newsOperators = "operators"
	newsUpstreams = "upstreams"
)

// The processes' settings, as deployed; gateways wait at their start too, as the start is not measured.
const (
	newsListEvery = 700 * time.Millisecond
	newsStartWait = 600 * time.Millisecond
	// newsNamedEvery is how often processes hear of the gateways of their domain.
	newsNamedEvery = time.Second
)

// errNewsGone says that a process has ended.
var errNewsGone = errors.New("nobody listens there")

// newsQuiet keeps the parts' own lines out of the table.
var newsQuiet = &log.Logger{Level: log.PanicLevel}

// newsRole is what a process is at the start.
type newsRole int

const (
	newsFirst newsRole = iota
	newsGateway
	newsStager
	newsRoles
)

func (r newsRole) String() string {
	return [...]string{"first gateway", "other gateway", "stager"}[r]
}

// newsProcess is a real records part, with what it has made of the records.
type newsProcess struct {
	name    string
	role    newsRole
	domain  int
	region  int
	facts   *facts.Facts
	records *records.Records
	service *records.Service
	door    *newsDoor
	up      *newsPipe
	down    *newsPipe
	tally   *newsColumn
	// ctx ends with the process.
	ctx  context.Context
	stop context.CancelFunc
	// asked counts questions, gave and got bytes handed on to others and got from them.
	asked, gave, got atomic.Int64

	mu sync.Mutex
	// frozen closes when a frozen process wakes; nil is awake.
	frozen chan struct{}
}

// hold waits until the process is awake; a frozen one does not notice that its time is over.
func (p *newsProcess) hold() {
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

// awake waits until the process is awake or the asker's time is over.
func (p *newsProcess) awake(ctx context.Context) {
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

func (p *newsProcess) wake() {
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

// platform is the process's view of the platform.
func (p *newsProcess) platform() *records.Platform {
	return &records.Platform{
		Store: records.Store{
			Probe: func(ctx context.Context, _ string, _ id.Position) error {
				p.hold()
				err := p.door.answers(ctx)
				p.hold()
				return err
			},
			Snapshot: func(ctx context.Context, topic string, progress records.Progress) ([]records.Record, id.Position, error) {
				p.hold()
				l, next, err := p.door.newest(ctx, topic, progress)
				p.hold()
				p.tally.brought(p.storeWay(), l)
				return l, next, err
			},
			Read: func(ctx context.Context, topic string, from id.Position, wait time.Duration) (records.ReadResult, error) {
				p.hold()
				l, next, err := p.door.read(ctx, topic, from, wait)
				p.hold()
				p.tally.brought(p.storeWay(), l)
				return records.ReadResult{Records: l, Next: next, End: next}, err
			},
		},
		Operators: records.Topic{Name: newsOperators, Apply: p.applyConfig, Version: newsNumber},
		Upstreams: records.Topic{Name: newsUpstreams, Apply: p.applyUpstream, Normalise: newsReduce, KeysAreUpstreams: true},
	}
}

func (p *newsProcess) storeWay() newsWay {
	if p.role == newsFirst {
		return newsByStore
	}
	return newsByTakeover
}

// newsNumber is the number of a configuration, from 1 on.
func newsNumber(r records.Record) uint64 {
	return uint64(newsVersionOf(r.Value) + 1)
}

func (p *newsProcess) applyConfig(r records.Record) error {
	p.tally.learn(r)
	return nil
}

func (p *newsProcess) applyUpstream(r records.Record) error {
	if r.Value != nil {
		p.facts.SetInstance(&facts.Instance{
			ID: id.Instance(r.Key), Address: r.Key, Leaving: newsStageOf(r.Value) == newsLeaving, ListPosition: r.Position,
		})
	}
	p.tally.learn(r)
	return nil
}

// newsMark sets what a heartbeat counts apart from the rest of an upstream's value.
const newsMark = '|'

// newsReduce leaves out what heartbeats count.
func newsReduce(value []byte) []byte {
	if i := bytes.LastIndexByte(value, newsMark); i >= 0 {
		return value[:i]
	}
	return value
}

// newsNet joins processes by function calls over shaped links.
type newsNet struct {
	byName map[string]*newsProcess
	// regions are the links from one region to another, by direction.
	regions [][]*newsPipe
	// regionDelay is the way between two regions.
	regionDelay time.Duration
	// first is the first gateway of each domain.
	first []*newsProcess
}

// delay is that of the way between two regions, once.
func (n *newsNet) delay(from, to int) time.Duration {
	if from == to {
		return newsLocalDelay
	}
	return n.regionDelay
}

// way lists the links from one region to a process.
func (n *newsNet) way(from int, to *newsProcess) []*newsPipe {
	if from == to.region {
		return []*newsPipe{to.down}
	}
	return []*newsPipe{n.regions[from][to.region], to.down}
}

// ask brings a process's question to another one, and its answer back.
func (n *newsNet) ask(ctx context.Context, p *newsProcess, address string, q *pb.FollowRequest) (*pb.FollowResponse, error) {
	p.hold()
	p.asked.Add(1)
	to := n.byName[address]
	if to == nil {
		return nil, trace.NotFound("no process %s", address)
	}
	delay := n.delay(p.region, to.region)
	kernel.Pause(ctx, delay)
	a, err := to.answer(ctx, q)
	if err != nil {
		p.hold()
		return nil, err
	}
	size := proto.Size(a) + newsHead
	if err := newsSend(ctx, size, delay, append(n.way(to.region, p), to.up)...); err != nil {
		return nil, err
	}
	to.gave.Add(int64(size))
	p.got.Add(int64(size))
	p.hold()
	switch a.GetOrigin() {
	case p.name:
	// The follower takes nothing from one that follows itself.
	case n.first[p.domain].name:
		p.tally.told(newsByQuestion, a)
	default:
		p.tally.told(newsByOther, a)
	}
	return a, nil
}

// answer is what the process says to a question, while it is awake and has not ended.
func (p *newsProcess) answer(ctx context.Context, q *pb.FollowRequest) (*pb.FollowResponse, error) {
	ctx, end := context.WithCancel(ctx)
	defer end()
	defer context.AfterFunc(p.ctx, end)()
	p.awake(ctx)
	if p.ctx.Err() != nil {
		return nil, trace.Wrap(errNewsGone)
	}
	a, err := p.service.Follow(ctx, q)
	p.awake(ctx)
	switch {
	case p.ctx.Err() != nil:
		return nil, trace.Wrap(errNewsGone)
	case err != nil:
		return nil, trace.Wrap(err)
	}
	return a, trace.Wrap(ctx.Err())
}

// newsName is the address of a process.
func newsName(kind string, domain, i int) string {
	return fmt.Sprintf("%s-%d-%d", kind, domain, i)
}
