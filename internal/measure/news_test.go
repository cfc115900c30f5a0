package measure

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/platform"
	"github.com/springrail/springrail/internal/records"
	"github.com/springrail/springrail/internal/spec"
)

func TestMeasure(t *testing.T) {
	spec.Run(t, "Measure")
}

// small is a run of a few seconds.
func small(more ...string) []string {
	return append([]string{
		"news", "--gateways", "4", "--stagers", "6", "--domains", "2", "--config-bytes", "20000", "--config-every", "1s",
		"--upstreams", "12", "--seconds", "3",
	}, more...)
}

var _ = Describe("the experiment news", func() {
	It("finds each change known by all processes where nothing fails", func() {
		var out, problems bytes.Buffer
		file := filepath.Join(GinkgoT().TempDir(), "news.svg")
		Expect(Main(small("--json", "--plot", file), &out, &problems)).To(BeZero(), problems.String())
		var got newsRuns
		Expect(json.Unmarshal(out.Bytes(), &got)).To(Succeed())
		Expect(got.Runs).To(HaveLen(1))
		r := got.Runs[0]
		Expect(r.All.Changes).To(BeNumerically(">=", 15))
		Expect(r.All.Never).To(BeZero())
		Expect(r.Never).To(BeEmpty())
		Expect(r.Different).To(BeEmpty())
		Expect(r.Points).To(HaveLen(r.All.Changes))
		Expect(r.All.P50).To(BeNumerically(">", 0))
		Expect(r.All.P100).To(BeNumerically(">=", r.All.P50))
		Expect(r.Kinds).To(HaveLen(4))
		Expect(r.Roles).To(HaveLen(int(newsRoles)))
		binned := 0
		for _, b := range r.Histogram {
			binned += b.Changes
		}
		Expect(binned).To(Equal(r.All.Changes))
		for _, l := range r.Roles {
			Expect(l.Processes).To(Equal(map[string]int{"first gateway": 2, "other gateway": 2, "stager": 6}[l.Role]))
		}
		Expect(r.Roles[newsFirst].StoreCallsPerSecond).To(BeNumerically(">", 0))
		Expect(r.Roles[newsStager].QuestionsPerSecond).To(BeNumerically(">", 0))
		i, err := os.Stat(file)
		Expect(err).NotTo(HaveOccurred())
		Expect(i.Size()).To(BeNumerically(">", 1000))
	})

	It("prints a table", func() {
		var out, problems bytes.Buffer
		Expect(Main(small(), &out, &problems)).To(BeZero(), problems.String())
		Expect(out.String()).To(And(ContainSubstring("never known"), ContainSubstring("first gateway"), ContainSubstring("configuration")))
	})

	It("refuses sizes that make no sense", func() {
		for _, more := range [][]string{
			{"--gateways", "1"}, {"--regions", "3"}, {"--changes", "0"}, {"--fault", newsFaultStopped}, {"--fault", "unheard-of"},
		} {
			var out, problems bytes.Buffer
			Expect(Main(small(more...), &out, &problems)).NotTo(BeZero())
			Expect(problems.String()).NotTo(BeEmpty())
		}
	})
})

var _ = Describe("the plan of changes", func() {
	plan := func(seed uint64, faults ...string) *newsPlan {
		p := &newsPlan{
			gateways: 2, domains: 1, regions: 1, changesPerSecond: 6, configBytes: 1000, upstreams: 20, configEvery: 5 * time.Second,
			seed: seed, lasts: 24 * time.Second, faults: faults,
		}
		p.schedule()
		return p
	}

	It("is the same for a seed, and takes each key from its beginning to its end", func() {
		Expect(plan(3).changes).To(Equal(plan(3).changes))
		Expect(plan(3).changes).NotTo(Equal(plan(4).changes))
		for _, f := range newsFaultNames {
			p := plan(5, f)
			last := map[string]newsStage{}
			for _, c := range p.changes {
				if c.stage == newsConfig {
					continue
				}
				Expect(c.stage).To(BeNumerically(">", last[c.key]))
				last[c.key] = c.stage
				if p.keys[c.key][0] >= 0 && p.changes[p.keys[c.key][0]].stage != newsHere {
					Expect(slices.Contains(p.first, c.key)).To(BeTrue())
				}
			}
		}
	})

	It("has drops around the return of a reader, and nothing while the store is down", func() {
		Expect(len(plan(1, newsFaultCut).changes)).To(BeNumerically(">=", len(plan(1).changes)+25))
		p := plan(1, newsFaultDown)
		for _, c := range p.changes {
			Expect(c.at < p.faultAt() || c.at >= p.faultEnd()).To(BeTrue())
		}
		Expect(len(plan(1, newsFaultStorm).changes)).To(BeNumerically(">=", len(plan(1).changes)+20))
	})
})

