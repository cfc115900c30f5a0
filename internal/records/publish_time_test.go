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

// start is when each simulation begins.
var start = time.Unix(1000, 0)

// span is a time interval.
type span struct {
	from, to time.Time
}

// String formats the interval relative to start, for failure messages.
func (s span) String() string {
	return fmt.Sprint(s.from.Sub(start), " to ", s.to.Sub(start))
}

// report is a stager's report of a publication, in transfer.
type report struct {
	revision id.Revision
	// age and knownAge are relative to when the report was made; madeAfter is a time before that, zero if unknown.
	age, knownAge time.Duration
	madeAfter     time.Time
}

// dateModel simulates a store and processes in virtual time. The processes learn when versions were published from
// reads of the store, from each other and from reports.
type dateModel struct {
	t   *rapid.T
	now time.Time
	// publishedAt holds the publication times of version 2, 3 and so on.
	publishedAt []time.Time
	records     []Record
	// outage is true while no process can reach the store.
	outage bool
	// blindSpans are the intervals between a process's last read and each failed request after it.
	blindSpans []span
	processes  []*dateProcess
	reports    []report
}

// dateProcess is a process of the model.
type dateProcess struct {
	model  *dateModel
	facts  *facts.Facts
	log    *Log
	reader *Reader
	// cutOff is true while only this process cannot reach the store.
	cutOff    bool
	steppedAt time.Time
	// lastChanges is the last change received from each other process.
	lastChanges map[*Log]uint64
}

func (w *dateModel) clock() time.Time { return w.now }

// start returns a process that has read nothing.
func (w *dateModel) start() *dateProcess {
	p := &dateProcess{model: w, facts: facts.New(w.clock), lastChanges: map[*Log]uint64{}, steppedAt: w.now}
	p.log = NewLog(Topic{Name: "t", Apply: p.apply}, p.facts, w.clock, silentLogger)
	p.reader = &Reader{
		store: &Store{Probe: p.probe, Snapshot: p.snapshot, Read: p.read}, log: p.log, facts: p.facts, gate: &gate{}, now: w.clock,
		onStoreRead: func() {}, probeLog: p.log, wait: 700 * time.Millisecond,
		requestLease: func(context.Context, *Log, bool) bool { return true },
	}
	return p
}

func (p *dateProcess) apply(r Record) error {
	if r.Key != "version" {
		return nil
	}
	n, err := strconv.Atoi(string(r.Value))
	p.facts.SetWanted("m", facts.Publication{Revision: id.Revision(n), PublishTime: r.TimeBounds, CompleteUntil: r.UnreadSince})
	return err
}

// call simulates the time and the result of a call to the store.
func (p *dateProcess) call() error {
	if !p.model.outage && !p.cutOff {
		p.model.pass(150, "call time")
		return nil
	}
	p.model.pass(2000, "failed call")
	return platform.ErrUnavailable
}

func (p *dateProcess) probe(context.Context, string, id.Position) error {
	return p.call()
}

func (p *dateProcess) snapshot(context.Context, string, Progress) ([]Record, id.Position, error) {
	newest := map[string]Record{}
	for _, r := range p.model.records {
		newest[r.Key] = r
	}
	next := id.Position(len(p.model.records))
	var l []Record
	for _, r := range newest {
		l = append(l, r)
	}
	return l, next, p.call()
}

// read waits for a record. A record written meanwhile ends the wait, unless the store fails to wake the reader.
func (p *dateProcess) read(_ context.Context, _ string, from id.Position, wait time.Duration) (ReadResult, error) {
	w := p.model
	if p.cutOff || w.outage {
		return ReadResult{}, p.call()
	}
	if from == id.Position(len(w.records)) && wait > 0 {
		elapsed := time.Duration(rapid.IntRange(0, int(wait.Milliseconds())).Draw(w.t, "written after")) * time.Millisecond
		w.now = w.now.Add(elapsed)
		if rapid.Bool().Draw(w.t, "written") {
			w.publish()
		}
		if from == id.Position(len(w.records)) || rapid.IntRange(0, 3).Draw(w.t, "not woken") == 0 {
			w.now = w.now.Add(wait - elapsed)
			return ReadResult{Next: from, End: from}, p.call()
		}
	}
	l := append([]Record(nil), w.records[from:]...)
	return ReadResult{Records: l, Next: id.Position(len(w.records)), End: id.Position(len(w.records))}, p.call()
}

// step makes the process read the store once.
func (p *dateProcess) step() {
	began := p.model.now
	p.reader.stalled = p.reader.stalled || began.Sub(p.steppedAt) > p.reader.wait+maxCallTime
	if _, err := p.reader.readOnce(context.Background()); err != nil && !errors.Is(err, errLeaseRefused) {
		p.reader.needsSnapshot = true
		p.reader.failures++
		p.reader.lastTryAt = began
		if !p.log.caughtUpAt.IsZero() {
			p.model.blindSpans = append(p.model.blindSpans, span{from: p.log.caughtUpAt, to: began})
		}
		p.log.NoteStoreFailure(err)
	} else {
		p.reader.stalled = false
	}
	p.steppedAt = p.model.now
}

