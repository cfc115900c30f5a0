package cmd

import (
	"context"
	"fmt"
	"io"
	stdlog "log"
	"os"
	"reflect"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/phuslu/log"

	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/logsink"
)

// The process exit codes of all programs. The help text of the operators' command line documents them.
const (
	ExitDone           = 0
	ExitFailed         = 1
	ExitUsage          = 2
	ExitNotFound       = 3
	ExitRefused        = 4
	ExitOutcomeUnknown = 5
	ExitUnreachable    = 6
	ExitUnauthorised   = 7
)

// Version is the release that --version prints and the startup log line holds.
const Version = "0.1.0"

// flushTimeout bounds how long an ending process waits for the reader of its log.
const flushTimeout = 100 * time.Millisecond

// newApp returns a command line parser that writes usage to out and errors to errorOutput.
func newApp(name, help string, out, errorOutput io.Writer) *kingpin.Application {
	a := kingpin.New(name, help)
	a.Version(Version)
	a.HelpFlag.Short('h')
	a.UsageWriter(out)
	a.ErrorWriter(errorOutput)
	return a
}

// Daemon runs a server process until SIGTERM or SIGINT and returns its exit code. The process runs all registered
// parts, or only those in partNames and their dependencies if partNames is given.
func Daemon(name, help string, partNames ...string) int {
	signals := NewSignals()
	a := newApp(name, help, os.Stdout, os.Stderr)
	file := a.Flag("settings", "The settings file (TOML); docs/SETTINGS.md lists the keys.").Required().String()
	check := a.Flag("check", "Only check the settings, and say each wrong line.").Bool()
	if _, err := a.Parse(os.Args[1:]); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v; see %s --help\n", name, err, name)
		return ExitUsage
	}
	parts := kernel.Registered()
	if len(partNames) > 0 {
		parts = kernel.Select(partNames...)
	}
	sections := kernel.DefaultSections(parts)
	if problems := kernel.LoadSettings(*file, sections); len(problems) > 0 {
		for _, p := range problems {
			fmt.Fprintf(os.Stderr, "%s: %s\n", name, p)
		}
		return ExitUsage
	}
	if *check {
		fmt.Printf("%s: %s is good\n", name, *file)
		return ExitDone
	}
	return runDaemon(name, *file, parts, sections, signals)
}

func runDaemon(name, file string, parts []kernel.Part, sections map[string]kernel.Section, signals *Signals) int {
	sink := logsink.New(os.Stdout)
	l := newLogger(sections["process"].(*kernel.ProcessSettings), sink)
	redirectStandardLog(l)
	h, err := kernel.NewHost(parts, sections, l, kernel.NewClock(time.Now))
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: can't start: %v\n", name, err)
		return ExitFailed
	}
	h.Metric("log_lines_dropped", sink.Dropped)
	h.Metric("signals", signals.Received)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	stopping := signals.WatchStops(ctx, l)
	go signals.WatchReloads(ctx, l, func() { reloadSettings(l, file, parts, sections) })
	l.Info().Str("program", name).Str("release", Version).Msg("started")
	if err := h.Run(stopping); err != nil {
		l.Error().Err(err).Msg("stopped")
		flushLog(sink)
		fmt.Fprintf(os.Stderr, "%s: stopped: %v\n", name, err)
		return ExitFailed
	}
	l.Info().Msg("stopped")
	flushLog(sink)
	return ExitDone
}

// flushLog writes the log lines that are queued, as the process is about to end.
func flushLog(s *logsink.Sink) {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	s.Flush(ctx)
}

func newLogger(p *kernel.ProcessSettings, w io.Writer) *log.Logger {
	return &log.Logger{
		Level:   log.ParseLevel(p.LogLevel),
		Context: log.NewContext(nil).Str("vm", p.VM).Str("domain", p.Domain).Value(),
		Writer:  &log.IOWriter{Writer: w},
	}
}

// redirectStandardLog passes what the standard library logs, as net/http does on failed connections, to the log sink. Written to
// standard error, such a line would block its connection while nobody reads there.
func redirectStandardLog(l *log.Logger) {
	warnings := *l
	warnings.Level = log.WarnLevel
	stdlog.SetFlags(0)
	stdlog.SetOutput(warnings.Std("", 0).Writer())
}

// reloadSettings reads the settings file again and logs which sections changed. Only the log level takes effect at once;
// all other settings take effect at the next start. An invalid file changes nothing.
func reloadSettings(l *log.Logger, file string, parts []kernel.Part, current map[string]kernel.Section) {
	fresh := kernel.DefaultSections(parts)
	problems := kernel.LoadSettings(file, fresh)
	for _, p := range problems {
		l.Warn().Str("problem", p.String()).Msg("settings not reloaded")
	}
	if len(problems) > 0 {
		return
	}
	for name, s := range fresh {
		if !reflect.DeepEqual(s, current[name]) {
			l.Warn().Str("section", name).Msg("settings changed; they take effect at the next start")
		}
	}
	l.Level = log.ParseLevel(fresh["process"].(*kernel.ProcessSettings).LogLevel)
	l.Info().Msg("settings reloaded")
}
