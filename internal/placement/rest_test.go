package placement

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
)

var _ = Describe("an upstream that asks gateways to pause", func() {
	var now time.Time
	var t *Tracker
	u := &facts.Instance{ID: "i", Address: "a"}
	rest := func(d time.Duration) bool {
		f := t.Begin("a", 0)
		defer f.End()
		return f.RecordRest("i", d)
	}
	BeforeEach(func() {
		now = time.Unix(1000, 0)
		t = NewTracker(func() time.Time { return now })
	})

	It("rests until the end of the longest period that it has asked for", func() {
		Expect(rest(3 * time.Second)).To(BeTrue())
		now = now.Add(time.Second)
		Expect(rest(time.Second)).To(BeFalse())
		Expect(t.Candidate(u, 0).Rest).To(Equal(2 * time.Second))
		Expect(rest(4 * time.Second)).To(BeFalse())
		Expect(t.RestRemaining("a", "i")).To(Equal(4 * time.Second))
		now = now.Add(4 * time.Second)
		Expect(t.Candidate(u, 0).Rest).To(BeZero())
		Expect(rest(time.Second)).To(BeTrue())
	})

	It("rests even if a report shows it idle or its list entry disappears for a while", func() {
		rest(time.Minute)
		t.SetReport("a", LoadReport{ReceivedAt: now})
		now = now.Add(pathRetention + time.Second)
		t.Sweep(map[string]bool{})
		Expect(t.Candidate(u, 0).Rest).To(BeNumerically(">", 0))
	})

	It("rests alone: neither a new instance at its address nor its next incarnation does", func() {
		t.SetReport("a", LoadReport{ReceivedAt: now, Incarnation: id.Incarnation(8)})
		rest(time.Minute)
		Expect(t.Candidate(&facts.Instance{ID: "j", Address: "a"}, 0).Rest).To(BeZero())
		Expect(t.RestRemaining("b", "i")).To(BeZero())
		t.SetReport("a", LoadReport{ReceivedAt: now, Incarnation: id.Incarnation(9)})
		Expect(t.Candidate(&facts.Instance{ID: "i", Address: "a", Born: 9}, 0).Rest).To(BeZero())
	})

	It("is swept with its entry after the rest", func() {
		rest(time.Second)
		now = now.Add(pathRetention + time.Second)
		t.Sweep(map[string]bool{})
		Expect(t.upstreams).To(BeEmpty())
	})
})
