package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// slowRequests requests arrive slowly, one every slowInterval: the second half of the body comes bodyPause after the
	// first, later than the route's timeout of 800 ms and before the client's deadline of 1,500 ms.
	slowRequests = 40
	slowInterval = 500 * time.Millisecond
	bodyPause    = time.Second
	// deniedSlack and deniedShare are the bounds of the rule DENIED.
	deniedSlack = 5
	deniedShare = 500
)

// slowClient sends requests whose bodies arrive slowly.
type slowClient struct {
	world *world
	pause time.Duration

	mu sync.Mutex
	// statuses counts the answers by status; denied are those of the gateways' own with a 4xx that makes no promise.
	statuses map[int]int
	denied   int
}

// playDenied sends proper requests to a service without a model, some of which arrive slowly.
func playDenied(ctx context.Context, w *world, trouble bool) (string, error) {
	w.putConfig()
	if err := errors.Join(w.addEngines(0, 1), w.addPlainServers(0, 1), w.addProcesses(0, 1)); err != nil {
		return "", err
	}
	if err := w.waitReady(ctx); err != nil {
		return "", err
	}
	c := newClients(w, 15)
	sending, stop := context.WithCancel(ctx)
	defer stop()
	go c.run(sending)
	// Machines are in touch once they have run for contactMs.
	pause(ctx, 5*time.Second)
	s := &slowClient{world: w, statuses: map[int]int{}}
	if trouble {
		s.pause = bodyPause
	}
	var all sync.WaitGroup
	for n := range slowRequests {
		all.Go(func() { s.send(n) })
		pause(ctx, slowInterval)
	}
	all.Wait()
	stop()
	pause(ctx, 7*time.Second)
	requests := len(c.between(time.Time{}, time.Now())) + slowRequests
	w.record.add("%d of %d requests were ended with a 4xx of the gateways; answers to those that arrived slowly: %v", s.denied, requests, s.statuses)
	if float64(s.denied) > deniedSlack+float64(requests)/deniedShare {
		return fmt.Sprintf("DENIED: %d of %d requests, all proper, were ended with a 4xx of the gateways; allowed are %.1f", s.denied, requests,
			deniedSlack+float64(requests)/deniedShare), nil
	}
	return "", nil
}

// send sends one request to one of the gateways.
func (s *slowClient) send(n int) {
	to := s.world.gateways[n%len(s.world.gateways)].ip + ":8005"
	id := fmt.Sprintf("slow-%d", n)
	c, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		s.world.record.add("client: no connection for %s", id)
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(1500 * time.Millisecond))
	const half = 300
	s.world.record.add("client: sends %s (bed-status) to %s, half of its body first", id, to)
	_, _ = fmt.Fprintf(c, "POST /bed/%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 1500\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		id, routeHost, id, apiKey, 2*half, strings.Repeat("x", half))
	go func() {
		pause(s.world.ctx, s.pause)
		_, _ = io.WriteString(c, strings.Repeat("y", half))
	}()
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		s.world.record.add("client: %s ends without an answer: %v", id, err)
		return
	}
	defer a.Body.Close()
	body, _ := io.ReadAll(a.Body)
	own := a.Header.Get("Response-Seal") == ""
	s.world.record.add("client: %s gets %d, own=%v: %.80q", id, a.StatusCode, own, body)
	s.count(a.StatusCode, own)
}

// count counts an answer. 408, 421 and 429 are excepted from the rule.
func (s *slowClient) count(status int, own bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statuses[status]++
	isExcepted := status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest || status == http.StatusTooManyRequests
	if own && status >= http.StatusMultipleChoices && status < http.StatusInternalServerError && !isExcepted {
		s.denied++
	}
}
