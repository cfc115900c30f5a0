package records

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	pb "github.com/springrail/springrail/gen/springrail/v1"
)

// Operators replaced a third of the upstreams within eight seconds while a configuration of 300 KB changed four times a second. The stagers
// beside the new upstreams knew no gateway, as no gateway knew the new upstreams yet, and read the store themselves: eight readings of all
// configurations filled the link between two regions, over which the list of upstreams comes too. So gateways did not see the new upstreams, these
// went on reading, and requests reached upstreams that had left 3.0 to 3.4 s before. The evidence: the lines on slow readings name those
// stagers, each with 0.5 to 2.8 s for one configuration, and the list took up to 1.4 s at the domain's reader.
var _ = Describe("processes that start beside new upstreams, which no gateway knows yet", func() {
	const old = "10.0.0.1:7700"
	var s *fakeStore

	BeforeEach(func() {
		s = &fakeStore{logs: map[string][]Record{}}
		s.put("op", "config", "1")
		s.put("up", "10.0.0.1:8000", serving)
		s.put("up", "10.0.0.2:8000", "empty")
	})

	// start begins a number of processes that read a store of their own with the same records.
	start := func(n int, ask func(ctx context.Context, address string, q *pb.FollowRequest) (*pb.FollowResponse, error)) (l []*process, own *fakeStore) {
		own = &fakeStore{logs: s.logs}
		for i := range n {
			p, _ := newProcess(fmt.Sprintf("10.0.1.%d:7700", i), own, ask)
			l = append(l, p)
		}
		return l, own
	}

	It("read the list alone from the store, and the rest from a process beside an older upstream", func() {
		known, _ := newProcess(old, s, nobody)
		Eventually(func() string { return known.value("config") }).Should(Equal("1"))
		var mu sync.Mutex
		asked := map[string]bool{}
		l, own := start(8, func(ctx context.Context, address string, q *pb.FollowRequest) (*pb.FollowResponse, error) {
			mu.Lock()
			asked[address] = true
			mu.Unlock()
			return known.service.Follow(ctx, q)
		})
		for _, p := range l {
			Eventually(func() string { return p.value("config") }).WithTimeout(time.Second).Should(Equal("1"))
		}
		s.put("op", "config", "2")
		for _, p := range l {
			Eventually(func() string { return p.value("config") }).WithTimeout(time.Second).Should(Equal("2"))
		}
		Consistently(func() int { return own.askedFor("op") }).WithTimeout(500 * time.Millisecond).Should(BeZero())
		Expect(own.askedFor("up")).NotTo(BeZero())
		mu.Lock()
		defer mu.Unlock()
		Expect(asked).To(Equal(map[string]bool{old: true}), "upstreams without weights have no process that has followed for a while")
	})

	It("read all from the store where no other process answers", func() {
		l, _ := start(2, nobody)
		for _, p := range l {
			Eventually(func() string { return p.value("config") }).WithTimeout(2 * time.Second).Should(Equal("1"))
		}
	})
})
