package measure

import (
	"math"
	"slices"
	"strings"
	"time"
)

// newsLateAfter is the longest time that users accept from a change until no process acts on the state before it.
const newsLateAfter = 3 * time.Second

// newsDelays summarises the propagation delays of some changes, in seconds, each to the last process. Changes that
// some process never applied have no delay; Never counts them.
type newsDelays struct {
	Name       string  `json:"name"`
	Changes    int     `json:"changes"`
	Never      int     `json:"never"`
	PassedOver int     `json:"passed_over"`
	Late       int     `json:"late"`
	P50        float64 `json:"p50_seconds"`
	P95        float64 `json:"p95_seconds"`
	P99        float64 `json:"p99_seconds"`
	P100       float64 `json:"p100_seconds"`
}

// newsLostChange is a change that some processes never applied.
type newsLostChange struct {
	Key       string   `json:"key"`
	Change    string   `json:"change"`
	AtSeconds float64  `json:"at_seconds"`
	Processes []string `json:"processes"`
	// PassedOver lists those of the processes that know a later change of the same topic: for them the change is
	// lost, not late.
	PassedOver []string `json:"passed_over"`
}

// newsDifference is a key whose final value in a process differs from the store's.
type newsDifference struct {
	Process string `json:"process"`
	Key     string `json:"key"`
	Holds   string `json:"holds"`
	Store   string `json:"store"`
}

// newsViaRow summarises one way of learning of changes: how often processes learnt so, and for how many changes the
// last process did.
type newsViaRow struct {
	Way        string  `json:"way"`
	Learnt     int     `json:"learnt"`
	LastLearnt int     `json:"last"`
	P50        float64 `json:"p50_seconds"`
	P100       float64 `json:"p100_seconds"`
}

// newsRoleRow is the traffic of all processes of a role together, per second.
type newsRoleRow struct {
	Role                   string  `json:"role"`
	Processes              int     `json:"processes"`
	StoreCallsPerSecond    float64 `json:"store_calls_per_second"`
	StoreBytesPerSecond    float64 `json:"store_bytes_per_second"`
	QuestionsPerSecond     float64 `json:"questions_per_second"`
	SentBytesPerSecond     float64 `json:"handed_on_bytes_per_second"`
	ReceivedBytesPerSecond float64 `json:"got_bytes_per_second"`
}

// newsBin is one bin of the histogram of propagation delays.
type newsBin struct {
	From    float64 `json:"from_seconds"`
	To      float64 `json:"to_seconds"`
	Changes int     `json:"changes"`
}

// newsPoint is a change in the plot.
type newsPoint struct {
	At      float64 `json:"at_seconds"`
	Seconds float64 `json:"seconds"`
	Change  string  `json:"change"`
	Never   bool    `json:"never"`
	// Last is the last process to learn of the change, and Way how it did.
	Last string `json:"last"`
	Way  string `json:"way"`
}

// newsRow is the result of one run of the news experiment.
type newsRow struct {
	Gateways         int              `json:"gateways"`
	Stagers          int              `json:"stagers"`
	Domains          int              `json:"domains"`
	Regions          int              `json:"regions"`
	ChangesPerSecond float64          `json:"changes_per_second"`
	ConfigBytes      int              `json:"config_bytes"`
	RegionMbps       float64          `json:"region_mbps"`
	Upstreams        int              `json:"upstreams"`
	Seed             uint64           `json:"seed"`
	Seconds          float64          `json:"seconds"`
	Fault            string           `json:"fault"`
	ProcessesEnded   int              `json:"processes_ended"`
	CPUShare         float64          `json:"cpu_share"`
	TimersLateMax    float64          `json:"timers_late_most_seconds"`
	TimersLateP99    float64          `json:"timers_late_p99_seconds"`
	All              newsDelays       `json:"all"`
	Kinds            []newsDelays     `json:"kinds"`
	Histogram        []newsBin        `json:"histogram"`
	Never            []newsLostChange `json:"never"`
	Differences      []newsDifference `json:"different"`
	Ways             []newsViaRow     `json:"ways"`
	Roles            []newsRoleRow    `json:"roles"`
	Points           []newsPoint      `json:"points"`
}

// row summarises a run.
func (r *newsRun) row() *newsRow {
	p := r.plan
	w := &newsRow{
		Gateways: p.gateways, Stagers: p.stagers, Domains: p.domains, Regions: p.regions, ChangesPerSecond: p.changesPerSecond,
		ConfigBytes: p.configBytes, RegionMbps: p.regionMbps, Upstreams: p.upstreams, Seed: p.seed, Seconds: p.duration.Seconds(),
		Fault: strings.Join(p.faults, "+"), Never: []newsLostChange{}, Differences: r.differences(),
	}
	elapsed := r.since().Seconds()
	w.CPUShare = (cpuTime() - r.cpuBefore).Seconds() / elapsed
	w.TimersLateP99, w.TimersLateMax = r.timerLatenessQuantiles()
	w.Roles = r.roles(elapsed)
	for _, q := range r.processes {
		if q.ctx.Err() != nil {
			w.ProcessesEnded++
		}
	}
	r.addDelays(w)
	return w
}

