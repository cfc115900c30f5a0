package cmd

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/spec"
)

const (
	// daemonVariable is the environment variable that makes the test binary run as a daemon with the holder part.
	daemonVariable = "SPRINGRAIL_TEST_DAEMON"
	holderName     = "holder"
	// pipeBytes is more than a pipe holds that nobody reads.
	pipeBytes  = 1 << 20
	stdlogLine = "a line of the standard library's log, as package net/http writes them for each connection that fails"
)

func TestMain(m *testing.M) {
	if os.Getenv(daemonVariable) != "" {
		os.Exit(Daemon("daemon", "Holds requests.", holderName))
	}
	os.Exit(m.Run())
}

func TestCmd(t *testing.T) {
	spec.Run(t, "The daemons")
}

// holder is a part whose requests to /held are in flight until the first request to /release.
type holder struct {
	host     *kernel.Host
	listener net.Listener
	server   *http.Server
	release  context.Context
	held     sync.WaitGroup
}

// holderSettings is the section [holder].
type holderSettings struct {
	Remark string `toml:"remark"`
}

// Check implements kernel.Section.
func (s *holderSettings) Check(*kernel.Checker) {}

func init() {
	kernel.Register(kernel.Part{
		Name: holderName, Section: holderName, Settings: func() kernel.Section { return &holderSettings{} },
		New: func(h *kernel.Host) (any, error) { return newHolder(h) },
	})
}

func newHolder(h *kernel.Host) (*holder, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	release, open := context.WithCancel(context.Background())
	p, mux := &holder{host: h, listener: l, release: release}, http.NewServeMux()
	mux.HandleFunc("/held", p.hold)
	mux.HandleFunc("/release", func(http.ResponseWriter, *http.Request) { open() })
	mux.HandleFunc("/log", func(w http.ResponseWriter, _ *http.Request) {
		h.Log.Info().Msg("line")
		fmt.Fprintln(os.Stderr, "line")
		fmt.Fprint(w, h.Metrics())
	})
	mux.HandleFunc("/stdlog", func(http.ResponseWriter, *http.Request) {
		for range pipeBytes / len(stdlogLine) {
			stdlog.Print(stdlogLine)
		}
	})
	p.server = &http.Server{Handler: mux}
	return p, nil
}

func (p *holder) hold(w http.ResponseWriter, _ *http.Request) {
	p.held.Add(1)
	defer p.held.Done()
	_, _ = io.WriteString(w, "begun ")
	_ = http.NewResponseController(w).Flush()
	<-p.release.Done()
	_, _ = io.WriteString(w, "complete")
}

// Run implements kernel.Runner.
func (p *holder) Run(ctx context.Context) error {
	p.host.Log.Info().Str("address", p.listener.Addr().String()).Msg("listening")
	stop := context.AfterFunc(ctx, func() { _ = p.server.Close() })
	defer stop()
	_ = p.server.Serve(p.listener)
	<-ctx.Done()
	return nil
}

// Drain implements kernel.Drainer.
func (p *holder) Drain(context.Context) {
	p.held.Wait()
	// The last response is written after its handler has returned.
	_ = p.server.Shutdown(context.Background())
}

// daemon is a daemon that runs as a process of its own.
type daemon struct {
	process  *os.Process
	settings string
	// out and errorOutput are the read ends of its standard output and standard error.
	out, errorOutput *os.File
	lines            chan logLine
	address          string
}

type logLine struct {
	Message, Signal, Address, Problem, Level string
}

const settingsText = "[process]\nvm = \"vm-1\"\ndomain = \"a\"\n"

// start starts a daemon with the given settings file.
func start(settings string) *daemon {
	out, outEnd, err := os.Pipe()
	Expect(err).NotTo(HaveOccurred())
	errorOutput, errorEnd, err := os.Pipe()
	Expect(err).NotTo(HaveOccurred())
	p, err := os.StartProcess(os.Args[0], []string{"daemon", "--settings", settings}, &os.ProcAttr{
		Env: append(os.Environ(), daemonVariable+"=1"), Files: []*os.File{nil, outEnd, errorEnd},
		Sys: &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL},
	})
	Expect(err).NotTo(HaveOccurred())
	outEnd.Close()
	errorEnd.Close()
	d := &daemon{process: p, settings: settings, out: out, errorOutput: errorOutput, lines: make(chan logLine, 10000)}
	DeferCleanup(func() { _ = p.Kill() })
	go d.readLog()
	return d
}

func (d *daemon) readLog() {
	defer close(d.lines)
	for s := bufio.NewScanner(d.out); s.Scan(); {
		var l logLine
		if json.Unmarshal(s.Bytes(), &l) == nil {
			d.lines <- l
		}
	}
}

// startHolding starts a daemon and sends it a request; the function returned waits for the whole answer.
func startHolding() (*daemon, func() string) {
	file := filepath.Join(GinkgoT().TempDir(), "s.toml")
	Expect(os.WriteFile(file, []byte(settingsText), 0o600)).To(Succeed())
	d := start(file)
	d.address = d.waitFor("listening").Address
	a, err := http.Get("http://" + d.address + "/held")
	Expect(err).NotTo(HaveOccurred())
	return d, func() string {
		defer a.Body.Close()
		b, err := io.ReadAll(a.Body)
		if err != nil {
			return err.Error()
		}
		return string(b)
	}
}

