package soak

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/springrail/springrail/internal/spec"
	"github.com/springrail/springrail/internal/standin"
)

func TestSoak(t *testing.T) {
	spec.Run(t, "The soak test")
}

// history is a History with a clock that the test advances, and with one request whose ID is "1".
type history struct {
	*History
	at      time.Time
	gateway *Process
}

func newHistory() *history {
	h := &history{at: time.Unix(1000, 0), gateway: &Process{name: "g"}}
	h.History = NewHistory(1, func() time.Time { return h.at })
	h.advance(time.Minute)
	return h
}

func (h *history) advance(d time.Duration) { h.at = h.at.Add(d) }
func (h *history) send()                   { h.RecordSent("1", &request{gateway: h.gateway}) }
func (h *history) sendUnsafe()             { h.RecordSent("1", &request{gateway: h.gateway, unsafe: true}) }
func (h *history) arrive()                 { h.RecordArrival("1", "u", "a") }
func (h *history) terminate()              { h.gateway.termAt.Store(h.at.UnixNano()) }
func (h *history) truncate(head bool)      { h.RecordTruncated("1", head, io.ErrUnexpectedEOF) }

func (h *history) runs(version int) {
	h.RecordRun(standin.RequestRun{Request: "1", Instance: "u", Version: version, At: h.at})
}

// leaveAndAdvance makes the upstream leave and advances the clock.
func (h *history) leaveAndAdvance(d time.Duration) {
	h.RecordDeparture("u", stateDraining)
	h.advance(d)
}

// brokenChecks lists the names of the checks that have reported a violation.
func (h *history) brokenChecks() []string {
	l := []string{}
	for _, v := range h.Violations() {
		l = append(l, v.Check)
	}
	return l
}

