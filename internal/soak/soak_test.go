package soak

import (
	"errors"
	"io"
	"net"
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
	spec.Run(t, "The soak")
}

// history is one with a clock that the spec moves, and one request "1".
type history struct {
	*History
	at      time.Time
	gateway *Process
}

func newHistory() *history {
	h := &history{at: time.Unix(1000, 0), gateway: &Process{name: "g"}}
	h.History = NewHistory(1, func() time.Time { return h.at })
	h.pass(time.Minute)
	return h
}

func (h *history) pass(d time.Duration) { h.at = h.at.Add(d) }
func (h *history) send()                { h.RecordSent("1", &request{gateway: h.gateway}) }
func (h *history) sendUnsafe()          { h.RecordSent("1", &request{gateway: h.gateway, unsafe: true}) }
func (h *history) arrive()              { h.RecordArrival("1", "u", "a") }
func (h *history) term()                { h.gateway.termAt.Store(h.at.UnixNano()) }
func (h *history) cut(head bool)        { h.RecordTruncated("1", head, io.ErrUnexpectedEOF) }

func (h *history) runs(version int) {
	h.RecordRun(standin.RequestRun{Request: "1", Instance: "u", Version: version, At: h.at})
}

// leaves lets the upstream leave and a time pass.
func (h *history) leaves(d time.Duration) {
	h.RecordDeparture("u", stateDraining)
	h.pass(d)
}

// broken lists the checks that a history breaks.
func (h *history) broken() []string {
	l := []string{}
	for _, v := range h.Violations() {
		l = append(l, v.Check)
	}
	return l
}

