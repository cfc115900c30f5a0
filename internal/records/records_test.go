package records

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/spec"
)

func TestRecords(t *testing.T) {
	spec.Run(t, "Records")
}

var _ = Describe("a process that knows a gateway of its domain", func() {
	It("follows it, hears of changes at once, and leaves the store alone", func() {
		first, second, _ := pair(nil)
		Eventually(func() string { return second.value("u") }).Should(Equal("here"))
		Eventually(func() bool {
			second.follower.gate.mu.Lock()
			defer second.follower.gate.mu.Unlock()
			return second.follower.gate.closed != nil
		}).
			WithTimeout(3 * time.Second).Should(BeTrue())
		time.Sleep(100 * time.Millisecond)
		first.store.put("op", "config", "2")
		Eventually(func() string { return second.value("config") }).WithTimeout(200 * time.Millisecond).Should(Equal("2"))
		first.store.put("up", "u", "")
		Eventually(func() []*facts.Instance { return second.facts.Instances() }).WithTimeout(time.Second).Should(BeEmpty())
	})

	It("reads the store itself within a second once the gateway stands still, and follows it again later", func() {
		own := &fakeStore{logs: map[string][]Record{}}
		own.put("op", "config", "1")
		own.put("up", "u", "here")
		_, second, freeze := pair(own)
		closed := func() bool {
			second.follower.gate.mu.Lock()
			defer second.follower.gate.mu.Unlock()
			return second.follower.gate.closed != nil
		}
		Eventually(closed).WithTimeout(3 * time.Second).Should(BeTrue())
		freeze.Lock()
		own.put("op", "config", "7")
		Eventually(func() string { return second.value("config") }).WithTimeout(followWait + followSlack + 300*time.Millisecond).
			Should(Equal("7"))
		freeze.Unlock()
		second.facts.NoteGateway("a")
		Eventually(closed).WithTimeout(blameFor + 2*time.Second).Should(BeTrue())
	})

	It("gets configuration and upstreams from it while the store turns this process away", func() {
		away := &fakeStore{logs: map[string][]Record{}, down: true}
		first, second, _ := pair(away)
		Eventually(func() string { return second.value("config") }).WithTimeout(2 * time.Second).Should(Equal("1"))
		first.store.put("op", "config", "2")
		Eventually(func() string { return second.value("config") }).Should(Equal("2"))
	})

	It("does not ask the store at its start where it waits for a gateway, and does where none comes", func() {
		s := &fakeStore{logs: map[string][]Record{}}
		s.put("op", "config", "1")
		s.put("up", "u", "here")
		first, _ := newProcess("a", s, nobody)
		Eventually(func() string { return first.value("config") }).Should(Equal("1"))
		own := &fakeStore{logs: map[string][]Record{}}
		patient, stop := newProcess("patient", own, func(ctx context.Context, _ string, q *pb.FollowRequest) (*pb.FollowResponse, error) {
			return first.service.Follow(ctx, q)
		})
		time.Sleep(100 * time.Millisecond)
		patient.facts.NoteGateway("a")
		Eventually(func() string { return patient.value("config") }).Should(Equal("1"))
		time.Sleep(400 * time.Millisecond)
		Expect(own.called()).To(BeZero())
		stop()
		_, _ = newProcess("patient", own, nobody)
		Consistently(own.called).WithTimeout(200 * time.Millisecond).Should(BeZero())
		Eventually(own.called).WithTimeout(time.Second).ShouldNot(BeZero())
	})

	It("does not follow one that has itself lost the store", func() {
		own := &fakeStore{logs: map[string][]Record{}}
		own.put("op", "config", "1")
		own.put("up", "u", "here")
		first, second, _ := pair(own)
		Eventually(func() string { return second.value("u") }).Should(Equal("here"))
		first.store.setDown(true)
		time.Sleep(freshMost)
		own.put("op", "config", "9")
		Eventually(func() string { return second.value("config") }).WithTimeout(time.Second).Should(Equal("9"))
	})
})

