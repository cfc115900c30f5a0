package measure

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/springrail/springrail/internal/fleet"
)

const (
	// liveVersionBytes is the size of the version that serves live requests while the burst distributes the next one.
	liveVersionBytes = 256 << 10
	// liveTokens is the number of tokens in an answer.
	liveTokens = 16
	// liveBaselineTime is how long the load is measured before the burst.
	liveBaselineTime = 3 * time.Second
	// maxFirstTokenMicros is the upper limit of the histogram of times to first token, in microseconds.
	maxFirstTokenMicros = 60_000_000
)

// liveLoad sends chat completions at a fixed rate and records the time to first token, counted from the scheduled
// send time.
type liveLoad struct {
	fleet           *fleet.Fleet
	client          *http.Client
	interval        time.Duration
	mu              sync.Mutex
	firstTokenTimes *hdrhistogram.Histogram
	failed          int
	wait            sync.WaitGroup
}

func newLiveLoad(f *fleet.Fleet, perSecond int) *liveLoad {
	return &liveLoad{
		fleet: f, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: perSecond}},
		interval: time.Second / time.Duration(perSecond), firstTokenTimes: hdrhistogram.New(1, maxFirstTokenMicros, 3),
	}
}

// run sends requests until the context ends, then waits for all answers.
func (l *liveLoad) run(ctx context.Context) {
	next := time.Now()
	for i := 0; ctx.Err() == nil; i++ {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(next)):
			at := next
			l.wait.Go(func() { l.sendRequest(i, at) })
		}
		next = next.Add(l.interval)
	}
	l.wait.Wait()
}

func (l *liveLoad) sendRequest(i int, at time.Time) {
	e := l.fleet.Entries[i%len(l.fleet.Entries)]
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"question %d"}]}`,
		fleet.Model, liveTokens, i)
	r, err := http.NewRequest(http.MethodPost, e.Caller+"/v1/chat/completions", bytes.NewReader([]byte(body)))
	if err != nil {
		return
	}
	r.Header.Set("Authorization", "Bearer "+fleet.CallerKey)
	first, whole := l.read(r)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !whole {
		l.failed++
		return
	}
	_ = l.firstTokenTimes.RecordValue(max(1, first.Sub(at).Microseconds()))
}

// read returns when the first token arrived and whether the answer was complete.
func (l *liveLoad) read(r *http.Request) (first time.Time, whole bool) {
	a, err := l.client.Do(r)
	if err != nil {
		return first, false
	}
	defer a.Body.Close()
	lines := bufio.NewScanner(a.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data: {") && first.IsZero() {
			first = time.Now()
		}
		whole = whole || lines.Text() == "data: [DONE]"
	}
	return first, whole && a.StatusCode == http.StatusOK
}

// p95 returns the 95th percentile of the time to first token, in ms.
func (l *liveLoad) p95() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.firstTokenTimes.ValueAtQuantile(95)) / 1000
}

// livePair holds the same load before and during a burst; it is nil without --live.
type livePair struct {
	before, during *liveLoad
}

// start starts the load that runs during the burst.
func (p *livePair) start(ctx context.Context) {
	if p != nil {
		p.during.fleet.Goroutines.Go(func() { p.during.run(ctx) })
	}
}

// report adds the load's latencies and failures to the row.
func (p *livePair) report(r *burstRow) {
	if p == nil {
		return
	}
	r.LiveP95BeforeMs = p.before.p95()
	r.LiveP95TTFTRatio = p.during.p95() / p.before.p95()
	r.LiveFailed = p.before.failed + p.during.failed
}

// startLive distributes a first version to all VMs and measures the load on it before the burst; it returns nil
// without --live.
func (p *burstPlan) startLive(ctx context.Context, f *fleet.Fleet) (*livePair, error) {
	if p.Live == 0 {
		return nil, nil
	}
	v, _, err := f.Publish("v0", liveVersionBytes, p.Chunk)
	if err != nil {
		return nil, err
	}
	if err := f.CreateRollout(v, p.Objective, true, 0); err != nil {
		return nil, err
	}
	for _, a := range f.Agents[:p.VMs] {
		for len(a.Follower.Status().GetLive()) == 0 {
			select {
			case <-ctx.Done():
				return nil, fmt.Errorf("VM %s serves no version: %w", a.VM, ctx.Err())
			case <-time.After(10 * time.Millisecond):
			}
		}
	}
	time.Sleep(time.Second)
	before := newLiveLoad(f, p.Live)
	quiet, stop := context.WithTimeout(ctx, liveBaselineTime)
	defer stop()
	before.run(quiet)
	return &livePair{before: before, during: newLiveLoad(f, p.Live)}, ctx.Err()
}
