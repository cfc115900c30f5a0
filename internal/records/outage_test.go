package records

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/platform"
)

const (
	// configBytes is the size of a configuration as users have it, and configTransfer its transfer time on a 24 Mbit/s
	// link.
	configBytes    = 358694
	configTransfer = 120 * time.Millisecond
)

// Guards against concurrent snapshots after an outage. The store was unavailable to a failure domain for eight seconds,
// and again for a second. Four or more gateways then read the operators' records at the same time over their shared
// link, in 2.6 to 3.4 s each instead of 0.12 s, and refused requests by the older configuration. Their takeover delays
// had all expired during the outage.
var _ = Describe("a failure domain after an outage of the store", func() {
	It("reads a large record once, and all processes have it within two seconds, even if the store is lost again at once", func() {
		d := newDomain(12, 15, configBytes, configTransfer)
		Eventually(func() int { return d.lacking("config 0 ") }).WithTimeout(20 * time.Second).Should(BeZero())
		time.Sleep(2 * time.Second)
		d.store.setDown(true)
		time.Sleep(4 * time.Second)
		d.takeRequests()
		time.Sleep(4 * time.Second)
		Expect(d.takeRequests()).To(BeNumerically("<", 3*4*len(d.processes)), "requests while no process reaches the store")
		config := d.writeConfig(configBytes)
		before := d.link.largeAnswerCount()
		d.store.setDown(false)
		time.Sleep(200 * time.Millisecond)
		d.store.setDown(true)
		time.Sleep(time.Second)
		d.store.setDown(false)
		Eventually(func() int { return d.lacking(config) }).WithTimeout(2 * time.Second).WithPolling(20 * time.Millisecond).Should(BeZero())
		large := d.link.largeAnswerCount()
		Expect(large-before).To(BeNumerically("<=", 3), "one is lost with the store, and at most one is taken over")
	})

	It("has another process read if the reader freezes during a snapshot", func() {
		d := newDomain(12, 15, configBytes, configTransfer)
		Eventually(func() int { return d.lacking("config 0 ") }).WithTimeout(20 * time.Second).Should(BeZero())
		time.Sleep(2 * time.Second)
		d.store.setDown(true)
		time.Sleep(4 * time.Second)
		config := d.writeConfig(configBytes)
		before := d.link.largeAnswerCount()
		d.store.setDown(false)
		var reader string
		Eventually(func() string {
			for _, p := range d.processes {
				if p.readsSnapshot() {
					reader = p.name
				}
			}
			return reader
		}).WithTimeout(2 * time.Second).WithPolling(2 * time.Millisecond).ShouldNot(BeEmpty())
		d.freeze(reader)
		Eventually(func() int { return d.lacking(config) }).WithTimeout(3 * time.Second).WithPolling(20 * time.Millisecond).Should(BeZero())
		large := d.link.largeAnswerCount()
		Expect(large - before).To(BeNumerically("<=", 3))
	})
})

// Guards against a date before the outage. A process that had only probed the store dated a version published during
// the outage by its last read before. Older versions stopped serving seconds too early, and a domain refused 300
// requests in half a second.
var _ = Describe("a record that was written during an outage of the store", func() {
	It("is dated by the end of the outage, by a process that has only probed the store since its source lost it", func() {
		s := &fakeStore{logs: map[string][]Record{}}
		s.write("op", "config", "1")
		s.write("up", "u", "here")
		leader, stopLeader := newProcess("a", s, noPeers)
		var mu sync.Mutex
		var after time.Time
		var firstProbe time.Time
		store := s.store()
		probe := store.Probe
		store.Probe = func(ctx context.Context, topic string, from id.Position) error {
			mu.Lock()
			defer mu.Unlock()
			if firstProbe.IsZero() {
				firstProbe = time.Now()
			}
			return probe(ctx, topic, from)
		}
		f := facts.New(time.Now)
		p := New(&Settings{ConfigWait: 50 * time.Millisecond, ListEvery: 20 * time.Millisecond}, &Platform{
			Store: store,
			Operators: Topic{Name: "op", Apply: func(r Record) error {
				mu.Lock()
				defer mu.Unlock()
				if r.Key == "version" {
					after = r.After
				}
				return nil
			}},
			Upstreams: Topic{Name: "up", Apply: func(Record) error { return nil }, KeysAreUpstreams: true},
		}, f, "d", "self", time.Now, silentLogger)
		p.follower.ask = func(ctx context.Context, address string, q *pb.FollowRequest) (*pb.FollowResponse, error) {
			if address != "a" {
				return nil, platform.ErrUnavailable
			}
			return leader.service.Follow(ctx, q)
		}
		ctx, stop := context.WithCancel(context.Background())
		DeferCleanup(stop)
		go func() {
			for ctx.Err() == nil {
				f.NoteGateway("a")
				for n := range 40 {
					// These take precedence, so the process starts to probe the store only once its records are old.
					f.NoteGateway(fmt.Sprint("gone-", n))
				}
				kernel.Pause(ctx, time.Second)
			}
		}()
		go func() { _ = p.Run(ctx) }()
		Eventually(func() bool { return p.follower.allRead() && p.follower.origin.get() == "a" }).WithTimeout(5 * time.Second).Should(BeTrue())
		Expect(p.follower.takeoverRank()).To(Equal(maxTakeoverRank))
		time.Sleep(200 * time.Millisecond)
		s.setDown(true)
		time.Sleep(maxFreshAge + maxTakeoverRank*takeoverStep + time.Second)
		s.write("op", "version", "2")
		stopLeader()
		outageEnded := time.Now()
		s.setDown(false)
		dateOfRecord := func() time.Time {
			mu.Lock()
			defer mu.Unlock()
			return after
		}
		Eventually(dateOfRecord).WithTimeout(2 * maxTakeoverRank * retryPause).ShouldNot(BeZero())
		// The store may have been available since the last failed probe. The first probe was made about a second
		// before.
		mu.Lock()
		probedAt := firstProbe
		mu.Unlock()
		Expect(probedAt).To(BeTemporally("~", outageEnded.Add(-time.Second), 500*time.Millisecond))
		Expect(dateOfRecord()).To(And(BeTemporally(">=", probedAt.Add(-50*time.Millisecond)), BeTemporally("<=", outageEnded)))
	})
})
