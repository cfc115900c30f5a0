package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// firstPart is the ID of the part with which all prompts begin.
const firstPart = "5c1e07a2"

// clients send requests in the site's proportions, each on a new connection, to the gateways that are ready.
type clients struct {
	world     *world
	perSecond float64
	random    *rand.Rand

	mu sync.Mutex
	// outcomes are those of the requests that have ended, in no order.
	outcomes []outcome
	ready    []*process
	sent     int
}

// outcome is how a request with its retry ended.
type outcome struct {
	route   string
	sentAt  time.Time
	served  bool
	version int
	weights string
	// firstID is the Request-Id of the first attempt.
	firstID string
}

func newClients(w *world, perSecond float64) *clients {
	return &clients{world: w, perSecond: perSecond, random: rand.New(rand.NewPCG(1, 2))}
}

// run sends requests until the context ends.
func (c *clients) run(ctx context.Context) {
	go c.watchReadiness(ctx)
	for ctx.Err() == nil {
		pause(ctx, time.Duration(c.random.ExpFloat64()/c.perSecond*float64(time.Second)))
		if ctx.Err() == nil {
			r := c.draw()
			go c.request(r)
		}
	}
}

// watchReadiness asks the gateways every second, as the platform does; if none is ready, all get connections.
func (c *clients) watchReadiness(ctx context.Context) {
	for ctx.Err() == nil {
		var l []*process
		for _, g := range c.world.gateways {
			if g.isReady() {
				l = append(l, g)
			}
		}
		if len(l) == 0 {
			l = c.world.gateways
		}
		c.mu.Lock()
		c.ready = l
		c.mu.Unlock()
		pause(ctx, time.Second)
	}
}

// draw returns a route in the site's proportions.
func (c *clients) draw() route {
	all := 0.0
	for _, r := range routes {
		all += r.perSecond
	}
	x := c.random.Float64() * all
	for _, r := range routes {
		if x -= r.perSecond; x < 0 {
			return r
		}
	}
	return routes[0]
}

// errNotRun is an answer that promises that the request has not run.
var errNotRun = errors.New("not run")

// request sends a request and repeats it once after a promise, or if it may be repeated, as the pages have it.
func (c *clients) request(r route) {
	o := outcome{route: r.name, sentAt: time.Now()}
	deadline := o.sentAt.Add(time.Duration(r.deadlineMs) * time.Millisecond)
	for attempt := range 2 {
		wait, err := c.attempt(r, deadline, &o)
		if err == nil || (r.kind == "unsafe" && !errors.Is(err, errNotRun)) || attempt > 0 {
			break
		}
		pause(c.world.ctx, min(wait, time.Until(deadline)/3))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
}

// attempt sends one try and returns the time that its answer asks to wait.
func (c *clients) attempt(r route, deadline time.Time, o *outcome) (wait time.Duration, err error) {
	c.mu.Lock()
	c.sent++
	id := fmt.Sprintf("%08x", c.sent)
	var to string
	if len(c.ready) > 0 {
		to = c.ready[rand.IntN(len(c.ready))].ip + ":8005"
	}
	c.mu.Unlock()
	if o.firstID == "" {
		o.firstID = id
	}
	if to == "" {
		return 0, errNotRun
	}
	ctx, stop := context.WithDeadline(c.world.ctx, deadline)
	defer stop()
	q, err := newRequest(ctx, r, to, id, deadline)
	if err != nil {
		return 0, err
	}
	c.world.record.add("client: sends %s (%s) to %s", id, r.name, to)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	a, err := client.Do(q)
	if err != nil {
		c.world.record.add("client: %s ends without an answer", id)
		return 0, err
	}
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	c.world.record.add("client: %s gets %d, %d bytes, version %s, whole=%v%s", id, a.StatusCode, len(body), a.Header.Get("Versions"), err == nil, reasonOf(a, body))
	switch {
	case err != nil:
		return 0, err
	case a.StatusCode == http.StatusOK && a.Header.Get("Response-Seal") != "":
		o.served = true
		o.version, _ = strconv.Atoi(a.Header.Get("Versions"))
		o.weights = weightsInBody(string(body))
		return 0, nil
	case a.StatusCode == http.StatusServiceUnavailable || a.StatusCode == http.StatusTooManyRequests:
		s, _ := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
		return time.Duration(s * float64(time.Second)), errNotRun
	default:
		return 0, fmt.Errorf("status %d", a.StatusCode)
	}
}

// reasonOf returns the text of a refusal.
func reasonOf(a *http.Response, body []byte) string {
	if a.StatusCode == http.StatusOK {
		return ""
	}
	return fmt.Sprintf(": %.60q, Retry-After %s", body, a.Header.Get("Retry-After"))
}

// weightsInBody returns the weights that the last event of a stream names.
func weightsInBody(body string) string {
	f := strings.Fields(body)
	if len(f) == 0 {
		return ""
	}
	return f[len(f)-1]
}

func newRequest(ctx context.Context, r route, to, id string, deadline time.Time) (*http.Request, error) {
	method, body := http.MethodPost, strings.Repeat("x", 600)
	if r.kind == "safe" {
		method, body = http.MethodGet, ""
	}
	q, err := http.NewRequestWithContext(ctx, method, "http://"+to+r.path+id, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	q.Host = routeHost
	q.Header.Set("Request-Id", id)
	q.Header.Set("Deadline-Ms", strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	q.Header.Set("Authorization", "Bearer "+apiKey)
	if r.kind == "streaming" {
		q.Header.Set("Model", modelName)
		q.Header.Set("Token-Usage", fmt.Sprintf("%d,100", r.prompt))
		q.Header.Set("Prompt-Prefix", fmt.Sprintf("%s:40,%s:%d", firstPart, id, r.prompt-40))
	}
	return q, nil
}

// between returns the outcomes of the requests that were sent in a span of time.
func (c *clients) between(from, to time.Time) (l []outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range c.outcomes {
		if !o.sentAt.Before(from) && o.sentAt.Before(to) {
			l = append(l, o)
		}
	}
	return l
}

// servedShare returns the share of requests that were served, and their number.
func servedShare(l []outcome) (share float64, n int) {
	served := 0
	for _, o := range l {
		if o.served {
			served++
		}
	}
	return float64(served) / float64(max(1, len(l))), len(l)
}
