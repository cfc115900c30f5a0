package placement

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/springrail/springrail/internal/facts"
)

const (
	wayStep   = 10 * time.Millisecond
	wayAsks   = 200 * time.Millisecond
	wayWithin = 8 * time.Second
)

// queued is a link that delivers in turn: behind is how long what is sent now is on its way, and stamps are on their
// way to arrive at a time.
type queued struct {
	now, reported time.Time
	behind        time.Duration
	stamps        []passing
	// here is the newest stamp that has arrived, and when it did.
	here passing
	way  Path
}

type passing struct {
	sent, arrives time.Time
}

// step lets a time go by in which a queue of more has come, in time of the link; what comes back is as fast as can be.
func (q *queued) step(n int, more time.Duration) {
	q.now = q.now.Add(wayStep)
	q.behind = max(0, q.behind-wayStep) + more
	if n%int(wayAsks/wayStep) == 0 {
		q.way.RecordProbe(q.now)
		q.stamps = append(q.stamps, passing{sent: q.now, arrives: q.now.Add(q.behind)})
	}
	for len(q.stamps) > 0 && !q.stamps[0].arrives.After(q.now) {
		q.here, q.stamps = q.stamps[0], q.stamps[1:]
	}
	if q.now.Sub(q.reported) >= wayAsks {
		q.reported = q.now
		q.way.RecordEcho(q.here.sent, q.now.Sub(q.here.arrives), wayAsks, q.now)
	}
}

var _ = Describe("the way to an upstream", func() {
	start := time.Unix(1000, 0)

	It("bears every queue that grows by up to two seconds a second, and no more of a version's time is used where it is not clear", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			q := &queued{now: start, reported: start.Add(time.Duration(rapid.IntRange(0, 190).Draw(t, "report")) * time.Millisecond)}
			for phase := range rapid.IntRange(1, 8).Draw(t, "phases") {
				grows := time.Duration(rapid.IntRange(0, int(3*wayStep)).Draw(t, "grows"))
				for n := range rapid.IntRange(1, 150).Draw(t, "steps") {
					q.step(phase*1000+n, grows)
					bears, p := q.way.MaxDelay(q.now, wayWithin)
					switch {
					case p == PathClear && q.behind > bears:
						t.Fatalf("sent to wait %v and to bear %v", q.behind, bears)
					case p == PathQueued && bears != wayWithin:
						t.Fatalf("something queues, and %v of %v are left", bears, wayWithin)
					}
				}
			}
		})
	})

	It("is bounded by the version's time, and is borne no shorter while nothing comes", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var w Path
			now, last := start, time.Duration(0)
			w.RecordEcho(now, 0, wayAsks, now.Add(10*time.Millisecond))
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
				if rapid.Bool().Draw(t, "ask") {
					w.RecordProbe(now)
				}
				bears, _ := w.MaxDelay(now, wayWithin)
				if bears < last || bears > wayWithin {
					t.Fatalf("%v after %v", bears, last)
				}
				last = bears
			}
		})
	})

	It("that is clear leaves all but a little of a version's time, and counts as queued for a version's time after a slow trip", func() {
		q := &queued{now: start, reported: start.Add(70 * time.Millisecond)}
		for n := range 400 {
			q.step(n, 0)
			if bears, p := q.way.MaxDelay(q.now, wayWithin); n > 40 {
				Expect(p).To(Equal(PathClear))
				Expect(bears).To(BeNumerically("<=", time.Second+200*time.Millisecond))
			}
		}
		q.step(400, 600*time.Millisecond)
		last := time.Time{}
		for n := range 1000 {
			q.step(401+n, 0)
			if _, p := q.way.MaxDelay(q.now, wayWithin); p == PathQueued {
				last = q.now
			}
		}
		Expect(last.Sub(start)).To(BeNumerically("~", 4*time.Second+600*time.Millisecond+wayWithin, 400*time.Millisecond))
	})

	It("is not clear while an answer stays out for more than a report and a half", func() {
		var w Path
		w.RecordEcho(start, 0, wayAsks, start.Add(20*time.Millisecond))
		w.RecordProbe(start.Add(200 * time.Millisecond))
		due := start.Add(200*time.Millisecond + 300*time.Millisecond + wayClear)
		_, p := w.MaxDelay(due.Add(-10*time.Millisecond), wayWithin)
		Expect(p).To(Equal(PathClear))
		_, p = w.MaxDelay(due.Add(10*time.Millisecond), wayWithin)
		Expect(p).To(Equal(PathQueued))
	})

	It("of which nothing was seen is taken for half of a version's time: a process that starts, or a stager that brings no stamps back", func() {
		var w Path
		w.RecordProbe(start)
		bears, p := w.MaxDelay(start.Add(time.Hour), wayWithin)
		Expect(p).To(Equal(PathUnproven))
		Expect(bears).To(Equal(wayWithin / 2))
	})

	// Requests began 3.4 s after their version's time at an upstream whose VM was behind a narrow link. Its heartbeats
	// came late over that link, so that its entry went from the list for 1.3 s; what had been seen of the way until
	// then was forgotten, and between two bursts of chunks the stamps found it clear.
	It("on which something has queued is remembered while the upstream's entry is away", func() {
		now := start
		t := NewTracker(func() time.Time { return now })
		i := &facts.Instance{ID: "i", Address: "a"}
		slow, quick := now.Add(-2*wayClear), now
		t.SetReport("a", LoadReport{ReceivedAt: now, EchoedStamp: slow, Interval: time.Second})
		t.Sweep(map[string]bool{})
		now = now.Add(time.Second)
		t.SetReport("a", LoadReport{ReceivedAt: now, EchoedStamp: quick, StampHeldFor: time.Second, Interval: time.Second})
		w := t.Candidate(i, 0).Path
		_, p := w.MaxDelay(now, wayWithin)
		Expect(p).To(Equal(PathQueued))
		now = now.Add(20 * time.Second)
		t.Sweep(map[string]bool{})
		Expect(t.known).To(BeEmpty())
	})

	It("is that of the VM: a start of the upstream there changes nothing of it", func() {
		now := start
		t := NewTracker(func() time.Time { return now })
		now = now.Add(time.Second)
		t.SetReport("a", LoadReport{Incarnation: 1, EchoedStamp: start, Interval: wayAsks, ReceivedAt: now})
		t.SetReport("a", LoadReport{Incarnation: 2, ReceivedAt: now})
		_, p := t.known["a"].way.MaxDelay(now, wayWithin)
		Expect(p).To(Equal(PathQueued))
	})
})
