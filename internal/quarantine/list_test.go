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

var quiet = &log.Logger{Level: log.PanicLevel}

// desk is a list whose clock and pauses a spec plays.
type desk struct {
	*SuspectTracker
	at     time.Time
	paused []func()
	// served are the requests that the list told others of.
	served []Fingerprint
}

func newDesk() *desk {
	d := &desk{at: time.Unix(1000, 0)}
	d.SuspectTracker = NewSuspectTracker("vm", func() time.Time { return d.at }, quiet)
	d.after = func(_ time.Duration, f func()) { d.paused = append(d.paused, f) }
	d.OnServed = func(f Fingerprint) { d.served = append(d.served, f) }
	return d
}

// settled lets the pauses be over.
func (d *desk) settled() {
	l := d.paused
	d.paused = nil
	for _, f := range l {
		f()
	}
}

// request is the fingerprint of a request with a name.
func request(name string) Fingerprint {
	return Of("POST", "/", "gym", []byte(name))
}

// endOf is an end of an instance with requests, each in a try of its own that was sent on alone.
func endOf(instance int, names ...string) Crash {
	e := Crash{Incarnation: Incarnation{Instance: id.Instance(fmt.Sprint("i", instance)), Address: "a"}}
	for _, n := range names {
		e.Requests = append(e.Requests, InFlightRequest{Fingerprint: request(n), Organisation: "gym", Attempt: CallerAttempt(instance), Alone: true})
	}
	return e
}

