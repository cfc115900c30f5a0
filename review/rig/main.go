// Command rig runs the cases of the review: it starts gateways and stagers as the deploy file does, on loopback addresses,
// plays the platform, the servers and the clients, and checks one rule.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime bounds one case.
const maxRunTime = 115 * time.Second

// scenario plays a case and returns a description of how the rule was broken, or an empty text if it held.
type scenario func(ctx context.Context, w *world, trouble bool) (string, error)

var scenarios = map[string]scenario{
	"whole":    playWhole,
	"manifest": playManifest,
	"denied":   playDenied,
	"harmless": playHarmless,
	"stale":    playStale,
}

func main() {
	os.Exit(run())
}

func run() int {
	name := flag.String("case", "", "the case to play")
	dir := flag.String("dir", ".", "the folder for record.txt")
	flag.Parse()
	play := scenarios[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "rig: unknown case")
		return exitNotRun
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxRunTime)
	defer cancel()
	broken, err := playCase(ctx, play, filepath.Join(*dir, "record.txt"), os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "rig: could not run:", err)
		return exitNotRun
	case broken != "":
		fmt.Println("broken:", broken)
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}

// playCase plays a case in a temporary folder and ends all processes that it has started.
func playCase(ctx context.Context, play scenario, recordFile string, trouble bool) (broken string, err error) {
	tmp, err := os.MkdirTemp("", "springrail-review")
	if err != nil {
		return "", err
	}
	if os.Getenv("KEEP_LOGS") == "" {
		defer os.RemoveAll(tmp)
	} else {
		fmt.Println("logs in", tmp)
	}
	r, err := newRecord(recordFile)
	if err != nil {
		return "", err
	}
	defer func() { err = errors.Join(err, r.close()) }()
	r.add("trouble: %v", trouble)
	w, err := newWorld(ctx, tmp, r)
	if err != nil {
		return "", err
	}
	defer w.close()
	broken, err = play(ctx, w, trouble)
	if err == nil && ctx.Err() != nil {
		err = ctx.Err()
	}
	r.add("result: broken=%q error=%v", broken, err)
	return broken, err
}
