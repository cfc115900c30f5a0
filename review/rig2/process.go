package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// The ports of a program; each program has its own loopback address.
const (
	callerPort, readinessPort, internalPort = 8005, 8002, 7700
	readyTimeout                            = 15 * time.Second
	readyPollInterval                       = 50 * time.Millisecond
)

// gatewaySettings is the template of deploy/gateway.toml, filled in for a small deployment. The arguments are name, failure
// domain, address of the store, IP address, seeds and grace time.
const gatewaySettings = `[process]
vm = %[1]q
domain = %[2]q
log_level = "info"
drain = "%[6]s"
[store]
address = %[3]q
[records]
config_wait = "700ms"
list_every = "700ms"
seeds = [%[5]s]
[gateway]
listen = "%[4]s:8005"
swap_within = "8000ms"
repeat_ratio = 0.2
repeat_slack = 100
repeat_window = "10s"
reservation_min_gateways = 4
[subscriber]
listen = "%[4]s:7700"
port = 7700
[internal]
listen = "%[4]s:7700"
plain = true
[readiness]
listen = "%[4]s:8002"
[metrics]
listen = "%[4]s:9464"
[traffic]
log_every = "10s"
[traffic.regions]
zone-1 = "region-1"
zone-2 = "region-2"
zone-3 = "region-3"
`

// Process is a program of the project that runs as a process of its own.
type Process struct {
	name, ip  string
	record    *Record
	cmd       *exec.Cmd
	ended     chan struct{}
	logFile   string
	arguments []string
}

// newGateway writes the settings of a gateway.
func newGateway(r *Record, root, dir, ip, domain, store string, seeds []string, grace time.Duration) (*Process, error) {
	name := "front-" + domain + "-" + ip[strings.LastIndexByte(ip, '.')+1:]
	settings := filepath.Join(dir, name+".toml")
	text := fmt.Sprintf(gatewaySettings, name, domain, store, ip, quoteSeeds(seeds), grace)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	return &Process{
		name: name, ip: ip, record: r, logFile: filepath.Join(dir, name+".log"),
		arguments: []string{filepath.Join(root, "target/springrail-gateway"), "--settings=" + settings},
	}, nil
}

// quoteSeeds returns the addresses of seeds as a list in the settings.
func quoteSeeds(seeds []string) string {
	quoted := make([]string, len(seeds))
	for i, s := range seeds {
		quoted[i] = fmt.Sprintf("%q", fmt.Sprintf("%s:%d", s, internalPort))
	}
	return strings.Join(quoted, ",")
}

// Start starts the program. The kernel ends it if this process ends.
func (p *Process) Start() error {
	f, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer f.Close()
	c := exec.Command(p.arguments[0], p.arguments[1:]...) //nolint:gosec // the program under test
	c.Stdout, c.Stderr = f, f
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	p.cmd, p.ended = c, make(chan struct{})
	p.record.Addf("%s starts", p.name)
	go func() {
		err := c.Wait()
		p.record.Addf("%s has ended: %s", p.name, endText(err))
		close(p.ended)
	}()
	return nil
}

func endText(err error) string {
	if err == nil {
		return "exit status 0"
	}
	return err.Error()
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	p.record.Addf("%s gets signal %d (%s)", p.name, s, s)
	_ = p.cmd.Process.Signal(s)
}

// Stop ends the process at once.
func (p *Process) Stop() {
	if p.cmd == nil {
		return
	}
	select {
	case <-p.ended:
		return
	default:
	}
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// address returns the address for callers.
func (p *Process) address() string {
	return fmt.Sprintf("%s:%d", p.ip, callerPort)
}

// waitReady waits until the process answers the readiness probe with 200.
func (p *Process) waitReady(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, readyTimeout)
	defer stop()
	url := fmt.Sprintf("http://%s:%d/v1/readiness", p.ip, readinessPort)
	for ctx.Err() == nil {
		if isReady(ctx, url) {
			p.record.Addf("%s is ready", p.name)
			return nil
		}
		time.Sleep(readyPollInterval)
	}
	return fmt.Errorf("%s is not ready after %v", p.name, readyTimeout)
}

func isReady(ctx context.Context, url string) bool {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// freeNetwork returns the first three bytes of a loopback network whose ports are free, and the listener that reserves it.
func freeNetwork() (string, net.Listener, error) {
	for n := range 200 {
		network := fmt.Sprintf("127.%d.%d", 30+(os.Getpid()+n)%200, 1+(os.Getpid()/200)%250)
		l, err := net.Listen("tcp", network+".250:7999")
		if err == nil {
			return network, l, nil
		}
	}
	return "", nil, fmt.Errorf("no loopback network is free")
}