var _ = Describe("a request under which upstreams end", func() {
	It("is tried alone after two, waits after three, and is held once all have told what they saw", func() {
		d := newDesk()
		verdicts := []Verdict{Pass, Alone, Waits}
		for n, v := range verdicts {
			d.RecordCrash(endOf(n, "bad", fmt.Sprint("other", n)))
			Expect(d.Check(request("bad"))).To(Equal(v))
		}
		d.settled()
		Expect(d.Check(request("bad"))).To(Equal(Held))
		Expect(d.HeldRequests()).To(HaveLen(1))
		Expect(d.HeldRequests()[0].Incarnations).To(HaveLen(3))
		for n := range verdicts {
			Expect(d.Check(request(fmt.Sprint("other", n)))).To(Equal(Pass))
		}
	})

	It("counts ends that lie an hour apart", func() {
		d := newDesk()
		for n := range 3 {
			d.RecordCrash(endOf(n, "bad"))
			d.at = d.at.Add(time.Hour)
		}
		d.settled()
		Expect(d.Check(request("bad"))).To(Equal(Held))
	})

	It("is held for three different starts only, however often and by whomever one is told", func() {
		d := newDesk()
		for range 3 {
			d.RecordCrash(endOf(1, "bad"))
			d.RecordCrash(endOf(2, "bad", "other"))
		}
		d.settled()
		Expect(d.Check(request("bad"))).To(Equal(Alone))
	})

	It("counts an end once that two gateways tell which know different things of its birth, and each start of one ID", func() {
		d := newDesk()
		e := endOf(1, "bad")
		d.RecordCrash(e)
		e.Incarnation.Born = 10
		d.RecordCrash(e)
		d.RecordCrash(endOf(2, "bad"))
		Expect(d.Check(request("bad"))).To(Equal(Alone))
		d.at = d.at.Add(time.Minute)
		e.Incarnation.Born, e.Requests[0].Attempt = 20, 20
		d.RecordCrash(e)
		Expect(d.Check(request("bad"))).To(Equal(Waits))
	})

	It("explains the ends at which others were beside it", func() {
		d := newDesk()
		for n := range 4 {
			names := []string{"bad"}
			if n < 3 {
				names = append(names, "beside")
			}
			d.RecordCrash(endOf(n, names...))
		}
		d.settled()
		Expect(d.Check(request("bad"))).To(Equal(Held))
		Expect(d.Check(request("beside"))).To(Equal(Pass))
		d.RecordCrash(endOf(5, "bad", "beside"))
		d.RecordCrash(endOf(6, "beside"))
		Expect(d.Check(request("beside"))).To(Equal(Pass), "one end speaks against it, as the held one explains the others")
	})

	It("is held with those that can't be told from it", func() {
		d := newDesk()
		for n := range 3 {
			d.RecordCrash(endOf(n, "bad", "same"))
		}
		d.settled()
		Expect(d.Check(request("bad"))).To(Equal(Held))
		Expect(d.Check(request("same"))).To(Equal(Held))
	})

	It("is not held for three ends under fewer tries of its callers, or where none was sent on alone", func() {
		d := newDesk()
		for n := range 4 {
			few, crowd := endOf(n, "few"), endOf(n, "crowd")
			few.Requests[0].Attempt = CallerAttempt(n / 2)
			crowd.Requests[0].Alone = false
			d.RecordCrash(few)
			d.RecordCrash(crowd)
		}
		d.settled()
		Expect(d.Check(request("few"))).To(Equal(Alone))
		Expect(d.Check(request("crowd"))).To(Equal(Alone))
		d.RecordCrash(endOf(5, "few"))
		d.RecordCrash(endOf(6, "crowd"))
		d.settled()
		Expect(d.Check(request("few"))).To(Equal(Held))
		Expect(d.Check(request("crowd"))).To(Equal(Held))
	})

	It("is told apart by what comes while it waits", func() {
		d := newDesk()
		for n := range 3 {
			d.RecordCrash(endOf(n, "beside"))
		}
		d.RecordCrash(endOf(0, "bad"))
		d.RecordCrash(endOf(1, "bad"))
		d.RecordCrash(endOf(2, "bad"))
		d.RecordCrash(endOf(3, "bad"))
		d.settled()
		Expect(d.Check(request("bad"))).To(Equal(Held))
		Expect(d.Check(request("beside"))).To(Equal(Pass))
	})

	It("is no suspect any more once it has been served, here or elsewhere, and others hear of it", func() {
		d := newDesk()
		d.RecordCrash(endOf(1, "hot"))
		d.RecordCrash(endOf(2, "hot"))
		d.Served(request("hot"))
		Expect(d.Check(request("hot"))).To(Equal(Pass))
		Expect(d.served).To(Equal([]Fingerprint{request("hot")}))
		d.RecordCrash(endOf(3, "far"))
		d.RecordCrash(endOf(4, "far"))
		d.ClearSuspicion(request("far"))
		Expect(d.Check(request("far"))).To(Equal(Pass))
		Expect(d.served).To(HaveLen(1), "what was heard is not told again")
	})

	It("that has been served is not suspected anew by who tells of the same ends again", func() {
		d := newDesk()
		for range 3 {
			d.RecordCrash(endOf(1, "proper"))
			d.RecordCrash(endOf(2, "proper"))
			d.ClearSuspicion(request("proper"))
		}
		d.RecordCrash(endOf(3, "proper"))
		Expect(d.Check(request("proper"))).To(Equal(Pass))
		Expect(d.suspects[request("proper")].ends).To(HaveLen(1))
	})

	It("is no suspect while it has been served within a minute, however many upstreams end beside it", func() {
		d := newDesk()
		d.Served(request("hot"))
		for n := range 4 {
			d.RecordCrash(endOf(n, "hot"))
			Expect(d.Check(request("hot"))).To(Equal(Pass))
		}
		Expect(d.served).NotTo(BeEmpty(), "gateways that did not serve it hear of it")
		d.at = d.at.Add(servedLife)
		d.RecordCrash(endOf(6, "hot"))
		d.RecordCrash(endOf(7, "hot"))
		Expect(d.Check(request("hot"))).To(Equal(Alone))
	})

	It("that was on its way when it was held, and is served, is held no longer", func() {
		d := newDesk()
		d.AddHeld(HeldRequest{Fingerprint: request("proper"), Incarnations: make([]Incarnation, 3)})
		Expect(d.Check(request("proper"))).To(Equal(Held))
		d.Served(request("proper"))
		Expect(d.Check(request("proper"))).To(Equal(Pass))
		Expect(d.served).To(HaveLen(1))
	})

	It("that an operator lifts begins anew", func() {
		d := newDesk()
		d.AddHeld(HeldRequest{Fingerprint: request("bad")})
		Expect(d.Lift(request("bad"))).To(BeTrue())
		Expect(d.Lift(request("bad"))).To(BeFalse())
		Expect(d.Check(request("bad"))).To(Equal(Pass))
		d.RecordCrash(endOf(1, "bad"))
		d.RecordCrash(endOf(2, "bad"))
		Expect(d.Check(request("bad"))).To(Equal(Alone))
	})

	It("stays held whatever another organisation does", func() {
		d := newDesk()
		d.AddHeld(HeldRequest{Fingerprint: request("bad"), Organisation: "gym", SinceUnixMs: 1})
		for n := range mostOfOne + 5 {
			d.AddHeld(HeldRequest{Fingerprint: request(fmt.Sprint("flood", n)), Organisation: "huts", SinceUnixMs: int64(2 + n)})
		}
		Expect(d.Check(request("bad"))).To(Equal(Held))
		Expect(d.HeldRequests()).To(HaveLen(mostOfOne + 1))
		Expect(d.Check(request("flood0"))).To(Equal(Pass), "its own oldest are let go")
		for n := range mostEnds + 5 {
			d.RecordCrash(endOf(n, fmt.Sprint("crowd", n)))
		}
		Expect(d.Check(request("bad"))).To(Equal(Held))
		Expect(d.ends).To(HaveLen(mostEnds))
		Expect(len(d.suspects)).To(BeNumerically("<=", mostEnds))
	})

	It("goes first from the largest organisation where too many are held in all", func() {
		h := newHeld()
		for n := range mostHeld + 3 {
			o := id.Organisation(fmt.Sprint("small", n%64))
			if n < mostOfOne {
				o = "large"
			}
			h.put(HeldRequest{Fingerprint: request(fmt.Sprint(n)), Organisation: o})
		}
		Expect(h.size()).To(Equal(mostHeld))
		Expect(h.order["large"]).To(HaveLen(mostOfOne - 3))
	})

	It("costs nothing to be told of while nothing is suspected", func() {
		d := newDesk()
		Expect(d.watching.Load()).To(BeFalse())
		d.RecordCrash(endOf(1, "a"))
		Expect(d.watching.Load()).To(BeTrue())
		d.Served(request("a"))
		Expect(d.watching.Load()).To(BeFalse())
	})
})

