package records

import (
	"context"
	"expvar"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/platform"
)

// claimant is one of the processes that claim the turn to read a topic, in a model whose steps are questions and answers.
type claimant struct {
	*turn
	// ask are the processes to ask, in the order of the claim, and asked those that have been.
	ask   []string
	asked map[string]bool
	// fails says that its last try at the store has failed.
	fails bool
	// gone is true of a process that has crashed or stands still: it answers nothing and does nothing.
	gone bool
}

// claimants are a failure domain in which messages may be lost.
type claimants struct {
	now time.Time
	all map[string]*claimant
	did []string
}

func newClaimants(n int) *claimants {
	m := &claimants{now: time.Unix(1000, 0), all: map[string]*claimant{}}
	for i := range n {
		name := fmt.Sprint("p", i)
		m.all[name] = &claimant{turn: newTurn(name, "d", func() time.Time { return m.now })}
	}
	return m
}

func (m *claimants) begin(c *claimant) {
	c.asked, c.ask = map[string]bool{c.self: true}, nil
	for name := range m.all {
		c.ask = append(c.ask, name)
	}
	c.ask = append(c.ask, c.claim(c.fails)...)
}

// question asks the next process of a claim; a lost one counts as agreed, as does a process that is gone.
func (m *claimants) question(c *claimant, lost bool) {
	name := c.ask[0]
	c.ask = c.ask[1:]
	if name == "" || c.asked[name] {
		return
	}
	c.asked[name] = true
	to := m.all[name]
	if to.gone || lost {
		return
	}
	a := to.answer(c.self, c.fails)
	if a.GetRefused() {
		c.end()
		c.ask = nil
		return
	}
	c.ask = append(c.ask, a.GetRivals()...)
}

// reads counts the processes that read and have not gone.
func (m *claimants) reads() (n int) {
	for _, c := range m.all {
		if !c.gone && c.reading() {
			n++
		}
	}
	return n
}

// step draws what a process does next: it claims, asks the next one, begins once it has asked all, gets bytes, ends or crashes.
func (m *claimants) step(t *rapid.T, crashes bool) {
	name := fmt.Sprint("p", rapid.IntRange(0, len(m.all)-1).Draw(t, "process"))
	c := m.all[name]
	if c.gone {
		return
	}
	c.mu.Lock()
	state := c.state
	c.mu.Unlock()
	does := map[turnState][]string{
		turnNone: {"claim"}, turnClaimed: {"ask", "ask", "ask"}, turnReading: {"bytes", "bytes", "end"},
	}[state]
	if crashes {
		does = append(does, "crash")
	}
	s := rapid.SampledFrom(append(does, "time")).Draw(t, "step")
	m.did = append(m.did, name+" "+s)
	switch s {
	case "claim":
		c.fails = rapid.Bool().Draw(t, "fails")
		m.begin(c)
	case "ask":
		if len(c.ask) == 0 {
			c.turn.begin()
			return
		}
		m.question(c, false)
	case "bytes":
		c.progress(1)
	case "end":
		c.end()
	case "crash":
		c.gone = true
	case "time":
		m.pass(50 * time.Millisecond)
	}
}

// pass lets time pass, in which a reading goes on unless its process has gone.
func (m *claimants) pass(d time.Duration) {
	m.now = m.now.Add(d)
	for _, c := range m.all {
		if !c.gone {
			c.progress(1)
		}
	}
}

