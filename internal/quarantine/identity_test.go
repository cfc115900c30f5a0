package quarantine

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/id"
)

// sentBy returns what a request of an organisation, whose key has its name, with given parts in its prompt is recognised by.
func sentBy(o id.Organisation, body string, parts ...id.PromptPart) Identity {
	q := Identity{Fingerprint: OfContent("POST", "/", []byte(body)), Use: Of("POST", "/", o, []byte(body)), Organisation: o, Key: OfKey("m", string(o))}
	for _, p := range parts {
		q.Parts, q.PartUses = append(q.Parts, OfPartContent(p)), append(q.PartUses, OfPart("m", o, p))
	}
	return q
}

// crashUnder returns a crash of an instance as it began answers on requests, each in an attempt of its own that was sent alone.
func crashUnder(instance int, requests ...Identity) Crash {
	e := Crash{Incarnation: Incarnation{Instance: id.Instance(fmt.Sprint("i", instance)), Address: "a"}}
	for _, q := range requests {
		e.Requests = append(e.Requests, InFlightRequest{
			Fingerprint: q.Fingerprint, Use: q.Use, Organisation: q.Organisation, Key: q.Key, Parts: q.Parts, PartUses: q.PartUses,
			Attempt: CallerAttempt(instance), Alone: true, Progress: Beginning,
		})
	}
	return e
}

// crashAgain records crashes, a second apart, under requests of organisations in turn, no two alike, with a part "1".
func (d *manualTracker) crashAgain(first, number int, organisations ...id.Organisation) {
	for n := first; n < first+number; n++ {
		d.clock = d.clock.Add(time.Second)
		d.RecordCrash(crashUnder(n, sentBy(organisations[n%len(organisations)], fmt.Sprint(n), "1")))
	}
	d.runTimers()
}