var _ = Describe("news of ends", func() {
	It("reaches others in messages that fit into a packet, whole", func() {
		e := endOf(1)
		for n := range 2*mostTold + 3 {
			e.Requests = append(e.Requests, InFlightRequest{Fingerprint: request(fmt.Sprint(n)), Organisation: "gym"})
		}
		d := newDesk()
		told := CrashNews{Crashes: []Crash{e}}.Messages()
		Expect(told).To(HaveLen(3))
		for _, m := range told {
			d.ApplyNews(m)
		}
		Expect(d.ends).To(HaveLen(1))
		Expect(d.ends[0].of).To(HaveLen(2*mostTold + 3))
		h := HeldRequest{Fingerprint: request("bad"), Organisation: "gym", HeldBy: "far", SinceUnixMs: 5, Incarnations: []Incarnation{{Address: "a", Instance: "i", Born: 3}}}
		d.ApplyNews(CrashNews{Held: []HeldRequest{h}}.Messages()[0])
		Expect(d.HeldRequests()).To(Equal([]HeldRequest{h}))
		d.ApplyNews(CrashNews{Served: []Fingerprint{request("0")}}.Messages()[0])
		Expect(d.suspects).To(HaveLen(2*mostTold + 2))
	})

	It("in any order, doubled, late or lost: nothing is held without three starts, and all who share their holds end with the same", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var told []Crash
			for n := range rapid.IntRange(1, 8).Draw(t, "ends") {
				names := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 1, 4).Draw(t, "present")
				told = append(told, endOf(n, names...))
			}
			gateways := []*desk{newDesk(), newDesk(), newDesk()}
			for _, g := range gateways {
				heard := map[Fingerprint]map[id.Instance]bool{}
				for _, n := range rapid.SliceOfN(rapid.IntRange(0, len(told)-1), 0, 24).Draw(t, "heard") {
					g.RecordCrash(told[n])
					for _, p := range told[n].Requests {
						if heard[p.Fingerprint] == nil {
							heard[p.Fingerprint] = map[id.Instance]bool{}
						}
						heard[p.Fingerprint][told[n].Incarnation.Instance] = true
					}
					if rapid.Bool().Draw(t, "settles") {
						g.settled()
					}
				}
				g.settled()
				for _, h := range g.HeldRequests() {
					if len(heard[h.Fingerprint]) < enough {
						t.Fatalf("held after %d starts", len(heard[h.Fingerprint]))
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
					if gateways[0].Check(h.Fingerprint) != Held {
						t.Fatalf("held by one and not by all")
					}
				}
				if len(g.HeldRequests()) != len(gateways[0].HeldRequests()) {
					t.Fatalf("%d and %d held", len(g.HeldRequests()), len(gateways[0].HeldRequests()))
				}
			}
		})
	})
})