var _ = Describe("what a process knows", func() {
	var p *newsPlan
	var now time.Duration
	var c *newsColumn
	BeforeEach(func() {
		p = &newsPlan{changes: []newsChange{
			{key: "u", stage: newsHere, acked: 1 * time.Second}, {key: "u", stage: newsLeaving, acked: 2 * time.Second},
			{key: "u", stage: newsDropped, acked: 4 * time.Second},
		}}
		p.index()
		now = 0
		c = newNewsColumn(p, func() time.Duration { return now })
	})

	wait := func(i int) (time.Duration, newsWay, bool) { return c.wait(i) }
	record := func(key string, s newsStage) records.Record {
		if s == newsDropped {
			return records.Record{Key: key}
		}
		return records.Record{Key: key, Value: []byte(s.String())}
	}

	It("counts a drop that a holder of the key never hears of as never known", func() {
		now = 1500 * time.Millisecond
		c.learn(record("u", newsHere))
		d, _, never := wait(0)
		Expect(never).To(BeFalse())
		Expect(d).To(Equal(500 * time.Millisecond))
		for _, i := range []int{1, 2} {
			_, _, never = wait(i)
			Expect(never).To(BeTrue())
		}
	})

	It("tells a word that is lost from one that is late: later ones are known", func() {
		p.changes = append(p.changes, newsChange{key: "v", stage: newsHere, acked: 5 * time.Second})
		p.index()
		c = newNewsColumn(p, func() time.Duration { return now })
		c.learn(record("u", newsHere))
		Expect(c.passed(2)).To(BeFalse())
		c.learn(record("v", newsHere))
		Expect(c.passed(2)).To(BeTrue())
	})

	It("takes what it missed of a key that it never had as overtaken by the drop", func() {
		d, way, never := wait(0)
		Expect(never).To(BeFalse())
		Expect(way).To(Equal(newsOvertaken))
		Expect(d).To(Equal(3 * time.Second))
		p.changes[2].acked = 0
		_, _, never = wait(0)
		Expect(never).To(BeTrue())
	})

	It("does not count the time in which it was out of touch", func() {
		now = time.Second
		c.leave()
		now = 3 * time.Second
		c.join()
		now = 5 * time.Second
		c.learn(record("u", newsDropped))
		d, _, _ := wait(0)
		Expect(d).To(Equal(2 * time.Second))
		d, _, _ = wait(2)
		Expect(d).To(Equal(time.Second))
	})
})

var _ = Describe("the store of the experiment", func() {
	It("gives records by offset and by key, and history only until it is forgotten", func(ctx context.Context) {
		s := newNewsStore("t")
		s.put("t", "a", []byte("1"))
		s.put("t", "b", []byte("1"))
		s.put("t", "a", nil)
		l, err := s.read(ctx, "t", 1, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(l.records).To(HaveLen(2))
		whole, next := s.whole("t")
		Expect(whole).To(HaveLen(1))
		Expect(next).To(BeNumerically("==", 3))
		s.forget()
		_, err = s.read(ctx, "t", 1, 0)
		Expect(err).To(MatchError(platform.ErrOffsetExpired))
		l, err = s.read(ctx, "t", 3, 10*time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		Expect(l.records).To(BeEmpty())
	})

	It("comes back from a copy in a new era, in which offsets are given out again", func(ctx context.Context) {
		s := newNewsStore("t")
		s.put("t", "a", []byte("1"))
		held := s.copyOf()
		s.put("t", "a", []byte("2"))
		s.put("t", "b", []byte("2"))
		s.comeBack(held)
		_, err := s.read(ctx, "t", 3, 0)
		Expect(err).To(MatchError(platform.ErrOffsetExpired))
		s.put("t", "c", []byte("3"))
		whole, next := s.whole("t")
		Expect(whole).To(HaveLen(2))
		Expect(next.String()).To(Equal("1/2"))
		a, err := s.read(ctx, "t", 1, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.records[0].Key).To(Equal("c"))
		Expect(a.next).To(Equal(next))
	})
})
