package records

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"github.com/springrail/springrail/internal/dating"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/platform"
)

// start is when the play begins.
var start = time.Unix(1000, 0)

// span is a time.
type span struct {
	from, to time.Time
}

// String is for the account of a failure.
func (s span) String() string {
	return fmt.Sprint(s.from.Sub(start), " to ", s.to.Sub(start))
}

// report is what a stager tells of a naming, on its way.
type report struct {
	revision id.Revision
	// age and had are as they were when it was made; made is a moment before that.
	age, had time.Duration
	made     time.Time
}

// datedWorld is a store with processes that learn in every way there is since when versions are named, in virtual time.
type datedWorld struct {
	t   *rapid.T
	now time.Time
	// named are the moments of the versions 2, 3 and so on.
	named   []time.Time
	records []Record
	// away is true while the store can't be reached by anybody.
	away bool
	// blind are the times between a process's last reading and each try in vain after it.
	blind     []span
	processes []*datedProcess
	reports   []report
}

// datedProcess is one of them.
type datedProcess struct {
	world  *datedWorld
	facts  *facts.Facts
	log    *Log
	reader *Reader
	// cut is true while this process alone can't reach the store.
	cut       bool
	steppedAt time.Time
	// follows is how far it has followed each other process.
	follows map[*Log]uint64
}

func (w *datedWorld) clock() time.Time { return w.now }

// start makes a process that knows nothing.
func (w *datedWorld) start() *datedProcess {
	p := &datedProcess{world: w, facts: facts.New(w.clock), follows: map[*Log]uint64{}, steppedAt: w.now}
	p.log = NewLog(Topic{Name: "t", Apply: p.apply}, p.facts, w.clock, quiet)
	p.reader = &Reader{
		store: &Store{Probe: p.answers, Snapshot: p.newest, Read: p.read}, log: p.log, facts: p.facts, gate: &gate{}, now: w.clock,
		own: func() {}, look: p.log, wait: 700 * time.Millisecond,
		claim: func(context.Context, *Log, bool) bool { return true },
	}
	return p
}

func (p *datedProcess) apply(r Record) error {
	if r.Key != "version" {
		return nil
	}
	n, err := strconv.Atoi(string(r.Value))
	p.facts.SetWanted("m", facts.Publication{Revision: id.Revision(n), PublishTime: r.TimeBounds, CompleteUntil: r.UnreadSince})
	return err
}

// reached is a call to the store: it takes its time, and fails where the store can't be reached.
func (p *datedProcess) reached() error {
	if !p.world.away && !p.cut {
		p.world.pass(150, "way")
		return nil
	}
	p.world.pass(2000, "in vain")
	return platform.ErrUnavailable
}

func (p *datedProcess) answers(context.Context, string, id.Position) error {
	return p.reached()
}

func (p *datedProcess) newest(context.Context, string, Progress) ([]Record, id.Position, error) {
	newest := map[string]Record{}
	for _, r := range p.world.records {
		newest[r.Key] = r
	}
	next := id.Position(len(p.world.records))
	var l []Record
	for _, r := range newest {
		l = append(l, r)
	}
	return l, next, p.reached()
}

// read waits for a record. One that is written meanwhile ends the wait, or the store passes the reader over.
func (p *datedProcess) read(_ context.Context, _ string, from id.Position, wait time.Duration) (ReadResult, error) {
	w := p.world
	if p.cut || w.away {
		return ReadResult{}, p.reached()
	}
	if from == id.Position(len(w.records)) && wait > 0 {
		before := time.Duration(rapid.IntRange(0, int(wait.Milliseconds())).Draw(w.t, "written after")) * time.Millisecond
		w.now = w.now.Add(before)
		if rapid.Bool().Draw(w.t, "written") {
			w.name()
		}
		if from == id.Position(len(w.records)) || rapid.IntRange(0, 3).Draw(w.t, "passed over") == 0 {
			w.now = w.now.Add(wait - before)
			return ReadResult{Next: from, End: from}, p.reached()
		}
	}
	l := append([]Record(nil), w.records[from:]...)
	return ReadResult{Records: l, Next: id.Position(len(w.records)), End: id.Position(len(w.records))}, p.reached()
}

// step lets the process ask the store once.
func (p *datedProcess) step() {
	began := p.world.now
	p.reader.stood = p.reader.stood || began.Sub(p.steppedAt) > p.reader.wait+callMost
	if _, err := p.reader.step(context.Background()); err != nil && !errors.Is(err, errRefused) {
		p.reader.whole = true
		p.reader.failed++
		p.reader.tried = began
		if !p.log.settled.IsZero() {
			p.world.blind = append(p.world.blind, span{from: p.log.settled, to: began})
		}
		p.log.NoteStoreFailure(err)
	} else {
		p.reader.stood = false
	}
	p.steppedAt = p.world.now
}

