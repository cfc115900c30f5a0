package quarantine

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/id"
)

var _ = Describe("presumed crashes of upstreams whose entries have lapsed", func() {
	var (
		d        *manualTracker
		listed   map[id.Instance]bool
		released []Fingerprint
	)
	BeforeEach(func() {
		d, listed, released = newManualTracker(), map[id.Instance]bool{}, nil
		d.IsListed = func(s Incarnation) bool { return listed[s.Instance] }
		d.OnReleased = func(f Fingerprint, _ bool) { released = append(released, f) }
	})
	presume := func(numbers ...int) {
		for _, n := range numbers {
			e := crashOf(n, "bad", fmt.Sprint("other", n))
			e.Presumed = true
			d.RecordCrash(e)
		}
		d.runTimers()
	}
	relist := func(n int) {
		listed[id.Instance(fmt.Sprint("i", n))] = true
		d.clock = d.clock.Add(relistTime)
		d.runTimers()
	}

	It("count until the upstream is listed again", func() {
		presume(0, 1, 2)
		Expect(d.Check(known(request("bad")))).To(Equal(Held))
		relist(1)
		Expect(d.HeldRequests()).To(BeEmpty())
		Expect(released).To(Equal([]Fingerprint{request("bad")}))
		Expect(d.Check(known(request("bad")))).To(Equal(Alone))
		presume(3)
		Expect(d.Check(known(request("bad")))).To(Equal(Held))
	})

	It("leave held what the other crashes suffice for", func() {
		presume(0, 1, 2)
		d.Lift(request("bad"))
		presume(3, 4)
		d.RecordCrash(crashOf(5, "bad"))
		d.RecordCrash(crashOf(6, "bad"))
		d.runTimers()
		Expect(d.HeldRequests()[0].Incarnations).To(HaveLen(4))
		relist(3)
		Expect(d.Check(known(request("bad")))).To(Equal(Held))
		relist(4)
		Expect(d.Check(known(request("bad")))).To(Equal(Alone))
	})

	It("are not withdrawn once another look has proved them, nor while this gateway's list may be old", func() {
		presume(0, 1, 2)
		d.RecordCrash(crashOf(0, "bad"))
		relist(0)
		Expect(d.Check(known(request("bad")))).To(Equal(Held))
		presume(3)
		listed["i3"] = true
		d.runTimers()
		Expect(d.crashes).To(HaveLen(4))
		relist(3)
		Expect(d.crashes).To(HaveLen(3))
	})

	It("release parts without enough other crashes, which stay evidence", func() {
		for n := range minPartCrashes + 1 {
			e := crashOf(n)
			parts := partsNamed([]string{"bad", fmt.Sprint("first", n)})
			e.Requests, e.Presumed = []InFlightRequest{{Fingerprint: request(fmt.Sprint(n)), Organisation: "gym", Attempt: CallerAttempt(n), Parts: parts, Progress: Beginning}}, n < 2
			d.RecordCrash(e)
			d.clock = d.clock.Add(time.Second)
		}
		d.runTimers()
		Expect(d.checkPrompt("bad")).To(Equal(Held))
		relist(0)
		Expect(d.checkPrompt("bad")).To(Equal(Held))
		relist(1)
		Expect(d.checkPrompt("bad")).To(Equal(Once))
	})

	It("are not awaited to send alone what several upstreams are silent under, unless it was answered recently", func() {
		q := known(request("bad"))
		Expect(d.CheckSilent(q, minCrashes-2)).To(Equal(Pass))
		Expect(d.CheckSilent(q, minCrashes-1)).To(Equal(Alone))
		Expect(d.Try(q.Fingerprint)).To(BeTrue())
		d.clock = d.clock.Add(tryTime - 1)
		Expect(d.Try(q.Fingerprint)).To(BeFalse())
		d.Served(q)
		Expect(d.CheckSilent(q, minCrashes-1)).To(Equal(Pass))
	})

	It("are presumed at other gateways as well, and at one that starts later", func() {
		presume(0, 1)
		other := newManualTracker()
		e := crashOf(2, "bad")
		e.Presumed = true
		for _, m := range (CrashNews{Crashes: []Crash{e}, SentAt: other.clock}).Messages() {
			other.ApplyNews(m)
		}
		other.ApplyNews(d.evidence())
		Expect(other.crashes).To(HaveLen(3))
		other.IsListed = func(Incarnation) bool { return true }
		other.clock = other.clock.Add(relistTime)
		other.runTimers()
		Expect(other.crashes).To(BeEmpty())
	})
})
