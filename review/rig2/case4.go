package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/springrail/springrail/internal/kernel"
)

const (
	// workTime is how long a server works on a request of case 4, and requestsInFlight the number of requests.
	workTime         = 3 * time.Second
	requestsInFlight = 12
	// stopAfter is the time from the requests to SIGTERM, and reloadAfter from SIGTERM to SIGHUP.
	stopAfter, reloadAfter = 500 * time.Millisecond, 700 * time.Millisecond
	// requestDeadline is what callers allow, far above workTime.
	requestDeadline = 6 * time.Second
)

// stopAndReload stops a gateway with SIGTERM while it has requests at a server, and tells it soon after with SIGHUP that its
// settings file has changed. All requests were sent before SIGTERM, and the server answers long before the last sixth of the
// grace time.
func stopAndReload(c *Case) error {
	f, err := c.newFleet()
	if err != nil {
		return err
	}
	defer f.Close()
	var ran atomic.Int64
	server := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		ran.Add(1)
		c.record.Addf("the server runs %s", r.Header.Get("Request-Id"))
		kernel.Pause(r.Context(), workTime)
		if r.Context().Err() != nil {
			c.record.Addf("the server's run of %s ends: its caller has gone", r.Header.Get("Request-Id"))
			return
		}
		w.Header().Set("Response-Seal", "seal."+r.Header.Get("Request-Id"))
		_, _ = fmt.Fprintf(w, "booked %s", r.Header.Get("Request-Id"))
	})
	if err := f.addServer(0, server); err != nil {
		return err
	}
	f.putConfig([]route{{Name: "hold", Host: host, PathPrefix: "/hold/", Kind: "unsafe", TimeoutMs: 6000, TargetLatencyMs: 4000, Priority: 1, Service: service, MaxAttempts: 1}})
	if err := f.addGateways(1); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	outcomes := make([]*Outcome, requestsInFlight)
	var wg sync.WaitGroup
	for i := range outcomes {
		wg.Go(func() {
			q := &Call{id: fmt.Sprintf("r-%d", i), method: http.MethodPost, path: "/hold/bunk", body: "bunk", deadline: requestDeadline}
			outcomes[i] = q.send(c.record, f.gateways[0].address())
		})
	}
	time.Sleep(stopAfter)
	f.gateways[0].Signal(syscall.SIGTERM)
	if c.trouble {
		time.Sleep(reloadAfter)
		f.gateways[0].Signal(syscall.SIGHUP)
	}
	wg.Wait()
	lost := 0
	for _, o := range outcomes {
		if o.status == 0 || o.err != nil {
			lost++
		}
	}
	c.record.Addf("%d requests were sent and run %d times; %d got no answer", len(outcomes), ran.Load(), lost)
	switch {
	case int(ran.Load()) != len(outcomes):
		return fmt.Errorf("%d of %d requests ran", ran.Load(), len(outcomes))
	case lost > 0:
		return fmt.Errorf("%w: LOST, %d whole requests that a server ran got no answer around planned work", errBroken, lost)
	}
	return nil
}
