package swarm

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/spec"
)

func TestSwarm(t *testing.T) {
	spec.Run(t, "The swarm's decisions")
}

func drawMembers(t *rapid.T) []Member {
	n, domains := rapid.IntRange(1, 40).Draw(t, "vms"), rapid.IntRange(1, 9).Draw(t, "domains")
	var l []Member
	for i := range n {
		l = append(l, Member{VM: id.VM(fmt.Sprintf("vm-%d", i)), Domain: id.Domain(fmt.Sprintf("d-%d", i%domains))})
	}
	return l
}

var _ = Describe("lanes", func() {
	It("assign each rank of a lane exactly once, consistently on all VMs", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			members := drawMembers(t)
			l := NewLanes("key", members)
			shuffled := append([]Member(nil), members...)
			rand.New(rand.NewPCG(1, uint64(len(members)))).Shuffle(len(shuffled), func(i, j int) {
				shuffled[i], shuffled[j] = shuffled[j], shuffled[i]
			})
			other := NewLanes("key", shuffled)
			for lane := range l.Count() {
				seen := map[int]bool{}
				for _, m := range members {
					rank := l.Ranks(m.VM)[lane]
					if rank < 0 || rank >= len(members) || seen[rank] {
						t.Fatalf("lane %d: rank %d twice or out of range", lane, rank)
					}
					if other.Ranks(m.VM)[lane] != rank {
						t.Fatalf("two lists of the same members differ")
					}
					seen[rank] = true
				}
			}
		})
	})

	It("let at least one VM and at most as many as the budget has copies fetch from the origin", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			members := drawMembers(t)
			l := NewLanes("key", members)
			copies := rapid.Float64Range(0.5, 6).Draw(t, "copies")
			waited := time.Duration(rapid.IntRange(0, 100).Draw(t, "seconds")) * time.Second
			for lane := range l.Count() {
				n := 0
				for _, m := range members {
					if MayFetchFromOrigin(l.Ranks(m.VM)[lane], copies, waited, time.Second) {
						n++
					}
				}
				if n < 1 || n > max(1, int(copies)) {
					t.Fatalf("%d VMs may fetch with a budget of %.2f copies", n, copies)
				}
			}
		})
	})

	It("put ranks 0 and 1 of a lane in different failure domains if there are several", func() {
		for domains := 2; domains <= 9; domains++ {
			var members []Member
			for i := range 30 {
				members = append(members, Member{VM: id.VM(fmt.Sprint(i)), Domain: id.Domain(fmt.Sprint(i % domains))})
			}
			l := NewLanes("key", members)
			for lane := range l.Count() {
				at := map[int]id.Domain{}
				for _, m := range members {
					at[l.Ranks(m.VM)[lane]] = m.Domain
				}
				Expect(at[0]).NotTo(Equal(at[1]), "%d domains", domains)
			}
		}
	})
})

var _ = Describe("neighbours", func() {
	It("reach every VM from every other", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			members := drawMembers(t)
			next := map[id.VM][]id.VM{}
			for _, m := range members {
				next[m.VM] = Neighbours("key", m, members, 8)
				for _, v := range next[m.VM] {
					if v == m.VM {
						t.Fatalf("%s is its own neighbour", v)
					}
				}
			}
			for _, m := range members {
				reached, queue := map[id.VM]bool{m.VM: true}, []id.VM{m.VM}
				for len(queue) > 0 {
					for _, v := range next[queue[0]] {
						if !reached[v] {
							reached[v] = true
							queue = append(queue, v)
						}
					}
					queue = queue[1:]
				}
				if len(reached) != len(members) {
					t.Fatalf("%s reaches %d of %d", m.VM, len(reached), len(members))
				}
			}
		})
	})
})

// simulation is a swarm without sockets: each step moves one chunk according to the decisions.
type simulation struct {
	chunks  int
	members []Member
	have    map[id.VM]*Set
	fetched map[id.Chunk]int
}

