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

// smallRun returns the arguments of a run of a few seconds.
func smallRun(more ...string) []string {
	return append([]string{
		"news", "--gateways", "4", "--stagers", "6", "--domains", "2", "--config-bytes", "20000", "--config-every", "1s",
		"--upstreams", "12", "--seconds", "3",
	}, more...)
}

var _ = Describe("springrail-measure news", func() {
	It("reports that all processes apply every change when nothing fails", func() {
		var out, problems bytes.Buffer
		file := filepath.Join(GinkgoT().TempDir(), "news.svg")
		Expect(Main(smallRun("--json", "--plot", file), &out, &problems)).To(BeZero(), problems.String())
		var got newsRuns
		Expect(json.Unmarshal(out.Bytes(), &got)).To(Succeed())
		Expect(got.Runs).To(HaveLen(1))
		r := got.Runs[0]
		Expect(r.All.Changes).To(BeNumerically(">=", 15))
		Expect(r.All.Never).To(BeZero())
		Expect(r.Never).To(BeEmpty())
		Expect(r.Differences).To(BeEmpty())
		Expect(r.Points).To(HaveLen(r.All.Changes))
		Expect(r.All.P50).To(BeNumerically(">", 0))
		Expect(r.All.P100).To(BeNumerically(">=", r.All.P50))
		Expect(r.Kinds).To(HaveLen(4))
		Expect(r.Roles).To(HaveLen(int(newsRoleCount)))
		binned := 0
		for _, b := range r.Histogram {
			binned += b.Changes
		}
		Expect(binned).To(Equal(r.All.Changes))
		for _, l := range r.Roles {
			Expect(l.Processes).To(Equal(map[string]int{"first gateway": 2, "other gateway": 2, "stager": 6}[l.Role]))
		}
		Expect(r.Roles[newsFirstGateway].StoreCallsPerSecond).To(BeNumerically(">", 0))
		Expect(r.Roles[newsStager].QuestionsPerSecond).To(BeNumerically(">", 0))
		i, err := os.Stat(file)
		Expect(err).NotTo(HaveOccurred())
		Expect(i.Size()).To(BeNumerically(">", 1000))
	})

	It("prints a table", func() {
		var out, problems bytes.Buffer
		Expect(Main(smallRun(), &out, &problems)).To(BeZero(), problems.String())
		Expect(out.String()).To(And(ContainSubstring("never known"), ContainSubstring("first gateway"), ContainSubstring("configuration")))
	})

	It("rejects invalid sizes", func() {
		for _, more := range [][]string{
			{"--gateways", "1"}, {"--regions", "3"}, {"--changes", "0"}, {"--fault", newsFaultReaderStopped}, {"--fault", "unheard-of"},
		} {
			var out, problems bytes.Buffer
			Expect(Main(smallRun(more...), &out, &problems)).NotTo(BeZero())
			Expect(problems.String()).NotTo(BeEmpty())
		}
	})
})

var _ = Describe("the schedule of changes", func() {
	plan := func(seed uint64, faults ...string) *newsPlan {
		p := &newsPlan{
			gateways: 2, domains: 1, regions: 1, changesPerSecond: 6, configBytes: 1000, upstreams: 20, configEvery: 5 * time.Second,
			seed: seed, duration: 24 * time.Second, faults: faults,
		}
		p.schedule()
		return p
	}

	It("is deterministic for a seed, and takes each key through its stages in order", func() {
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
				if p.keys[c.key][0] >= 0 && p.changes[p.keys[c.key][0]].stage != newsPresent {
					Expect(slices.Contains(p.initialUpstreams, c.key)).To(BeTrue())
				}
			}
		}
	})

	It("has extra drops around a reader's return to the store, and no changes during an outage of the store", func() {
		Expect(len(plan(1, newsFaultReaderCut).changes)).To(BeNumerically(">=", len(plan(1).changes)+25))
		p := plan(1, newsFaultStoreDown)
		for _, c := range p.changes {
			Expect(c.at < p.faultStart() || c.at >= p.faultEnd()).To(BeTrue())
		}
		Expect(len(plan(1, newsFaultConfigStorm).changes)).To(BeNumerically(">=", len(plan(1).changes)+20))
	})
})