// waitFor returns the next log line with the given message.
func (d *daemon) waitFor(message string) logLine {
	GinkgoHelper()
	timeout := time.After(10 * time.Second)
	for {
		select {
		case l, ok := <-d.lines:
			Expect(ok).To(BeTrue(), "the process ended before it logged %q", message)
			if l.Message == message {
				return l
			}
		case <-timeout:
			Fail(fmt.Sprintf("no log line %q", message))
		}
	}
}

func (d *daemon) signal(s syscall.Signal) {
	GinkgoHelper()
	Expect(d.process.Signal(s)).To(Succeed())
}

func (d *daemon) get(path string) (string, error) {
	a, err := http.Get("http://" + d.address + path)
	if err != nil {
		return "", err
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return string(b), err
}

// wait returns how the process ended.
func (d *daemon) wait() string {
	GinkgoHelper()
	s, err := d.process.Wait()
	Expect(err).NotTo(HaveOccurred())
	return s.String()
}

// openForRead waits until a process reads a named pipe, and returns the function that gives it a text.
func openForRead(file string) func(text string) {
	GinkgoHelper()
	w, err := os.OpenFile(file, os.O_WRONLY, 0)
	Expect(err).NotTo(HaveOccurred())
	return func(text string) {
		GinkgoHelper()
		_, err := w.WriteString(text)
		Expect(err).NotTo(HaveOccurred())
		Expect(w.Close()).To(Succeed())
	}
}

var _ = Describe("a daemon in its planned stop", func() {
	// Guards against a signal whose default action ends the process before the last request is answered.
	DescribeTable("finishes the requests in flight whatever signals follow", func(disturb func(d *daemon)) {
		d, answer := startHolding()
		d.signal(syscall.SIGTERM)
		d.waitFor("leaving: draining, requests in flight are finished")
		disturb(d)
		_, err := d.get("/release")
		Expect(err).NotTo(HaveOccurred())
		Expect(answer()).To(Equal("begun complete"))
		d.waitFor("stopped")
		Expect(d.wait()).To(Equal("exit status 0"))
	},
		Entry("none", func(*daemon) {}),
		Entry("SIGHUP, in series", func(d *daemon) {
			for range 5 {
				d.signal(syscall.SIGHUP)
				Expect(d.waitFor("signal received").Signal).To(Equal("hangup"))
				d.waitFor("settings reloaded")
			}
		}),
		Entry("SIGHUP after the settings became invalid, and after they were removed", func(d *daemon) {
			Expect(os.WriteFile(d.settings, []byte("[process\n"), 0o600)).To(Succeed())
			for range 3 {
				d.signal(syscall.SIGHUP)
				d.waitFor("settings not reloaded")
			}
			Expect(os.Remove(d.settings)).To(Succeed())
			for range 3 {
				d.signal(syscall.SIGHUP)
				Expect(d.waitFor("settings not reloaded").Problem).To(ContainSubstring("no such file"))
			}
		}),
		Entry("SIGTERM and SIGINT again, and SIGHUP between them", func(d *daemon) {
			for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT, syscall.SIGHUP, syscall.SIGTERM} {
				d.signal(s)
				Expect(d.waitFor("signal received").Signal).To(Equal(s.String()))
			}
		}),
	)
})

var _ = Describe("a daemon whose log nobody reads any more", func() {
	// Guards against SIGPIPE, which ends a process that writes to a standard output or standard error without a reader.
	It("serves on, counts the failed writes and stops as planned", func() {
		d, answer := startHolding()
		Expect(d.out.Close()).To(Succeed())
		Expect(d.errorOutput.Close()).To(Succeed())
		for range 3 {
			Eventually(func() (string, error) { return d.get("/log") }).Should(ContainSubstring("write_failed"))
		}
		d.signal(syscall.SIGTERM)
		d.signal(syscall.SIGHUP)
		_, err := d.get("/release")
		Expect(err).NotTo(HaveOccurred())
		Expect(answer()).To(Equal("begun complete"))
		Expect(d.wait()).To(Equal("exit status 0"))
	})
})

var _ = Describe("a daemon whose standard error is not read, although its reader runs", func() {
	// Guards against package net/http, which blocks its connections while it writes to standard error.
	It("serves on while the standard library logs", func() {
		d, answer := startHolding()
		c := &http.Client{Timeout: 5 * time.Second}
		a, err := c.Get("http://" + d.address + "/stdlog")
		Expect(err).NotTo(HaveOccurred())
		a.Body.Close()
		Expect(d.waitFor(stdlogLine + "\n").Level).To(Equal("warn"))
		_, err = d.get("/release")
		Expect(err).NotTo(HaveOccurred())
		Expect(answer()).To(Equal("begun complete"))
	})
})

var _ = Describe("a daemon that starts", func() {
	// Guards against a SIGHUP that arrives before its handler and ends the process.
	It("is not ended by SIGHUP while it reads its settings, and reads them again", func() {
		file := filepath.Join(GinkgoT().TempDir(), "s.toml")
		Expect(syscall.Mkfifo(file, 0o600)).To(Succeed())
		d := start(file)
		settings := openForRead(file)
		for range 3 {
			d.signal(syscall.SIGHUP)
		}
		settings(settingsText)
		d.waitFor("signal received")
		openForRead(file)(settingsText)
		d.waitFor("settings reloaded")
		d.signal(syscall.SIGTERM)
		d.waitFor("stopped")
		Expect(d.wait()).To(Equal("exit status 0"))
	})
})
