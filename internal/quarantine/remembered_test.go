package quarantine

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	pb "github.com/springrail/springrail/gen/springrail/v1"
)

// startFrom returns the tracker of a gateway that starts now and gets what another one remembers.
func startFrom(d *manualTracker) *manualTracker {
	s := newManualTracker()
	s.clock = d.clock
	s.ApplyNews(d.evidence())
	return s
}

var _ = Describe("crashes that another process remembers", func() {
	It("count at a gateway that starts before a part is held", func() {
		d := newManualTracker()
		d.crashEach(0, []string{"first0", "bad"}, []string{"first1", "bad"}, []string{"first2", "bad"})
		s := startFrom(d)
		Expect(s.checkPrompt("bad")).To(Equal(Once))
		s.crashEach(3, []string{"first3", "bad"})
		s.runTimers()
		Expect(s.checkPrompt("bad")).To(Equal(Held))
		Expect(s.checkPrompt("first0")).To(Equal(Pass))
	})

	It("count at a gateway that starts before a request is held", func() {
		d := newManualTracker()
		for n := range minCrashes {
			d.RecordCrash(crashOf(n, "bad"))
		}
		s := startFrom(d)
		s.runTimers()
		Expect(s.Check(known(request("bad")))).To(Equal(Held))
	})

	It("do not suffice to hold a part, as the gateway does not know yet what is usually served", func() {
		d := newManualTracker()
		for n := range 6 {
			d.crashEach(n, []string{fmt.Sprint("first", n), "frequent"})
		}
		s := startFrom(d)
		s.runTimers()
		Expect(s.HeldRequests()).To(BeEmpty())
		Expect(s.checkPrompt("frequent")).To(Equal(Once))
		s.Served(known(request("x"), partsNamed([]string{"frequent"})...))
		s.crashEach(6, []string{"frequent", "own"})
		s.runTimers()
		Expect(s.HeldRequests()).To(BeEmpty())
	})

	DescribeTable("do not count against what was served since, in whichever order both are learned",
		func(servedFirst bool) {
			d := newManualTracker()
			d.crashEach(0, []string{"first0", "good"}, []string{"first1", "good"}, []string{"first2", "good"})
			served := &pb.CrashNews{Answered: []*pb.RememberedAnswer{{Fingerprint: partsNamed([]string{"good"})[0][:], AgeMs: 500}}}
			s := newManualTracker()
			s.clock = d.clock
			news := []*pb.CrashNews{d.evidence(), served}
			if servedFirst {
				slices.Reverse(news)
			}
			for _, n := range news {
				s.ApplyNews(n)
			}
			Expect(s.checkPrompt("good")).To(Equal(Pass))
			s.crashEach(3, []string{"first3", "good"})
			s.runTimers()
			Expect(s.HeldRequests()).To(BeEmpty())
		},
		Entry("the answer first", true),
		Entry("the crashes first", false),
	)

	It("count against what was served before them", func() {
		d := newManualTracker()
		d.crashEach(0, []string{"first0", "bad"}, []string{"first1", "bad"}, []string{"first2", "bad"})
		s := startFrom(d)
		s.ApplyNews(&pb.CrashNews{Answered: []*pb.RememberedAnswer{{Fingerprint: partsNamed([]string{"bad"})[0][:], AgeMs: 60000}}})
		s.crashEach(3, []string{"first3", "bad"})
		s.runTimers()
		Expect(s.checkPrompt("bad")).To(Equal(Held))
	})

	It("and new ones do not suffice to hold a part that another gateway has recently served", func() {
		s := newManualTracker()
		s.ApplyNews(&pb.CrashNews{Answered: []*pb.RememberedAnswer{{Fingerprint: partsNamed([]string{"frequent"})[0][:], AgeMs: 500}}})
		for n := range minPartCrashes {
			s.crashEach(n, []string{fmt.Sprint("first", n), "frequent"})
		}
		s.runTimers()
		Expect(s.HeldRequests()).To(BeEmpty())
	})

	It("are not those that a hold explains, so that what an operator lifts is not held again at the next start", func() {
		d := newManualTracker()
		for n := range minPartCrashes {
			d.crashEach(n, []string{fmt.Sprint("first", n), "bad"})
		}
		d.runTimers()
		Expect(d.Lift(d.HeldRequests()[0].Fingerprint)).To(BeTrue())
		Expect(startFrom(d).checkPrompt("bad")).To(Equal(Pass))
	})

	It("change nothing at a gateway that knows them", func() {
		d := newManualTracker()
		d.crashEach(0, []string{"first0", "bad"}, []string{"first1", "bad"}, []string{"first2", "bad"})
		d.Served(known(request("x"), partsNamed([]string{"first0"})...))
		s := startFrom(d)
		n := s.evidence()
		Expect(d.evidence().GetRemembered()).To(HaveLen(3))
		d.ApplyNews(n)
		Expect(d.evidence().GetRemembered()).To(HaveLen(3))
		Expect(d.checkPrompt("first0")).To(Equal(Pass))
	})

	It("keep the time between them, so that crashes at once still count as one", func() {
		d := newManualTracker()
		for n := range 8 {
			d.RecordCrash(promptCrash(n, []string{fmt.Sprint("first", n), "together"}))
			d.clock = d.clock.Add(time.Millisecond)
		}
		d.clock = d.clock.Add(time.Second)
		s := startFrom(d)
		s.crashEach(8, []string{"other", "together"})
		s.runTimers()
		Expect(s.HeldRequests()).To(BeEmpty())
	})

	It("do not add up against a part that each gateway has served between two crashes, before it ended", func() {
		memory, clock := &pb.CrashNews{}, time.Unix(1000, 0)
		for n := range 6 {
			d := newManualTracker()
			d.clock = clock
			d.OnAnswered = func(served, _ []Fingerprint) {
				for _, f := range served {
					memory.Answered = append(memory.Answered, &pb.RememberedAnswer{Fingerprint: f[:]})
				}
			}
			d.ApplyNews(memory)
			d.crashEach(n, []string{fmt.Sprint("first", n), "frequent"})
			d.runTimers()
			Expect(d.HeldRequests()).To(BeEmpty(), fmt.Sprint(n+1, " crashes"))
			for _, e := range memory.GetRemembered() {
				e.AgeMs += 1000
			}
			memory.Remembered = append(memory.Remembered, d.evidence().GetRemembered()[0])
			d.Served(known(request("x"), partsNamed([]string{"frequent"})...))
			clock = d.clock.Add(time.Second)
			for _, e := range memory.GetRemembered() {
				e.AgeMs += 1000
			}
			for _, o := range memory.GetAnswered() {
				o.AgeMs += 1000
			}
		}
		Expect(memory.GetAnswered()).To(HaveLen(6))
	})
})