// follow lets the process take what another one holds.
func (p *datedProcess) follow(o *datedProcess) {
	if _, started := o.log.Position(); !started || o == p {
		return
	}
	next, _ := p.log.Position()
	answered := p.world.now
	p.world.pass(300, "way of a question")
	c, _, _ := o.log.ChangesSince(Cursor{Epoch: o.log.epoch, Change: p.follows[o.log], Next: next})
	told := tell("t", c)
	p.world.pass(900, "way of an answer")
	f := &Follower{now: p.world.clock}
	taken, err := f.take(p.log, told, answered)
	if errors.Is(err, errNoBase) || !taken {
		p.follows[o.log] = askWhole
		return
	}
	if err != nil {
		p.world.t.Fatal(err)
	}
	p.follows[o.log] = c.LastChange
}

// tells puts a report of a process on its way.
func (p *datedProcess) tells() {
	w := p.world
	n := p.facts.Wanted("m")
	if n.LearntAt.IsZero() {
		return
	}
	r := report{revision: n.Revision, age: -1, had: w.now.Sub(n.PublishTime.KnownAt)}
	if !n.PublishTime.After.IsZero() {
		r.age = w.now.Sub(n.PublishTime.After)
	}
	if rapid.Bool().Draw(w.t, "echoed") {
		r.made = w.now.Add(-time.Duration(rapid.IntRange(0, 1500).Draw(w.t, "since the stamp")) * time.Millisecond)
	}
	w.reports = append(w.reports, r)
}

// hears takes the oldest report that is on its way, however old it is.
func (p *datedProcess) hears() {
	w := p.world
	if len(w.reports) == 0 {
		return
	}
	r := w.reports[0]
	w.reports = w.reports[1:]
	d := dating.TimeBounds{KnownAt: w.now.Add(-r.had)}
	if r.age >= 0 && !r.made.IsZero() {
		d.After = r.made.Add(-r.age)
	}
	p.facts.MergePublishTime("m", r.revision, d)
}

// pass lets up to a number of milliseconds go by.
func (w *datedWorld) pass(most int, label string) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, most).Draw(w.t, label)) * time.Millisecond)
}

// name writes the naming of one more version.
func (w *datedWorld) name() {
	w.named = append(w.named, w.now)
	w.write("version", strconv.Itoa(len(w.named)+1))
}

func (w *datedWorld) write(key, value string) {
	w.records = append(w.records, Record{Key: key, Value: []byte(value), Position: id.Position(len(w.records))})
}

// allowed is the latest right date of a naming. What came after a process had read last, and before it asked in vain,
// counts from that try: nothing tells whether the store was to be had in between.
func (w *datedWorld) allowed(named time.Time) time.Time {
	latest := named
	for _, b := range w.blind {
		if b.to.Sub(b.from) > awayFor && !named.Before(b.from) && named.Before(b.to) && b.to.After(latest) {
			latest = b.to
		}
	}
	return latest
}

// check looks at the end of each version's time at each process.
func (w *datedWorld) check() {
	const within = time.Minute
	for i, p := range w.processes {
		newest := p.facts.Wanted("m").Revision
		if had := p.facts.Wanted("m").PublishTime.KnownAt; newest > 1 && had.Before(w.named[newest-2]) {
			w.t.Fatalf("process %d: version %d, named at %v, is taken to be known at %v", i, newest, w.named[newest-2].Sub(start), had.Sub(start))
		}
		for v := id.Revision(1); v < newest; v++ {
			until := p.facts.ServableUntil("m", v, within)
			if named := w.named[v-1]; until.After(w.allowed(named).Add(within)) {
				w.t.Fatalf("process %d: version %d, named at %v, is dated %v by %+v; blind: %v", i, v+1, named.Sub(start),
					until.Add(-within).Sub(start), p.facts.Wanted("m").PublishTime.Source, w.blind)
			}
		}
	}
}

var _ = Describe("the date of a naming", func() {
	It("is never later than the naming, beside the time in which nobody could read it, in whatever way a process learns it", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			w := &datedWorld{t: t, now: start}
			w.write("config", "1")
			for range 3 {
				w.processes = append(w.processes, w.start())
			}
			draw := func() *datedProcess { return rapid.SampledFrom(w.processes).Draw(t, "process") }
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				switch act := rapid.IntRange(0, 13).Draw(t, "act"); act {
				case 0:
					if !w.away {
						w.name()
					}
				case 1:
					w.write("config", fmt.Sprint(len(w.records)))
				case 2:
					w.away = !w.away
				case 3:
					p := draw()
					p.cut = !p.cut
				case 4:
					w.processes[rapid.IntRange(0, 2).Draw(t, "restarted")] = w.start()
				case 5, 6:
					draw().follow(draw())
				case 7:
					draw().tells()
				case 8:
					draw().hears()
				case 9:
					w.pass(1500, "pause")
				default:
					draw().step()
				}
				w.check()
			}
		})
	})
})
