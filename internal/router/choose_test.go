package router

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/spec"
)

func TestRouter(t *testing.T) {
	spec.Run(t, "Routing")
}

func drawCandidates(t *rapid.T) []Candidate {
	var l []Candidate
	for i := range rapid.IntRange(0, 12).Draw(t, "candidates") {
		l = append(l, Candidate{
			VM: id.VM(fmt.Sprint(i)), Local: rapid.Bool().Draw(t, "local"),
			InFlight: rapid.IntRange(0, 50).Draw(t, "in flight"), ReportedInFlight: rapid.IntRange(0, 50).Draw(t, "reported"),
		})
	}
	return l
}

var _ = Describe("a choice", func() {
	It("is an untried candidate if there is one, in the same failure domain if possible", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			l := drawCandidates(t)
			tried := map[id.VM]bool{}
			untried, local := 0, 0
			for _, c := range l {
				if rapid.Bool().Draw(t, "tried") {
					tried[c.VM] = true
					continue
				}
				untried++
				if c.Local {
					local++
				}
			}
			key := rapid.SampledFrom([]string{"", "prefix"}).Draw(t, "affinity")
			c, ok := Choose(l, tried, key, rand.New(rand.NewPCG(1, 2)))
			if ok != (untried > 0) {
				t.Fatalf("%d candidates untried, but found is %v", untried, ok)
			}
			if ok && (tried[c.VM] || local > 0 && !c.Local) {
				t.Fatalf("chose %+v", c)
			}
		})
	})

	It("avoids a VM that has just refused a connection, even if it looks idle, unless no other is untried", func() {
		l := []Candidate{{VM: "ended", Local: true, Unreachable: true}, {VM: "busy", Local: true, InFlight: 40}, {VM: "far"}}
		r := rand.New(rand.NewPCG(1, 2))
		for range 50 {
			c, ok := Choose(l, nil, "", r)
			Expect(ok).To(BeTrue())
			Expect(c.VM).To(Equal(id.VM("busy")))
			c, _ = Choose(l, map[id.VM]bool{"busy": true}, "", r)
			Expect(c.VM).To(Equal(id.VM("far")))
			c, _ = Choose(l, map[id.VM]bool{"busy": true, "far": true}, "", r)
			Expect(c.VM).To(Equal(id.VM("ended")))
		}
	})

	It("keeps a prompt prefix on one upstream until its load exceeds the mean by a quarter", func() {
		l := []Candidate{{VM: "a"}, {VM: "b"}, {VM: "c"}, {VM: "d"}}
		r := rand.New(rand.NewPCG(1, 2))
		first, _ := Choose(l, nil, "prefix", r)
		for range 20 {
			again, _ := Choose(l, nil, "prefix", r)
			Expect(again.VM).To(Equal(first.VM))
		}
		for i := range l {
			l[i].InFlight = 10
			if l[i].VM == first.VM {
				l[i].InFlight = 20
			}
		}
		other, _ := Choose(l, nil, "prefix", r)
		Expect(other.VM).NotTo(Equal(first.VM))
	})

	It("is the same owner for a key, whatever the order of the list", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			l := drawCandidates(t)
			a, ok := KeyOwner(l, "key")
			rand.New(rand.NewPCG(3, 4)).Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
			b, again := KeyOwner(l, "key")
			if a.VM != b.VM || ok != again || ok != (len(l) > 0) {
				t.Fatalf("%v and %v", a.VM, b.VM)
			}
		})
	})
})
