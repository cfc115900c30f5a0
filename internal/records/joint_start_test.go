package records

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/platform"
)

// Guards against concurrent snapshots at a joint start. After a power failure no process knew any other, and each read
// 358 KB over one link, in 1.3 to 2.1 s.
var _ = Describe("processes that start together", func() {
	// seedTime is how long the seed takes to answer one request after the other, and seedStart when it begins to listen.
	var seedTime, seedStart time.Duration
	BeforeEach(func() { seedTime, seedStart = 0, 0 })
	// together starts n processes of one failure domain that know only the configured seeds, and returns the number of
	// large answers until all have the configuration.
	together := func(n int, seedDomain string, seeds ...string) int {
		s := &fakeStore{logs: map[string][]Record{}}
		s.write("op", "config", "1 "+strings.Repeat("x", configBytes))
		s.write("up", "u", "here")
		l := newLink(int(configBytes / configTransfer.Seconds()))
		storeCalls := s.store()
		storeCalls.Snapshot = func(ctx context.Context, topic string, progress Progress) ([]Record, id.Position, error) {
			r, next, err := s.store().Snapshot(ctx, topic, progress)
			if err != nil {
				return nil, 0, err
			}
			return r, next, l.transfer(ctx, bytesOf(r), progress)
		}
		const seed = "10.0.9.1:7700"
		began := time.Now()
		var mu, seedBusy sync.Mutex
		byName := map[string]*Records{}
		ask := func(ctx context.Context, address string, q *pb.FollowRequest) (*pb.FollowResponse, error) {
			mu.Lock()
			to := byName[address]
			mu.Unlock()
			if to == nil || (address == seed && time.Since(began) < seedStart) {
				return nil, platform.ErrUnavailable
			}
			if address == seed {
				seedBusy.Lock()
				time.Sleep(seedTime)
				seedBusy.Unlock()
			}
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			return to.service.Follow(ctx, q)
		}
		add := func(name, domain string) *Records {
			apply := func(Record) error { return nil }
			r := New(&Settings{ConfigWait: 50 * time.Millisecond, ListEvery: 20 * time.Millisecond, Seeds: seeds}, &Platform{
				Store: storeCalls, Operators: Topic{Name: "op", Apply: apply}, Upstreams: Topic{Name: "up", Apply: apply, KeysAreUpstreams: true},
			}, facts.New(time.Now), id.Domain(domain), name, time.Now, silentLogger)
			r.follower.ask = ask
			mu.Lock()
			defer mu.Unlock()
			byName[name] = r
			return r
		}
		ctx, stop := context.WithCancel(context.Background())
		DeferCleanup(stop)
		add(seed, seedDomain)
		var all []*Records
		for i := range n {
			all = append(all, add(fmt.Sprintf("10.0.0.%d:7700", i), "d"))
		}
		for _, r := range all {
			go func() { _ = r.Run(ctx) }()
		}
		for _, r := range all {
			Eventually(r.follower.allRead).WithTimeout(10 * time.Second).Should(BeTrue())
		}
		return l.largeAnswerCount()
	}

	It("each read a large record if they know no other process", func() {
		Expect(together(10, "d")).To(Equal(10))
	})

	It("read it once if one of them is a seed, whatever the port in the settings", func() {
		Expect(together(10, "d", "10.0.9.1:8000")).To(BeNumerically("<=", 2))
	})

	It("read it once if the seed is of another failure domain", func() {
		Expect(together(10, "e", "10.0.9.1:8000")).To(BeNumerically("<=", 2))
	})

	It("read it twice at most if the seed listens a moment later than they ask it", func() {
		seedStart = 50 * time.Millisecond
		Expect(together(30, "e", "10.0.9.1:8000")).To(BeNumerically("<=", 2))
	})

	// A hundred requests at once keep the seed busy for longer than a usual answer takes.
	It("read it twice at most if there are so many that the seed answers most of them late", func() {
		seedTime = 5 * time.Millisecond
		Expect(together(100, "e", "10.0.9.1:8000")).To(BeNumerically("<=", 2))
	})
})
