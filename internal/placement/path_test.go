package placement

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/springrail/springrail/internal/facts"
)

const (
	pathStep        = 10 * time.Millisecond
	probeInterval   = 200 * time.Millisecond
	versionLifetime = 8 * time.Second
)

// queueingLink is a link that delivers in order: delay is the transit time of what is sent now, and stamps are probes in
// transit.
type queueingLink struct {
	now, reported time.Time
	delay         time.Duration
	stamps        []stampInTransit
	// newestArrived is the newest probe that has arrived.
	newestArrived stampInTransit
	path          Path
}

type stampInTransit struct {
	sent, arrives time.Time
}

// step advances the time by one step, in which traffic of length more (in transmission time) joins the queue. Echoes
// return without delay.
func (q *queueingLink) step(n int, traffic time.Duration) {
	q.now = q.now.Add(pathStep)
	q.delay = max(0, q.delay-pathStep) + traffic
	if n%int(probeInterval/pathStep) == 0 {
		q.path.RecordProbe(q.now)
		q.stamps = append(q.stamps, stampInTransit{sent: q.now, arrives: q.now.Add(q.delay)})
	}
	for len(q.stamps) > 0 && !q.stamps[0].arrives.After(q.now) {
		q.newestArrived, q.stamps = q.stamps[0], q.stamps[1:]
	}
	if q.now.Sub(q.reported) >= probeInterval {
		q.reported = q.now
		q.path.RecordEcho(q.newestArrived.sent, q.now.Sub(q.newestArrived.arrives), probeInterval, q.now)
	}
}

var _ = Describe("the network path to an upstream", func() {
	start := time.Unix(1000, 0)

	It("allows for every queue that grows by up to two seconds a second, and for the whole version lifetime where it is not clear", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			q := &queueingLink{now: start, reported: start.Add(time.Duration(rapid.IntRange(0, 190).Draw(t, "report")) * time.Millisecond)}
			for phase := range rapid.IntRange(1, 8).Draw(t, "phases") {
				growth := time.Duration(rapid.IntRange(0, int(3*pathStep)).Draw(t, "grows"))
				for n := range rapid.IntRange(1, 150).Draw(t, "steps") {
					q.step(phase*1000+n, growth)
					allowed, p := q.path.MaxDelay(q.now, versionLifetime)
					switch {
					case p == PathClear && q.delay > allowed:
						t.Fatalf("the queue delays by %v, but only %v is allowed for", q.delay, allowed)
					case p == PathQueued && allowed != versionLifetime:
						t.Fatalf("the path is queued, but the allowed delay is %v instead of %v", allowed, versionLifetime)
					}
				}
			}
		})
	})

	It("allows for at most the version lifetime, and for no less while no echo arrives", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var w Path
			now, last := start, time.Duration(0)
			w.RecordEcho(now, 0, probeInterval, now.Add(10*time.Millisecond))
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
				if rapid.Bool().Draw(t, "ask") {
					w.RecordProbe(now)
				}
				allowed, _ := w.MaxDelay(now, versionLifetime)
				if allowed < last || allowed > versionLifetime {
					t.Fatalf("allowed delay %v after %v", allowed, last)
				}
				last = allowed
			}
		})
	})

	It("needs little of a version's lifetime while clear, and counts as queued for that lifetime after a slow probe", func() {
		q := &queueingLink{now: start, reported: start.Add(70 * time.Millisecond)}
		for n := range 400 {
			q.step(n, 0)
			if allowed, p := q.path.MaxDelay(q.now, versionLifetime); n > 40 {
				Expect(p).To(Equal(PathClear))
				Expect(allowed).To(BeNumerically("<=", time.Second+200*time.Millisecond))
			}
		}
		q.step(400, 600*time.Millisecond)
		last := time.Time{}
		for n := range 1000 {
			q.step(401+n, 0)
			if _, p := q.path.MaxDelay(q.now, versionLifetime); p == PathQueued {
				last = q.now
			}
		}
		Expect(last.Sub(start)).To(BeNumerically("~", 4*time.Second+600*time.Millisecond+versionLifetime, 400*time.Millisecond))
	})

	It("is not clear while an echo is overdue by more than one and a half report intervals", func() {
		var w Path
		w.RecordEcho(start, 0, probeInterval, start.Add(20*time.Millisecond))
		w.RecordProbe(start.Add(200 * time.Millisecond))
		due := start.Add(200*time.Millisecond + 300*time.Millisecond + maxClearRoundTrip)
		_, p := w.MaxDelay(due.Add(-10*time.Millisecond), versionLifetime)
		Expect(p).To(Equal(PathClear))
		_, p = w.MaxDelay(due.Add(10*time.Millisecond), versionLifetime)
		Expect(p).To(Equal(PathQueued))
	})

	It("counts as half of a version's lifetime without any echo: a process that starts, or a stager that echoes no probes", func() {
		var w Path
		w.RecordProbe(start)
		allowed, p := w.MaxDelay(start.Add(time.Hour), versionLifetime)
		Expect(p).To(Equal(PathUnproven))
		Expect(allowed).To(Equal(versionLifetime / 2))
	})

	// Heartbeats of a VM behind a narrow link arrived late, so that its entry was off the list for 1.3 s. The state of
	// the path was dropped with the entry, later probes between two bursts of chunks found the path clear, and requests
	// began 3.4 s after the end of their version's lifetime.
	It("remembers a queue while the upstream is off the list", func() {
		now := start
		t := NewTracker(func() time.Time { return now })
		i := &facts.Instance{ID: "i", Address: "a"}
		slowEcho, fastEcho := now.Add(-2*maxClearRoundTrip), now
		t.SetReport("a", LoadReport{ReceivedAt: now, EchoedStamp: slowEcho, Interval: time.Second})
		t.Sweep(map[string]bool{})
		now = now.Add(time.Second)
		t.SetReport("a", LoadReport{ReceivedAt: now, EchoedStamp: fastEcho, StampHeldFor: time.Second, Interval: time.Second})
		w := t.Candidate(i, 0).Path
		_, p := w.MaxDelay(now, versionLifetime)
		Expect(p).To(Equal(PathQueued))
		now = now.Add(20 * time.Second)
		t.Sweep(map[string]bool{})
		Expect(t.upstreams).To(BeEmpty())
	})

	It("belongs to the VM, so that a restart of the upstream does not reset it", func() {
		now := start
		t := NewTracker(func() time.Time { return now })
		now = now.Add(time.Second)
		t.SetReport("a", LoadReport{Incarnation: 1, EchoedStamp: start, Interval: probeInterval, ReceivedAt: now})
		t.SetReport("a", LoadReport{Incarnation: 2, ReceivedAt: now})
		_, p := t.upstreams["a"].path.MaxDelay(now, versionLifetime)
		Expect(p).To(Equal(PathQueued))
	})
})
