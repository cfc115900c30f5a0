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

// suite is the test that runs the specs; those in virtual time need it.
var suite *testing.T

func TestRecords(t *testing.T) {
	suite = t
	spec.Run(t, "Records")
}

var _ = Describe("a process that knows a gateway of its domain", func() {
	It("follows it, learns of changes at once, and does not read the store", func() {
		first, second, _ := pair(nil)
		Eventually(func() string { return second.value("u") }).Should(Equal("here"))
		Eventually(func() bool {
			second.follower.upstreamsGate.mu.Lock()
			defer second.follower.upstreamsGate.mu.Unlock()
			return second.follower.upstreamsGate.closed != nil
		}).
			WithTimeout(3 * time.Second).Should(BeTrue())
		time.Sleep(100 * time.Millisecond)
		first.store.write("op", "config", "2")
		Eventually(func() string { return second.value("config") }).WithTimeout(200 * time.Millisecond).Should(Equal("2"))
		first.store.write("up", "u", "")
		Eventually(func() []*facts.Instance { return second.facts.Instances() }).WithTimeout(time.Second).Should(BeEmpty())
	})

	It("reads the store itself within a second once the gateway freezes, and follows it again later", func() {
		otherStore := &fakeStore{logs: map[string][]Record{}}
		otherStore.write("op", "config", "1")
		otherStore.write("up", "u", "here")
		_, second, frozen := pair(otherStore)
		closed := func() bool {
			second.follower.upstreamsGate.mu.Lock()
			defer second.follower.upstreamsGate.mu.Unlock()
			return second.follower.upstreamsGate.closed != nil
		}
		Eventually(closed).WithTimeout(3 * time.Second).Should(BeTrue())
		frozen.Lock()
		otherStore.write("op", "config", "7")
		Eventually(func() string { return second.value("config") }).WithTimeout(longPollWait + longPollSlack + 300*time.Millisecond).
			Should(Equal("7"))
		frozen.Unlock()
		second.facts.NoteGateway("a")
		Eventually(closed).WithTimeout(avoidFailedFor + 2*time.Second).Should(BeTrue())
	})

	It("gets configuration and upstreams from it while the store refuses this process", func() {
		refusingStore := &fakeStore{logs: map[string][]Record{}, down: true}
		first, second, _ := pair(refusingStore)
		Eventually(func() string { return second.value("config") }).WithTimeout(2 * time.Second).Should(Equal("1"))
		first.store.write("op", "config", "2")
		Eventually(func() string { return second.value("config") }).Should(Equal("2"))
	})

	It("does not ask the store while it waits for a gateway at its start, and does if none comes", func() {
		s := &fakeStore{logs: map[string][]Record{}}
		s.write("op", "config", "1")
		s.write("up", "u", "here")
		first, _ := newProcess("a", s, noPeers)
		Eventually(func() string { return first.value("config") }).Should(Equal("1"))
		otherStore := &fakeStore{logs: map[string][]Record{}}
		waiting, stop := newProcess("patient", otherStore, func(ctx context.Context, _ string, q *pb.FollowRequest) (*pb.FollowResponse, error) {
			return first.service.Follow(ctx, q)
		})
		time.Sleep(100 * time.Millisecond)
		waiting.facts.NoteGateway("a")
		Eventually(func() string { return waiting.value("config") }).Should(Equal("1"))
		time.Sleep(400 * time.Millisecond)
		Expect(otherStore.callCount()).To(BeZero())
		stop()
		_, _ = newProcess("patient", otherStore, noPeers)
		Consistently(otherStore.callCount).WithTimeout(200 * time.Millisecond).Should(BeZero())
		Eventually(otherStore.callCount).WithTimeout(time.Second).ShouldNot(BeZero())
	})

	It("does not follow a gateway that has itself lost the store", func() {
		otherStore := &fakeStore{logs: map[string][]Record{}}
		otherStore.write("op", "config", "1")
		otherStore.write("up", "u", "here")
		first, second, _ := pair(otherStore)
		Eventually(func() string { return second.value("u") }).Should(Equal("here"))
		first.store.setDown(true)
		time.Sleep(maxFreshAge)
		otherStore.write("op", "config", "9")
		Eventually(func() string { return second.value("config") }).WithTimeout(time.Second).Should(Equal("9"))
	})
})

