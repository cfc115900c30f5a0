package reports

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	pb "github.com/springrail/springrail/gen/springrail/v1"
)

// numberedCrash returns a crash of an upstream some time ago, with requests in flight that have the parts "first" and "own".
func numberedCrash(number int, age time.Duration, requests int) *pb.UpstreamEnd {
	e := &pb.UpstreamEnd{Start: &pb.UpstreamStart{Address: "a", Instance: fmt.Sprint("i", number), Born: 7}, AgeMs: uint32(age.Milliseconds())}
	for n := range requests {
		e.Requests = append(e.Requests, &pb.PresentRequest{
			Fingerprint: []byte(fmt.Sprintf("request %8d", n)), Organisation: "gym", Try: uint32(n), Beginning: true,
			Parts: [][]byte{[]byte("first part of it"), []byte(fmt.Sprintf("own part %7d", n))},
		})
	}
	return e
}

// suspected returns the crashes that a stager remembers.
func suspected(r *Reporter) []*pb.UpstreamEnd {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashMemory.list(time.Now()).GetRemembered()
}

var _ = describe("a stager's memory of crashes", func() {
	var now time.Time
	var m *crashMemory
	ginkgo.BeforeEach(func() { now, m = time.Unix(1000, 0), &crashMemory{} })
	note := func(n *pb.CrashNews) { m.note(n, nil, now) }

	it("has the requests of all gateways, and the time of the crash", func() {
		note(&pb.CrashNews{Ends: []*pb.UpstreamEnd{numberedCrash(1, 0, 2)}})
		now = now.Add(time.Second)
		note(&pb.CrashNews{Ends: []*pb.UpstreamEnd{numberedCrash(1, 0, 4)}})
		l := m.list(now).GetRemembered()
		Expect(l).To(HaveLen(1))
		Expect(l[0].GetRequests()).To(HaveLen(4))
		Expect(l[0].GetAgeMs()).To(BeEquivalentTo(1000))
		Expect(m.list(now.Add(CrashMemoryTTL)).GetRemembered()).To(BeEmpty())
	})

	it("has a crash as presumed until a gateway has proved it", func() {
		e := numberedCrash(1, 0, 1)
		e.Presumed = true
		note(&pb.CrashNews{Ends: []*pb.UpstreamEnd{e}})
		Expect(m.list(now).GetRemembered()[0].GetPresumed()).To(BeTrue())
		note(&pb.CrashNews{Ends: []*pb.UpstreamEnd{numberedCrash(1, 0, 1)}})
		note(&pb.CrashNews{Ends: []*pb.UpstreamEnd{e}})
		Expect(m.list(now).GetRemembered()[0].GetPresumed()).To(BeFalse())
	})

	it("keeps the newest crashes, in whichever order it learns of them", func() {
		for n := range maxCrashesRemembered + 5 {
			note(&pb.CrashNews{Remembered: []*pb.UpstreamEnd{numberedCrash(n, time.Duration(n+1)*time.Second, 1)}})
		}
		l := m.list(now).GetRemembered()
		Expect(l).To(HaveLen(maxCrashesRemembered))
		Expect(l[0].GetStart().GetInstance()).To(Equal(fmt.Sprint("i", maxCrashesRemembered-1)))
		Expect(l[maxCrashesRemembered-1].GetStart().GetInstance()).To(Equal("i0"))
	})

	it("drops a crash that a hold explains for all organisations, whoever sent what was in flight", func() {
		e := numberedCrash(1, 0, 1)
		e.Requests[0].Contents = [][]byte{[]byte("content of first"), []byte("content of its own")}
		note(&pb.CrashNews{Ends: []*pb.UpstreamEnd{e}})
		Expect(m.list(now).GetRemembered()).To(HaveLen(1))
		h := &pb.HeldRequest{Parts: [][]byte{[]byte("content of first")}}
		note(&pb.CrashNews{Held: []*pb.HeldNews{{Fingerprint: []byte("content of first"), Request: h}}})
		Expect(m.list(now).GetRemembered()).To(BeEmpty())
	})

	it("has what was answered although it was suspected, even if other stagers have the crashes", func() {
		note(&pb.CrashNews{Served: [][]byte{{1}}, Written: [][]byte{{2}}})
		note(&pb.CrashNews{Answered: []*pb.RememberedAnswer{{Fingerprint: []byte{1}, AgeMs: 9000}}})
		now = now.Add(time.Second)
		Expect(m.list(now).GetAnswered()).To(HaveLen(2))
		Expect(m.list(now).GetAnswered()[0].GetAgeMs()).To(BeEquivalentTo(1000), "the later answer counts")
		Expect(m.list(now.Add(CrashMemoryTTL)).GetAnswered()).To(BeEmpty())
	})

	ginkgo.DescribeTable("has no crash that something held explains, so that what an operator lifts is not held again",
		func(h *pb.HeldNews, left int) {
			e := numberedCrash(1, 0, 2)
			e.Requests = append(e.Requests, &pb.PresentRequest{Fingerprint: []byte("waits"), Parts: [][]byte{[]byte("waiting part")}})
			note(&pb.CrashNews{Ends: []*pb.UpstreamEnd{e}})
			note(&pb.CrashNews{Held: []*pb.HeldNews{h}})
			m.note(&pb.CrashNews{Ends: []*pb.UpstreamEnd{numberedCrash(2, 0, 2)}}, []*pb.HeldNews{h}, now)
			note(&pb.CrashNews{Released: [][]byte{h.GetFingerprint()}})
			Expect(m.list(now).GetRemembered()).To(HaveLen(left))
		},
		ginkgo.Entry("a request", &pb.HeldNews{Fingerprint: []byte(fmt.Sprintf("request %8d", 1))}, 0),
		ginkgo.Entry("parts", &pb.HeldNews{Request: &pb.HeldRequest{Parts: [][]byte{[]byte("first part of it"), []byte(fmt.Sprintf("own part %7d", 1))}}}, 0),
		ginkgo.Entry("parts of which one was not present", &pb.HeldNews{Request: &pb.HeldRequest{Parts: [][]byte{[]byte("first part of it"), {1}}}}, 2),
		ginkgo.Entry("a part on which no answer was beginning", &pb.HeldNews{Request: &pb.HeldRequest{Parts: [][]byte{[]byte("waiting part")}}}, 2),
	)

	it("fits into datagrams, with all requests and the age of each crash", func() {
		n := &pb.CrashNews{}
		for i := range 5 {
			n.Remembered = append(n.Remembered, numberedCrash(i, time.Second, 30))
		}
		for i := range byte(100) {
			n.Answered = append(n.Answered, &pb.RememberedAnswer{Fingerprint: []byte{i}, AgeMs: 1})
		}
		requests, answered := 0, 0
		for _, d := range splitEvidence(n) {
			Expect(proto.Size(d)).To(BeNumerically("<", 1400))
			answered += len(d.GetAnswered())
			for _, e := range d.GetRemembered() {
				Expect(e.GetAgeMs()).To(BeEquivalentTo(1000))
				requests += len(e.GetRequests())
			}
		}
		Expect(requests).To(Equal(5 * 30))
		Expect(answered).To(Equal(100))
		Expect(splitEvidence(nil)).To(BeEmpty())
	})
})
