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

	It("does not wait for a version that only one corrupt answer of the origin states", func() {
		e := newFakeUpstream()
		e.newest, e.misstated, e.unpublished = 2, 7, 3
		_, f := startStager(e, time.Second)
		f.SetWanted("m", facts.Publication{Revision: 2})
		Eventually(e.servedRevision).WithTimeout(waitTimeout).Should(Equal(id.Revision(2)))
		Expect(f.Wanted("m").Revision).To(Equal(id.Revision(2)))
	})
})
