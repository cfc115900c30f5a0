package stager

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
)

// Guards against a downgrade: the newest record of a model's publication may be of an older version and written late,
// and after the loss of all processes it is the only one that they can read.
var _ = Describe("a stager that has only the record of an older version", func() {
	It("does not downgrade its upstream, and reports the newer version", func() {
		e := newFakeUpstream(facts.Held{Model: "m", Revision: 3})
		s, f := startStager(e, time.Second)
		f.SetWanted("m", publishedNow(2))
		Eventually(func() id.Revision { return f.Wanted("m").Revision }).WithTimeout(waitTimeout).Should(Equal(id.Revision(3)))
		Expect(s.newestVersion().GetRevision()).To(Equal(uint64(3)))
		Consistently(e.servedRevision, "500ms").Should(Equal(id.Revision(3)))
	})

	It("fetches the newest version of the origin if no record or upstream has it", func() {
		e := newFakeUpstream()
		e.newest = 3
		_, f := startStager(e, time.Second)
		f.SetWanted("m", facts.Publication{Revision: 2})
		Eventually(e.servedRevision).WithTimeout(waitTimeout).Should(Equal(id.Revision(3)))
		Expect(f.ObservedRevision("m")).To(Equal(id.Revision(3)))
		for _, o := range e.orders {
			Expect(o.Revision).To(Equal(id.Revision(3)))
		}
	})

	// Guards against one wrong byte in a report, which the whole fleet would take for a published version for good.
	DescribeTable("does not take a version for published that no two reports of its upstream in succession state", func(misread ...id.Revision) {
		e := newFakeUpstream(facts.Held{Model: "m", Revision: 2})
		s, f := startStager(e, time.Second)
		f.SetWanted("m", publishedNow(2))
		Eventually(func() bool { _, up := s.upstreamState(); return up }).Should(BeTrue())
		e.mu.Lock()
		e.misread = misread
		e.mu.Unlock()
		Eventually(func() int { e.mu.Lock(); defer e.mu.Unlock(); return len(e.misread) }).WithTimeout(waitTimeout).Should(BeZero())
		Consistently(func() id.Revision { return f.Wanted("m").Revision }, "300ms", "5ms").Should(Equal(id.Revision(2)))
		state, up := s.upstreamState()
		Expect(up).To(BeTrue())
		Expect(state.Held).To(Equal([]facts.Held{{Model: "m", Revision: 2}}))
	},
		Entry("once", id.Revision(9)),
		Entry("twice, with a sound report between", id.Revision(9), id.Revision(2), id.Revision(9)),
		Entry("two different ones", id.Revision(9), id.Revision(8)),
		Entry("several different ones", id.Revision(9), id.Revision(8), id.Revision(7), id.Revision(6), id.Revision(5)),
	)

	It("does not take the first report of its upstream for true either", func() {
		e := newFakeUpstream(facts.Held{Model: "m", Revision: 2})
		e.misread = []id.Revision{9}
		_, f := startStager(e, time.Second)
		f.SetWanted("m", publishedNow(2))
		Consistently(func() id.Revision { return f.Wanted("m").Revision }, "300ms", "5ms").Should(Equal(id.Revision(2)))
		Expect(e.servedRevision()).To(Equal(id.Revision(2)))
		Expect(e.orders).To(BeEmpty())
	})

	It("does not wait for a version that only one corrupt answer of the origin states", func() {
		e := newFakeUpstream()
		e.newest, e.misstated, e.unpublished = 2, 7, 3
		_, f := startStager(e, time.Second)
		f.SetWanted("m", facts.Publication{Revision: 2})
		Eventually(e.servedRevision).WithTimeout(waitTimeout).Should(Equal(id.Revision(2)))
		Expect(f.Wanted("m").Revision).To(Equal(id.Revision(2)))
	})
})