var _ = Describe("the swarm", func() {
	It("completes every VM within the origin budget despite lost transfers", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			sim := &simulation{
				chunks: rapid.IntRange(1, 24).Draw(t, "chunks"), members: drawMembers(t), have: map[id.VM]*Set{},
				fetched: map[id.Chunk]int{},
			}
			sim.members = sim.members[:min(12, len(sim.members))]
			copies := float64(rapid.IntRange(1, 3).Draw(t, "copies"))
			random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
			for _, m := range sim.members {
				sim.have[m.VM] = NewSet(sim.chunks)
			}
			lanes := NewLanes("key", sim.members)
			for step := 0; step < 4000 && !sim.done(); step++ {
				m := sim.members[random.IntN(len(sim.members))]
				sim.step(m, lanes, copies, random, random.IntN(4) == 0)
			}
			if !sim.done() {
				t.Fatalf("not complete")
			}
			for c, n := range sim.fetched {
				if n > int(copies) {
					t.Fatalf("chunk %d was fetched %d times with a budget of %.0f", c, n, copies)
				}
			}
		})
	})
})

func (sim *simulation) done() bool {
	for _, m := range sim.members {
		if sim.have[m.VM].Len() < sim.chunks {
			return false
		}
	}
	return true
}

// step lets one VM decide once; a lost transfer delivers nothing.
func (sim *simulation) step(m Member, lanes Lanes, copies float64, r *rand.Rand, lost bool) {
	v := &View{
		Now: time.Time{}.Add(time.Hour), Chunks: sim.chunks, Have: sim.have[m.VM], InFlight: map[id.Chunk]int{},
		Rarity: make([]int, sim.chunks), Limits: Limits{PerPeer: 1, Total: 1},
	}
	for _, n := range Neighbours("key", m, sim.members, 4) {
		v.Peers = append(v.Peers, &Peer{VM: n, Has: sim.have[n]})
		for c := range sim.chunks {
			if sim.have[n].Has(id.Chunk(c)) {
				v.Rarity[c]++
			}
		}
	}
	if c, p := PickPeer(v, r); p != nil {
		if !p.Has.Has(c) || v.Have.Has(c) {
			panic("picked a chunk that the neighbour lacks or the VM holds")
		}
		if !lost {
			v.Have.Add(c)
		}
		return
	}
	for lane, rank := range lanes.Ranks(m.VM) {
		if c, ok := PickOriginChunk(v, lanes, lane, rank); ok && MayFetchFromOrigin(rank, copies, time.Hour, time.Second) {
			sim.fetched[c]++
			v.Have.Add(c)
			return
		}
	}
}

var _ = Describe("the backoff of a neighbour", func() {
	It("is longer after a corrupt chunk than after a failure, and is reduced by deliveries", func() {
		now := time.Time{}.Add(time.Hour)
		failed, corrupt := &Peer{}, &Peer{}
		failed.RecordOutcome(Failed, now, time.Second)
		corrupt.RecordOutcome(Corrupt, now, time.Second)
		Expect(corrupt.RetryAt).To(BeTemporally(">", failed.RetryAt))
		for range 4 {
			corrupt.RecordOutcome(Delivered, now, time.Second)
		}
		Expect(corrupt.Failures).To(BeZero())
		busy := &Peer{}
		busy.RecordOutcome(Busy, now, 50*time.Millisecond)
		Expect(busy.RetryAt).To(Equal(now.Add(50 * time.Millisecond)))
	})
})

var _ = Describe("a lane", func() {
	DescribeTable("lags if its fetching VM is much slower than that of the best lane", func(lags bool, counts ...int) {
		Expect(Lagging(counts, 0)).To(Equal(lags))
	},
		Entry("at the start", false, 0, 0, 0), Entry("a little behind", false, 0, 3, 2), Entry("half", false, 10, 20, 18),
		Entry("far behind", true, 2, 12, 9), Entry("nothing yet", true, 0, 4, 4), Entry("alone", false, 0))
})
