package quarantine

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/id"
)

// These simulations run the suspect trackers of many gateways in virtual time, with upstreams that crash. Queueing
// times, run times and message delays are those of typical deployments.

const (
	newsDelay = 10 * time.Millisecond
	// restartTime is how long an upstream is down after a crash, unless configured otherwise.
	restartTime = 5 * time.Second
	crashDelay  = 80 * time.Millisecond
	lossRate    = 0.03
	// arrivalTime is how long after it was sent an upstream may be beginning a request.
	arrivalTime = 100 * time.Millisecond
	// maxInFlight is the number of requests that an upstream takes.
	maxInFlight = 24
	// beginningTime is how long an answer counts as beginning: the time to the first event and half a second.
	beginningTime = 600 * time.Millisecond
	// writtenTime is how long an answer must have been written to count as such.
	writtenTime = 500 * time.Millisecond
)

// simulation is the state of one simulation.
type simulation struct {
	simulationConfig
	random        *rand.Rand
	now           time.Duration
	queue         events
	sequence      int
	trackers      []*SuspectTracker
	fakeUpstreams []*fakeUpstream
	inFlight      []map[string]int
	// sends and crashTimes are the times of the sends of, and the crashes under, each bad request.
	sends, crashTimes map[string][]time.Duration
	// proper counts the harmless requests, and refused the refusals of such requests.
	proper, refused int
	// tried are what requests in flight contain that is held for others, by gateway. victims and victimsRefused count the requests
	// of the organisation with the ID of a part that crashes upstreams for others, once such a part is held.
	tried                   []map[Fingerprint]*simulatedRequest
	victims, victimsRefused int
}

func simulate(m simulationConfig, seed uint64) *simulation {
	t := &simulation{simulationConfig: m, random: rand.New(rand.NewPCG(seed, 1)), sends: map[string][]time.Duration{}, crashTimes: map[string][]time.Duration{}}
	for g := range m.gateways {
		l := NewSuspectTracker(id.VM(fmt.Sprint("vm", g)), func() time.Time { return simulationStart.Add(t.now) }, discardLog)
		l.after = func(d time.Duration, f func()) { t.schedule(d, f) }
		l.OnServed = func(f Fingerprint) {
			for _, o := range t.trackers {
				t.schedule(newsDelay, func() { o.ClearSuspicion(f) })
			}
		}
		l.OnUnlikely = func(parts []Fingerprint) {
			for _, o := range t.trackers {
				if o != l && t.shared {
					t.schedule(newsDelay, func() {
						for _, f := range parts {
							o.ApplyWritten(f)
						}
					})
				}
			}
		}
		l.OnHeld = append(l.OnHeld, func(h HeldRequest) {
			for _, o := range t.trackers {
				if o != l && h.HeldBy == l.vm && t.shared {
					t.schedule(newsDelay, func() { o.AddHeld(h) })
				}
			}
		})
		l.OnHeldChanged = append(l.OnHeldChanged, func(h HeldRequest, here bool) {
			if here {
				t.tellOthers(l, func(o *SuspectTracker) { o.AddHeld(h) })
			}
		})
		l.AnnounceDelay = func() time.Duration { return time.Duration(t.random.Int64N(int64(minAnnounceSpread))) }
		l.OnMissed = func(h HeldRequest) { t.tellOthers(l, func(o *SuspectTracker) { o.AddHeld(h) }) }
		l.OnTry = func(f Fingerprint) { t.tellOthers(l, func(o *SuspectTracker) { o.NoteTry(f) }) }
		l.IsListed = t.isListed
		t.trackers = append(t.trackers, l)
		t.inFlight = append(t.inFlight, map[string]int{})
		t.tried = append(t.tried, map[Fingerprint]*simulatedRequest{})
	}
	for range m.upstreams {
		t.fakeUpstreams = append(t.fakeUpstreams, &fakeUpstream{up: true})
	}
	t.arrivals()
	for t.queue.Len() > 0 {
		e := heap.Pop(&t.queue).(event)
		if e.at > m.duration {
			break
		}
		t.now = e.at
		e.do()
	}
	return t
}

func (t *simulation) schedule(d time.Duration, f func()) {
	t.sequence++
	heap.Push(&t.queue, event{at: t.now + d, sequence: t.sequence, do: f})
}

// scheduleAtRate schedules a function at random times with the given rate, from a time on.
func (t *simulation) scheduleAtRate(from time.Duration, perSecond float64, f func(n int)) {
	at := from
	for n := 0; perSecond > 0; n++ {
		at += time.Duration(t.random.ExpFloat64() / perSecond * float64(time.Second))
		if at > t.duration {
			return
		}
		t.schedule(at, func() { f(n) })
	}
}

