package measure

import (
	"bytes"
	"maps"
	"strconv"
	"sync"
	"time"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/records"
)

// newsStage is the stage of an upstream's key, in the order that it passes through; a version of the configuration
// has a stage of its own.
type newsStage int

const (
	newsNone newsStage = iota
	newsPresent
	newsLeaving
	newsDropped
	newsConfig
	newsStageCount
)

func (s newsStage) String() string {
	return [...]string{"none", "appears", "leaves", "dropped", "configuration"}[s]
}

// newsStageOf returns the stage that an upstream's value states.
func newsStageOf(value []byte) newsStage {
	switch {
	case value == nil:
		return newsDropped
	case bytes.HasPrefix(value, []byte(newsLeaving.String())):
		return newsLeaving
	default:
		return newsPresent
	}
}

// newsConfigVersion returns the version number on the first line of a configuration.
func newsConfigVersion(value []byte) int {
	line, _, _ := bytes.Cut(value, []byte("\n"))
	n, _ := strconv.Atoi(string(line))
	return n
}

// newsLearntVia is how a process learnt of a change.
type newsLearntVia int

const (
	newsViaUnknown newsLearntVia = iota
	newsViaReaderStore
	newsViaOtherStore
	newsViaFirstGateway
	newsViaOtherProcess
	newsViaSnapshot
	newsViaOvertaken
	newsViaCount
)

func (w newsLearntVia) String() string {
	return [...]string{
		"unknown", "store read by the first gateway", "store read by another process", "question, from the first gateway",
		"question, from another process", "concluded from a whole list", "overtaken by the next change",
	}[w]
}

// newsChange is a change of the list of upstreams or of the configuration, applied at a time of the run.
type newsChange struct {
	at    time.Duration
	key   string
	stage newsStage
	// version is the number of the configuration, where the change is one.
	version int
	// ackedAt is when the store had taken the change; zero means never.
	ackedAt time.Duration
}

// newsKnown is when and how a process learnt of a change.
type newsKnown struct {
	at  time.Duration
	via newsLearntVia
}

// newsDisconnection is a time in which a process could not receive changes.
type newsDisconnection struct {
	from, to time.Duration
}

// newsObserver records when and how one process learns of each change. It is safe for concurrent use.
type newsObserver struct {
	plan  *newsPlan
	since func() time.Duration

	mu    sync.Mutex
	known []newsKnown
	// stages holds the newest stage of each key that is not dropped.
	stages  map[string]newsStage
	version int
	// sources holds how each received record arrived.
	sources map[newsRecordID]newsLearntVia
	// disconnections holds the times in which the process could not receive changes; an open one ends with the run.
	disconnections []newsDisconnection
}

// newsRecordID identifies a record.
type newsRecordID struct {
	key     string
	offset  id.Position
	dropped bool
}

func newNewsObserver(p *newsPlan, since func() time.Duration) *newsObserver {
	return &newsObserver{
		plan: p, since: since, known: make([]newsKnown, len(p.changes)), stages: map[string]newsStage{},
		version: -1, sources: map[newsRecordID]newsLearntVia{},
	}
}

// noteFromStore records which records came from the store.
func (c *newsObserver) noteFromStore(w newsLearntVia, l []records.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range l {
		c.sources[newsRecordID{key: r.Key, offset: r.Position, dropped: r.Value == nil}] = w
	}
}

// noteFromPeer records which records came from another process.
func (c *newsObserver) noteFromPeer(w newsLearntVia, a *pb.FollowResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range a.GetTopics() {
		for _, r := range t.GetRecords() {
			n := newsRecordID{key: r.GetKey(), offset: id.Position(r.GetOffset()), dropped: r.GetDropped()}
			if c.sources[n] == newsViaUnknown {
				c.sources[n] = w
			}
		}
	}
}

// noteApplied records that the process has applied a record.
func (c *newsObserver) noteApplied(r records.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	via := c.sources[newsRecordID{key: r.Key, offset: r.Position, dropped: r.Value == nil}]
	if via == newsViaUnknown {
		via = newsViaSnapshot
	}
	k := newsKnown{at: c.since(), via: via}
	if r.Key == newsConfigKey {
		c.version = newsConfigVersion(r.Value)
		for v := c.version; v > 0 && c.markKnown(c.plan.versions[v], k); v-- { //nolint:revive // all work is in the condition
		}
		return
	}
	stage := newsStageOf(r.Value)
	if stage == newsDropped {
		delete(c.stages, r.Key)
	} else {
		c.stages[r.Key] = stage
	}
	for _, i := range c.plan.keys[r.Key] {
		if c.plan.changes[i].stage <= stage {
			c.markKnown(i, k)
		}
	}
}

// markKnown records when and how a change became known, and reports whether it was unknown before; the caller holds
// the lock.
func (c *newsObserver) markKnown(i int, k newsKnown) bool {
	if c.known[i].via != newsViaUnknown {
		return false
	}
	c.known[i] = k
	return true
}

// disconnect begins a time in which the process can't receive changes, and reconnect ends it.
func (c *newsObserver) disconnect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disconnections = append(c.disconnections, newsDisconnection{from: c.since(), to: -1})
}

func (c *newsObserver) reconnect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.disconnections {
		if c.disconnections[i].to < 0 {
			c.disconnections[i].to = c.since()
		}
	}
}

// connectedTime returns how much of a time the process could receive changes; the caller holds the lock.
func (c *newsObserver) connectedTime(from, to time.Duration) time.Duration {
	d := to - from
	for _, s := range c.disconnections {
		if s.to < 0 {
			s.to = to
		}
		d -= max(0, min(to, s.to)-max(from, s.from))
	}
	return max(0, d)
}

// holdsKey reports whether the process has applied a key that is not dropped; the caller holds the lock.
func (c *newsObserver) holdsKey(key string) bool {
	return c.stages[key] != newsNone
}

// propagationDelay returns how long the process lacked a change while it could receive changes, and how it learnt of
// it; never reports that it did not.
func (c *newsObserver) propagationDelay(i int) (d time.Duration, via newsLearntVia, never bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := &c.plan.changes[i]
	if k := c.known[i]; k.via != newsViaUnknown {
		return c.connectedTime(g.ackedAt, k.at), k.via, false
	}
	if g.stage == newsConfig || c.holdsKey(g.key) {
		return 0, newsViaUnknown, true
	}
	// The key is dropped and the process never held it: the drop overtook the change.
	last := &c.plan.changes[c.plan.keys[g.key][len(c.plan.keys[g.key])-1]]
	if last.stage != newsDropped || last.ackedAt == 0 {
		return 0, newsViaUnknown, true
	}
	return c.connectedTime(g.ackedAt, last.ackedAt), newsViaOvertaken, false
}

// knowsLaterChange reports whether the process knows a later change of the same topic.
func (c *newsObserver) knowsLaterChange(i int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := &c.plan.changes[i]
	for j := range c.plan.changes {
		l := &c.plan.changes[j]
		if (l.stage == newsConfig) == (g.stage == newsConfig) && l.key != g.key && l.ackedAt > g.ackedAt && c.known[j].via != newsViaUnknown {
			return true
		}
	}
	return false
}

// complete reports whether the process holds the initial state.
func (c *newsObserver) complete() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version >= 0 && len(c.stages) == len(c.plan.initialUpstreams)
}

// state returns a copy of the process's stages and its configuration version.
func (c *newsObserver) state() (stages map[string]newsStage, version int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.stages), c.version
}