var _ = Describe("a check", func() {
	DescribeTable("reports broken guarantees and nothing else", func(play func(h *history), want ...string) {
		h := newHistory()
		play(h)
		Expect(h.brokenChecks()).To(Equal(append([]string{}, want...)))
	},
		Entry("requests may reach an upstream for a while after it has left",
			func(h *history) { h.leaveAndAdvance(maxLeavingDelay); h.send(); h.arrive() }),
		Entry("a request that reaches an upstream too long after it has left", func(h *history) { h.leaveAndAdvance(maxLeavingDelay + 1); h.send(); h.arrive() }, "leaving"),
		Entry("a late request is excused by a recent fault of its gateway", func(h *history) {
			end := h.BeginFault("g", "paused")
			h.leaveAndAdvance(time.Minute)
			end()
			h.advance(settleTime - 1)
			h.send()
			h.arrive()
		}),
		Entry("a late request is not excused by a fault that ended before the settle time", func(h *history) {
			h.BeginFault("g", "paused")()
			h.leaveAndAdvance(settleTime)
			h.send()
			h.arrive()
		}, "leaving"),
		Entry("a late request is not excused by a fault of another gateway", func(h *history) {
			defer h.BeginFault("other", "paused")()
			h.leaveAndAdvance(settleTime)
			h.send()
			h.arrive()
		}, "leaving"),
		Entry("an older version may serve until the swap deadline", func(h *history) {
			h.RecordVersion(2)
			h.advance(swapTime)
			h.send()
			h.runs(1)
			h.advance(1)
			h.runs(2)
		}),
		Entry("a request that runs on an older version after the swap deadline", func(h *history) { h.RecordVersion(2); h.advance(swapTime + 1); h.send(); h.runs(1) }, "version"),
		Entry("the swap deadline is later for a gateway that could not read the publication", func(h *history) {
			end := h.BeginFault(storeTarget, "down")
			h.RecordVersion(2)
			end()
			h.advance(2 * swapTime)
			h.send()
			h.runs(1)
		}),
		Entry("a safe request may run again", func(h *history) { h.send(); h.runs(0); h.runs(0) }),
		Entry("an unsafe request that runs twice", func(h *history) { h.sendUnsafe(); h.runs(0); h.runs(0) }, "once-at-most"),
		Entry("a request that ran before it was refused", func(h *history) { h.send(); h.runs(0); h.RecordRefused("1", 503) }, "refused-ran"),
		Entry("a request that runs after it was refused", func(h *history) { h.send(); h.RecordRefused("1", 503); h.runs(0) }, "refused-ran"),
		Entry("a request may arrive just after its caller has disconnected",
			func(h *history) { h.send(); h.RecordClosed("1"); h.advance(maxArrivalAfterClose); h.arrive() }),
		Entry("a request that arrives more than half a second after its caller has disconnected",
			func(h *history) { h.send(); h.RecordClosed("1"); h.advance(maxArrivalAfterClose + 1); h.arrive() }, "gone-client"),
		Entry("a request that no caller has sent", func(h *history) { h.arrive() }, "unknown-request"),
		Entry("an allowed request that is denied", func(h *history) { h.send(); h.RecordDenied("1", 403, 0) }, "denied"),
		Entry("a configuration that is not in force after its time", func(h *history) {
			h.RecordConfig(7, 1)
			h.advance(maxConfigDelay + 1)
			h.send()
			h.RecordDenied("1", 404, h.configDue())
		}, "configuration"),
		Entry("a configuration need not be in force before its time", func(h *history) {
			h.RecordConfig(7, 1)
			h.advance(maxConfigDelay)
			Expect(h.configDue()).To(BeZero())
		}),
		Entry("a configuration's route may be absent once a newer configuration omits it", func(h *history) {
			h.RecordConfig(8+keptRoutes, 1)
			h.send()
			h.RecordDenied("1", 404, 7)
		}),
		Entry("a planned stop that aborts an answer", func(h *history) { h.send(); h.terminate(); h.advance(time.Second); h.truncate(true) }, "lost"),
		Entry("a planned stop may close the connection of a request that has not begun", func(h *history) { h.terminate(); h.send(); h.advance(sendRaceTime); h.truncate(false) }),
		Entry("a planned stop that closes the connection of a request that has run", func(h *history) { h.terminate(); h.send(); h.runs(0); h.truncate(false) }, "lost"),
		Entry("an answer that a crashed upstream aborts during a planned stop is excused", func(h *history) {
			h.send()
			h.arrive()
			h.terminate()
			h.BeginFault("a", "crashed")()
			h.truncate(true)
		}),
		Entry("a late request is excused if the soak process was stalled when it arrived", func(h *history) {
			h.leaveAndAdvance(maxLeavingDelay + 1)
			h.RecordTick()
			h.advance(lagCheckInterval + maxTimerLag + 1)
			h.send()
			h.arrive()
		}),
		Entry("a late request is not excused while the soak process is running", func(h *history) {
			h.leaveAndAdvance(maxLeavingDelay + 1)
			h.RecordTick()
			h.advance(lagCheckInterval + maxTimerLag)
			h.send()
			h.arrive()
		}, "leaving"),
		Entry("a process that runs longer than its drain time", func(h *history) {
			asked := h.at
			h.advance(drainTime)
			h.RecordOverdueExit("g", asked)
		}, "grace"),
		Entry("an overdue process is excused if the soak process was stalled for the excess time", func(h *history) {
			asked := h.at
			h.advance(4 * time.Second)
			h.RecordStall(3 * time.Second)
			h.advance(drainTime - 2*time.Second)
			h.RecordOverdueExit("g", asked)
		}),
		Entry("an overdue process is not excused by a short stall or by one before SIGTERM", func(h *history) {
			h.RecordStall(time.Minute)
			asked := h.at
			h.advance(time.Second)
			h.RecordStall(200 * time.Millisecond)
			h.advance(drainTime)
			h.RecordOverdueExit("g", asked)
		}, "grace"),
		Entry("an answer that fails at the end of the run is excused", func(h *history) {
			h.end = h.at.Add(time.Second)
			h.send()
			h.runs(0)
			h.advance(time.Second)
			h.RecordFailed("1", 502)
		}),
		Entry("an answer that fails before the end of the run", func(h *history) {
			h.end = h.at.Add(time.Second)
			h.send()
			h.runs(0)
			h.advance(time.Second - 1)
			h.RecordFailed("1", 502)
		}, "ended-early"),
		Entry("an answer that is aborted after its header", func(h *history) { h.send(); h.arrive(); h.truncate(true) }, "ended-early"),
		Entry("an answer that is aborted before its header although the request has run", func(h *history) { h.send(); h.arrive(); h.runs(0); h.truncate(false) }, "ended-early"),
		Entry("a request that is answered as failed although it has run", func(h *history) { h.send(); h.arrive(); h.runs(0); h.RecordFailed("1", 502) }, "ended-early"),
		Entry("an answer that is aborted after its header near its version's deadline", func(h *history) {
			h.RecordVersion(2)
			h.advance(swapTime - giveUpMargin + 1)
			h.send()
			h.arrive()
			h.runs(1)
			h.truncate(true)
		}, "ended-early"),
		Entry("a request that has not sent its header may fail near its version's deadline", func(h *history) {
			h.RecordVersion(2)
			h.advance(swapTime - giveUpMargin + 1)
			h.send()
			h.arrive()
			h.runs(1)
			h.RecordFailed("1", 502)
		}),
		Entry("a request that fails before its version's deadline is near", func(h *history) {
			h.RecordVersion(2)
			h.advance(swapTime - giveUpMargin)
			h.send()
			h.arrive()
			h.runs(1)
			h.RecordFailed("1", 502)
		}, "ended-early"),
		Entry("an answer that is aborted before its caller's deadline", func(h *history) { h.send(); h.arrive(); h.advance(callerDeadline - 1); h.truncate(true) }, "ended-early"),
		Entry("an answer may be aborted at its caller's deadline", func(h *history) { h.send(); h.arrive(); h.advance(callerDeadline); h.truncate(true) }),
		Entry("an answer that a planned stop aborts before its caller's deadline", func(h *history) { h.send(); h.terminate(); h.advance(callerDeadline - 1); h.truncate(true) }, "lost"),
		Entry("an aborted answer is excused if its upstream has crashed", func(h *history) {
			h.send()
			h.arrive()
			h.BeginFault("a", "crashed")()
			h.truncate(true)
		}),
		Entry("an aborted answer is excused if its gateway was killed", func(h *history) { h.send(); h.arrive(); h.BeginFault(h.gateway.name, "killed")(); h.truncate(true) }),
		Entry("requests are answered in the final phase", func(h *history) {
			h.end = h.at.Add(finalPhase - 1)
			h.send()
			h.RecordAnswered("1")
			h.advance(finalPhase)
			h.CheckFinalPhase()
		}),
		Entry("too few requests are answered in the final phase", func(h *history) {
			h.end = h.at.Add(finalPhase - 1)
			h.send()
			h.advance(finalPhase)
			h.CheckFinalPhase()
		}, "well-again"),
	)

	DescribeTable("accepts only a complete answer that belongs to the request", func(body, seal string, want ...string) {
		h := newHistory()
		c := &Caller{history: h.History, gateway: h.gateway}
		head := http.Header{"Request-Id": {"r1"}, "Response-Seal": {seal}, "Versions": {"3"}}
		c.checkAnswer(&callerRequest{id: "r1", stream: true}, &http.Response{StatusCode: http.StatusOK, Header: head}, body)
		Expect(h.brokenChecks()).To(Equal(append([]string{}, want...)))
	},
		Entry("a complete answer", standin.StreamOf("r1", 3), "u.r1"),
		Entry("an answer to another request", standin.StreamOf("r2", 3), "u.r1", "wrong-answer"),
		Entry("an answer sealed for another request", standin.StreamOf("r1", 3), "u.r2", "wrong-answer"),
		Entry("an answer from another version", standin.StreamOf("r1", 2), "u.r1", "wrong-answer"),
		Entry("an answer whose last bytes are missing", strings.TrimSuffix(standin.StreamOf("r1", 3), "\n\n"), "u.r1", "wrong-answer"),
	)

	It("reports a refusal as held of a request that crashes nothing", func() {
		h := newHistory()
		c := &Caller{history: h.History, gateway: h.gateway}
		for _, body := range []string{"too busy\n", "held: upstreams have crashed under this request\n"} {
			h.send()
			c.checkAnswer(&callerRequest{id: "1", stream: true}, &http.Response{StatusCode: http.StatusServiceUnavailable}, body)
		}
		Expect(h.brokenChecks()).To(Equal([]string{"held-harmless"}))
	})

	DescribeTable("counts requests that crash upstreams for the same reason together", func(kind string, crashes, runs int, want ...string) {
		h := newHistory()
		for range crashes {
			h.RecordCrash(crashKind(kind + "/7"))
		}
		h.advance(settleTime)
		for n := range runs {
			r := fmt.Sprintf("%s.%d", kind, n)
			h.RecordSent(r, &request{gateway: h.gateway, crashesUpstreams: true})
			h.RecordRun(standin.RequestRun{Request: r, Instance: "u", At: h.at})
		}
		Expect(h.brokenChecks()).To(Equal(append([]string{}, want...)))
	},
		Entry("a repeated request", "crash-1", 3, 4, "crashing"),
		Entry("a repeated request, rarely enough", "crash-1", 3, 3),
		Entry("a part", "crash-part-1", 5, 4, "crashing"),
		Entry("a part, before enough crashes", "crash-part-1", 4, 9),
	)

	It("lists the events around a violation and counts repetitions", func() {
		h := newHistory()
		h.RecordEvent("long ago")
		h.advance(contextBefore)
		h.leaveAndAdvance(maxLeavingDelay + 1)
		h.send()
		h.arrive()
		h.arrive()
		l := h.Violations()
		Expect(l).To(HaveLen(1))
		Expect(l[0].Times).To(Equal(2))
		Expect(strings.Join(l[0].Around, " ")).To(And(ContainSubstring("u left: draining"), Not(ContainSubstring("long ago"))))
	})
})

