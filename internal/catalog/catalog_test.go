package catalog

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/spec"
)

func TestCatalog(t *testing.T) {
	spec.Run(t, "The catalog")
}

var _ = Describe("a catalog", func() {
	It("finds the longest prefix of a host, whatever the order of its routes", func() {
		segment := rapid.SampledFrom([]string{"a/", "b/", "ab/", "a/b/", ""})
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var l []*Route
			for range rapid.IntRange(0, 8).Draw(t, "routes") {
				l = append(l, &Route{
					Host:       rapid.SampledFrom([]string{"one.example", "two.example"}).Draw(t, "host"),
					PathPrefix: "/" + segment.Draw(t, "prefix"),
				})
			}
			c := New(1, l, nil, nil, Limits{})
			path := "/" + segment.Draw(t, "path") + segment.Draw(t, "rest")
			got := c.Match("One.example:80", path)
			longest := -1
			for _, r := range l {
				if r.Host == "one.example" && strings.HasPrefix(path, r.PathPrefix) {
					longest = max(longest, len(r.PathPrefix))
				}
			}
			if (got == nil) != (longest < 0) || (got != nil && len(got.PathPrefix) != longest) {
				t.Fatalf("%s matched %+v, longest is %d", path, got, longest)
			}
		})
	})

	It("finds the organisation of a key and none for an unknown key", func() {
		c := New(1, nil, nil, []*Organisation{{Name: "gym", Keys: []string{"k1", "k2"}}}, Limits{})
		Expect(c.Organisation("k2").Name).To(Equal(id.Organisation("gym")))
		Expect(c.Organisation("k3")).To(BeNil())
		Expect(c.Organisation("")).To(BeNil())
	})

	It("uses the shortest latency target of the routes to a pool", func() {
		share := []Share{{Pool: "a", Weight: 1}}
		c := New(1, []*Route{{LatencyTarget: 500, Shares: share}, {LatencyTarget: 400, Shares: share}, {Shares: share}}, nil, nil, Limits{})
		Expect(c.LatencyTarget("a")).To(Equal(time.Duration(400)))
		Expect(c.LatencyTarget("b")).To(BeZero())
	})

	It("splits a route's requests by weight", func() {
		r := &Route{Shares: []Share{{Pool: "a", Weight: 90}, {Pool: "b", Weight: 10}}}
		got := map[id.Pool]int{}
		for i := range 1000 {
			got[r.Pick(float64(i)/1000)]++
		}
		Expect(got).To(Equal(map[id.Pool]int{"a": 900, "b": 100}))
		Expect((&Route{}).Pick(0.5)).To(BeEmpty())
	})

	DescribeTable("reports which requests may run more than once", func(k Kind, resumable, want bool) {
		Expect((&Route{Kind: k, Resumable: resumable}).Idempotent()).To(Equal(want))
	}, Entry("unsafe", Unsafe, false, false), Entry("safe", Safe, false, true),
		Entry("stream", Streaming, false, false), Entry("resumable stream", Streaming, true, true))

	It("counts the keys that have passed to another organisation", func() {
		owners := func(names map[string][]string) *Catalog {
			var l []*Organisation
			for n, keys := range names {
				l = append(l, &Organisation{Name: id.Organisation(n), Keys: keys})
			}
			return New(1, nil, nil, l, Limits{})
		}
		older := owners(map[string][]string{"gym": {"a", "b"}, "lab": {"c", "d"}})
		Expect(older.KeysPassedOn(nil)).To(BeZero())
		Expect(owners(map[string][]string{"gym": {"a", "c", "new"}, "lab": {"b"}}).KeysPassedOn(older)).To(Equal(2))
	})
})