var _ = Describe("a part of prompts under which upstreams crash for organisations", func() {
	It("is held for all of them after crashes of two, and for a third one that has none", func() {
		d := newManualTracker()
		d.crashAgain(0, minPartCrashes, "gym", "lab")
		for _, o := range []id.Organisation{"gym", "lab", "club"} {
			Expect(d.Check(sentBy(o, "new", "1"))).To(Equal(Held), string(o))
		}
		Expect(d.Check(sentBy("club", "new", "2"))).To(Equal(Pass))
	})

	It("is not held for another organisation after crashes of one, until an upstream crashes under its request too", func() {
		d := newManualTracker()
		var changed []HeldRequest
		d.OnHeldChanged = append(d.OnHeldChanged, func(h HeldRequest, here bool) {
			Expect(here).To(BeTrue())
			changed = append(changed, h)
		})
		d.crashAgain(0, minPartCrashes, "gym")
		Expect(d.Check(sentBy("gym", "new", "1"))).To(Equal(Held))
		Expect(d.Check(sentBy("lab", "new", "1"))).To(Equal(Alone))
		d.crashAgain(10, 1, "lab")
		Expect(changed).To(HaveLen(1))
		for _, o := range []id.Organisation{"gym", "lab", "club"} {
			Expect(d.Check(sentBy(o, "new", "1"))).To(Equal(Held), string(o))
		}
	})

	It("is not held for all after crashes of one organisation, and of callers without a key", func() {
		d := newManualTracker()
		d.crashAgain(0, minPartCrashes, "gym", "")
		Expect(d.Check(sentBy("gym", "new", "1"))).To(Equal(Held))
		Expect(d.Check(sentBy("", "new", "1"))).To(Equal(Held))
		Expect(d.Check(sentBy("lab", "new", "1"))).To(Equal(Alone))
	})

	It("is not held for another organisation after a crash under what it is held for, whichever gateway reports that first", func() {
		d := newManualTracker()
		d.crashAgain(0, minPartCrashes, "gym")
		d.RecordCrash(crashUnder(10, sentBy("lab", "beside", "1")))
		d.RecordCrash(crashUnder(10, sentBy("gym", "in flight", "1")))
		d.runTimers()
		Expect(d.Check(sentBy("lab", "new", "1"))).To(Equal(Alone))
	})

	It("is tried by one gateway at a time for another organisation", func() {
		d := newManualTracker()
		tried := 0
		d.OnTry = func(Fingerprint) { tried++ }
		d.crashAgain(0, minPartCrashes, "gym")
		h, ok := d.HeldForOthers(sentBy("lab", "new", "1"))
		Expect(ok).To(BeTrue())
		Expect(d.Try(h)).To(BeTrue())
		Expect(d.Try(h)).To(BeFalse())
		d.clock = d.clock.Add(tryTime)
		d.ApplyNews(CrashNews{Tried: []Fingerprint{h}}.Messages()[0])
		Expect(d.Try(h)).To(BeFalse())
		d.clock = d.clock.Add(tryTime)
		Expect(d.Try(h)).To(BeTrue())
		Expect(tried).To(Equal(2))
	})

	DescribeTable("is served for one whose requests with it are answered, whichever others it is held for",
		func(organisations ...id.Organisation) {
			d := newManualTracker()
			d.Served(sentBy("lab", "before", "1"))
			d.crashAgain(0, minPartCrashes, organisations...)
			Expect(d.Check(sentBy("gym", "new", "1"))).To(Equal(Held))
			Expect(d.Check(sentBy("lab", "new", "1"))).To(Equal(Pass))
			By("its answers clear nobody else")
			d.Served(sentBy("lab", "after", "1"))
			Expect(d.Check(sentBy("gym", "new", "1"))).To(Equal(Held))
			By("another gateway learns of it")
			other := newManualTracker()
			d.OnMissed = func(h HeldRequest) {
				for _, m := range (CrashNews{Held: []HeldRequest{h}}).Messages() {
					other.ApplyNews(m)
				}
			}
			other.AddHeld(HeldRequest{Fingerprint: OfPartContent("1"), Parts: []Fingerprint{OfPartContent("1")}, Uses: d.HeldRequests()[0].Uses})
			d.runTimers()
			Expect(other.Check(sentBy("lab", "new", "1"))).To(Equal(Pass))
			Expect(other.Check(sentBy("gym", "new", "1"))).To(Equal(Held))
		},
		Entry("one", id.Organisation("gym")),
		Entry("two", id.Organisation("gym"), id.Organisation("club")),
	)

	It("is held for one whose requests were answered once it crashes upstreams for it as well", func() {
		d := newManualTracker()
		d.Served(sentBy("lab", "before", "1"))
		d.crashAgain(0, minPartCrashes, "gym")
		d.clock = d.clock.Add(2 * servedTTL)
		d.crashAgain(10, minPartCrashes, "lab")
		Expect(d.Check(sentBy("lab", "new", "1"))).To(Equal(Held))
	})

	It("is no longer held for one whose request was answered after the crashes", func() {
		d := newManualTracker()
		d.crashAgain(0, minPartCrashes, "gym", "lab")
		d.Served(sentBy("lab", "in flight", "1"))
		Expect(d.Check(sentBy("lab", "new", "1"))).To(Equal(Pass))
		Expect(d.Check(sentBy("gym", "new", "1"))).To(Equal(Held))
		d.Served(sentBy("gym", "in flight", "1"))
		Expect(d.HeldRequests()).To(BeEmpty())
	})

	It("counts against no organisation's limit of held requests once it is held for all", func() {
		d := newManualTracker()
		d.crashAgain(0, minPartCrashes, "gym", "lab")
		for n := range maxHeldPerOrganisation + 1 {
			q := sentBy("gym", fmt.Sprint("flood", n))
			d.AddHeld(HeldRequest{Fingerprint: q.Fingerprint, Organisation: "gym", Uses: []HeldUse{{Organisation: "gym", Fingerprints: []Fingerprint{q.Use}}}})
		}
		Expect(d.Check(sentBy("lab", "new", "1"))).To(Equal(Held))
		Expect(d.Check(sentBy("gym", "flood0"))).To(Equal(Pass), "its organisation's own oldest request is evicted")
	})
})