// follow makes the process merge what another one holds.
func (p *dateProcess) follow(o *dateProcess) {
	if _, started := o.log.Position(); !started || o == p {
		return
	}
	next, _ := p.log.Position()
	answeredAt := p.model.now
	p.model.pass(300, "request in transfer")
	c, _, _ := o.log.ChangesSince(Cursor{Epoch: o.log.epoch, Change: p.lastChanges[o.log], Next: next})
	answer := topicChanges("t", c)
	p.model.pass(900, "answer in transfer")
	f := &Follower{now: p.model.clock}
	merged, err := f.mergeChanges(p.log, answer, answeredAt)
	if errors.Is(err, errNoPatchBase) || !merged {
		p.lastChanges[o.log] = requestSnapshot
		return
	}
	if err != nil {
		p.model.t.Fatal(err)
	}
	p.lastChanges[o.log] = c.LastChange
}

// sendReport puts a report of the process in transfer.
func (p *dateProcess) sendReport() {
	w := p.model
	n := p.facts.Wanted("m")
	if n.LearntAt.IsZero() {
		return
	}
	r := report{revision: n.Revision, age: -1, knownAge: w.now.Sub(n.PublishTime.KnownAt)}
	if !n.PublishTime.After.IsZero() {
		r.age = w.now.Sub(n.PublishTime.After)
	}
	if rapid.Bool().Draw(w.t, "echoed") {
		r.madeAfter = w.now.Add(-time.Duration(rapid.IntRange(0, 1500).Draw(w.t, "since the stamp")) * time.Millisecond)
	}
	w.reports = append(w.reports, r)
}

// receiveReport merges the oldest report in transfer, regardless of its age.
func (p *dateProcess) receiveReport() {
	w := p.model
	if len(w.reports) == 0 {
		return
	}
	r := w.reports[0]
	w.reports = w.reports[1:]
	d := dating.TimeBounds{KnownAt: w.now.Add(-r.knownAge)}
	if r.age >= 0 && !r.madeAfter.IsZero() {
		d.After = r.madeAfter.Add(-r.age)
	}
	p.facts.MergePublishTime("m", r.revision, d)
}

// pass advances the time by up to limit milliseconds.
func (w *dateModel) pass(limit int, label string) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, limit).Draw(w.t, label)) * time.Millisecond)
}

// publish writes the next version.
func (w *dateModel) publish() {
	w.publishedAt = append(w.publishedAt, w.now)
	w.write("version", strconv.Itoa(len(w.publishedAt)+1))
}

func (w *dateModel) write(key, value string) {
	w.records = append(w.records, Record{Key: key, Value: []byte(value), Position: id.Position(len(w.records))})
}

// latestAllowed returns the latest correct date of a publication. A version published between a process's last read and
// a later failed request is dated by that request: nothing shows whether the store was available in between.
func (w *dateModel) latestAllowed(published time.Time) time.Time {
	latest := published
	for _, b := range w.blindSpans {
		if b.to.Sub(b.from) > outageThreshold && !published.Before(b.from) && published.Before(b.to) && b.to.After(latest) {
			latest = b.to
		}
	}
	return latest
}

// check verifies, at each process, until when each version may serve.
func (w *dateModel) check() {
	const validity = time.Minute
	for i, p := range w.processes {
		newest := p.facts.Wanted("m").Revision
		if knownAt := p.facts.Wanted("m").PublishTime.KnownAt; newest > 1 && knownAt.Before(w.publishedAt[newest-2]) {
			w.t.Fatalf("process %d: version %d, published at %v, has the upper bound %v", i, newest, w.publishedAt[newest-2].Sub(start), knownAt.Sub(start))
		}
		for v := id.Revision(1); v < newest; v++ {
			until := p.facts.ServableUntil("m", v, validity)
			if published := w.publishedAt[v-1]; until.After(w.latestAllowed(published).Add(validity)) {
				w.t.Fatalf("process %d: version %d, published at %v, is dated %v by %+v; blind spans: %v", i, v+1, published.Sub(start),
					until.Add(-validity).Sub(start), p.facts.Wanted("m").PublishTime.Source, w.blindSpans)
			}
		}
	}
}

var _ = Describe("the lower time bound of a publication", func() {
	It("is never after the publication, except for an outage of the store, however a process learns of it", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			w := &dateModel{t: t, now: start}
			w.write("config", "1")
			for range 3 {
				w.processes = append(w.processes, w.start())
			}
			draw := func() *dateProcess { return rapid.SampledFrom(w.processes).Draw(t, "process") }
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				switch action := rapid.IntRange(0, 13).Draw(t, "act"); action {
				case 0:
					if !w.outage {
						w.publish()
					}
				case 1:
					w.write("config", fmt.Sprint(len(w.records)))
				case 2:
					w.outage = !w.outage
				case 3:
					p := draw()
					p.cutOff = !p.cutOff
				case 4:
					w.processes[rapid.IntRange(0, 2).Draw(t, "restarted")] = w.start()
				case 5, 6:
					draw().follow(draw())
				case 7:
					draw().sendReport()
				case 8:
					draw().receiveReport()
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