var _ = Describe("a check", func() {
	DescribeTable("finds what breaks a promise, and nothing else", func(play func(h *history), want ...string) {
		h := newHistory()
		play(h)
		Expect(h.broken()).To(Equal(append([]string{}, want...)))
	},
		Entry("an upstream that has left gets requests for a while",
			func(h *history) { h.leaves(leaveWithin); h.send(); h.arrive() }),
		Entry("and later none", func(h *history) { h.leaves(leaveWithin + 1); h.send(); h.arrive() }, "leaving"),
		Entry("unless the gateway was hurt lately", func(h *history) {
			end := h.BeginFault("g", "paused")
			h.leaves(time.Minute)
			end()
			h.pass(settle - 1)
			h.send()
			h.arrive()
		}),
		Entry("and not long ago", func(h *history) {
			h.BeginFault("g", "paused")()
			h.leaves(settle)
			h.send()
			h.arrive()
		}, "leaving"),
		Entry("a fault of another gateway excuses nothing", func(h *history) {
			defer h.BeginFault("other", "paused")()
			h.leaves(settle)
			h.send()
			h.arrive()
		}, "leaving"),
		Entry("an older version has its time", func(h *history) {
			h.RecordVersion(2)
			h.pass(swapWithin)
			h.send()
			h.runs(1)
			h.pass(1)
			h.runs(2)
		}),
		Entry("and no more", func(h *history) { h.RecordVersion(2); h.pass(swapWithin + 1); h.send(); h.runs(1) }, "version"),
		Entry("which whoever could not read the naming counts from later", func(h *history) {
			end := h.BeginFault(theStore, "down")
			h.RecordVersion(2)
			end()
			h.pass(2 * swapWithin)
			h.send()
			h.runs(1)
		}),
		Entry("a safe request may run again", func(h *history) { h.send(); h.runs(0); h.runs(0) }),
		Entry("an unsafe one may not", func(h *history) { h.sendUnsafe(); h.runs(0); h.runs(0) }, "once-at-most"),
		Entry("a refused request has not run", func(h *history) { h.send(); h.runs(0); h.RecordRefused("1", 503) }, "refused-ran"),
		Entry("and never does", func(h *history) { h.send(); h.RecordRefused("1", 503); h.runs(0) }, "refused-ran"),
		Entry("a request arrives just after its caller has gone",
			func(h *history) { h.send(); h.RecordClosed("1"); h.pass(goneWithin); h.arrive() }),
		Entry("and not half a second later",
			func(h *history) { h.send(); h.RecordClosed("1"); h.pass(goneWithin + 1); h.arrive() }, "gone-client"),
		Entry("nobody has sent what arrives", func(h *history) { h.arrive() }, "unknown-request"),
		Entry("an allowed request is not denied", func(h *history) { h.send(); h.RecordDenied("1", 403, 0) }, "denied"),
		Entry("a configuration is in force", func(h *history) {
			h.RecordConfig(7, 1)
			h.pass(configWithin + 1)
			h.send()
			h.RecordDenied("1", 404, h.configDue())
		}, "configuration"),
		Entry("after its time only", func(h *history) {
			h.RecordConfig(7, 1)
			h.pass(configWithin)
			Expect(h.configDue()).To(BeZero())
		}),
		Entry("until one without the route follows", func(h *history) {
			h.RecordConfig(8+keptRoutes, 1)
			h.send()
			h.RecordDenied("1", 404, 7)
		}),
		Entry("a planned stop cuts nothing", func(h *history) { h.send(); h.term(); h.pass(time.Second); h.cut(true) }, "lost"),
		Entry("and may close what has not begun", func(h *history) { h.term(); h.send(); h.pass(raceTime); h.cut(false) }),
		Entry("but nothing that has run", func(h *history) { h.term(); h.send(); h.runs(0); h.cut(false) }, "lost"),
		Entry("what an upstream cuts is not the stop's", func(h *history) {
			h.send()
			h.arrive()
			h.term()
			h.BeginFault("a", "crashed")()
			h.cut(true)
		}),
		Entry("a request that is seen as this process runs on after it stood still is excused", func(h *history) {
			h.leaves(leaveWithin + 1)
			h.RecordTick()
			h.pass(lagLook + lagMost + 1)
			h.send()
			h.arrive()
		}),
		Entry("and not one while it runs", func(h *history) {
			h.leaves(leaveWithin + 1)
			h.RecordTick()
			h.pass(lagLook + lagMost)
			h.send()
			h.arrive()
		}, "leaving"),
		Entry("a process that outlives its time", func(h *history) {
			asked := h.at
			h.pass(grace)
			h.RecordOverdueExit("g", asked)
		}, "grace"),
		Entry("is excused where this process stood still for what is over", func(h *history) {
			asked := h.at
			h.pass(4 * time.Second)
			h.RecordStall(3 * time.Second)
			h.pass(grace - 2*time.Second)
			h.RecordOverdueExit("g", asked)
		}),
		Entry("and not by a short stall, nor by one before it was asked", func(h *history) {
			h.RecordStall(time.Minute)
			asked := h.at
			h.pass(time.Second)
			h.RecordStall(200 * time.Millisecond)
			h.pass(grace)
			h.RecordOverdueExit("g", asked)
		}, "grace"),
		Entry("an answer that ends with the run is the run's doing", func(h *history) {
			h.end = h.at.Add(time.Second)
			h.send()
			h.runs(0)
			h.pass(time.Second)
			h.RecordFailed("1", 502)
		}),
		Entry("and one that ends before it is not", func(h *history) {
			h.end = h.at.Add(time.Second)
			h.send()
			h.runs(0)
			h.pass(time.Second - 1)
			h.RecordFailed("1", 502)
		}, "ended-early"),
		Entry("an answer that has begun is brought to its end", func(h *history) { h.send(); h.arrive(); h.cut(true) }, "ended-early"),
		Entry("and one that runs", func(h *history) { h.send(); h.arrive(); h.runs(0); h.cut(false) }, "ended-early"),
		Entry("which is not answered as failed either", func(h *history) { h.send(); h.arrive(); h.runs(0); h.RecordFailed("1", 502) }, "ended-early"),
		Entry("nor as its version ends, where some of it has come", func(h *history) {
			h.RecordVersion(2)
			h.pass(swapWithin - givenUpBefore + 1)
			h.send()
			h.arrive()
			h.runs(1)
			h.cut(true)
		}, "ended-early"),
		Entry("but where nothing of it has come", func(h *history) {
			h.RecordVersion(2)
			h.pass(swapWithin - givenUpBefore + 1)
			h.send()
			h.arrive()
			h.runs(1)
			h.RecordFailed("1", 502)
		}),
		Entry("and not before that", func(h *history) {
			h.RecordVersion(2)
			h.pass(swapWithin - givenUpBefore)
			h.send()
			h.arrive()
			h.runs(1)
			h.RecordFailed("1", 502)
		}, "ended-early"),
		Entry("before its caller's deadline", func(h *history) { h.send(); h.arrive(); h.pass(patience - 1); h.cut(true) }, "ended-early"),
		Entry("but not after it", func(h *history) { h.send(); h.arrive(); h.pass(patience); h.cut(true) }),
		Entry("nor, in a planned stop, before it", func(h *history) { h.send(); h.term(); h.pass(patience - 1); h.cut(true) }, "lost"),
		Entry("unless its upstream has crashed", func(h *history) {
			h.send()
			h.arrive()
			h.BeginFault("a", "crashed")()
			h.cut(true)
		}),
		Entry("or its gateway was killed", func(h *history) { h.send(); h.arrive(); h.BeginFault(h.gateway.name, "killed")(); h.cut(true) }),
		Entry("all is well at the end", func(h *history) {
			h.end = h.at.Add(endTime - 1)
			h.send()
			h.RecordAnswered("1")
			h.pass(endTime)
			h.CheckFinalPhase()
		}),
		Entry("or it is not", func(h *history) { h.end = h.at.Add(endTime - 1); h.send(); h.pass(endTime); h.CheckFinalPhase() }, "well-again"),
		Entry("nor what comes after the grace", func(h *history) { h.send(); h.term(); h.pass(grace); h.cut(true) }),
	)

	DescribeTable("takes only an answer of the request's own, whole", func(body, seal string, want ...string) {
		h := newHistory()
		c := &Caller{history: h.History, gateway: h.gateway}
		head := http.Header{"Request-Id": {"r1"}, "Response-Seal": {seal}, "Versions": {"3"}}
		c.check(&ask{id: "r1", stream: true}, &http.Response{StatusCode: http.StatusOK, Header: head}, body)
		Expect(h.broken()).To(Equal(append([]string{}, want...)))
	},
		Entry("whole", standin.StreamOf("r1", 3), "u.r1"),
		Entry("of another request", standin.StreamOf("r2", 3), "u.r1", "wrong-answer"),
		Entry("sealed for another request", standin.StreamOf("r1", 3), "u.r2", "wrong-answer"),
		Entry("of another version", standin.StreamOf("r1", 2), "u.r1", "wrong-answer"),
		Entry("cut without a word", strings.TrimSuffix(standin.StreamOf("r1", 3), "\n\n"), "u.r1", "wrong-answer"),
	)

	It("names what happened around a violation, and counts its like", func() {
		h := newHistory()
		h.RecordEvent("long ago")
		h.pass(aroundBefore)
		h.leaves(leaveWithin + 1)
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
	It("is drawn by its seed alone, in order, ends before the tail, and keeps to what is allowed", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			seed := rapid.Uint64().Draw(t, "seed")
			allowed := rapid.SliceOfDistinct(rapid.SampledFrom(known()), rapid.ID[string]).Draw(t, "allowed")
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
				if s.At < 0 || s.At+s.Duration > length-tail || (i > 0 && s.At < l[i-1].At) {
					t.Fatalf("%v after %v", s, l[max(0, i-1)])
				}
				if len(allowed) > 0 && !strings.Contains(strings.Join(allowed, " "), s.Action) {
					t.Fatalf("%s is not allowed", s.Action)
				}
			}
		})
	})
})

