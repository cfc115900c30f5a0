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

// newsStage is how far an upstream's key has come; a version of the configuration is a stage of its own kind.
type newsStage int

const (
	newsNone newsStage = iota
	newsHere
	newsLeaving
	newsDropped
	newsConfig
	newsStages
)

func (s newsStage) String() string {
	return [...]string{"none", "appears", "leaves", "dropped", "configuration"}[s]
}

// newsStageOf reads the stage from an upstream's value.
func newsStageOf(value []byte) newsStage {
	switch {
	case value == nil:
		return newsDropped
	case bytes.HasPrefix(value, []byte(newsLeaving.String())):
		return newsLeaving
	default:
		return newsHere
	}
}

// newsVersionOf reads the version from a configuration.
func newsVersionOf(value []byte) int {
	line, _, _ := bytes.Cut(value, []byte("\n"))
	n, _ := strconv.Atoi(string(line))
	return n
}

// newsWay is how a process came to know of a change.
type newsWay int

const (
	newsUnknown newsWay = iota
	newsByStore
	newsByTakeover
	newsByQuestion
	newsByOther
	newsByWhole
	newsOvertaken
	newsWays
)

func (w newsWay) String() string {
	return [...]string{
		"unknown", "store read by the first gateway", "store read by another process", "question, from the first gateway",
		"question, from another process", "concluded from a whole list", "overtaken by the next change",
	}[w]
}

// newsChange is a change of the list or of the configuration, made at a time of the run.
type newsChange struct {
	at    time.Duration
	key   string
	stage newsStage
	// version is that of a configuration.
	version int
	// acked is when the store had taken it; zero is never.
	acked time.Duration
}

// newsKnown is when and how a process knew of a change.
type newsKnown struct {
	at  time.Duration
	way newsWay
}

// newsSpan is a time in which a process was not in touch.
type newsSpan struct {
	from, to time.Duration
}

// newsColumn is what one process knows of the changes. It is safe for concurrent use.
type newsColumn struct {
	plan  *newsPlan
	since func() time.Duration

	mu    sync.Mutex
	known []newsKnown
	// stages holds the keys with their newest stage.
	stages  map[string]newsStage
	version int
	// ways says what brought a record that was not yet applied.
	ways map[newsRecord]newsWay
	// away are the times in which the process was not in touch; an open one ends with the run.
	away []newsSpan
}

// newsRecord names a record.
type newsRecord struct {
	key     string
	offset  id.Position
	dropped bool
}

func newNewsColumn(p *newsPlan, since func() time.Duration) *newsColumn {
	return &newsColumn{
		plan: p, since: since, known: make([]newsKnown, len(p.changes)), stages: map[string]newsStage{},
		version: -1, ways: map[newsRecord]newsWay{},
	}
}

// brought notes what came from the store.
func (c *newsColumn) brought(w newsWay, l []records.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range l {
		c.ways[newsRecord{key: r.Key, offset: r.Position, dropped: r.Value == nil}] = w
	}
}

// told notes what came from another process.
func (c *newsColumn) told(w newsWay, a *pb.FollowResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range a.GetTopics() {
		for _, r := range t.GetRecords() {
			n := newsRecord{key: r.GetKey(), offset: id.Position(r.GetOffset()), dropped: r.GetDropped()}
			if c.ways[n] == newsUnknown {
				c.ways[n] = w
			}
		}
	}
}

// learn takes a record that the process has applied.
func (c *newsColumn) learn(r records.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	way := c.ways[newsRecord{key: r.Key, offset: r.Position, dropped: r.Value == nil}]
	if way == newsUnknown {
		way = newsByWhole
	}
	k := newsKnown{at: c.since(), way: way}
	if r.Key == newsConfigKey {
		c.version = newsVersionOf(r.Value)
		for v := c.version; v > 0 && c.note(c.plan.versions[v], k); v-- { //nolint:revive // all work is in the condition
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
			c.note(i, k)
		}
	}
}

// note says whether the change was news; the caller holds the lock.
func (c *newsColumn) note(i int, k newsKnown) bool {
	if c.known[i].way != newsUnknown {
		return false
	}
	c.known[i] = k
	return true
}

// leave begins a time out of touch, and join ends it.
func (c *newsColumn) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.away = append(c.away, newsSpan{from: c.since(), to: -1})
}

func (c *newsColumn) join() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.away {
		if c.away[i].to < 0 {
			c.away[i].to = c.since()
		}
	}
}

// inTouch is how much of a time the process was in touch; the caller holds the lock.
func (c *newsColumn) inTouch(from, to time.Duration) time.Duration {
	d := to - from
	for _, s := range c.away {
		if s.to < 0 {
			s.to = to
		}
		d -= max(0, min(to, s.to)-max(from, s.from))
	}
	return max(0, d)
}

// holds says whether the process has a key that it was told of.
func (c *newsColumn) holds(key string) bool {
	return c.stages[key] != newsNone
}

// wait says how long a process was without a change, and how that ended; never says that it did not.
func (c *newsColumn) wait(i int) (d time.Duration, way newsWay, never bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := &c.plan.changes[i]
	if k := c.known[i]; k.way != newsUnknown {
		return c.inTouch(g.acked, k.at), k.way, false
	}
	if g.stage == newsConfig || c.holds(g.key) {
		return 0, newsUnknown, true
	}
	// A key that is gone and that the process never had: what it missed has been overtaken.
	last := &c.plan.changes[c.plan.keys[g.key][len(c.plan.keys[g.key])-1]]
	if last.stage != newsDropped || last.acked == 0 {
		return 0, newsUnknown, true
	}
	return c.inTouch(g.acked, last.acked), newsOvertaken, false
}

// passed says whether the process knows of a later change of the same topic.
func (c *newsColumn) passed(i int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := &c.plan.changes[i]
	for j := range c.plan.changes {
		l := &c.plan.changes[j]
		if (l.stage == newsConfig) == (g.stage == newsConfig) && l.key != g.key && l.acked > g.acked && c.known[j].way != newsUnknown {
			return true
		}
	}
	return false
}

// complete says whether the process holds the first state.
func (c *newsColumn) complete() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version >= 0 && len(c.stages) == len(c.plan.first)
}

// state copies what the process holds.
func (c *newsColumn) state() (stages map[string]newsStage, version int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.stages), c.version
}
