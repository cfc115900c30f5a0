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
	It("give every lane each rank exactly once, whoever looks", func() {
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

	It("let no more VMs draw than the budget has copies, and always one", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			members := drawMembers(t)
			l := NewLanes("key", members)
			copies := rapid.Float64Range(0.5, 6).Draw(t, "copies")
			waited := time.Duration(rapid.IntRange(0, 100).Draw(t, "seconds")) * time.Second
			for lane := range l.Count() {
				n := 0
				for _, m := range members {
					if MayFetchFromOrigin(l.Ranks(m.VM)[lane], copies, time.Time{}, time.Second, time.Time{}.Add(waited)) {
						n++
					}
				}
				if n < 1 || n > max(1, int(copies)) {
					t.Fatalf("%d VMs may draw with a budget of %.2f copies", n, copies)
				}
			}
		})
	})

	It("put a lane's first two VMs in different domains where there are two", func() {
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

// world is a swarm without sockets: each step moves one chunk as the decisions say.
type world struct {
	chunks  int
	members []Member
	have    map[id.VM]*Set
	drawn   map[id.Chunk]int
}

var _ = Describe("the swarm", func() {
	It("completes every VM that can reach a holder of each chunk, within the origin budget, through losses", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			w := &world{
				chunks: rapid.IntRange(1, 24).Draw(t, "chunks"), members: drawMembers(t), have: map[id.VM]*Set{},
				drawn: map[id.Chunk]int{},
			}
			w.members = w.members[:min(12, len(w.members))]
			copies := float64(rapid.IntRange(1, 3).Draw(t, "copies"))
			random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
			for _, m := range w.members {
				w.have[m.VM] = NewSet(w.chunks)
			}
			lanes := NewLanes("key", w.members)
			for step := 0; step < 4000 && !w.done(); step++ {
				m := w.members[random.IntN(len(w.members))]
				w.step(m, lanes, copies, random, random.IntN(4) == 0)
			}
			if !w.done() {
				t.Fatalf("not complete")
			}
			for c, n := range w.drawn {
				if n > int(copies) {
					t.Fatalf("chunk %d was drawn %d times with a budget of %.0f", c, n, copies)
				}
			}
		})
	})
})

func (w *world) done() bool {
	for _, m := range w.members {
		if w.have[m.VM].Len() < w.chunks {
			return false
		}
	}
	return true
}

// step lets one VM decide once; a lost transfer brings nothing.
func (w *world) step(m Member, lanes Lanes, copies float64, r *rand.Rand, lost bool) {
	v := &View{
		Now: time.Time{}.Add(time.Hour), Chunks: w.chunks, Have: w.have[m.VM], InFlight: map[id.Chunk]int{},
		Rarity: make([]int, w.chunks), Limits: Limits{PerPeer: 1, Total: 1},
	}
	for _, n := range Neighbours("key", m, w.members, 4) {
		v.Peers = append(v.Peers, &Peer{VM: n, Has: w.have[n]})
		for c := range w.chunks {
			if w.have[n].Has(id.Chunk(c)) {
				v.Rarity[c]++
			}
		}
	}
	if c, p := PickPeer(v, r); p != nil {
		if !p.Has.Has(c) || v.Have.Has(c) {
			panic("a chunk that the neighbour lacks or the VM holds")
		}
		if !lost {
			v.Have.Add(c)
		}
		return
	}
	for lane, rank := range lanes.Ranks(m.VM) {
		if c, ok := PickOriginChunk(v, lanes, lane, rank); ok && MayFetchFromOrigin(rank, copies, time.Time{}, time.Second, v.Now) {
			w.drawn[c]++
			v.Have.Add(c)
			return
		}
	}
}

var _ = Describe("blame", func() {
	It("keeps away from a neighbour that served a corrupt chunk for longer than from one that failed, and fades", func() {
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
	DescribeTable("lags when its drawer is much slower than the best one", func(lags bool, counts ...int) {
		Expect(Lagging(counts, 0)).To(Equal(lags))
	},
		Entry("at the start", false, 0, 0, 0), Entry("a little behind", false, 0, 3, 2), Entry("half", false, 10, 20, 18),
		Entry("far behind", true, 2, 12, 9), Entry("nothing yet", true, 0, 4, 4), Entry("alone", false, 0))
})