var _ = Describe("the turn to read a topic whole", func() {
	It("is one process's at a time, in whichever order claims, questions and answers come, also where processes crash", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			m := newClaimants(rapid.IntRange(2, 4).Draw(t, "processes"))
			crashes := rapid.Bool().Draw(t, "crashes")
			for range rapid.IntRange(5, 120).Draw(t, "steps") {
				m.step(t, crashes)
				if n := m.reads(); n > 1 {
					t.Fatalf("%d processes read after %v", n, m.did)
				}
			}
		})
	})

	// Of processes that claim again and again one reads: none waits for another one that waits.
	It("is somebody's soon, whoever claims and however their questions meet", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			m := newClaimants(rapid.IntRange(2, 4).Draw(t, "processes"))
			for range rapid.IntRange(0, 60).Draw(t, "steps before") {
				m.step(t, true)
			}
			for _, c := range m.all {
				if c.reading() || c.gone {
					// It crashed in its reading, and its word is believed no longer.
					c.gone = true
				}
			}
			m.now = m.now.Add(quietMost)
			for round := range 4 {
				order := rapid.Permutation([]string{"p0", "p1", "p2", "p3"}[:len(m.all)]).Draw(t, fmt.Sprint("order ", round))
				for _, name := range order {
					if c := m.all[name]; !c.gone && !c.reading() {
						m.begin(c)
					}
				}
				for range 3 * len(m.all) {
					for _, name := range order {
						c := m.all[name]
						if !c.gone && len(c.ask) > 0 {
							m.question(c, false)
						}
					}
				}
				for _, name := range order {
					if c := m.all[name]; !c.gone {
						c.turn.begin()
					}
				}
				m.pass(retryPause)
			}
			alive := 0
			for _, c := range m.all {
				if !c.gone {
					alive++
				}
			}
			if alive > 0 && m.reads() != 1 {
				t.Fatalf("%d processes of %d read after %v", m.reads(), alive, m.did)
			}
		})
	})

	It("is taken over from a reader whose bytes have stopped, and kept by one whose bytes come", func() {
		now := time.Unix(1000, 0)
		t := newTurn("a", "d", func() time.Time { return now })
		t.claim(false)
		Expect(t.begin()).To(BeTrue())
		now = now.Add(quietMost - time.Millisecond)
		Expect(t.answer("b", false).GetRefused()).To(BeTrue())
		t.progress(100)
		now = now.Add(quietMost - time.Millisecond)
		Expect(t.answer("b", false).GetRefused()).To(BeTrue())
		Expect(t.tell(true).GetBytes()).To(Equal(int64(100)))
		now = now.Add(time.Millisecond)
		Expect(t.answer("b", false).GetRefused()).To(BeFalse())
	})
})

var _ = Describe("a claim", func() {
	It("of a process that the store has just turned away goes behind those of others, whatever their order", func() {
		clock := func() time.Time { return time.Unix(1000, 0) }
		first, second := newTurn("a", "d", clock), newTurn("b", "d", clock)
		if !first.before("a", "b") {
			first, second = second, first
		}
		for _, failed := range []bool{false, true} {
			first.claim(failed)
			Expect(first.answer(second.self, false).GetRefused()).To(Equal(!failed))
			second.claim(failed)
			Expect(second.answer(first.self, false).GetRefused()).To(BeFalse())
		}
	})

	It("is named to later claimants of its own failure domain and topic alone, for a while, and in a bounded number", func() {
		now := time.Unix(1000, 0)
		e := &elsewhere{now: func() time.Time { return now }, of: map[elsewhereTopic]rivals{}}
		claimed := func(domain, topic, name string) []string {
			return e.claimed(&pb.Claim{Domain: domain, Topic: topic, Claimant: name})
		}
		Expect(claimed("d", "op", "a")).To(BeEmpty())
		Expect(claimed("d", "op", "b")).To(ConsistOf("a"))
		Expect(claimed("d", "op", "a")).To(ConsistOf("b"))
		Expect(claimed("e", "op", "c")).To(BeEmpty())
		Expect(claimed("d", "up", "c")).To(BeEmpty())
		for n := range 3 * mostRivals {
			claimed("d", "op", fmt.Sprint("more-", n))
		}
		Expect(claimed("d", "op", "last")).To(HaveLen(mostRivals))
		now = now.Add(rivalFor + time.Millisecond)
		Expect(claimed("d", "op", "b")).To(BeEmpty())
		for n := range 3 * mostElsewhere {
			claimed(fmt.Sprint("domain-", n), "op", "a")
		}
		Expect(e.of).To(HaveLen(mostElsewhere))
	})
})