var _ = Describe("a process that has lost the store", func() {
	It("takes only the newest records once the store is back, not all that was written meanwhile", func() {
		s := &fakeStore{logs: map[string][]Record{}}
		s.put("op", "config", "0")
		p, _ := newProcess("a", s, nobody)
		Eventually(func() string { return p.value("config") }).Should(Equal("0"))
		s.setDown(true)
		time.Sleep(100 * time.Millisecond)
		for i := range 50 {
			s.put("op", "config", fmt.Sprint(i))
		}
		s.mu.Lock()
		s.longest = 0
		s.mu.Unlock()
		s.setDown(false)
		Eventually(func() string { return p.value("config") }).WithTimeout(2 * time.Second).Should(Equal("49"))
		s.mu.Lock()
		defer s.mu.Unlock()
		Expect(s.longest).To(BeNumerically("<=", 1))
	})
})

var _ = Describe("the sources of a failure domain", func() {
	It("are ordered alike by all: exactly one gateway follows nobody, and nobody follows one that follows it", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var all []string
			for i := range rapid.IntRange(1, 40).Draw(t, "gateways") {
				all = append(all, fmt.Sprintf("10.0.0.%d:7700", i))
			}
			readers := 0
			before := map[string][]string{}
			for _, self := range all {
				preferred, others := Sources("d", all, self)
				if len(preferred)+len(others) != len(all)-1 {
					t.Fatalf("%s has %d and %d sources of %d", self, len(preferred), len(others), len(all))
				}
				if len(preferred) == 0 {
					readers++
				}
				before[self] = preferred
			}
			if readers != 1 {
				t.Fatalf("%d gateways follow nobody", readers)
			}
			for _, self := range all {
				for _, a := range before[self] {
					if slices.Contains(before[a], self) {
						t.Fatalf("%s and %s prefer each other", self, a)
					}
				}
			}
			if preferred, _ := Sources("d", all, "stager"); len(preferred) != len(all) {
				t.Fatal("a stager may follow any gateway")
			}
		})
	})
})

var _ = Describe("the first gateway of a domain that the store turns away", func() {
	It("follows the next one, which goes on reading the store and does not follow it back", func() {
		s := &fakeStore{logs: map[string][]Record{}}
		s.put("op", "config", "1")
		s.put("up", "u", "here")
		away := &fakeStore{logs: s.logs}
		var mu sync.Mutex
		all := map[string]*process{}
		ask := func(ctx context.Context, address string, q *pb.FollowRequest) (*pb.FollowResponse, error) {
			mu.Lock()
			p := all[address]
			mu.Unlock()
			return p.service.Follow(ctx, q)
		}
		order, _ := Sources("d", []string{"a", "b"}, "")
		first, _ := newProcess(order[0], away, ask)
		second, _ := newProcess(order[1], s, ask)
		mu.Lock()
		all[order[0]], all[order[1]] = first, second
		mu.Unlock()
		for _, p := range all {
			p.facts.NoteGateway("a")
			p.facts.NoteGateway("b")
			Eventually(func() string { return p.value("u") }).Should(Equal("here"))
		}
		reads := func() bool {
			g := second.follower.gate
			g.mu.Lock()
			defer g.mu.Unlock()
			return g.closed == nil
		}
		known := func() {
			for _, p := range all {
				p.facts.NoteGateway("a")
				p.facts.NoteGateway("b")
			}
		}
		Eventually(reads).WithTimeout(5*time.Second).Should(BeFalse(), "it follows the first one")
		away.setDown(true)
		Eventually(reads).WithTimeout(freshMost + 2*time.Second).Should(BeTrue())
		Eventually(first.follower.age).WithTimeout(freshMost + 2*time.Second).Should(BeNumerically("<", freshMost))
		for range 50 {
			known()
			time.Sleep(100 * time.Millisecond)
			Expect(reads()).To(BeTrue(), "it left the store to follow one that has its records from it")
		}
		s.put("op", "config", "2")
		Eventually(func() string { return first.value("config") }).WithTimeout(2 * time.Second).Should(Equal("2"))
	})
})