var _ = Describe("a plan", func() {
	It("depends on its seed only, is ordered, ends before the quiet tail, and contains only allowed steps", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			seed := rapid.Uint64().Draw(t, "seed")
			allowed := rapid.SliceOfDistinct(rapid.SampledFrom(faultChoices()), rapid.ID[string]).Draw(t, "allowed")
			length := 40 * time.Second
			l := Plan(seed, length, allowed)
			again := Plan(seed, length, allowed)
			if len(l) != len(again) {
				t.Fatalf("%d and %d steps", len(l), len(again))
			}
			for i, s := range l {
				if s != again[i] {
					t.Fatalf("%v and %v", s, again[i])
				}
				if s.At < 0 || s.At+s.Duration > length-quietTail || (i > 0 && s.At < l[i-1].At) {
					t.Fatalf("%v after %v", s, l[max(0, i-1)])
				}
				if len(allowed) > 0 && !strings.Contains(strings.Join(allowed, " "), s.Action) {
					t.Fatalf("%s is not allowed", s.Action)
				}
			}
		})
	})
})

var _ = Describe("a series of stops", func() {
	It("has the time for its stops before the quiet tail, and is drawn in most runs", func() {
		const length = 25 * time.Second
		runs := 0
		for seed := range uint64(100) {
			l := Plan(seed, length, []string{doStopSeries})
			if len(l) > 0 {
				runs++
			}
			for _, s := range l {
				Expect(s.Duration).To(BeNumerically(">=", drainTime+minSeriesDowntime))
				Expect(s.At + s.Duration).To(BeNumerically("<=", length-quietTail))
			}
		}
		Expect(runs).To(BeNumerically(">", 50))
	})
})

