package quarantine

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/phuslu/log"
	"pgregory.net/rapid"

	"github.com/springrail/springrail/internal/id"
)

var discardLog = &log.Logger{Level: log.PanicLevel}

// manualTracker is a suspect tracker whose clock and timers a test controls.
type manualTracker struct {
	*SuspectTracker
	clock  time.Time
	timers []func()
	// served are the requests for which the tracker called OnServed.
	served []Fingerprint
}

func newManualTracker() *manualTracker {
	d := &manualTracker{clock: time.Unix(1000, 0)}
	d.SuspectTracker = NewSuspectTracker("vm", func() time.Time { return d.clock }, discardLog)
	d.after = func(_ time.Duration, f func()) { d.timers = append(d.timers, f) }
	d.OnServed = func(f Fingerprint) { d.served = append(d.served, f) }
	return d
}

// runTimers runs the functions of all timers.
func (d *manualTracker) runTimers() {
	l := d.timers
	d.timers = nil
	for _, f := range l {
		f()
	}
}

// request returns the fingerprint of a request with a name.
func request(name string) Fingerprint {
	return Of("POST", "/", "gym", []byte(name))
}

// known returns what a request of the same organisation with given parts is recognised by.
func known(f Fingerprint, parts ...Fingerprint) Identity {
	return Identity{Fingerprint: f, Parts: parts, Organisation: "gym"}
}

// crashOf returns a crash of an instance with requests in flight, each in an attempt of its own that was sent alone.
func crashOf(instance int, names ...string) Crash {
	e := Crash{Incarnation: Incarnation{Instance: id.Instance(fmt.Sprint("i", instance)), Address: "a"}}
	for _, n := range names {
		e.Requests = append(e.Requests, InFlightRequest{Fingerprint: request(n), Organisation: "gym", Attempt: CallerAttempt(instance), Alone: true})
	}
	return e
}

