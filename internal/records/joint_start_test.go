package records

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/platform"
)

// jointSeed is the configured seed at a joint start.
const jointSeed = "10.0.9.1:7700"

// jointStart is a start of many processes at once, in virtual time: a VM that is short of processor time delays no answer
// of the seed beyond what the spec says. No goroutine may sleep with a mutex held, as virtual time then stands still.
type jointStart struct {
	// seedTime is how long the seed takes to answer one request after the other, and seedStart when it begins to listen.
	seedTime, seedStart time.Duration

	store *fakeStore
	began time.Time
	// link and seedBusy each admit one at a time: a transfer over the link to the store, and a request at the seed.
	link, seedBusy chan struct{}

	mu           sync.Mutex
	byName       map[string]*Records
	largeAnswers int
}

// run starts n processes of one failure domain that know only the configured seeds, and returns the number of large answers
// until all have the configuration.
func (j *jointStart) run(n int, seedDomain string, seeds ...string) int {
	slow := time.Time{}
	synctest.Test(suite, func(*testing.T) {
		j.store, j.began, j.byName, j.largeAnswers = &fakeStore{logs: map[string][]Record{}}, time.Now(), map[string]*Records{}, 0
		j.link, j.seedBusy = make(chan struct{}, 1), make(chan struct{}, 1)
		j.store.write("op", "config", "1 "+strings.Repeat("x", configBytes))
		j.store.write("up", "u", "here")
		ctx, stop := context.WithCancel(context.Background())
		var running sync.WaitGroup
		// Virtual time stands still once this function returns, so it waits for those that wait for the seed or the link.
		defer func() {
			stop()
			running.Wait()
			hold(j.seedBusy, 0)
			hold(j.link, 0)
		}()
		j.add(jointSeed, id.Domain(seedDomain), seeds)
		var all []*Records
		for i := range n {
			all = append(all, j.add(fmt.Sprintf("10.0.0.%d:7700", i), "d", seeds))
		}
		for _, r := range all {
			running.Go(func() { _ = r.Run(ctx) })
		}
		for _, r := range all {
			for !r.follower.allRead() && time.Since(j.began) < 10*time.Second {
				time.Sleep(time.Millisecond)
			}
			if !r.follower.allRead() {
				slow = time.Now()
			}
		}
	})
	Expect(slow).To(BeZero(), "a process without records after 10 s")
	return j.largeAnswers
}

// add adds a process.
func (j *jointStart) add(name string, d id.Domain, seeds []string) *Records {
	apply := func(Record) error { return nil }
	calls := j.store.store()
	calls.Snapshot = j.snapshot
	r := New(&Settings{ConfigWait: 50 * time.Millisecond, ListEvery: 20 * time.Millisecond, Seeds: seeds}, &Platform{
		Store: calls, Operators: Topic{Name: "op", Apply: apply}, Upstreams: Topic{Name: "up", Apply: apply, KeysAreUpstreams: true},
	}, facts.New(time.Now), d, name, time.Now, silentLogger)
	r.follower.ask = j.ask
	j.mu.Lock()
	defer j.mu.Unlock()
	j.byName[name] = r
	return r
}

// snapshot reads the store over the link, which concurrent transfers share.
func (j *jointStart) snapshot(ctx context.Context, topic string, progress Progress) ([]Record, id.Position, error) {
	r, next, err := j.store.store().Snapshot(ctx, topic, progress)
	if err != nil {
		return nil, 0, err
	}
	bytes := bytesOf(r)
	if bytes >= largeAnswerBytes {
		j.mu.Lock()
		j.largeAnswers++
		j.mu.Unlock()
	}
	for ; bytes > 0 && ctx.Err() == nil; bytes -= linkChunk {
		n := min(bytes, linkChunk)
		hold(j.link, configTransfer*time.Duration(n)/configBytes)
		progress(n)
	}
	return r, next, ctx.Err()
}

// ask sends a request to another process.
func (j *jointStart) ask(ctx context.Context, address string, q *pb.FollowRequest) (*pb.FollowResponse, error) {
	j.mu.Lock()
	to := j.byName[address]
	j.mu.Unlock()
	if to == nil || (address == jointSeed && time.Since(j.began) < j.seedStart) {
		return nil, platform.ErrUnavailable
	}
	if address == jointSeed {
		hold(j.seedBusy, j.seedTime)
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return to.service.Follow(ctx, q)
}

// hold holds a slot for a time.
func hold(slot chan struct{}, d time.Duration) {
	slot <- struct{}{}
	time.Sleep(d)
	<-slot
}

// Guards against concurrent snapshots at a joint start. After a power failure no process knew any other, and each read
// 358 KB over one link, in 1.3 to 2.1 s.
var _ = Describe("processes that start together", func() {
	var j *jointStart
	BeforeEach(func() { j = &jointStart{} })

	It("each read a large record if they know no other process", func() {
		Expect(j.run(10, "d")).To(Equal(10))
	})

	It("read it once if one of them is a seed, whatever the port in the settings", func() {
		Expect(j.run(10, "d", "10.0.9.1:8000")).To(BeNumerically("<=", 2))
	})

	It("read it once if the seed is of another failure domain", func() {
		Expect(j.run(10, "e", "10.0.9.1:8000")).To(BeNumerically("<=", 2))
	})

	It("read it twice at most if the seed listens a moment later than they ask it", func() {
		j.seedStart = 50 * time.Millisecond
		Expect(j.run(30, "e", "10.0.9.1:8000")).To(BeNumerically("<=", 2))
	})

	// A hundred requests at once keep the seed busy for longer than a usual answer takes.
	It("read it twice at most if there are so many that the seed answers most of them late", func() {
		j.seedTime = 5 * time.Millisecond
		Expect(j.run(100, "e", "10.0.9.1:8000")).To(BeNumerically("<=", 2))
	})

	It("read it twice at most if the seed has answered each for the list just before that gives it up", func() {
		j.seedTime = (firstAnswerTimeout - 50*time.Millisecond) / 100
		Expect(j.run(100, "e", "10.0.9.1:8000")).To(BeNumerically("<=", 2))
	})
})