var _ = Describe("the observer of a process", func() {
	var p *newsPlan
	var now time.Duration
	var c *newsObserver
	BeforeEach(func() {
		p = &newsPlan{changes: []newsChange{
			{key: "u", stage: newsPresent, ackedAt: 1 * time.Second}, {key: "u", stage: newsLeaving, ackedAt: 2 * time.Second},
			{key: "u", stage: newsDropped, ackedAt: 4 * time.Second},
		}}
		p.index()
		now = 0
		c = newNewsObserver(p, func() time.Duration { return now })
	})

	wait := func(i int) (time.Duration, newsLearntVia, bool) { return c.propagationDelay(i) }
	record := func(key string, s newsStage) records.Record {
		if s == newsDropped {
			return records.Record{Key: key}
		}
		return records.Record{Key: key, Value: []byte(s.String())}
	}

	It("counts a drop as never known if a process that holds the key does not receive it", func() {
		now = 1500 * time.Millisecond
		c.noteApplied(record("u", newsPresent))
		d, _, never := wait(0)
		Expect(never).To(BeFalse())
		Expect(d).To(Equal(500 * time.Millisecond))
		for _, i := range []int{1, 2} {
			_, _, never = wait(i)
			Expect(never).To(BeTrue())
		}
	})

	It("distinguishes a lost change from a late one by whether later changes are known", func() {
		p.changes = append(p.changes, newsChange{key: "v", stage: newsPresent, ackedAt: 5 * time.Second})
		p.index()
		c = newNewsObserver(p, func() time.Duration { return now })
		c.noteApplied(record("u", newsPresent))
		Expect(c.knowsLaterChange(2)).To(BeFalse())
		c.noteApplied(record("v", newsPresent))
		Expect(c.knowsLaterChange(2)).To(BeTrue())
	})

	It("counts missed changes of a key that the process never held as overtaken by its drop", func() {
		d, way, never := wait(0)
		Expect(never).To(BeFalse())
		Expect(way).To(Equal(newsViaOvertaken))
		Expect(d).To(Equal(3 * time.Second))
		p.changes[2].ackedAt = 0
		_, _, never = wait(0)
		Expect(never).To(BeTrue())
	})

	It("does not count the time in which the process could not receive changes", func() {
		now = time.Second
		c.disconnect()
		now = 3 * time.Second
		c.reconnect()
		now = 5 * time.Second
		c.noteApplied(record("u", newsDropped))
		d, _, _ := wait(0)
		Expect(d).To(Equal(2 * time.Second))
		d, _, _ = wait(2)
		Expect(d).To(Equal(time.Second))
	})
})

var _ = Describe("the simulated store", func() {
	It("returns records by offset and as a snapshot, and history only until it expires", func(ctx context.Context) {
		s := newNewsStore("t")
		s.put("t", "a", []byte("1"))
		s.put("t", "b", []byte("1"))
		s.put("t", "a", nil)
		l, err := s.read(ctx, "t", 1, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(l.records).To(HaveLen(2))
		whole, next := s.snapshot("t")
		Expect(whole).To(HaveLen(1))
		Expect(next).To(BeNumerically("==", 3))
		s.expireHistory()
		_, err = s.read(ctx, "t", 1, 0)
		Expect(err).To(MatchError(platform.ErrOffsetExpired))
		l, err = s.read(ctx, "t", 3, 10*time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		Expect(l.records).To(BeEmpty())
	})

	It("is restored from a backup in a new store epoch, in which offsets are assigned again", func(ctx context.Context) {
		s := newNewsStore("t")
		s.put("t", "a", []byte("1"))
		held := s.backup()
		s.put("t", "a", []byte("2"))
		s.put("t", "b", []byte("2"))
		s.restore(held)
		_, err := s.read(ctx, "t", 3, 0)
		Expect(err).To(MatchError(platform.ErrOffsetExpired))
		s.put("t", "c", []byte("3"))
		whole, next := s.snapshot("t")
		Expect(whole).To(HaveLen(2))
		Expect(next.String()).To(Equal("1/2"))
		a, err := s.read(ctx, "t", 1, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.records[0].Key).To(Equal("c"))
		Expect(a.next).To(Equal(next))
	})
})