var _ = Describe("a request under which upstreams crash", func() {
	It("is sent alone after two crashes, waits after three, and is held once the settle delay is over", func() {
		d := newManualTracker()
		verdicts := []Verdict{Pass, Alone, Waits}
		for n, v := range verdicts {
			d.RecordCrash(crashOf(n, "bad", fmt.Sprint("other", n)))
			Expect(d.Check(known(request("bad")))).To(Equal(v))
		}
		d.runTimers()
		Expect(d.Check(known(request("bad")))).To(Equal(Held))
		Expect(d.HeldRequests()).To(HaveLen(1))
		Expect(d.HeldRequests()[0].Incarnations).To(HaveLen(3))
		for n := range verdicts {
			Expect(d.Check(known(request(fmt.Sprint("other", n))))).To(Equal(Pass))
		}
	})

	It("is held for crashes that are an hour apart", func() {
		d := newManualTracker()
		for n := range 3 {
			d.RecordCrash(crashOf(n, "bad"))
			d.clock = d.clock.Add(time.Hour)
		}
		d.runTimers()
		Expect(d.Check(known(request("bad")))).To(Equal(Held))
	})

	It("is held for crashes of three different incarnations only, however often each is reported", func() {
		d := newManualTracker()
		for range 3 {
			d.RecordCrash(crashOf(1, "bad"))
			d.RecordCrash(crashOf(2, "bad", "other"))
		}
		d.runTimers()
		Expect(d.Check(known(request("bad")))).To(Equal(Alone))
	})

	It("has one crash if only one of two reports contains the incarnation, and one for each known incarnation of an instance", func() {
		d := newManualTracker()
		e := crashOf(1, "bad")
		d.RecordCrash(e)
		e.Incarnation.Born = 10
		d.RecordCrash(e)
		d.RecordCrash(crashOf(2, "bad"))
		Expect(d.Check(known(request("bad")))).To(Equal(Alone))
		d.clock = d.clock.Add(time.Minute)
		e.Incarnation.Born, e.Requests[0].Attempt = 20, 20
		d.RecordCrash(e)
		Expect(d.Check(known(request("bad")))).To(Equal(Waits))
	})

	It("explains the crashes at which others were also in flight", func() {
		d := newManualTracker()
		for n := range 4 {
			names := []string{"bad"}
			if n < 3 {
				names = append(names, "beside")
			}
			d.RecordCrash(crashOf(n, names...))
		}
		d.runTimers()
		Expect(d.Check(known(request("bad")))).To(Equal(Held))
		Expect(d.Check(known(request("beside")))).To(Equal(Pass))
		d.RecordCrash(crashOf(5, "bad", "beside"))
		d.RecordCrash(crashOf(6, "beside"))
		Expect(d.Check(known(request("beside")))).To(Equal(Pass), "only one crash counts, because the held request explains the others")
	})

	It("is held with those that can't be distinguished from it", func() {
		d := newManualTracker()
		for n := range 3 {
			d.RecordCrash(crashOf(n, "bad", "same"))
		}
		d.runTimers()
		Expect(d.Check(known(request("bad")))).To(Equal(Held))
		Expect(d.Check(known(request("same")))).To(Equal(Held))
	})

	It("is not held for three crashes under fewer attempts of its callers, or if none was sent alone", func() {
		d := newManualTracker()
		for n := range 4 {
			few, crowd := crashOf(n, "few"), crashOf(n, "crowd")
			few.Requests[0].Attempt = CallerAttempt(n / 2)
			crowd.Requests[0].Alone = false
			d.RecordCrash(few)
			d.RecordCrash(crowd)
		}
		d.runTimers()
		Expect(d.Check(known(request("few")))).To(Equal(Alone))
		Expect(d.Check(known(request("crowd")))).To(Equal(Alone))
		d.RecordCrash(crashOf(5, "few"))
		d.RecordCrash(crashOf(6, "crowd"))
		d.runTimers()
		Expect(d.Check(known(request("few")))).To(Equal(Held))
		Expect(d.Check(known(request("crowd")))).To(Equal(Held))
	})

	It("is distinguished from others by reports that arrive in the settle delay", func() {
		d := newManualTracker()
		for n := range 3 {
			d.RecordCrash(crashOf(n, "beside"))
		}
		d.RecordCrash(crashOf(0, "bad"))
		d.RecordCrash(crashOf(1, "bad"))
		d.RecordCrash(crashOf(2, "bad"))
		d.RecordCrash(crashOf(3, "bad"))
		d.runTimers()
		Expect(d.Check(known(request("bad")))).To(Equal(Held))
		Expect(d.Check(known(request("beside")))).To(Equal(Pass))
	})

	It("is no longer suspected once it was served here or elsewhere, and other gateways are notified", func() {
		d := newManualTracker()
		d.RecordCrash(crashOf(1, "hot"))
		d.RecordCrash(crashOf(2, "hot"))
		d.Served(known(request("hot")))
		Expect(d.Check(known(request("hot")))).To(Equal(Pass))
		Expect(d.served).To(Equal([]Fingerprint{request("hot")}))
		d.RecordCrash(crashOf(3, "far"))
		d.RecordCrash(crashOf(4, "far"))
		d.ClearSuspicion(request("far"))
		Expect(d.Check(known(request("far")))).To(Equal(Pass))
		Expect(d.served).To(HaveLen(1), "a notification is not forwarded")
	})

	It("that was served is not suspected again for reports of the same crashes", func() {
		d := newManualTracker()
		for range 3 {
			d.RecordCrash(crashOf(1, "proper"))
			d.RecordCrash(crashOf(2, "proper"))
			d.ClearSuspicion(request("proper"))
		}
		d.RecordCrash(crashOf(3, "proper"))
		Expect(d.Check(known(request("proper")))).To(Equal(Pass))
		Expect(d.suspects[request("proper")].crashes).To(HaveLen(1))
	})

	It("is not suspected within a minute of being served, however many upstreams crash", func() {
		d := newManualTracker()
		d.Served(known(request("hot")))
		for n := range 4 {
			d.RecordCrash(crashOf(n, "hot"))
			Expect(d.Check(known(request("hot")))).To(Equal(Pass))
		}
		Expect(d.served).NotTo(BeEmpty(), "other gateways are notified")
		d.clock = d.clock.Add(servedTTL)
		d.RecordCrash(crashOf(6, "hot"))
		d.RecordCrash(crashOf(7, "hot"))
		Expect(d.Check(known(request("hot")))).To(Equal(Alone))
	})

	It("that was in flight when it was held, and is then served, is released", func() {
		d := newManualTracker()
		d.AddHeld(HeldRequest{Fingerprint: request("proper"), Incarnations: make([]Incarnation, 3)})
		Expect(d.Check(known(request("proper")))).To(Equal(Held))
		d.Served(known(request("proper")))
		Expect(d.Check(known(request("proper")))).To(Equal(Pass))
		Expect(d.served).To(HaveLen(1))
	})

	It("that an operator lifts starts without evidence", func() {
		d := newManualTracker()
		d.AddHeld(HeldRequest{Fingerprint: request("bad")})
		Expect(d.Lift(request("bad"))).To(BeTrue())
		Expect(d.Lift(request("bad"))).To(BeFalse())
		Expect(d.Check(known(request("bad")))).To(Equal(Pass))
		d.RecordCrash(crashOf(1, "bad"))
		d.RecordCrash(crashOf(2, "bad"))
		Expect(d.Check(known(request("bad")))).To(Equal(Alone))
	})

	It("stays held whatever requests another organisation sends", func() {
		d := newManualTracker()
		d.AddHeld(HeldRequest{Fingerprint: request("bad"), Organisation: "gym", SinceUnixMs: 1})
		for n := range maxHeldPerOrganisation + 5 {
			d.AddHeld(HeldRequest{Fingerprint: request(fmt.Sprint("flood", n)), Organisation: "huts", SinceUnixMs: int64(2 + n)})
		}
		Expect(d.Check(known(request("bad")))).To(Equal(Held))
		Expect(d.HeldRequests()).To(HaveLen(maxHeldPerOrganisation + 1))
		Expect(d.Check(known(request("flood0")))).To(Equal(Pass), "the organisation's own oldest request is evicted")
		for n := range maxCrashes + 5 {
			d.RecordCrash(crashOf(n, fmt.Sprint("crowd", n)))
		}
		Expect(d.Check(known(request("bad")))).To(Equal(Held))
		Expect(d.crashes).To(HaveLen(maxCrashes))
		Expect(len(d.suspects)).To(BeNumerically("<=", maxCrashes))
	})

	It("is evicted from the organisation with the most held requests if too many are held", func() {
		h := newHeldSet()
		for n := range maxHeld + 3 {
			o := id.Organisation(fmt.Sprint("small", n%64))
			if n < maxHeldPerOrganisation {
				o = "large"
			}
			h.put(HeldRequest{Fingerprint: request(fmt.Sprint(n)), Organisation: o})
		}
		Expect(h.size()).To(Equal(maxHeld))
		Expect(h.byOrganisation["large"]).To(HaveLen(maxHeldPerOrganisation - 3))
	})

	It("sets the flag for the lock-free check only while it is suspected", func() {
		d := newManualTracker()
		Expect(d.watching.Load()).To(BeFalse())
		d.RecordCrash(crashOf(1, "a"))
		Expect(d.watching.Load()).To(BeTrue())
		d.Served(known(request("a")))
		Expect(d.watching.Load()).To(BeFalse())
	})
})

