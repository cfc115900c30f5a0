package stager

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
)

// The newest record of a model's naming may be of an older version, written late: after a loss of all processes it is
// all that they can read.
var _ = Describe("a stager that reads of an older version alone", func() {
	It("does not bring its upstream back from a version to an older one, and tells the newer one on", func() {
		e := newEngine(facts.Held{Model: "m", Revision: 3})
		s, f := start(e, time.Second)
		f.SetWanted("m", named(2))
		Eventually(func() id.Revision { return f.Wanted("m").Revision }).WithTimeout(soon).Should(Equal(id.Revision(3)))
		Expect(s.named().GetRevision()).To(Equal(uint64(3)))
		Consistently(e.serves, "500ms").Should(Equal(id.Revision(3)))
	})

	It("fetches the version that the origin calls the newest where no record or upstream shows it", func() {
		e := newEngine()
		e.newest = 3
		_, f := start(e, time.Second)
		f.SetWanted("m", facts.Publication{Revision: 2})
		Eventually(e.serves).WithTimeout(soon).Should(Equal(id.Revision(3)))
		Expect(f.ObservedRevision("m")).To(Equal(id.Revision(3)))
		for _, o := range e.orders {
			Expect(o.Revision).To(Equal(id.Revision(3)))
		}
	})
})