var _ = Describe("a request under which upstreams crash and whose caller's key passes to another organisation", func() {
	It("stays held", func() {
		d := newManualTracker()
		for n := range minCrashes {
			d.RecordCrash(crashUnder(n, sentBy("gym", "bad")))
		}
		d.runTimers()
		passedOn := sentBy("lab", "bad")
		passedOn.Key = OfKey("m", "gym")
		Expect(d.Check(passedOn)).To(Equal(Held))
		Expect(d.Check(sentBy("lab", "bad"))).To(Equal(Alone), "the same request of another organisation's own caller")
	})

	It("is held by the crashes before and after", func() {
		d := newManualTracker()
		for n, o := range []id.Organisation{"gym", "lab", "club"} {
			d.RecordCrash(crashUnder(n, sentBy(o, "bad")))
		}
		d.runTimers()
		Expect(d.Check(sentBy("club", "bad"))).To(Equal(Held))
	})
})

var _ = Describe("what gateways tell each other of organisations", func() {
	It("keeps what a request holds, its organisation's use of it and its key", func() {
		e := crashUnder(1, sentBy("gym", "x", "1", "2"), known(request("of an older gateway"), partNamed("p")))
		e.Requests[1].Attempt, e.Requests[1].Alone, e.Requests[1].Progress = 7, false, Waiting
		d := newManualTracker()
		for _, m := range (CrashNews{Crashes: []Crash{e}}).Messages() {
			for _, c := range m.GetEnds() {
				for n, p := range c.GetRequests() {
					decoded, err := inFlightFromProto(p)
					Expect(err).NotTo(HaveOccurred())
					Expect(decoded).To(Equal(e.Requests[n]))
				}
			}
			d.ApplyNews(m)
		}
		Expect(d.crashes[0].present).To(HaveLen(5))
	})

	It("has what older gateways recognise a request by in the fields that they know", func() {
		q := sentBy("gym", "x", "1")
		m := CrashNews{Crashes: []Crash{crashUnder(1, q)}}.Messages()[0].GetEnds()[0].GetRequests()[0]
		Expect(m.GetFingerprint()).To(Equal(q.Use[:]))
		Expect(m.GetParts()).To(Equal([][]byte{q.PartUses[0][:]}))
	})

	It("refuses what an older gateway holds for an organisation, and nobody else's", func() {
		d := newManualTracker()
		q := sentBy("gym", "x", "1")
		d.ApplyNews(&pb.CrashNews{Held: []*pb.HeldNews{{Fingerprint: q.PartUses[0][:], Request: &pb.HeldRequest{Organisation: "gym", Parts: [][]byte{q.PartUses[0][:]}}}}})
		Expect(d.Check(q)).To(Equal(Held))
		Expect(d.Check(sentBy("lab", "x", "1"))).To(Equal(Pass))
		d.Served(q)
		Expect(d.Check(q)).To(Equal(Pass))
	})

	It("keeps the uses and exemptions of what is held in its record", func() {
		h := HeldRequest{
			Fingerprint: OfPartContent("1"), Organisation: "gym", Parts: []Fingerprint{OfPartContent("1")}, HeldBy: "vm", SinceUnixMs: 5, Incarnations: []Incarnation{{Address: "a", Instance: "i"}},
			Uses:   []HeldUse{{Organisation: "gym", Fingerprints: []Fingerprint{OfPart("m", "gym", "1")}, Key: OfKey("m", "k")}},
			Exempt: []Fingerprint{OfPart("m", "lab", "1")},
		}
		decoded, err := heldFromProto(h.Fingerprint, h.toProto())
		Expect(err).NotTo(HaveOccurred())
		Expect(decoded).To(Equal(h))
		malformed := h.toProto()
		malformed.Uses[0].Fingerprints = nil
		_, err = heldFromProto(h.Fingerprint, malformed)
		Expect(err).To(MatchError(ErrFingerprint))
	})
})
