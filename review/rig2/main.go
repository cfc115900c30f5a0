// Command rig2 plays the scripted cases of the second review: the project's gateways as processes, with stand-ins of the
// store, servers and callers.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld, exitBroken, exitNotRun = 0, 1, 2
)

// maxRunTime bounds one case.
const maxRunTime = 115 * time.Second

// errBroken reports that the rule of a case was broken.
var errBroken = errors.New("the rule was broken")

// Case is what every case gets.
type Case struct {
	record    *Record
	root, dir string
	// trouble is false if the disruption is left out.
	trouble bool

	mu    sync.Mutex
	fleet *Fleet
}

// newFleet starts the stand-in of the store for the case.
func (c *Case) newFleet() (*Fleet, error) {
	f, err := newFleet(c.record, c.root, c.dir)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fleet = f
	return f, err
}

// endProcesses ends the processes that the case has started.
func (c *Case) endProcesses() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fleet != nil {
		c.fleet.Close()
	}
}

func main() {
	os.Exit(run())
}

func run() int {
	name := flag.String("case", "", "number of the case")
	root := flag.String("root", ".", "the repository's root")
	record := flag.String("record", "record.txt", "the file for the record")
	flag.Parse()
	cases := map[string]func(c *Case) error{"4": stopAndReload, "5": wrongReport, "6": slowUpload}
	play := cases[*name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "rig2: no case %q\n", *name)
		return exitNotRun
	}
	r, err := newRecord(*record)
	if err != nil {
		fmt.Fprintf(os.Stderr, "rig2: %v\n", err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "springrail-review-")
	if err != nil {
		fmt.Fprintf(os.Stderr, "rig2: %v\n", err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	absolute, err := filepath.Abs(*root)
	if err != nil {
		return exitNotRun
	}
	c := &Case{record: r, root: absolute, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	err = c.play(play)
	switch {
	case err == nil:
		r.Addf("the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		r.Addf("%v", err)
		fmt.Fprintf(os.Stderr, "rig2: %v\n", err)
		return exitBroken
	default:
		r.Addf("the case could not run: %v", err)
		fmt.Fprintf(os.Stderr, "rig2: %v\n", err)
		return exitNotRun
	}
}

// play plays the case, and gives it up after maxRunTime or at a signal.
func (c *Case) play(play func(c *Case) error) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxRunTime)
	defer cancel()
	played := make(chan error, 1)
	go func() { played <- play(c) }()
	select {
	case err := <-played:
		return err
	case <-ctx.Done():
		// A process that is just starting ends with this one.
		c.endProcesses()
		return ctx.Err()
	}
}
