package swarm

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/springrail/springrail/internal/id"
)

var _ = Describe("the import of a chunk into a failure domain", func() {
	It("is one VM's at once, each VM's share about the same, and everybody's in the end", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			n := rapid.IntRange(1, 12).Draw(t, "VMs")
			var l []Member
			for i := range n {
				l = append(l, Member{VM: id.VM(fmt.Sprint(i)), Domain: "d"}, Member{VM: id.VM(fmt.Sprint("x", i)), Domain: "far"})
			}
			chunk := id.Chunk(rapid.IntRange(0, 500).Draw(t, "chunk"))
			first := 0
			for i := 0; i < len(l); i += 2 {
				m := NewImportSchedule("k", l[i], l)
				if m.Allowed(chunk, 0) {
					first++
				}
				if !m.Allowed(chunk, ImportRankDelay*12) {
					t.Fatalf("VM %s may never bring chunk %d", l[i].VM, chunk)
				}
			}
			if first != 1 {
				t.Fatalf("%d VMs bring chunk %d at once", first, chunk)
			}
		})
	})

	It("is not asked of a far neighbour while a near one holds the chunk, or before the VM's turn", func() {
		far, near := &Peer{VM: "far", Remote: true, Has: NewSet(2)}, &Peer{VM: "near", Has: NewSet(2)}
		far.Has.Add(0)
		far.Has.Add(1)
		near.Has.Add(1)
		v := &View{
			Chunks: 2, Have: NewSet(2), InFlight: map[id.Chunk]int{}, Peers: []*Peer{far, near}, Rarity: []int{1, 2},
			Limits: Limits{PerPeer: 2, Total: 4}, MayImport: func(id.Chunk) bool { return false },
		}
		r := rand.New(rand.NewPCG(1, 1))
		c, p := PickPeer(v, r)
		Expect(p).To(Equal(near))
		Expect(c).To(Equal(id.Chunk(1)))
		v.MayImport = func(id.Chunk) bool { return true }
		c, p = PickPeer(v, r)
		Expect(p).To(Equal(far))
		Expect(c).To(Equal(id.Chunk(0)))
	})

	It("is drawn again by the lane's next VM where neighbours hold it for long without handing it on", func() {
		known := time.Second
		v := &View{
			Chunks: 2, Have: NewSet(2), InFlight: map[id.Chunk]int{0: 1}, Rarity: []int{1, 0},
			KnownFor: func(id.Chunk) time.Duration { return known },
		}
		l := NewLanes("k", []Member{{VM: "a", Domain: "d"}})
		_, ok := PickStalledChunk(v, l, 0, 1)
		Expect(ok).To(BeFalse())
		known = stuckStep
		c, ok := PickStalledChunk(v, l, 0, 1)
		Expect(ok).To(BeTrue())
		Expect(c).To(Equal(id.Chunk(0)))
		_, ok = PickStalledChunk(v, l, 0, 2)
		Expect(ok).To(BeFalse(), "each further rank waits once more")
		_, ok = PickStalledChunk(v, l, 0, 0)
		Expect(ok).To(BeTrue(), "the first rank may have started anew and lost what it drew")
		_, ok = PickStalledChunk(v, l, 0, -1)
		Expect(ok).To(BeFalse(), "a VM that is no member draws nothing")
		known = stuckStepIdle
		_, ok = PickStalledChunk(v, l, 0, 1)
		Expect(ok).To(BeFalse(), "the source is still needed for chunk 1")
		v.Rarity[1] = 1
		_, ok = PickStalledChunk(v, l, 0, 1)
		Expect(ok).To(BeTrue())
		v.Rarity[1] = 0
		known = 10 * stuckStep
		v.Have.Add(0)
		_, ok = PickStalledChunk(v, l, 0, 2)
		Expect(ok).To(BeFalse(), "what nobody holds is drawn by rank and patience")
	})

	It("is drawn from a lane's end by a VM that helps out", func() {
		v := &View{Chunks: 9, Have: NewSet(9), InFlight: map[id.Chunk]int{}, Rarity: make([]int, 9)}
		l := NewLanes("k", []Member{{VM: "a", Domain: "d"}})
		c, _ := PickOriginChunk(v, l, 0, 0)
		Expect(c).To(Equal(id.Chunk(0)))
		c, _ = PickOriginChunk(v, l, 0, 1)
		Expect(c).To(Equal(id.Chunk(8)))
	})
})
