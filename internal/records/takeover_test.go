package records

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/platform"
)

// Guards against two processes of a domain that both read the store. The first gateway followed the second one, which had
// read the store while the first could not, and lost one of its answers. It then read the store itself, as its records
// were fresh, and the second one did not ask it for three seconds.
var _ = Describe("a gateway that follows one of lower rank", func() {
	// pairWithReader starts the first gateway of a domain without the store and the second one with it, and returns once
	// the first follows the second.
	pairWithReader := func() (first, second *process, loseAnswer func(), s *fakeStore) {
		s = &fakeStore{logs: map[string][]Record{}}
		s.write("op", "config", "1")
		s.write("up", "u", "here")
		order, _ := Sources("d", []string{"a", "b"}, "")
		var mu sync.Mutex
		lost := false
		byName := map[string]*process{}
		ask := func(ctx context.Context, address string, q *pb.FollowRequest) (*pb.FollowResponse, error) {
			mu.Lock()
			to, lose := byName[address], lost && q.GetClaim() == nil
			if lose {
				lost = false
			}
			mu.Unlock()
			if to == nil || lose {
				return nil, platform.ErrUnavailable
			}
			return to.service.Follow(ctx, q)
		}
		add := func(name string, of *fakeStore) *process {
			p, stop := startProcess(name, 200*time.Millisecond, of.store(), ask, func(ctx context.Context, p *process) {
				for ctx.Err() == nil {
					p.facts.NoteGateway("a")
					p.facts.NoteGateway("b")
					kernel.Pause(ctx, time.Second)
				}
			})
			DeferCleanup(stop)
			mu.Lock()
			defer mu.Unlock()
			byName[name] = p
			return p
		}
		cut := &fakeStore{logs: s.logs, shared: s, failingTopic: "up"}
		second = add(order[1], s)
		Eventually(func() string { return second.value("config") }).WithTimeout(3 * time.Second).Should(Equal("1"))
		first = add(order[0], cut)
		Eventually(func() string { return first.value("config") }).WithTimeout(3 * time.Second).Should(Equal("1"))
		s.lock().Lock()
		cut.failingTopic = ""
		s.lock().Unlock()
		first.store = cut
		return first, second, func() {
			mu.Lock()
			defer mu.Unlock()
			lost = true
		}, s
	}

	It("stays with it after a lost answer, as long as that one reads the store", func() {
		first, second, loseAnswer, s := pairWithReader()
		time.Sleep(time.Second)
		loseAnswer()
		time.Sleep(300 * time.Millisecond)
		before, reads := first.store.callsFor("up"), s.callsFor("up")
		time.Sleep(2 * time.Second)
		Expect(s.callsFor("up")).To(BeNumerically(">", reads), "the second one reads")
		Expect(first.store.callsFor("up")).To(Equal(before), "the first one does not")
		s.write("op", "config", "2")
		Eventually(func() string { return first.value("config") }).WithTimeout(2 * time.Second).Should(Equal("2"))
		Expect(second.value("config")).To(Equal("2"))
	})

	It("lets that one read the store alone from the start, though it has read the list of upstreams itself", func() {
		s := &fakeStore{logs: map[string][]Record{}}
		s.write("op", "config", "1")
		s.write("up", "u", "here")
		order, _ := Sources("d", []string{"a", "b"}, "")
		note := func(p *process) {
			p.facts.NoteGateway("a")
			p.facts.NoteGateway("b")
		}
		announce := func(ctx context.Context, p *process) {
			for ; ctx.Err() == nil; kernel.Pause(ctx, time.Second) {
				note(p)
			}
		}
		second := newProcessWith(order[1], 0, s.store(), noPeers, announce)
		Eventually(func() string { return second.value("config") }).WithTimeout(3 * time.Second).Should(Equal("1"))
		own := &fakeStore{logs: s.logs, shared: s}
		// The first one learns of the second while it reads the list, with the lease for that and none for the other topic.
		store, readsList, announced := own.store(), make(chan struct{}, 1), make(chan struct{})
		read := store.Snapshot
		store.Snapshot = func(ctx context.Context, topic string, progress Progress) ([]Record, id.Position, error) {
			if topic == "up" {
				select {
				case readsList <- struct{}{}:
				default:
				}
				<-announced
			}
			return read(ctx, topic, progress)
		}
		ask := func(ctx context.Context, _ string, q *pb.FollowRequest) (*pb.FollowResponse, error) {
			return second.service.Follow(ctx, q)
		}
		first := newProcessWith(order[0], 0, store, ask, func(ctx context.Context, p *process) {
			<-readsList
			note(p)
			close(announced)
			announce(ctx, p)
		})
		Eventually(func() string { return first.value("config") }).WithTimeout(3 * time.Second).Should(Equal("1"))
		Expect(own.callsFor("op")).To(BeZero(), "the second one refused the lease")
		time.Sleep(maxFreshAge)
		before := own.callsFor("up")
		Expect(before).NotTo(BeZero())
		Consistently(func() int { return own.callsFor("up") }).WithTimeout(2 * time.Second).Should(Equal(before))
	})
})