var _ = Describe("a process that has lost the store", func() {
	It("reads a snapshot once the store is back, not every record written meanwhile", func() {
		s := &fakeStore{logs: map[string][]Record{}}
		s.write("op", "config", "0")
		p, _ := newProcess("a", s, noPeers)
		Eventually(func() string { return p.value("config") }).Should(Equal("0"))
		s.setDown(true)
		time.Sleep(100 * time.Millisecond)
		for i := range 50 {
			s.write("op", "config", fmt.Sprint(i))
		}
		s.mu.Lock()
		s.maxReadRecords = 0
		s.mu.Unlock()
		s.setDown(false)
		Eventually(func() string { return p.value("config") }).WithTimeout(2 * time.Second).Should(Equal("49"))
		s.mu.Lock()
		defer s.mu.Unlock()
		Expect(s.maxReadRecords).To(BeNumerically("<=", 1))
	})
})

var _ = Describe("the sources of a failure domain", func() {
	It("have the same order for all processes: exactly one gateway follows nobody, and no two gateways prefer each other", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var all []string
			for i := range rapid.IntRange(1, 40).Draw(t, "gateways") {
				all = append(all, fmt.Sprintf("10.0.0.%d:7700", i))
			}
			readers := 0
			preferredOf := map[string][]string{}
			for _, self := range all {
				preferred, others := Sources("d", all, self)
				if len(preferred)+len(others) != len(all)-1 {
					t.Fatalf("%s has %d and %d sources of %d", self, len(preferred), len(others), len(all))
				}
				if len(preferred) == 0 {
					readers++
				}
				preferredOf[self] = preferred
			}
			if readers != 1 {
				t.Fatalf("%d gateways follow nobody", readers)
			}
			for _, self := range all {
				for _, a := range preferredOf[self] {
					if slices.Contains(preferredOf[a], self) {
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

var _ = Describe("the first gateway of a domain, when the store refuses it,", func() {
	It("follows the next one, which goes on reading the store and does not follow the first", func() {
		s := &fakeStore{logs: map[string][]Record{}}
		s.write("op", "config", "1")
		s.write("up", "u", "here")
		refusingStore := &fakeStore{logs: s.logs}
		var mu sync.Mutex
		all := map[string]*process{}
		ask := func(ctx context.Context, address string, q *pb.FollowRequest) (*pb.FollowResponse, error) {
			mu.Lock()
			p := all[address]
			mu.Unlock()
			return p.service.Follow(ctx, q)
		}
		order, _ := Sources("d", []string{"a", "b"}, "")
		announce := func() {
			for _, p := range all {
				p.facts.NoteGateway("a")
				p.facts.NoteGateway("b")
			}
		}
		start := func(name string, of *fakeStore) *process {
			p, _ := newProcess(name, of, ask)
			mu.Lock()
			all[name] = p
			mu.Unlock()
			Eventually(func() string { return p.value("config") }).WithTimeout(3 * time.Second).Should(Equal("1"))
			Eventually(func() string { return p.value("u") }).WithTimeout(3 * time.Second).Should(Equal("here"))
			return p
		}
		// Each has read both topics before it knows the other one. Otherwise the first one's lease request may be refused,
		// and it rightly follows the second from the start.
		first, second := start(order[0], refusingStore), start(order[1], s)
		readsStore := func() bool {
			announce()
			g := second.follower.upstreamsGate
			g.mu.Lock()
			defer g.mu.Unlock()
			return g.closed == nil
		}
		Eventually(readsStore).WithTimeout(5*time.Second).Should(BeFalse(), "it follows the first one")
		refusingStore.setDown(true)
		Eventually(readsStore).WithTimeout(maxFreshAge + 2*time.Second).Should(BeTrue())
		Eventually(first.follower.oldestAge).WithTimeout(maxFreshAge + 2*time.Second).Should(BeNumerically("<", maxFreshAge))
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			Expect(readsStore()).To(BeTrue(), "it stopped reading the store to follow a process that follows it")
		}
		s.write("op", "config", "2")
		Eventually(func() string { return first.value("config") }).WithTimeout(2 * time.Second).Should(Equal("2"))
	})
})
