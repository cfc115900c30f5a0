package main

import (
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// process is a gateway or a stager.
type process struct {
	name, domain, ip string
	// run is the command of the deploy file with the path of this process's settings.
	run          []string
	settingsPath string
	logPath      string

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// start starts the program. The kernel kills it if the rig ends.
func (p *process) start() error {
	f, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer f.Close()
	c := exec.Command(p.run[0], p.run[1:]...) //nolint:gosec // the command of the deploy file
	c.Stdout, c.Stderr = f, f
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SPRINGRAIL_CONFIG=" + p.settingsPath}
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.ended = c, ended
	p.mu.Unlock()
	go func() {
		_ = c.Wait()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// isReady asks a gateway whether it takes connections, as the platform does.
func (p *process) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Get("http://" + p.ip + ":8002/v1/readiness")
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// runCommand returns the command of a role of the deploy file, with another path of the settings.
func runCommand(deployFile, role, settingsPath string) ([]string, error) {
	raw, err := os.ReadFile(deployFile)
	if err != nil {
		return nil, err
	}
	_, section, _ := strings.Cut(string(raw), "[roles."+role+"]")
	_, line, _ := strings.Cut(section, "run = \"")
	line, _, found := strings.Cut(line, "\"")
	if !found {
		return nil, os.ErrNotExist
	}
	return strings.Fields(strings.ReplaceAll(line, "/etc/springrail/boot.toml", settingsPath)), nil
}