func (t *simulation) arrivals() {
	t.scheduleAtRate(0, t.simulationConfig.proper, func(n int) {
		r := &simulatedRequest{name: fmt.Sprint("proper", n)}
		if t.random.Float64() < t.hotShare {
			r.name = "hot"
		}
		r.kind = r.name
		if t.prompt != nil {
			r.parts = partsNamed(t.prompt(t.random))
		}
		t.proper++
		t.arrive(r)
	})
	t.scheduleVictims()
	for b := range t.bad {
		t.scheduleAtRate(t.warmUp, t.badRate, func(n int) {
			r := &simulatedRequest{name: fmt.Sprint("bad", b), kind: fmt.Sprint("bad", b), bad: true}
			if t.badPrompt != nil {
				r.parts = partsNamed(t.badPrompt(t.random, r.kind))
				r.name = fmt.Sprint(r.kind, "/", n)
			}
			t.arrive(r)
		})
	}
	t.scheduleAtRate(t.warmUp, t.killRate, func(int) {
		for _, n := range t.random.Perm(len(t.fakeUpstreams))[:t.killed] {
			t.crash(t.fakeUpstreams[n])
		}
	})
	t.scheduleAtRate(t.warmUp, t.cutRate, func(int) {
		for _, n := range t.random.Perm(len(t.fakeUpstreams))[:t.cut] {
			t.cutOff(t.fakeUpstreams[n])
		}
	})
	t.scheduleAtRate(t.warmUp, t.crashRate, func(int) { t.crash(t.fakeUpstreams[t.random.IntN(len(t.fakeUpstreams))]) })
}

// arrive simulates a request of a caller at one of the gateways.
func (t *simulation) arrive(r *simulatedRequest) {
	r.gateway = t.random.IntN(t.gateways)
	if t.sender != nil && r.sender == "" {
		r.sender = t.sender(t.random, t.now, r.bad)
	}
	v := t.trackers[r.gateway].Check(r.identity())
	t.countVictim(r, v)
	if v == Held || v == Waits || (v == Alone && !t.mayTry(r)) {
		if !r.bad {
			t.refused++
		}
		return
	}
	t.sequence++
	r.attempt, r.alone = CallerAttempt(t.sequence), v == Alone
	t.inFlight[r.gateway][r.name]++
	t.send(r)
}

// send sends a request to a random upstream.
func (t *simulation) send(r *simulatedRequest) {
	var up []*fakeUpstream
	for _, p := range t.fakeUpstreams {
		if p.up && len(p.requests) < maxInFlight {
			up = append(up, p)
		}
	}
	if len(up) == 0 {
		t.end(r)
		return
	}
	p := up[t.random.IntN(len(up))]
	incarnation := p.restarts
	p.requests = append(p.requests, r)
	r.sends++
	if r.bad {
		t.sends[r.kind] = append(t.sends[r.kind], t.now)
	}
	wait := time.Duration((0.05 + 0.45*t.random.Float64()) * float64(time.Second))
	r.sent, r.begins = t.now, t.now+wait
	if r.bad {
		t.schedule(wait+crashDelay, func() {
			if p.restarts == incarnation && p.has(r) {
				t.crashTimes[r.kind] = append(t.crashTimes[r.kind], t.now)
				t.crash(p)
			}
		})
		return
	}
	t.schedule(wait+writtenTime, func() {
		if p.restarts == incarnation && p.has(r) {
			t.trackers[r.gateway].Written(r.identity())
		}
	})
	t.schedule(wait+time.Duration(t.random.ExpFloat64()*1.5*float64(time.Second)), func() {
		if p.restarts == incarnation && p.has(r) {
			p.remove(r)
			t.end(r)
			t.trackers[r.gateway].Served(r.identity())
		}
	})
}

// crash ends an upstream process with all its requests.
func (t *simulation) crash(p *fakeUpstream) {
	if !p.up {
		return
	}
	away, late, left := t.downtime, time.Duration(0), time.Duration(0)
	switch {
	case t.lapse > 0:
		late, left = t.lapse, min(t.lapse, patience)
	case t.maxNoticedLate > 0:
		late = time.Duration(t.random.Int64N(int64(t.maxNoticedLate)))
		away, left = late, min(late, patience)
	}
	t.report(p, left, late, t.lapse > 0)
	p.up, p.requests = false, nil
	p.restarts++
	t.schedule(away, func() { p.up = true })
}

