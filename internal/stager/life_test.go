package stager

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
)

// startAnew plays an engine that crashes and is back at once, without what lay staged; the caller holds the lock.
func (e *engine) startAnew() {
	e.state = State{Incarnation: e.state.Incarnation + 1}
	e.staged = map[id.Chunk][]byte{}
}

// An engine crashed in the moment between the look at its chunks and the order, and came back within a millisecond with nothing
// staged. Neither engine had taken an order, so the count of orders was the same, and the order was taken.
var _ = Describe("a stager", func() {
	It("tells in its reports, at once, that the upstream has started again under the ID and address that it had", func() {
		e := newEngine(facts.Held{Model: "m", Revision: 1})
		e.state.Born = 10
		s, _, to := startReporting(e, time.Second)
		Eventually(func() bool { _, up := s.current(); return up }).Should(BeTrue())
		read := subscribed(to)
		Expect(read().GetBorn()).To(Equal(uint64(10)))
		e.do(func() {
			e.startAnew()
			e.state.Born = 20
		})
		Eventually(func() uint64 { return read().GetBorn() }).Should(Equal(uint64(20)))
	})

	It("orders an upstream that has started anew since its chunks were verified to load nothing that it lacks", func() {
		e := newEngine()
		e.gotLast = func() { e.startAnew() }
		start(e, time.Second)
		Eventually(e.serves).WithTimeout(soon).Should(Equal(id.Revision(1)))
		e.do(func() {
			for _, l := range e.loaded {
				Expect(l).To(Equal(content(1)))
			}
		})
	})
})
