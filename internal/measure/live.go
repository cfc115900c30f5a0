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
	// liveVersionBytes is the size of the version that serves while the burst brings the next one.
	liveVersionBytes = 256 << 10
	// liveTokens is the length of an answer.
	liveTokens = 16
	// liveBefore is how long the load is measured without a burst.
	liveBefore = 3 * time.Second
	// longestMicros bounds the histogram of first-token times, in microseconds.
	longestMicros = 60_000_000
)

// liveLoad sends chat completions at fixed times and notes when the first token came, counted from the time at which
// the request was meant to be sent.
type liveLoad struct {
	fleet  *fleet.Fleet
	client *http.Client
	every  time.Duration
	mu     sync.Mutex
	times  *hdrhistogram.Histogram
	failed int
	wait   sync.WaitGroup
}

func newLiveLoad(f *fleet.Fleet, perSecond int) *liveLoad {
	return &liveLoad{
		fleet: f, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: perSecond}},
		every: time.Second / time.Duration(perSecond), times: hdrhistogram.New(1, longestMicros, 3),
	}
}

// run sends until the context ends, and waits for the answers.
func (l *liveLoad) run(ctx context.Context) {
	next := time.Now()
	for i := 0; ctx.Err() == nil; i++ {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(next)):
			at := next
			l.wait.Go(func() { l.one(i, at) })
		}
		next = next.Add(l.every)
	}
	l.wait.Wait()
}

func (l *liveLoad) one(i int, at time.Time) {
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
	_ = l.times.RecordValue(max(1, first.Sub(at).Microseconds()))
}

// read returns when the first token came and whether the answer was whole.
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

// p95 is the first-token time of 95 in 100, in ms.
func (l *liveLoad) p95() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.times.ValueAtQuantile(95)) / 1000
}

// livePair is the same load before and in a burst; nil where none was asked for.
type livePair struct {
	before, during *liveLoad
}

// begin sends the load while the burst runs.
func (p *livePair) begin(ctx context.Context) {
	if p != nil {
		p.during.fleet.Goroutines.Go(func() { p.during.run(ctx) })
	}
}

// report puts what callers saw into the row.
func (p *livePair) report(r *burstRow) {
	if p == nil {
		return
	}
	r.LiveP95BeforeMs = p.before.p95()
	r.LiveP95TTFTRatio = p.during.p95() / p.before.p95()
	r.LiveFailed = p.before.failed + p.during.failed
}

// startLive makes a first version live on all VMs and measures the load on it without a burst.
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
				return nil, fmt.Errorf("%s serves nothing: %w", a.VM, ctx.Err())
			case <-time.After(10 * time.Millisecond):
			}
		}
	}
	time.Sleep(time.Second)
	before := newLiveLoad(f, p.Live)
	quiet, stop := context.WithTimeout(ctx, liveBefore)
	defer stop()
	before.run(quiet)
	return &livePair{before: before, during: newLiveLoad(f, p.Live)}, ctx.Err()
}