// report schedules the reports of a crash, late or not, and the retries of the requests there once they are given up.
func (t *simulation) report(p *fakeUpstream, left, late time.Duration, presumed bool) {
	seen := map[int]*Crash{}
	crashedAt, s := t.now, Incarnation{Instance: p.instance(t)}
	for _, r := range p.requests {
		if seen[r.gateway] == nil {
			seen[r.gateway] = &Crash{Incarnation: s, Presumed: presumed}
		}
		seen[r.gateway].Requests = append(seen[r.gateway].Requests, t.inFlightRequest(r))
		if left == 0 {
			t.retry(r)
		} else {
			t.schedule(left, func() { t.retry(r) })
		}
	}
	for g := range t.gateways {
		e := seen[g]
		if e == nil {
			continue
		}
		if late >= minLate {
			e.At = simulationStart.Add(crashedAt)
		}
		t.schedule(gatherTime+late, func() { t.trackers[g].RecordCrash(*e) })
		for o, l := range t.trackers {
			// Three stagers forward the news, so it is rarely lost.
			if lost := t.random.Float64() < lossRate*lossRate; o != g && t.shared && !lost {
				t.schedule(gatherTime+late+newsDelay, func() { l.RecordCrash(*e) })
			}
		}
	}
}

// inFlightRequest describes a request whose upstream has crashed.
func (t *simulation) inFlightRequest(r *simulatedRequest) InFlightRequest {
	q := r.identity()
	p := InFlightRequest{Fingerprint: q.Fingerprint, Use: q.Use, Organisation: q.Organisation, Attempt: r.attempt, Alone: r.alone, Progress: Writing}
	switch {
	case t.now < r.begins && t.now >= r.sent+arrivalTime:
		p.Progress = Waiting
	case t.now < r.begins+beginningTime:
		p.Progress = Beginning
	}
	if p.Progress != Writing {
		p.Parts, p.PartUses = q.Parts, q.PartUses
	}
	return p
}

// retry resends a request that broke off at another upstream, or simulates its caller's retry once.
func (t *simulation) retry(r *simulatedRequest) {
	v := t.trackers[r.gateway].Check(r.identity())
	if r.sends < 2 && v == Pass {
		t.schedule(time.Millisecond, func() { t.send(r) })
		return
	}
	t.end(r)
	if !r.retried && !r.bad {
		r.retried, r.sends = true, 0
		t.schedule(200*time.Millisecond, func() { t.arrive(r) })
	}
}

// typicalDeployment returns a deployment of 7 gateways and 20 upstreams.
func typicalDeployment() simulationConfig {
	return simulationConfig{gateways: 7, upstreams: 20, proper: 100, duration: 30 * time.Second, shared: true, downtime: restartTime}
}

var _ = Describe("simulations of many gateways in virtual time", func() {
	It("hold no harmless request in 200 runs with random crashes and a request that many callers send", func() {
		held, proper, refused := 0, 0, 0
		for seed := range uint64(200) {
			m := typicalDeployment()
			m.crashRate, m.hotShare = 0.005*float64(seed), 0.2
			t := simulate(m, seed)
			held += t.heldProper()
			proper += t.proper
			refused += t.refused
		}
		AddReportEntry("refused", fmt.Sprint(refused, " of ", proper))
		Expect(held).To(BeZero())
		Expect(refused).To(BeNumerically("<", proper/10_000))
	})

	DescribeTable("stop requests that crash upstreams, among random crashes", func(gateways, upstreams, bad int, badRate float64) {
		for seed := range uint64(20) {
			m := typicalDeployment()
			m.gateways, m.upstreams, m.bad, m.badRate, m.crashRate, m.hotShare = gateways, upstreams, bad, badRate, 0.1, 0.1
			t := simulate(m, seed)
			Expect(t.maxLateSends()).To(BeNumerically("<=", 3), fmt.Sprint("seed ", seed))
			Expect(t.heldProper()).To(BeZero(), fmt.Sprint("seed ", seed))
		}
	},
		Entry("one request, 2.5 times a second", 7, 20, 1, 2.5),
		Entry("one request, 10 times a second", 7, 20, 1, 10.0),
		Entry("one request, every 5 seconds", 7, 20, 1, 0.2),
		Entry("three requests", 7, 20, 3, 1.0),
		Entry("many gateways", 60, 150, 2, 5.0),
	)

	It("crash fewer upstreams if gateways exchange their crashes, and none late", func() {
		for _, gateways := range []int{7, 40} {
			crashes := map[bool]int{}
			for _, shared := range []bool{false, true} {
				late, refused := 0, 0
				const seeds = 20
				for seed := range uint64(seeds) {
					m := typicalDeployment()
					m.gateways, m.upstreams, m.bad, m.badRate, m.crashRate, m.hotShare = gateways, 3*gateways, 1, 2.5, 0.1, 0.1
					m.shared = shared
					t := simulate(m, seed)
					crashes[shared] += t.crashCount()
					late = max(late, t.maxLateSends())
					refused += t.refused
				}
				AddReportEntry(fmt.Sprint(gateways, " gateways, shared: ", shared),
					fmt.Sprintf("%.1f crashes, at most %d late sends, %d harmless requests refused", float64(crashes[shared])/seeds, late, refused))
				if shared {
					Expect(late).To(BeNumerically("<=", 3))
				}
			}
			Expect(crashes[true]).To(BeNumerically("<", crashes[false]))
		}
	})
})