var _ = Describe("answers on parts that were present at a crash", func() {
	It("are sent to stagers in one datagram, for a time and up to a bound", func() {
		var sent []*pb.CrashNews
		var flush []func()
		b := newAnswerBatch(func(n *pb.CrashNews) { sent = append(sent, n) }, func(_ time.Duration, f func()) { flush = append(flush, f) })
		b.add([]Fingerprint{request("a")}, []Fingerprint{request("b")})
		b.add(make([]Fingerprint, maxAnswerBatch), nil)
		Expect(flush).To(HaveLen(1))
		flush[0]()
		Expect(sent).To(HaveLen(1))
		Expect(sent[0].GetRememberOnly()).To(BeTrue())
		Expect(sent[0].GetAnswered()).To(HaveLen(maxAnswerBatch))
		Expect(sent[0].GetAnswered()[1].GetWritten()).To(BeTrue())
		Expect(proto.Size(sent[0])).To(BeNumerically("<", 1400))
		b.add([]Fingerprint{request("a")}, nil)
		Expect(flush).To(HaveLen(2))
	})

	It("are noted once for a part on which an answer is being written", func() {
		d := newManualTracker()
		var noted []Fingerprint
		d.OnAnswered = func(_, written []Fingerprint) { noted = append(noted, written...) }
		d.crashEach(0, []string{"first0", "frequent"})
		d.Written(known(Fingerprint{}, partsNamed([]string{"frequent", "other"})...))
		d.Written(known(Fingerprint{}, partsNamed([]string{"frequent", "other"})...))
		Expect(noted).To(Equal(partsNamed([]string{"frequent"})))
	})
})
