package soak

import (
	"context"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"github.com/springrail/springrail/internal/kernel"
)

const (
	// readyWithin bounds the start of a program on a busy machine.
	readyWithin = 20 * time.Second
	// readyLook is how often the balancer of the soak asks gateways whether they are ready, and readyAnswer how long it waits.
	readyLook, readyAnswer = 300 * time.Millisecond, 300 * time.Millisecond
	// stagerStart is how long a stager, which says nothing of itself, is taken to need.
	stagerStart = 2 * time.Second
	// exitSlack is the time beyond the grace after which a process that was asked to end should be gone.
	exitSlack = time.Second
)

// Process is a program of the product with what was done to it.
type Process struct {
	name, program, settings, log string
	// ready is the URL that says whether callers may come; empty for stagers.
	ready string
	// front is where callers go.
	front string
	// internal is where other processes follow a gateway.
	internal string
	door     *StoreEndpoint
	history  *History

	mu sync.Mutex
	// busy is held by the fault that works on the process, so that two do not at one time.
	busy  sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
	// ordered is true once the end of the process was caused here.
	ordered atomic.Bool
	ok      atomic.Bool
	// termAt is when it was asked to end, in ns since the epoch; 0 while it was not.
	termAt atomic.Int64
}

// Start starts the program; it ends with this process.
func (p *Process) Start() error {
	f, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return trace.Wrap(err)
	}
	defer f.Close()
	c := exec.Command(p.program, "--settings", p.settings) //nolint:gosec // the program under test, as the command line names it
	c.Stdout, c.Stderr = f, f
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.ordered.Store(false)
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
		p.ok.Store(false)
		if !p.ordered.Load() {
			p.history.RecordViolation("ended-by-itself", p.name, "", "the process ended by itself: %v", err)
		}
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process as it is now.
func (p *Process) signal(s syscall.Signal) chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s)
	return p.ended
}

// Stop ends the process for good.
func (p *Process) Stop() {
	p.mu.Lock()
	c, ended := p.cmd, p.ended
	p.mu.Unlock()
	if c == nil {
		return
	}
	p.ordered.Store(true)
	_ = c.Process.Signal(syscall.SIGKILL)
	<-ended
}

// The times in which a process does not run.
const (
	spanPaused     = "paused"
	spanKilled     = "killed"
	spanTerminated = "terminated"
)

// Pause stops the process for a time.
func (p *Process) Pause(ctx context.Context, d time.Duration) {
	end := p.history.BeginFault(p.name, spanPaused)
	defer end()
	p.signal(syscall.SIGSTOP)
	kernel.Pause(ctx, d)
	p.signal(syscall.SIGCONT)
}

// Kill ends the process at once and starts it again after a time.
func (p *Process) Kill(ctx context.Context, d time.Duration) {
	end := p.history.BeginFault(p.name, spanKilled)
	defer end()
	p.ordered.Store(true)
	<-p.signal(syscall.SIGKILL)
	p.again(ctx, d)
}

// Terminate asks the process to end, and starts it again a time after it has.
func (p *Process) Terminate(ctx context.Context, d time.Duration) {
	end := p.history.BeginFault(p.name, spanTerminated)
	defer end()
	p.ordered.Store(true)
	p.termAt.Store(time.Now().UnixNano())
	ended := p.signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-ctx.Done():
		return
	case <-time.After(grace + exitSlack):
		p.history.RecordOverdueExit(p.name, time.Unix(0, p.termAt.Load()))
		<-p.signal(syscall.SIGKILL)
	}
	p.again(ctx, d)
}

func (p *Process) again(ctx context.Context, d time.Duration) {
	kernel.Pause(ctx, d)
	if ctx.Err() != nil {
		return
	}
	if err := p.Start(); err != nil {
		p.history.RecordViolation("start", p.name, "", "%v", err)
		return
	}
	p.waitReady(ctx)
}

// waitReady waits until callers may come, or for the time that a stager needs.
func (p *Process) waitReady(ctx context.Context) {
	if p.ready == "" {
		kernel.Pause(ctx, stagerStart)
		return
	}
	until := time.Now().Add(readyWithin)
	for ctx.Err() == nil && !p.ok.Load() {
		if time.Now().After(until) {
			p.history.RecordEvent("%s is not ready after %v", p.name, readyWithin)
			return
		}
		kernel.Pause(ctx, readyLook)
	}
}

// watch keeps the balancer's view of a gateway until the context ends.
func (p *Process) watch(ctx context.Context) {
	c := &http.Client{Timeout: readyAnswer, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		a, err := c.Get(p.ready)
		if err == nil {
			_ = a.Body.Close()
		}
		p.ok.Store(err == nil && a.StatusCode == http.StatusOK)
		kernel.Pause(ctx, readyLook)
	}
}
