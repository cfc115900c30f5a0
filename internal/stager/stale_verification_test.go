package stager

import (
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/swapplan"
)

const (
	// maxTakenBad is how long a chunk may have been corrupt when the upstream takes it, as required by the users.
	maxTakenBad = 3 * time.Second
	// stopTime is how long a process is stopped.
	stopTime = 3500 * time.Millisecond
	// lastChunk is the chunk that a verification reads last.
	lastChunk = id.Chunk(chunks - 1)
)

// stopClock is a clock that skips time, as it seems to a process that is stopped.
type stopClock struct{ skipped atomic.Int64 }

func (c *stopClock) now() time.Time { return time.Now().Add(time.Duration(c.skipped.Load())) }
func (c *stopClock) stop()          { c.skipped.Add(int64(stopTime)) }

// Guards against an order that the upstream takes with chunks that turned corrupt since they were read.
var _ = Describe("an order to load whose verification is outdated", func() {
	DescribeTable("is not sent if chunks turn corrupt and the process is stopped", func(prepare func(e *fakeUpstream, c *stopClock)) {
		c := new(stopClock)
		e := newFakeUpstream(facts.Held{Model: "m", Revision: 1})
		e.now = c.now
		prepare(e, c)
		s, f := startStager(e, time.Minute)
		Eventually(func() bool { _, up := s.upstreamState(); return up }).Should(BeTrue())
		f.SetWanted("m", publishedNow(2))
		Eventually(e.servedRevision).WithTimeout(2 * waitTimeout).Should(Equal(id.Revision(2)))
		e.withLock(func() {
			for _, d := range e.takenBadFor {
				Expect(d).To(BeNumerically("<=", maxTakenBad))
			}
		})
	},
		Entry("within the verification", func(e *fakeUpstream, c *stopClock) {
			e.onRead = func(n id.Chunk) {
				if n == lastChunk/2 {
					e.onRead = nil
					e.spoil(0)
					c.stop()
				}
			}
		}),
		Entry("between the verification and the order", func(e *fakeUpstream, c *stopClock) {
			e.onRead = func(n id.Chunk) {
				if n == lastChunk {
					e.onRead = nil
					time.AfterFunc(swapplan.LateArrivalWait/2, func() { e.withLock(func() { e.spoil(0) }); c.stop() })
				}
			}
		}),
		Entry("within the verification that follows a restart of the upstream", func(e *fakeUpstream, c *stopClock) {
			reads := 0
			e.onRead = func(n id.Chunk) {
				if n != lastChunk {
					return
				}
				if reads++; reads == 1 {
					time.AfterFunc(swapplan.LateArrivalWait/2, func() { e.withLock(func() { e.state.Incarnation++ }) })
					return
				}
				e.onRead = nil
				e.spoil(0)
				c.stop()
			}
		}),
		Entry("after a verification that followed an earlier stop", func(e *fakeUpstream, c *stopClock) {
			reads := 0
			e.onRead = func(n id.Chunk) {
				if n != lastChunk {
					return
				}
				if reads++; reads == 1 {
					time.AfterFunc(swapplan.LateArrivalWait/2, c.stop)
					return
				}
				e.onRead = nil
				e.spoil(0)
				c.stop()
			}
		}),
	)

	It("is not sent if a chunk is corrupt again after it was replaced", func() {
		e := newFakeUpstream(facts.Held{Model: "m", Revision: 1})
		s, f := startStager(e, time.Minute)
		Eventually(func() bool { _, up := s.upstreamState(); return up }).Should(BeTrue())
		e.withLock(func() { e.corruptStaged[lastChunk] = 2 })
		f.SetWanted("m", publishedNow(2))
		Eventually(e.servedRevision).WithTimeout(waitTimeout).Should(Equal(id.Revision(2)))
		e.withLock(func() { Expect(e.loaded).To(Equal([][]byte{content(2)})) })
	})

	It("is not sent, and the upstream accepts requests, while its chunks are read too slowly to be verified", func() {
		c := new(stopClock)
		e := newFakeUpstream(facts.Held{Model: "m", Revision: 1})
		e.now = c.now
		s, f := startStager(e, time.Minute)
		Eventually(func() bool { _, up := s.upstreamState(); return up }).Should(BeTrue())
		reads, readsWhileClosed := 0, 0
		e.withLock(func() {
			e.onRead = func(id.Chunk) {
				c.skipped.Add(int64(verificationLifetime / (chunks - 1)))
				reads++
				s.mu.Lock()
				defer s.mu.Unlock()
				if s.closed {
					readsWhileClosed++
				}
			}
		})
		f.SetWanted("m", publishedNow(2))
		Eventually(func() (n int) { e.withLock(func() { n = reads }); return }).WithTimeout(waitTimeout).Should(BeNumerically(">", 6*chunks))
		e.withLock(func() {
			Expect(readsWhileClosed).To(BeNumerically("<=", chunks), "it is closed early once")
			Expect(e.orders).To(BeEmpty())
			e.onRead = nil
		})
		Eventually(e.servedRevision).WithTimeout(waitTimeout).Should(Equal(id.Revision(2)))
	})

	It("is reported if the upstream may have taken corrupt chunks", func() {
		e := newFakeUpstream(facts.Held{Model: "m", Revision: 1})
		e.onOrder = func() { e.spoil(0) }
		s, f := startStager(e, time.Minute)
		Eventually(func() bool { _, up := s.upstreamState(); return up }).Should(BeTrue())
		f.SetWanted("m", publishedNow(2))
		Eventually(e.servedRevision).WithTimeout(waitTimeout).Should(Equal(id.Revision(2)))
		Eventually(func() string { return s.orders.String() }).Should(ContainSubstring(`"corrupt": 1`))
	})

	It("is not sent while requests wait that came while the process was stopped", func() {
		c := new(stopClock)
		e := newFakeUpstream(facts.Held{Model: "m", Revision: 1})
		e.now = c.now
		e.onRead = func(n id.Chunk) {
			if n != lastChunk {
				return
			}
			e.onRead = nil
			time.AfterFunc(swapplan.LateArrivalWait/2, func() {
				e.withLock(func() { e.state.Waiting = 1 })
				c.stop()
				time.AfterFunc(swapplan.MaxDrain/2, func() { e.withLock(func() { e.state.Waiting = 0 }) })
			})
		}
		s, f := startStager(e, time.Minute)
		Eventually(func() bool { _, up := s.upstreamState(); return up }).Should(BeTrue())
		f.SetWanted("m", publishedNow(2))
		Eventually(e.servedRevision).WithTimeout(waitTimeout).Should(Equal(id.Revision(2)))
		e.withLock(func() { Expect(e.refusedAtOrder).To(BeZero()) })
	})
})