var _ = Describe("an endpoint of the store", func() {
	It("loses answers after the call took effect", func() {
		d := &StoreEndpoint{KeyedEndpoint: standin.NewKeyedStore().NewEndpoint()}
		s := httptest.NewServer(d)
		DeferCleanup(s.Close)
		lost := 0
		d.lostPerTen.Store(3)
		for range 2 * lossWindow {
			a, err := http.Get(s.URL + "/v1/log-newest?topic=x")
			if err != nil {
				lost++
				Expect(errors.Is(err, io.EOF)).To(BeTrue())
				continue
			}
			a.Body.Close()
		}
		Expect(lost).To(BeNumerically(">=", 4))
		Expect(d.Calls()).To(BeNumerically(">=", 2*lossWindow))
	})
})

var _ = Describe("the command line", func() {
	DescribeTable("refuses invalid arguments", func(args ...string) {
		Expect(Main(args, io.Discard, io.Discard)).To(Equal(exitUsage))
	}, Entry("an unknown fault", "--faults", "earthquake"), Entry("a run that is too short", "--seconds", "5"),
		Entry("a domain without a gateway", "--gateways", "1", "--domains", "2"))
})

var _ = Describe("a run", func() {
	It("fails on any violation except of checks that are known to fail", func() {
		r := &Result{Violations: []*Violation{{Check: "weights"}}}
		Expect(r.failed(nil)).To(BeTrue())
		Expect(r.failed([]string{"weights"})).To(BeFalse())
		r.Violations = append(r.Violations, &Violation{Check: "leaving"})
		Expect(r.failed([]string{"weights"})).To(BeTrue())
		Expect((&Result{Problem: "no start"}).failed([]string{"weights"})).To(BeTrue())
	})
})
