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
	It("is allowed to exactly one VM without delay, and to every VM in the end", func() {
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
					t.Fatalf("VM %s may never import chunk %d", l[i].VM, chunk)
				}
			}
			if first != 1 {
				t.Fatalf("%d VMs import chunk %d without delay", first, chunk)
			}
		})
	})

	It("is not requested from a remote neighbour while a local one holds the chunk, or before the VM may import it", func() {
		remote, local := &Peer{VM: "far", Remote: true, Has: NewSet(2)}, &Peer{VM: "near", Has: NewSet(2)}
		remote.Has.Add(0)
		remote.Has.Add(1)
		local.Has.Add(1)
		v := &View{
			Chunks: 2, Have: NewSet(2), InFlight: map[id.Chunk]int{}, Peers: []*Peer{remote, local}, Rarity: []int{1, 2},
			Limits: Limits{PerPeer: 2, Total: 4}, MayImport: func(id.Chunk) bool { return false },
		}
		r := rand.New(rand.NewPCG(1, 1))
		c, p := PickPeer(v, r)
		Expect(p).To(Equal(local))
		Expect(c).To(Equal(id.Chunk(1)))
		v.MayImport = func(id.Chunk) bool { return true }
		c, p = PickPeer(v, r)
		Expect(p).To(Equal(remote))
		Expect(c).To(Equal(id.Chunk(0)))
	})

	It("is fetched from the origin again by the lane's next VM if neighbours hold it for long without sending it", func() {
		knownFor := time.Second
		v := &View{
			Chunks: 2, Have: NewSet(2), InFlight: map[id.Chunk]int{0: 1}, Rarity: []int{1, 0},
			KnownFor: func(id.Chunk) time.Duration { return knownFor },
		}
		l := NewLanes("k", []Member{{VM: "a", Domain: "d"}})
		_, ok := PickStalledChunk(v, l, 0, 1)
		Expect(ok).To(BeFalse())
		knownFor = stalledRankDelay
		c, ok := PickStalledChunk(v, l, 0, 1)
		Expect(ok).To(BeTrue())
		Expect(c).To(Equal(id.Chunk(0)))
		_, ok = PickStalledChunk(v, l, 0, 2)
		Expect(ok).To(BeFalse(), "each higher rank waits one more delay")
		_, ok = PickStalledChunk(v, l, 0, 0)
		Expect(ok).To(BeTrue(), "rank 0 may have restarted and lost what it fetched")
		_, ok = PickStalledChunk(v, l, 0, -1)
		Expect(ok).To(BeFalse(), "a VM that is not a member fetches nothing")
		knownFor = stalledRankDelayIdle
		_, ok = PickStalledChunk(v, l, 0, 1)
		Expect(ok).To(BeFalse(), "the origin has yet to send chunk 1")
		v.Rarity[1] = 1
		_, ok = PickStalledChunk(v, l, 0, 1)
		Expect(ok).To(BeTrue())
		v.Rarity[1] = 0
		knownFor = 10 * stalledRankDelay
		v.Have.Add(0)
		_, ok = PickStalledChunk(v, l, 0, 2)
		Expect(ok).To(BeFalse(), "a chunk that no VM holds is fetched by rank and takeover delay")
	})

	It("is fetched from a lane's end by a VM of a higher rank", func() {
		v := &View{Chunks: 9, Have: NewSet(9), InFlight: map[id.Chunk]int{}, Rarity: make([]int, 9)}
		l := NewLanes("k", []Member{{VM: "a", Domain: "d"}})
		c, _ := PickOriginChunk(v, l, 0, 0)
		Expect(c).To(Equal(id.Chunk(0)))
		c, _ = PickOriginChunk(v, l, 0, 1)
		Expect(c).To(Equal(id.Chunk(8)))
	})
})
