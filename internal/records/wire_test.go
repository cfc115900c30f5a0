package records

import (
	"context"
	"expvar"
	"fmt"
	"maps"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
)

// relayModel simulates a store and processes that read it and follow each other by wire messages. Its clock advances
// while messages are in transfer.
type relayModel struct {
	now       time.Time
	records   []Record
	writtenAt []time.Time
	firstKept id.Position
	processes map[string]*relayProcess
	tick      func()
	trace     []string
}

// relayProcess is one process of the model.
type relayProcess struct {
	model *relayModel
	name  string
	log   *Log
	// emptyLog is the log of a topic without records.
	emptyLog *Log
	service  *Service
	follower *Follower
	values   map[string]string
	// delayed is an answer of the store in transfer.
	delayed *Batch
	// dateError describes the first record that was dated after it was written.
	dateError string
}

func newRelayModel(n int) *relayModel {
	w := &relayModel{now: time.Now(), processes: map[string]*relayProcess{}, tick: func() {}}
	for i := range n {
		p := &relayProcess{model: w, name: fmt.Sprint("p", i), values: map[string]string{}}
		clock := func() time.Time { return w.now }
		p.log = NewLog(Topic{Name: "t", Apply: p.apply}, facts.New(clock), clock, silentLogger)
		p.emptyLog = NewLog(Topic{Name: "u", Apply: func(Record) error { return nil }}, facts.New(clock), clock, silentLogger)
		p.emptyLog.epoch = p.log.epoch
		logs := []*Log{p.log, p.emptyLog}
		p.service = &Service{logs: logs, origin: newOrigin(p.name, clock), hint: newSourceHint(clock), domain: "d", now: clock}
		p.follower = &Follower{
			logs: logs, upstreamsGate: &gate{}, operatorsGate: &gate{}, origin: p.service.origin, self: p.name, domain: "d", now: clock, log: silentLogger,
			metrics: new(expvar.Map), avoidUntil: map[string]time.Time{}, followsThisUntil: map[string]time.Time{}, withoutStoreUntil: map[string]time.Time{}, nextSnapshotAt: map[string]time.Time{}, hint: p.service.hint,
			gateways: func() []string { return nil },
			ask: func(ctx context.Context, a string, q *pb.FollowRequest) (*pb.FollowResponse, error) {
				q.WaitMs = 0
				w.tick()
				m, err := w.processes[a].service.Follow(ctx, q)
				w.tick()
				return m, err
			},
		}
		w.processes[p.name] = p
	}
	return w
}

func (p *relayProcess) apply(r Record) error {
	if r.Value == nil {
		delete(p.values, r.Key)
		return nil
	}
	p.values[r.Key] = string(r.Value)
	if at := p.model.writtenAt[r.Position]; p.dateError == "" && (r.After.After(at) || r.UnreadSince.After(at)) {
		p.dateError = fmt.Sprintf("%s dates %s@%d %v after it was written", p.name, r.Key, r.Position, max(r.After.Sub(at), r.UnreadSince.Sub(at)))
	}
	return nil
}

func (w *relayModel) write(key, value string) {
	r := Record{Key: key, Position: id.Position(len(w.records))}
	if value != "" {
		r.Value = []byte(value)
	}
	w.records, w.writtenAt = append(w.records, r), append(w.writtenAt, w.now)
	w.trace = append(w.trace, fmt.Sprintf("%s=%s@%d", key, value, r.Position))
}

func (w *relayModel) expected() map[string]string {
	m := map[string]string{}
	for _, r := range w.records {
		if r.Value == nil {
			delete(m, r.Key)
			continue
		}
		m[r.Key] = string(r.Value)
	}
	return m
}

// readStore requests records from the store; a partial answer brings one record and leaves the rest.
func (p *relayProcess) readStore(snapshot, partial bool) Batch {
	w := p.model
	requestedAt := w.now
	w.tick()
	defer w.tick()
	next, started := p.log.Position()
	end := id.Position(len(w.records))
	b := Batch{FromStore: true, Next: end, CaughtUpAt: requestedAt}
	if snapshot || !started || next < w.firstKept {
		b.Snapshot = true
		newest := map[string]Record{}
		for _, r := range w.records {
			newest[r.Key] = r
		}
		for _, r := range newest {
			if r.Value != nil {
				b.Records = append(b.Records, r)
			}
		}
		return b
	}
	if partial && end > next+1 {
		b.Next, b.CaughtUpAt = next+1, time.Time{}
	}
	b.Records = append(b.Records, w.records[next:b.Next]...)
	return b
}

