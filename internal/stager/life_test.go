package stager

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
)

// restart simulates an upstream that crashes and restarts at once without its staged chunks; the caller holds the lock.
func (e *fakeUpstream) restart() {
	e.state = State{Incarnation: e.state.Incarnation + 1}
	e.staged = map[id.Chunk][]byte{}
}

// Guards against an order that a restarted upstream accepts: it crashed between the verification of its chunks and the
// order, and was back within a millisecond with nothing staged. Neither incarnation had accepted an order, so the order
// count was the same.
var _ = Describe("a stager", func() {
	It("reports at once that the upstream has restarted under the same ID and address", func() {
		e := newFakeUpstream(facts.Held{Model: "m", Revision: 1})
		e.state.Born = 10
		s, _, to := startReporting(e, time.Second)
		Eventually(func() bool { _, up := s.upstreamState(); return up }).Should(BeTrue())
		read := subscribe(to)
		Expect(read().GetBorn()).To(Equal(uint64(10)))
		e.withLock(func() {
			e.restart()
			e.state.Born = 20
		})
		Eventually(func() uint64 { return read().GetBorn() }).Should(Equal(uint64(20)))
	})

	It("does not order an upstream that has restarted since its chunks were verified to load chunks that it lost", func() {
		e := newFakeUpstream()
		e.onLastChunkRead = func() { e.restart() }
		startStager(e, time.Second)
		Eventually(e.servedRevision).WithTimeout(waitTimeout).Should(Equal(id.Revision(1)))
		e.withLock(func() {
			for _, l := range e.loaded {
				Expect(l).To(Equal(content(1)))
			}
		})
	})
})
