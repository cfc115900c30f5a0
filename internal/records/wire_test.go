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

// fleet is a store and processes that read it and follow each other by the messages that go over the wire, in a time of its
// own that passes while questions and answers are on their way.
type fleet struct {
	now       time.Time
	records   []Record
	written   []time.Time
	first     id.Position
	processes map[string]*relay
	tick      func()
	did       []string
}

// relay is one process of a fleet.
type relay struct {
	fleet *fleet
	name  string
	log   *Log
	// other is a topic in which nothing is written.
	other   *Log
	service *Service
	follows *Follower
	got     map[string]string
	// late is an answer of the store that is on its way.
	late *Batch
	// dated is the first record whose moment before it was written is after that.
	dated string
}

func newFleet(n int) *fleet {
	w := &fleet{now: time.Now(), processes: map[string]*relay{}, tick: func() {}}
	for i := range n {
		p := &relay{fleet: w, name: fmt.Sprint("p", i), got: map[string]string{}}
		clock := func() time.Time { return w.now }
		p.log = NewLog(Topic{Name: "t", Apply: p.apply}, facts.New(clock), clock, quiet)
		p.other = NewLog(Topic{Name: "u", Apply: func(Record) error { return nil }}, facts.New(clock), clock, quiet)
		p.other.epoch = p.log.epoch
		logs := []*Log{p.log, p.other}
		p.service = &Service{logs: logs, origin: newOrigin(p.name, clock), hint: newHint(clock), domain: "d"}
		p.follows = &Follower{
			logs: logs, gate: &gate{}, long: &gate{}, origin: p.service.origin, self: p.name, domain: "d", now: clock, log: quiet,
			vars: new(expvar.Map), blamed: map[string]time.Time{}, behind: map[string]time.Time{}, lacking: map[string]time.Time{}, wholeAgain: map[string]time.Time{}, hint: p.service.hint,
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

func (p *relay) apply(r Record) error {
	if r.Value == nil {
		delete(p.got, r.Key)
		return nil
	}
	p.got[r.Key] = string(r.Value)
	if at := p.fleet.written[r.Position]; p.dated == "" && (r.After.After(at) || r.UnreadSince.After(at)) {
		p.dated = fmt.Sprintf("%s dates %s@%d %v after it was written", p.name, r.Key, r.Position, max(r.After.Sub(at), r.UnreadSince.Sub(at)))
	}
	return nil
}

func (w *fleet) write(key, value string) {
	r := Record{Key: key, Position: id.Position(len(w.records))}
	if value != "" {
		r.Value = []byte(value)
	}
	w.records, w.written = append(w.records, r), append(w.written, w.now)
	w.did = append(w.did, fmt.Sprintf("%s=%s@%d", key, value, r.Position))
}

func (w *fleet) state() map[string]string {
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

// ask asks the store; an answer in parts brings one record and leaves the rest.
func (p *relay) ask(whole, parts bool) Batch {
	w := p.fleet
	asked := w.now
	w.tick()
	defer w.tick()
	next, started := p.log.Position()
	end := id.Position(len(w.records))
	b := Batch{FromStore: true, Next: end, CaughtUpAt: asked}
	if whole || !started || next < w.first {
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
	if parts && end > next+1 {
		b.Next, b.CaughtUpAt = next+1, time.Time{}
	}
	b.Records = append(b.Records, w.records[next:b.Next]...)
	return b
}

func (p *relay) take(b Batch) {
	if !b.CaughtUpAt.IsZero() {
		b.ConfirmedAt = p.fleet.now
	}
	p.log.Merge(b)
	p.other.Merge(Batch{Snapshot: true, ConfirmedAt: p.fleet.now, FromStore: true, Uninterrupted: true})
	p.service.origin.setOwn()
}

// follow asks another process until it has what that one has.
func (p *relay) follow(name string, times int) {
	for range times {
		if err := p.follows.follow(context.Background(), name); err != nil {
			return
		}
	}
}

// step draws what happens next.
func (w *fleet) step(t *rapid.T) {
	n := rapid.IntRange(0, len(w.processes)-1).Draw(t, "process")
	p := w.processes[fmt.Sprint("p", n)]
	s := rapid.SampledFrom([]string{
		"write", "write", "drop", "forget", "read", "read", "parts", "whole", "follow", "follow", "follow", "ask", "answer", "tick",
	}).Draw(t, "step")
	w.did = append(w.did, p.name+" "+s)
	key := rapid.SampledFrom([]string{"k", "l"}).Draw(t, "key")
	switch s {
	case "write":
		w.write(key, rapid.SampledFrom([]string{"x", "y"}).Draw(t, "value"))
	case "drop":
		w.write(key, "")
	case "forget":
		w.first = id.Position(len(w.records))
	case "read", "parts", "whole":
		p.take(p.ask(s == "whole", s == "parts"))
	case "follow":
		o := (n + rapid.IntRange(1, len(w.processes)-1).Draw(t, "source")) % len(w.processes)
		w.did = append(w.did, fmt.Sprint("of ", o))
		p.follow(fmt.Sprint("p", o), 1)
	case "ask":
		b := p.ask(rapid.Bool().Draw(t, "whole"), false)
		p.late = &b
	case "answer":
		if p.late != nil {
			p.take(*p.late)
			p.late = nil
		}
	case "tick":
		w.tick()
	}
}

var _ = Describe("processes that follow each other over the wire", func() {
	It("come to the store's state, through a third one too, and date no record after it was written", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			w := newFleet(3)
			w.tick = func() { w.now = w.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond) }
			for range rapid.IntRange(5, 40).Draw(t, "steps") {
				w.step(t)
			}
			w.now = w.now.Add(2 * differPause)
			w.tick = func() {}
			p := w.processes
			p["p0"].take(p["p0"].ask(false, false))
			p["p1"].follow("p0", 3)
			p["p2"].follow("p1", 3)
			for _, r := range p {
				if r.dated != "" {
					t.Fatalf("%s, after %v", r.dated, w.did)
				}
				if !maps.Equal(r.got, w.state()) {
					t.Fatalf("%s has %v, the store %v, after %v", r.name, r.got, w.state(), w.did)
				}
			}
		})
	})

	It("find a word that was lost on the way by the digest, within a question, and count it", func() {
		w := newFleet(2)
		w.write("u", "ready")
		p, q := w.processes["p0"], w.processes["p1"]
		p.take(p.ask(false, false))
		q.follow("p0", 1)
		w.write("u", "")
		p.take(p.ask(false, false))
		q.follows.from[0], q.log.next = p.log.changes, p.log.next // the answer that told it is lost
		q.follow("p0", 1)
		Expect(q.got).To(HaveKey("u"))
		q.follow("p0", 1)
		Expect(q.got).To(BeEmpty())
		Expect(q.follows.vars.Get("differed").String()).To(Equal("1"))
	})

	It("ask for a topic as a whole again and again only after a while, and for each on its own", func() {
		w := newFleet(2)
		p, q := w.processes["p0"], w.processes["p1"]
		p.take(p.ask(false, false))
		q.follow("p0", 1)
		q.log.digest++
		q.follow("p0", 5)
		Expect(q.follows.vars.Get("differed").String()).To(Equal("1"))
		q.follows.logs[1].digest++
		q.follow("p0", 1)
		Expect(q.follows.vars.Get("differed").String()).To(Equal("2"))
		w.now = w.now.Add(differPause)
		p.take(p.ask(false, false))
		q.follow("p0", 1)
		Expect(q.follows.vars.Get("differed").String()).To(Equal("4"))
	})

	It("count the time that a source needs for an answer as age, not as its way", func() {
		w := newFleet(2)
		p := w.processes["p0"]
		p.take(p.ask(false, false))
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