var _ = Describe("a follower of a process that reads a topic", func() {
	var f *Follower
	var source *Service
	var now time.Time
	BeforeEach(func() {
		now = time.Now()
		clock := func() time.Time { return now }
		logs := func(self string) []*Log {
			l := []*Log{
				NewLog(Topic{Name: "op", Apply: func(Record) error { return nil }}, facts.New(clock), clock, quiet),
				NewLog(Topic{Name: "up", Apply: func(Record) error { return nil }, KeysAreUpstreams: true}, facts.New(clock), clock, quiet),
			}
			l[1].epoch = l[0].epoch
			for _, one := range l {
				one.turn = newTurn(self, "d", clock)
			}
			return l
		}
		source = &Service{logs: logs("source"), origin: newOrigin("source", clock), hint: newHint(clock), domain: "d"}
		f = &Follower{
			logs: logs("self"), gate: &gate{}, long: &gate{}, origin: newOrigin("self", clock), self: "self", domain: "d", now: clock, log: quiet,
			vars: new(expvar.Map), hint: newHint(clock), blamed: map[string]time.Time{}, behind: map[string]time.Time{}, lacking: map[string]time.Time{}, wholeAgain: map[string]time.Time{},
			gateways: func() []string { return []string{"source"} }, peers: func() []string { return nil },
			ask: func(ctx context.Context, a string, q *pb.FollowRequest) (*pb.FollowResponse, error) {
				if a != "source" {
					return nil, platform.ErrUnavailable
				}
				q.WaitMs = 0
				return source.Follow(ctx, q)
			},
		}
	})
	whole := func(l *Log, n int) {
		l.Merge(Batch{Snapshot: true, FromStore: true, Next: id.Position(n), ConfirmedAt: now, CaughtUpAt: now, Records: []Record{{Key: "k", Value: []byte("v"), Position: id.Position(n - 1)}}})
	}
	follow := func() error { return f.follow(context.Background(), "source") }

	It("waits for it while its bytes come, takes the other topic meanwhile, and gets the whole at its end", func() {
		Expect(follow()).NotTo(Succeed(), "it has nothing and reads nothing")
		source.logs[0].turn.claim(false)
		source.logs[0].turn.begin()
		whole(source.logs[1], 1)
		Expect(follow()).To(Succeed())
		_, started := f.logs[1].Position()
		Expect(started).To(BeTrue())
		_, started = f.logs[0].Position()
		Expect(started).To(BeFalse())
		now = now.Add(quietMost / 2)
		Expect(follow()).To(Succeed())
		whole(source.logs[0], 3)
		whole(source.logs[1], 2)
		source.logs[0].endTurn()
		Expect(follow()).To(Succeed())
		next, started := f.logs[0].Position()
		Expect(started).To(BeTrue())
		Expect(next).To(Equal(id.Position(3)))
	})

	It("leaves it once its bytes have stopped", func() {
		source.logs[0].turn.claim(false)
		source.logs[0].turn.begin()
		whole(source.logs[1], 1)
		now = now.Add(quietMost)
		whole(source.logs[1], 2)
		Expect(follow()).To(MatchError(errStale))
	})

	// One process had read the one topic and another one the other; each refused the other's claim, and nobody got both.
	It("takes the topic that a source has, also where that lacks the other", func() {
		whole(source.logs[1], 1)
		Expect(follow()).To(MatchError(errStale))
		_, started := f.logs[1].Position()
		Expect(started).To(BeTrue())
	})

	It("goes to the process that claims before any other while it has no fresh records, and not once it has", func() {
		f.gateways = func() []string { return []string{"other", "source"} }
		f.blamed["source"] = now.Add(time.Hour)
		f.hint.set("source")
		a, _ := f.choose()
		Expect(a).To(Equal("source"), "it has just spoken, whatever it was blamed for")
		whole(f.logs[0], 1)
		whole(f.logs[1], 1)
		f.blamed = map[string]time.Time{"source": now.Add(time.Hour)}
		a, _ = f.choose()
		Expect(a).To(Equal("other"))
	})

	It("asks again at once while it has just started, and after a pause once its records show that the store is away", func() {
		took := func() time.Duration {
			began := time.Now()
			f.rest(context.Background(), errStale)
			return time.Since(began)
		}
		Expect(took()).To(BeNumerically("<", awayPause/2))
		whole(f.logs[0], 1)
		whole(f.logs[1], 1)
		now = now.Add(awayFor)
		Expect(took()).To(BeNumerically("<", awayPause/2))
		now = now.Add(time.Millisecond)
		Expect(took()).To(BeNumerically(">=", awayPause))
	})

	It("refuses a claim where it has read the topic itself and not lost the store since", func() {
		claim := func() *pb.ClaimAnswer {
			return source.answerClaim(&pb.Claim{Topic: "op", Claimant: "self", Domain: "d"}).GetClaim()
		}
		Expect(claim().GetRefused()).To(BeFalse())
		whole(source.logs[0], 1)
		Expect(claim().GetFollow()).To(Equal("source"))
		now = now.Add(time.Millisecond)
		source.logs[0].NoteStoreFailure(platform.ErrUnavailable)
		Expect(claim().GetRefused()).To(BeFalse())
		a, _ := source.hint.get()
		Expect(a).To(Equal("self"), "it follows the one that reads")
	})
})
