package soak

import (
	"context"
	"net/http"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"github.com/springrail/springrail/internal/kernel"
)

const (
	// readyTimeout bounds the start of a program on a busy machine.
	readyTimeout = 20 * time.Second
	// readyInterval is how often the simulated load balancer probes the readiness of gateways, and readyCallTimeout the
	// timeout of a probe.
	readyInterval, readyCallTimeout = 300 * time.Millisecond, 300 * time.Millisecond
	// stagerStartTime is the assumed start time of a stager, which has no readiness probe.
	stagerStartTime = 2 * time.Second
	// exitSlack is the tolerance after the drain time before a terminated process counts as overdue.
	exitSlack = time.Second
)

// Process is a program under test with its state.
type Process struct {
	name, ip, program, settingsFile string
	log                             *LogPipe
	// readyURL is the readiness probe of a gateway; empty for stagers.
	readyURL string
	// callerAddress is the address for callers.
	callerAddress string
	// internalAddress is the address at which other processes follow a gateway.
	internalAddress string
	store           *StoreEndpoint
	history         *History

	mu sync.Mutex
	// busy is held while a fault affects the process, so that no two faults do at the same time.
	busy  sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
	// endExpected is true once the soak has ended the process.
	endExpected atomic.Bool
	isReady     atomic.Bool
	// termAt is when SIGTERM was sent, in Unix nanoseconds; 0 if it was not.
	termAt atomic.Int64
}

// Start starts the program. The kernel kills it if the soak process ends.
func (p *Process) Start() error {
	c := exec.Command(p.program, "--settings", p.settingsFile) //nolint:gosec // the program under test, as the command line names it
	c.Stdout, c.Stderr = p.log.writer, p.log.writer
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.endExpected.Store(false)
	p.termAt.Store(0)
	if err := c.Start(); err != nil {
		return trace.Wrap(err, "%s", p.name)
	}
	ended := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.ended = c, ended
	p.mu.Unlock()
	go func() {
		err := c.Wait()
		p.isReady.Store(false)
		if !p.endExpected.Load() {
			p.history.RecordViolation("ended-by-itself", p.name, "", "the process ended unexpectedly: %v", err)
		}
		close(ended)
	}()
	return nil
}

// signal sends a signal to the current incarnation of the process and returns the channel that is closed when that ends.
func (p *Process) signal(s syscall.Signal) chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s)
	return p.ended
}

// Stop kills the process for good.
func (p *Process) Stop() {
	p.mu.Lock()
	c, ended := p.cmd, p.ended
	p.mu.Unlock()
	defer p.log.Close()
	if c == nil {
		return
	}
	p.endExpected.Store(true)
	_ = c.Process.Signal(syscall.SIGKILL)
	<-ended
}

// The times in which a process does not run.
const (
	// Names of the faults during which a process doesn't run.
	spanPaused     = "paused"
	spanKilled     = "killed"
	spanTerminated = "terminated"
)

// Pause suspends the process for a while.
func (p *Process) Pause(ctx context.Context, d time.Duration) {
	end := p.history.BeginFault(p.name, spanPaused)
	defer end()
	p.signal(syscall.SIGSTOP)
	kernel.Pause(ctx, d)
	p.signal(syscall.SIGCONT)
}

// Kill kills the process and restarts it after a while.
func (p *Process) Kill(ctx context.Context, d time.Duration) {
	end := p.history.BeginFault(p.name, spanKilled)
	defer end()
	p.endExpected.Store(true)
	<-p.signal(syscall.SIGKILL)
	p.restart(ctx, d)
}

// Terminate sends SIGTERM, and restarts the process a while after it has ended.
func (p *Process) Terminate(ctx context.Context, d time.Duration) {
	end := p.history.BeginFault(p.name, spanTerminated)
	defer end()
	p.terminate(ctx)
	p.restart(ctx, d)
}

// terminate sends SIGTERM and waits until the process has ended.
func (p *Process) terminate(ctx context.Context) {
	p.endExpected.Store(true)
	p.termAt.Store(time.Now().UnixNano())
	ended := p.signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-ctx.Done():
	case <-time.After(drainTime + exitSlack):
		p.history.RecordOverdueExit(p.name, time.Unix(0, p.termAt.Load()))
		<-p.signal(syscall.SIGKILL)
	}
}

func (p *Process) restart(ctx context.Context, d time.Duration) {
	kernel.Pause(ctx, d)
	if ctx.Err() == nil && p.startAgain() {
		p.waitReady(ctx)
	}
}

// startAgain starts the process and reports whether that succeeded.
func (p *Process) startAgain() bool {
	err := p.Start()
	if err != nil {
		p.history.RecordViolation("start", p.name, "", "%v", err)
	}
	return err == nil
}

// waitReady waits until a gateway is ready, or for the assumed start time of a stager.
func (p *Process) waitReady(ctx context.Context) {
	if p.readyURL == "" {
		kernel.Pause(ctx, stagerStartTime)
		return
	}
	until := time.Now().Add(readyTimeout)
	for ctx.Err() == nil && !p.isReady.Load() {
		if time.Now().After(until) {
			p.history.RecordEvent("%s is not ready after %v", p.name, readyTimeout)
			return
		}
		kernel.Pause(ctx, readyInterval)
	}
}

// watchReadiness probes a gateway's readiness, as a load balancer does, until the context ends.
func (p *Process) watchReadiness(ctx context.Context) {
	c := &http.Client{Timeout: readyCallTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		a, err := c.Get(p.readyURL)
		if err == nil {
			_ = a.Body.Close()
		}
		p.isReady.Store(err == nil && a.StatusCode == http.StatusOK)
		kernel.Pause(ctx, readyInterval)
	}
}