func (p *relayProcess) merge(b Batch) {
	if !b.CaughtUpAt.IsZero() {
		b.ConfirmedAt = p.model.now
	}
	p.log.Merge(b)
	p.emptyLog.Merge(Batch{Snapshot: true, ConfirmedAt: p.model.now, FromStore: true, Uninterrupted: true})
	p.service.origin.setFromStore()
}

// follow polls another process the given number of times.
func (p *relayProcess) follow(name string, polls int) {
	for range polls {
		if err := p.follower.followOnce(context.Background(), name); err != nil {
			return
		}
	}
}

// step executes a random step.
func (w *relayModel) step(t *rapid.T) {
	n := rapid.IntRange(0, len(w.processes)-1).Draw(t, "process")
	p := w.processes[fmt.Sprint("p", n)]
	s := rapid.SampledFrom([]string{
		"write", "write", "drop", "forget", "read", "read", "parts", "whole", "follow", "follow", "follow", "ask", "answer", "tick",
	}).Draw(t, "step")
	w.trace = append(w.trace, p.name+" "+s)
	key := rapid.SampledFrom([]string{"k", "l"}).Draw(t, "key")
	switch s {
	case "write":
		w.write(key, rapid.SampledFrom([]string{"x", "y"}).Draw(t, "value"))
	case "drop":
		w.write(key, "")
	case "forget":
		w.firstKept = id.Position(len(w.records))
	case "read", "parts", "whole":
		p.merge(p.readStore(s == "whole", s == "parts"))
	case "follow":
		o := (n + rapid.IntRange(1, len(w.processes)-1).Draw(t, "source")) % len(w.processes)
		w.trace = append(w.trace, fmt.Sprint("of ", o))
		p.follow(fmt.Sprint("p", o), 1)
	case "ask":
		b := p.readStore(rapid.Bool().Draw(t, "whole"), false)
		p.delayed = &b
	case "answer":
		if p.delayed != nil {
			p.merge(*p.delayed)
			p.delayed = nil
		}
	case "tick":
		w.tick()
	}
}

var _ = Describe("processes that follow each other by wire messages", func() {
	It("reach the store's state, also through a third process, and date no record after it was written", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			w := newRelayModel(3)
			w.tick = func() { w.now = w.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond) }
			for range rapid.IntRange(5, 40).Draw(t, "steps") {
				w.step(t)
			}
			w.now = w.now.Add(2 * snapshotRetryPause)
			w.tick = func() {}
			p := w.processes
			p["p0"].merge(p["p0"].readStore(false, false))
			p["p1"].follow("p0", 3)
			p["p2"].follow("p1", 3)
			for _, r := range p {
				if r.dateError != "" {
					t.Fatalf("%s, after %v", r.dateError, w.trace)
				}
				if !maps.Equal(r.values, w.expected()) {
					t.Fatalf("%s has %v, the store %v, after %v", r.name, r.values, w.expected(), w.trace)
				}
			}
		})
	})

	It("detect a lost change by the digest, in one request, and count it", func() {
		w := newRelayModel(2)
		w.write("u", "ready")
		p, q := w.processes["p0"], w.processes["p1"]
		p.merge(p.readStore(false, false))
		q.follow("p0", 1)
		w.write("u", "")
		p.merge(p.readStore(false, false))
		q.follower.lastChanges[0], q.log.next = p.log.lastChange, p.log.next // the answer with that change is lost
		q.follow("p0", 1)
		Expect(q.values).To(HaveKey("u"))
		q.follow("p0", 1)
		Expect(q.values).To(BeEmpty())
		Expect(q.follower.metrics.Get("differed").String()).To(Equal("1"))
	})

	It("limit the rate of snapshot requests, for each topic separately", func() {
		w := newRelayModel(2)
		p, q := w.processes["p0"], w.processes["p1"]
		p.merge(p.readStore(false, false))
		q.follow("p0", 1)
		q.log.digest++
		q.follow("p0", 5)
		Expect(q.follower.metrics.Get("differed").String()).To(Equal("1"))
		q.follower.logs[1].digest++
		q.follow("p0", 1)
		Expect(q.follower.metrics.Get("differed").String()).To(Equal("2"))
		w.now = w.now.Add(snapshotRetryPause)
		p.merge(p.readStore(false, false))
		q.follow("p0", 1)
		Expect(q.follower.metrics.Get("differed").String()).To(Equal("4"))
	})

	It("count the time that a source needs for an answer as age, not as transfer time", func() {
		w := newRelayModel(2)
		p := w.processes["p0"]
		p.merge(p.readStore(false, false))
		p.log.mu.Lock()
		go func() {
			time.Sleep(50 * time.Millisecond)
			p.log.mu.Unlock()
		}()
		a, err := p.service.Follow(context.Background(), &pb.FollowRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(a.GetHeldMs()).To(BeNumerically("<", 20))
	})
})
