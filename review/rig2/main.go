// Command rig2 plays the scripted cases of the second review: the project's gateways as processes, with stand-ins of the
// store, servers and callers.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// The exit codes of a case.
const (
	exitHeld, exitBroken, exitNotRun = 0, 1, 2
)

// errBroken reports that the rule of a case was broken.
var errBroken = errors.New("the rule was broken")

// Case is what every case gets.
type Case struct {
	record    *Record
	root, dir string
	// trouble is false if the disruption is left out.
	trouble bool
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
	err = play(c)
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