var _ = Describe("a link", func() {
	// say sends a line over a connection and returns whether an echo comes soon, and the error where none does.
	say := func(c net.Conn) error {
		_ = c.SetDeadline(time.Now().Add(200 * time.Millisecond))
		if _, err := c.Write([]byte("x")); err != nil {
			return err
		}
		_, err := io.ReadFull(c, make([]byte, 1))
		return err
	}
	var l *Link
	dial := func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		Expect(say(c)).To(Or(Succeed(), MatchError(ContainSubstring("timeout"))))
		return c
	}
	BeforeEach(func() {
		var err error
		l, err = listenLink("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { l.Close() })
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go func() { _, _ = io.Copy(c, c) }()
			}
		}()
	})

	It("silences a connection for good without a reset while new ones work", func() {
		old := dial()
		l.SetSilent(false)
		Expect(say(old)).To(MatchError(ContainSubstring("timeout")))
		Expect(say(dial())).To(Succeed())
		l.SetSilent(false)
		Expect(say(old)).To(MatchError(ContainSubstring("timeout")))
	})

	It("silences new ones too until it speaks again", func() {
		l.SetSilent(true)
		Expect(say(dial())).To(HaveOccurred())
		l.SetSilent(false)
		Expect(say(dial())).To(Succeed())
	})

	It("keeps answers back, and lets them out when it heals", func() {
		c := dial()
		l.HoldAnswers(true)
		Expect(say(c)).To(MatchError(ContainSubstring("timeout")))
		l.HoldAnswers(false)
		Expect(say(c)).To(Succeed())
	})

	It("resets its connections, delays them, and ends", func() {
		c := dial()
		l.Reset()
		Expect(say(c)).To(HaveOccurred())
		l.SetDelay(100 * time.Millisecond)
		c = dial()
		start := time.Now()
		Expect(say(c)).To(Succeed())
		Expect(time.Since(start)).To(BeNumerically(">=", 100*time.Millisecond))
		l.Close()
		Expect(say(c)).To(HaveOccurred())
		_, err := net.Dial("tcp", l.Addr().String())
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("a door to the store", func() {
	It("loses answers after the call took effect", func() {
		d := &StoreEndpoint{KeyedEndpoint: standin.NewKeyedStore().NewEndpoint()}
		s := httptest.NewServer(d)
		DeferCleanup(s.Close)
		lost := 0
		d.lossy.Store(3)
		for range 2 * tenth {
			a, err := http.Get(s.URL + "/v1/log-newest?topic=x")
			if err != nil {
				lost++
				Expect(errors.Is(err, io.EOF)).To(BeTrue())
				continue
			}
			a.Body.Close()
		}
		Expect(lost).To(BeNumerically(">=", 4))
		Expect(d.Calls()).To(BeNumerically(">=", 2*tenth))
	})
})

var _ = Describe("the command line", func() {
	DescribeTable("refuses what it can't run", func(args ...string) {
		Expect(Main(args, io.Discard, io.Discard)).To(Equal(exitUsage))
	}, Entry("an unknown fault", "--faults", "earthquake"), Entry("too short", "--seconds", "5"),
		Entry("a domain without a gateway", "--gateways", "1", "--domains", "2"))
})

var _ = Describe("a run", func() {
	It("fails by anything but the checks that are known to fail", func() {
		r := &Result{Violations: []*Violation{{Check: "weights"}}}
		Expect(r.failed(nil)).To(BeTrue())
		Expect(r.failed([]string{"weights"})).To(BeFalse())
		r.Violations = append(r.Violations, &Violation{Check: "leaving"})
		Expect(r.failed([]string{"weights"})).To(BeTrue())
		Expect((&Result{Problem: "no start"}).failed([]string{"weights"})).To(BeTrue())
	})
})
