package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// uploadCallers is the number of callers of case 6, as many as a zone of the small site has, and uploadRounds the number of
	// long bodies that each sends, one after the other; the rule allows three closes.
	uploadCallers, uploadRounds = 29, 3
	// uploadBytes is the length of a body, a third of what the configuration allows, sent in pieces of pieceBytes each
	// pieceInterval: 0.5 MB a second, so that it takes 2.8 s.
	uploadBytes, pieceBytes, pieceInterval = 1400 << 10, 20 << 10, 40 * time.Millisecond
	// longTimeout is the route's timeout at first, and shortTimeout the one that the operator changes it to.
	longTimeout, shortTimeout = 6000, 1000
	// settleTime is the time from a configuration to the first request on it: configApplyMs is 2 s.
	settleTime = 4 * time.Second
)

// slowUpload lets callers send long bodies steadily over kept connections, while the operator has set the route's timeout to less
// than a body takes.
func slowUpload(c *Case) error {
	f, err := c.newFleet()
	if err != nil {
		return err
	}
	defer f.Close()
	var handed atomic.Int64
	server := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name := r.Header.Get("Request-Id")
		if r.Method == http.MethodPost {
			handed.Add(1)
		}
		c.record.Addf("%s reaches the server", name)
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			c.record.Addf("%s: the server has read %d bytes of its body: %v", name, n, err)
			return
		}
		w.Header().Set("Request-Id", name)
		w.Header().Set("Response-Seal", "seal."+name)
		_, _ = fmt.Fprintf(w, "%d bytes", n)
	})
	if err := f.addServer(0, server); err != nil {
		return err
	}
	f.putConfig(uploadRoutes(longTimeout))
	if err := f.addGateways(1); err != nil {
		return err
	}
	time.Sleep(settleTime)
	if c.trouble {
		f.putConfig(uploadRoutes(shortTimeout))
		time.Sleep(settleTime)
	}
	outcomes := make([]*Outcome, uploadCallers*uploadRounds)
	var wg sync.WaitGroup
	for i := range uploadCallers {
		wg.Go(func() {
			for k := i; k < len(outcomes); k += uploadCallers {
				outcomes[k] = upload(c.record, f.gateways[0].address(), k)
			}
		})
	}
	wg.Wait()
	unanswered := 0
	for _, o := range outcomes {
		if o.status == 0 {
			unanswered++
		}
	}
	c.record.Addf("%d long bodies were sent, %d handed to the server, %d connections closed with no answer", len(outcomes), handed.Load(), unanswered)
	switch {
	case int(handed.Load()) < len(outcomes):
		return fmt.Errorf("only %d requests were handed to the server", handed.Load())
	case unanswered > 3:
		return fmt.Errorf("%w: LOST, %d requests on kept connections were handed to a sound server and got no answer", errBroken, unanswered)
	}
	return nil
}

func uploadRoutes(timeoutMs int) []route {
	return []route{
		{Name: "photo", Host: host, PathPrefix: "/photo/", Kind: "unsafe", TimeoutMs: timeoutMs, TargetLatencyMs: 800, Priority: 1, Service: service, MaxAttempts: 1},
		{Name: "look", Host: host, PathPrefix: "/look/", Kind: "safe", TimeoutMs: longTimeout, TargetLatencyMs: 800, Priority: 1, Service: service, MaxAttempts: 2},
	}
}

// upload sends a short request and then, on the same connection, one with a long body.
func upload(r *Record, address string, i int) *Outcome {
	first := &Call{id: fmt.Sprintf("first-%d", i), method: http.MethodGet, path: "/look/x", deadline: requestDeadline}
	long := &Call{id: fmt.Sprintf("long-%d", i), method: http.MethodPost, path: "/photo/x", deadline: requestDeadline}
	o := &Outcome{id: long.id}
	n, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		o.err = err
		return o
	}
	defer n.Close()
	reader := bufio.NewReader(n)
	_, _ = io.WriteString(n, first.text())
	kept := &Outcome{id: first.id}
	kept.read(reader, first.method)
	r.Addf("%s: %s", kept.id, kept)
	start := time.Now()
	_ = n.SetDeadline(start.Add(requestDeadline + time.Second))
	r.Addf("%s: its head is sent on the kept connection", long.id)
	head := strings.Replace(long.text(), "Content-Length: 0", fmt.Sprintf("Content-Length: %d", uploadBytes), 1)
	_, _ = io.WriteString(n, head)
	go func() {
		piece := strings.Repeat("x", pieceBytes)
		for sent := 0; sent < uploadBytes; sent += pieceBytes {
			if _, err := io.WriteString(n, piece); err != nil {
				return
			}
			time.Sleep(pieceInterval)
		}
	}()
	o.read(reader, long.method)
	o.took = time.Since(start)
	r.Addf("%s: %s", o.id, o)
	return o
}