var _ = Describe("crash news", func() {
	It("is split into messages that fit into a packet, without loss", func() {
		e := crashOf(1)
		for n := range 2*maxRequestsPerMessage + 3 {
			e.Requests = append(e.Requests, InFlightRequest{Fingerprint: request(fmt.Sprint(n)), Organisation: "gym"})
		}
		d := newManualTracker()
		sent := CrashNews{Crashes: []Crash{e}}.Messages()
		Expect(sent).To(HaveLen(3))
		for _, m := range sent {
			d.ApplyNews(m)
		}
		Expect(d.crashes).To(HaveLen(1))
		Expect(d.crashes[0].present).To(HaveLen(2*maxRequestsPerMessage + 3))
		h := HeldRequest{Fingerprint: request("bad"), Organisation: "gym", HeldBy: "far", SinceUnixMs: 5, Incarnations: []Incarnation{{Address: "a", Instance: "i", Born: 3}}}
		d.ApplyNews(CrashNews{Held: []HeldRequest{h}}.Messages()[0])
		Expect(d.HeldRequests()).To(Equal([]HeldRequest{h}))
		d.ApplyNews(CrashNews{Served: []Fingerprint{request("0")}}.Messages()[0])
		Expect(d.suspects).To(HaveLen(2*maxRequestsPerMessage + 2))
	})

	It("that is reordered, duplicated or lost holds no request without three crashes, and gateways that exchange their held requests agree", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var sent []Crash
			for n := range rapid.IntRange(1, 8).Draw(t, "crashes") {
				names := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 1, 4).Draw(t, "in flight")
				sent = append(sent, crashOf(n, names...))
			}
			gateways := []*manualTracker{newManualTracker(), newManualTracker(), newManualTracker()}
			for _, g := range gateways {
				received := map[Fingerprint]map[id.Instance]bool{}
				for _, n := range rapid.SliceOfN(rapid.IntRange(0, len(sent)-1), 0, 24).Draw(t, "received") {
					g.RecordCrash(sent[n])
					for _, p := range sent[n].Requests {
						if received[p.Fingerprint] == nil {
							received[p.Fingerprint] = map[id.Instance]bool{}
						}
						received[p.Fingerprint][sent[n].Incarnation.Instance] = true
					}
					if rapid.Bool().Draw(t, "settle") {
						g.runTimers()
					}
				}
				g.runTimers()
				for _, h := range g.HeldRequests() {
					if len(received[h.Fingerprint]) < minCrashes {
						t.Fatalf("held after %d crashes", len(received[h.Fingerprint]))
					}
				}
			}
			for _, from := range gateways {
				for _, h := range from.HeldRequests() {
					for _, to := range gateways {
						to.AddHeld(h)
					}
				}
			}
			for _, g := range gateways[1:] {
				for _, h := range g.HeldRequests() {
					if gateways[0].Check(known(h.Fingerprint)) != Held {
						t.Fatalf("held by one gateway and not by all")
					}
				}
				if len(g.HeldRequests()) != len(gateways[0].HeldRequests()) {
					t.Fatalf("%d and %d requests are held", len(g.HeldRequests()), len(gateways[0].HeldRequests()))
				}
			}
		})
	})
})
