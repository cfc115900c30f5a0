package quarantine

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/springrail/springrail/internal/id"
)

// promptCrash returns a crash of an instance as it began answers on requests with the given parts, each a different request.
func promptCrash(instance int, prompts ...[]string) Crash {
	e := Crash{Incarnation: Incarnation{Instance: id.Instance(fmt.Sprint("i", instance)), Address: "a"}}
	for n, names := range prompts {
		e.Requests = append(e.Requests, InFlightRequest{
			Fingerprint: request(fmt.Sprint(instance, "/", n)), Organisation: "gym", Attempt: CallerAttempt(instance), Parts: partsNamed(names), Progress: Beginning,
		})
	}
	return e
}

// crashEach records one crash of instances from first on for each of the prompts, a second apart.
func (d *manualTracker) crashEach(first int, prompts ...[]string) {
	for n, names := range prompts {
		d.RecordCrash(promptCrash(first+n, names))
		d.clock = d.clock.Add(time.Second)
	}
}

// checkPrompt returns the verdict on a new request with the given parts.
func (d *manualTracker) checkPrompt(names ...string) Verdict {
	return d.Check(known(request(fmt.Sprint("new", names)), partsNamed(names)...))
}

var _ = Describe("a part of prompts under which upstreams crash", func() {
	It("is sent once after two crashes, waits after four, and is then held in all requests, while its neighbours pass", func() {
		d := newManualTracker()
		verdicts := []Verdict{Pass, Once, Once, Waits}
		for n, v := range verdicts {
			d.crashEach(n, []string{fmt.Sprint("first", n), "bad"})
			Expect(d.checkPrompt("first9", "bad")).To(Equal(v), fmt.Sprint(n+1, " crashes"))
		}
		d.runTimers()
		Expect(d.checkPrompt("bad")).To(Equal(Held))
		Expect(d.checkPrompt("another", "bad", "more")).To(Equal(Held))
		Expect(d.checkPrompt("first0")).To(Equal(Pass))
		Expect(d.HeldRequests()).To(HaveLen(1))
		Expect(d.HeldRequests()[0].Parts).To(Equal(partsNamed([]string{"bad"})))
		Expect(d.HeldRequests()[0].Incarnations).To(HaveLen(len(verdicts)))
	})

	It("is not held for the crashes of one request that is repeated", func() {
		d := newManualTracker()
		for n := range 8 {
			e := promptCrash(n, []string{"first", "bad"})
			e.Requests[0].Fingerprint = request("repeated")
			d.RecordCrash(e)
			d.clock = d.clock.Add(time.Second)
		}
		d.runTimers()
		Expect(d.HeldRequests()).To(BeEmpty())
		Expect(d.checkPrompt("first", "bad")).To(Equal(Once))
	})

	It("is not held for upstreams that end together", func() {
		d := newManualTracker()
		for n := range 20 {
			d.RecordCrash(promptCrash(n, []string{"first"}, []string{"first", "second"}))
		}
		d.runTimers()
		Expect(d.HeldRequests()).To(BeEmpty())
	})

	It("is held for upstreams that end shortly after each other if many different requests with it were beginning there", func() {
		d := newManualTracker()
		for n := range minCertainCrashes {
			Expect(d.checkPrompt("bad")).NotTo(Equal(Held))
			if n%2 == 0 {
				d.clock = d.clock.Add(sameCauseWindow)
			}
			d.RecordCrash(promptCrash(n, []string{"bad"}, []string{fmt.Sprint("other", n)}, []string{fmt.Sprint("third", n)}))
		}
		d.runTimers()
		Expect(d.checkPrompt("bad")).To(Equal(Held))
		Expect(d.checkPrompt("other0")).To(Equal(Pass))
	})

	It("is held for two crashes of its own at once beside those that another hold explains", func() {
		d := newManualTracker()
		d.crashEach(0, slices.Repeat([][]string{{"known"}}, minPartCrashes)...)
		d.runTimers()
		Expect(d.checkPrompt("known")).To(Equal(Held))
		for n := range minPartCrashes {
			d.RecordCrash(promptCrash(10+n, []string{"known"}, []string{"hidden"}))
			d.clock = d.clock.Add(sameCauseWindow)
		}
		d.runTimers()
		Expect(d.checkPrompt("hidden")).NotTo(Equal(Held))
		for n := range minCrashesBeside {
			d.RecordCrash(promptCrash(20+n, []string{"hidden"}))
		}
		d.runTimers()
		Expect(d.checkPrompt("hidden")).To(Equal(Held))
	})

	It("is held for upstreams that end shortly after each other if the same requests were sent from one to the next", func() {
		d := newManualTracker()
		for n := range 6 {
			e := promptCrash(n, []string{"bad"})
			e.Requests[0].Fingerprint = request(fmt.Sprint("sent to three ", n/3))
			d.RecordCrash(e)
			d.clock = d.clock.Add(2 * time.Millisecond)
		}
		d.runTimers()
		Expect(d.checkPrompt("bad")).To(Equal(Held))
	})

	It("is not held if answers on it come between the crashes", func() {
		d := newManualTracker()
		for n := range 20 {
			d.crashEach(n, []string{"first"})
			d.Served(known(request(fmt.Sprint("served", n)), partNamed("first")))
		}
		d.runTimers()
		Expect(d.HeldRequests()).To(BeEmpty())
	})

	It("is held only after more crashes if answers on it came shortly before", func() {
		d := newManualTracker()
		d.Served(known(request("served"), partNamed("bad")))
		d.crashEach(0, []string{"bad"}, []string{"bad"}, []string{"bad"}, []string{"bad"}, []string{"bad"})
		d.runTimers()
		Expect(d.HeldRequests()).To(BeEmpty())
		d.crashEach(5, []string{"bad"})
		d.runTimers()
		Expect(d.checkPrompt("bad")).To(Equal(Held))
	})

	It("is not suspected where its answers had begun some time before", func() {
		d := newManualTracker()
		for n := range 8 {
			e := promptCrash(n, []string{"first"})
			e.Requests[0].Progress, e.Requests[0].Parts = Writing, nil
			d.RecordCrash(e)
			d.clock = d.clock.Add(time.Second)
		}
		Expect(d.checkPrompt("first")).To(Equal(Pass))
	})

	It("is held later where no answer on it had begun, unless others may be the cause", func() {
		d := newManualTracker()
		waiting := func(n int, others ...[]string) {
			e := promptCrash(n, append([][]string{{"bad"}}, others...)...)
			e.Requests[0].Progress = Waiting
			d.RecordCrash(e)
			d.clock = d.clock.Add(time.Second)
		}
		for n := range 4 {
			waiting(n)
		}
		waiting(4, []string{"other"})
		d.runTimers()
		Expect(d.HeldRequests()).To(BeEmpty())
		waiting(5)
		d.runTimers()
		Expect(d.checkPrompt("bad")).To(Equal(Held))
	})

	It("is held together with a part that always came with it, until either is served or crashes alone", func() {
		d := newManualTracker()
		both := []string{"rare", "bad"}
		d.crashEach(0, both, both, both, both)
		d.runTimers()
		Expect(d.checkPrompt("rare", "bad")).To(Equal(Held))
		Expect(d.checkPrompt("rare")).To(Equal(Once))
		Expect(d.checkPrompt("bad")).To(Equal(Once))
		By("the other one is served")
		d.Served(known(request("alone"), partNamed("rare")))
		Expect(d.checkPrompt("rare")).To(Equal(Pass))
		Expect(d.checkPrompt("bad")).To(Equal(Held))
		Expect(d.HeldRequests()).To(HaveLen(1))
	})

	It("is held alone once it crashes an upstream without the part that came with it before", func() {
		d := newManualTracker()
		both := []string{"rare", "bad"}
		d.crashEach(0, both, both, both, both, []string{"bad"})
		d.runTimers()
		Expect(d.HeldRequests()).To(HaveLen(1))
		Expect(d.checkPrompt("bad")).To(Equal(Held))
		Expect(d.checkPrompt("rare")).To(Equal(Pass))
	})

	It("leaves no request held by itself that its crashes explain", func() {
		d := newManualTracker()
		for n := range 6 {
			e := promptCrash(n, []string{"bad"})
			if n < 3 {
				e.Requests[0].Fingerprint, e.Requests[0].Alone = request("repeated"), true
			}
			d.RecordCrash(e)
			d.clock = d.clock.Add(time.Second)
			d.runTimers()
		}
		Expect(d.checkPrompt("bad")).To(Equal(Held))
		Expect(d.HeldRequests()).To(HaveLen(1))
		Expect(d.Check(known(request("repeated")))).To(Equal(Pass))
	})

	It("is released at every gateway once one has served it, and a gateway that has does not hold it", func() {
		a, b := newManualTracker(), newManualTracker()
		crashes := [][]string{{"first"}, {"first"}, {"first"}, {"first"}}
		a.crashEach(0, crashes...)
		b.crashEach(0, crashes...)
		a.runTimers()
		h := a.HeldRequests()[0]
		b.Served(known(request("ok"), partNamed("first")))
		Expect(b.served).To(ContainElement(partNamed("first")))
		b.AddHeld(h)
		Expect(b.HeldRequests()).To(BeEmpty())
		a.ClearSuspicion(partNamed("first"))
		Expect(a.HeldRequests()).To(BeEmpty())
		Expect(a.checkPrompt("first")).To(Equal(Pass))
	})

	It("stays released after it was lifted", func() {
		d := newManualTracker()
		d.crashEach(0, []string{"a", "b"}, []string{"a", "b"}, []string{"a", "b"}, []string{"a", "b"})
		d.runTimers()
		Expect(d.Lift(d.HeldRequests()[0].Fingerprint)).To(BeTrue())
		d.runTimers()
		Expect(d.HeldRequests()).To(BeEmpty())
		Expect(d.checkPrompt("a", "b")).To(Equal(Pass))
	})

	It("is not held for another organisation's part with the same ID, or for another model", func() {
		p := OfPart("m", "gym", "5c")
		Expect(OfPart("m", "huts", "5c")).NotTo(Equal(p))
		Expect(OfPart("n", "gym", "5c")).NotTo(Equal(p))
		Expect(OfPart("m", "gym", "5d")).NotTo(Equal(p))
	})

	It("survives encoding with its parts and progress, in messages that fit into packets", func() {
		many := make([]string, 16)
		for n := range many {
			many[n] = fmt.Sprint("part", n)
		}
		e := promptCrash(0, slices.Repeat([][]string{many}, 40)...)
		messages := CrashNews{Crashes: []Crash{e}, Held: []HeldRequest{{Fingerprint: request("held"), Parts: partsNamed([]string{"x", "y"})}}}.Messages()
		d := newManualTracker()
		for _, m := range messages {
			m.Sender = "10.10.10.10:7700"
			Expect(proto.Size(m)).To(BeNumerically("<", 1400))
			d.ApplyNews(m)
		}
		Expect(d.crashes).To(HaveLen(1))
		Expect(d.crashes[0].unwritten).To(HaveLen(40))
		Expect(d.crashes[0].unwritten[0].Parts).To(Equal(partsNamed(many)))
		Expect(d.crashes[0].unwritten[0].beginning).To(BeTrue())
		Expect(d.checkPrompt("x", "y")).To(Equal(Held))
		Expect(d.checkPrompt("x")).To(Equal(Pass))
	})

	It("is not held, nor kept suspected, for the crashes of a repeated request without it while nothing is answered", func() {
		d := newManualTracker()
		for n := range 8 {
			e := promptCrash(n, []string{"first"})
			repeated := InFlightRequest{Fingerprint: request("repeated"), Organisation: "gym", Attempt: CallerAttempt(n), Alone: n >= 6}
			e.Requests = append(e.Requests, repeated)
			d.RecordCrash(e)
			d.runTimers()
			Expect(d.checkPrompt("first")).NotTo(BeElementOf(Waits, Held))
			d.clock = d.clock.Add(time.Second)
		}
		Expect(d.Check(known(request("repeated")))).To(Equal(Held))
		Expect(d.HeldRequests()).To(HaveLen(1))
		Expect(d.checkPrompt("first")).To(Equal(Pass))
	})

	It("is not held, nor refused for long, if another part that is not held yet was present at all its crashes and at more", func() {
		d := newManualTracker()
		d.Served(known(request("before"), partNamed("bad")))
		for n := range 5 {
			prompts := [][]string{{"bad", fmt.Sprint("own", n)}}
			if n < 4 {
				prompts = append(prompts, []string{"hot"})
			}
			d.RecordCrash(promptCrash(n, prompts...))
			d.clock = d.clock.Add(time.Second)
		}
		d.runTimers()
		Expect(d.HeldRequests()).To(BeEmpty())
		Expect(d.checkPrompt("hot")).To(Equal(Once))
		d.crashEach(5, []string{"bad"})
		d.runTimers()
		Expect(d.checkPrompt("bad")).To(Equal(Held))
		Expect(d.checkPrompt("hot")).To(Equal(Pass))
	})

	It("is held although other requests there had more parts than are kept", func() {
		d := newManualTracker()
		for n := range 6 {
			e := promptCrash(n)
			for r := range 40 {
				var names []string
				for p := range 15 {
					names = append(names, fmt.Sprint("flood", n, r, p))
				}
				e.Requests = append(e.Requests, InFlightRequest{Fingerprint: request(fmt.Sprint("flood", n, r)), Organisation: "gym", Parts: partsNamed(names)})
			}
			e.Requests = append(e.Requests, promptCrash(n, []string{"bad"}).Requests...)
			d.RecordCrash(e)
			Expect(len(d.crashes[n].present)).To(BeNumerically("<=", maxPresent))
			d.clock = d.clock.Add(time.Second)
		}
		d.runTimers()
		Expect(d.checkPrompt("bad")).To(Equal(Held))
	})

	It("is held alike by all gateways, whichever way the reports of the crashes arrive", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var reports []Crash
			for n := range 6 {
				prompts := [][]string{{"p", "bad"}, {fmt.Sprint("q", n)}}
				e := promptCrash(n, prompts...)
				for _, r := range e.Requests {
					reports = append(reports, Crash{Incarnation: e.Incarnation, Requests: []InFlightRequest{r}})
				}
			}
			order := rapid.Permutation(reports).Draw(t, "order")
			d := newManualTracker()
			for _, e := range order {
				d.RecordCrash(e)
				d.clock = d.clock.Add(100 * time.Millisecond)
			}
			d.Served(known(request("ok"), partNamed("p")))
			d.runTimers()
			if d.checkPrompt("bad") != Held || d.checkPrompt("p") != Pass || len(d.HeldRequests()) != 1 {
				t.Fatalf("held: %v", d.HeldRequests())
			}
		})
	})
})