// addDelays adds the changes' propagation delays to the row.
func (r *newsRun) addDelays(w *newsRow) {
	var times [newsStageCount][]float64
	var delaysByVia [newsViaCount][]float64
	var last [newsViaCount]int
	w.All.Name, w.Kinds = "all", make([]newsDelays, newsStageCount)
	for i := range r.plan.changes {
		c := &r.plan.changes[i]
		k := &w.Kinds[c.stage]
		k.Changes++
		worst, via, n := r.slowest(i, &delaysByVia)
		last[via]++
		w.Points = append(w.Points, worst)
		if len(n.Processes) > 0 {
			k.Never++
			if len(n.PassedOver) > 0 {
				k.PassedOver++
			}
			w.Never = append(w.Never, n)
			continue
		}
		times[c.stage] = append(times[c.stage], worst.Seconds)
	}
	for s := range times {
		k := &w.Kinds[s]
		k.Name = newsStage(s).String()
		k.summarise(times[s])
		w.All.Changes, w.All.Never, w.All.PassedOver = w.All.Changes+k.Changes, w.All.Never+k.Never, w.All.PassedOver+k.PassedOver
	}
	all := slices.Concat(times[:]...)
	w.All.summarise(all)
	w.Kinds = slices.DeleteFunc(w.Kinds, func(k newsDelays) bool { return k.Changes == 0 })
	w.Histogram = newsHistogram(all)
	for i, l := range delaysByVia {
		if len(l) > 0 {
			slices.Sort(l)
			w.Ways = append(w.Ways, newsViaRow{Way: newsLearntVia(i).String(), Learnt: len(l), LastLearnt: last[i], P50: newsQuantile(l, 0.5), P100: newsQuantile(l, 1)})
		}
	}
}

// slowest returns the last process to learn of a change and how it did, and the processes that never did.
func (r *newsRun) slowest(i int, delaysByVia *[newsViaCount][]float64) (worst newsPoint, via newsLearntVia, n newsLostChange) {
	c := &r.plan.changes[i]
	n = newsLostChange{Key: c.key, Change: c.stage.String(), AtSeconds: c.ackedAt.Seconds()}
	worst = newsPoint{At: n.AtSeconds, Change: n.Change}
	for _, p := range r.processes {
		if p.ctx.Err() != nil {
			continue
		}
		d, by, never := p.observer.propagationDelay(i)
		if never {
			n.Processes = append(n.Processes, p.name)
			if p.observer.knowsLaterChange(i) {
				n.PassedOver = append(n.PassedOver, p.name)
			}
			continue
		}
		delaysByVia[by] = append(delaysByVia[by], d.Seconds())
		if worst.Last == "" || d.Seconds() > worst.Seconds {
			worst.Seconds, worst.Last, via = d.Seconds(), p.name, by
		}
	}
	worst.Never, worst.Way = len(n.Processes) > 0, via.String()
	return worst, via, n
}

// summarise sorts the delays of the changes that all processes applied, and computes their percentiles and the number of
// late ones.
func (t *newsDelays) summarise(l []float64) {
	slices.Sort(l)
	t.P50, t.P95, t.P99, t.P100 = newsQuantile(l, 0.5), newsQuantile(l, 0.95), newsQuantile(l, 0.99), newsQuantile(l, 1)
	for _, s := range l {
		if s > newsLateAfter.Seconds() {
			t.Late++
		}
	}
}

// newsQuantile returns the smallest of sorted values that a given share of them does not exceed.
func newsQuantile(l []float64, share float64) float64 {
	if len(l) == 0 {
		return 0
	}
	return l[max(0, int(math.Ceil(share*float64(len(l))))-1)]
}

// newsHistogram counts delays in bins whose width doubles.
func newsHistogram(l []float64) []newsBin {
	const firstLimit = 0.0625
	var h []newsBin
	counted := 0
	for from, to := 0.0, firstLimit; counted < len(l); from, to = to, 2*to {
		b := newsBin{From: from, To: to}
		for _, s := range l {
			if s > from && s <= to || s == 0 && from == 0 {
				b.Changes++
			}
		}
		counted += b.Changes
		h = append(h, b)
	}
	return h
}

// roles summarises the traffic by role.
func (r *newsRun) roles(elapsed float64) []newsRoleRow {
	l := make([]newsRoleRow, newsRoleCount)
	for i, p := range r.processes {
		w, now, before := &l[p.role], p.counts(), r.countsBefore[i]
		w.Role = p.role.String()
		w.Processes++
		w.StoreCallsPerSecond += float64(now.storeCalls-before.storeCalls) / elapsed
		w.StoreBytesPerSecond += float64(now.storeBytes-before.storeBytes) / elapsed
		w.QuestionsPerSecond += float64(now.questions-before.questions) / elapsed
		w.SentBytesPerSecond += float64(now.sentBytes-before.sentBytes) / elapsed
		w.ReceivedBytesPerSecond += float64(now.receivedBytes-before.receivedBytes) / elapsed
	}
	return slices.DeleteFunc(l, func(w newsRoleRow) bool { return w.Processes == 0 })
}
