package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// engineCount and gatewayCount are the engines, each with a stager, and the gateways of case 5.
	engineCount, gatewayCount = 6, 3
	// beforeFault is how long requests are sent before the final fault, downTime how long the processes are down, and
	// recoveryTime the bound of the rule (recoveryS).
	beforeFault, downTime, recoveryTime = 8 * time.Second, 1400 * time.Millisecond, 12 * time.Second
	// afterRecovery is how long requests are sent and counted after that.
	afterRecovery = 10 * time.Second
	// spoilTime and spoilEvery are the dose of the wrong bytes: one engine of six, one of fifty of its answers.
	spoilTime, spoilEvery = 5500 * time.Millisecond, 50
	// requestInterval is the time between two requests.
	requestInterval = 100 * time.Millisecond
)

// counter counts the requests of a span and those of them that were served.
type counter struct {
	mu           sync.Mutex
	sent, served int
}

func (n *counter) add(served bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent++
	if served {
		n.served++
	}
}

// wrongReport kills all processes, as at the end of a day, and lets one engine hand out wrong bytes after their return: one
// byte in one of fifty of its reports.
func wrongReport(c *Case) error {
	f, err := c.newFleet()
	if err != nil {
		return err
	}
	defer f.Close()
	f.putConfig([]route{{
		Name: "report", Host: host, PathPrefix: "/report/", Kind: "streaming", TimeoutMs: 6000, TargetLatencyMs: 500, Priority: 1,
		Service: engineService, MaxAttempts: 2, StreamResume: true, GapAimMs: 400,
	}}, f.engineConfig()...)
	engines, err := f.addEngines(engineCount, f.seeds(gatewayCount))
	if err != nil {
		return err
	}
	if err := f.addGateways(gatewayCount); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	var before, after counter
	var wg sync.WaitGroup
	sendFor(f, &wg, &before, "b", beforeFault)
	all := append(append([]*Process{}, f.gateways...), f.stagers...)
	for _, p := range all {
		p.Signal(syscall.SIGKILL)
	}
	time.Sleep(downTime)
	for _, p := range all {
		<-p.ended
		if err := p.Start(); err != nil {
			return err
		}
	}
	c.record.Addf("all processes are back")
	if c.trouble {
		engines[0].spoil(spoilTime, spoilEvery)
	}
	var meanwhile counter
	sendFor(f, &wg, &meanwhile, "m", recoveryTime)
	sendFor(f, &wg, &after, "a", afterRecovery)
	wg.Wait()
	c.record.Addf("before the final fault %d of %d were served, until recoveryS %d of %d, later %d of %d", before.served, before.sent,
		meanwhile.served, meanwhile.sent, after.served, after.sent)
	switch {
	case before.served*4 < before.sent:
		return fmt.Errorf("only %d of %d requests were served before the fault", before.served, before.sent)
	case after.served*4 < after.sent:
		return fmt.Errorf("%w: RECOVER, %d of %d requests were served from recoveryS after the return on", errBroken, after.served, after.sent)
	}
	return nil
}

// sendFor sends requests to the gateways in turn for a time, without waiting for the last answers.
func sendFor(f *Fleet, wg *sync.WaitGroup, n *counter, name string, d time.Duration) {
	end := time.Now().Add(d)
	for i := 0; time.Now().Before(end); i++ {
		wg.Go(func() {
			q := &Call{
				id: fmt.Sprintf("%s-%d", name, i), method: http.MethodPost, path: "/report/x", body: "hut", deadline: 6 * time.Second,
				prompt: fmt.Sprintf("%x:40,%x:160", 1+i%60, 1000+i),
			}
			o := q.send(f.record, f.gateways[i%len(f.gateways)].address())
			n.add(o.status == http.StatusOK && o.err == nil)
		})
		time.Sleep(requestInterval)
	}
}
