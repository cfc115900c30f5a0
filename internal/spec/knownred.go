package spec

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/gravitational/trace"
)

const (
	// knownRedFile lists at the module's root the specs that fail for a fault which is known and not yet mended: package,
	// text of the spec, cause and issue, with knownRedSplit between them.
	knownRedFile  = "KNOWN-RED.txt"
	knownRedSplit = " | "
	knownRedParts = 4
	// knownRedMost bounds the list: a longer one is no list of exceptions.
	knownRedMost = 3
	// passOver is the variable of the environment that has these specs passed over; without it they run and fail.
	passOver = "SPRINGRAIL_PASS_OVER_KNOWN_RED"
)

// knownRed returns the patterns of the specs of the calling package, run as a suite, that are to be passed over.
func knownRed(t *testing.T, suite string) []string {
	t.Helper()
	if os.Getenv(passOver) == "" {
		return nil
	}
	dir, err := os.Getwd()
	if err != nil {
		t.Fatal(err)
	}
	root := moduleRoot(dir)
	b, err := os.ReadFile(filepath.Join(root, knownRedFile))
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		t.Fatal(err)
	}
	here, err := filepath.Rel(root, dir)
	if err != nil {
		t.Fatal(err)
	}
	l, err := redSpecs(string(b), filepath.ToSlash(here), suite)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// moduleRoot returns the nearest folder above with a go.mod.
func moduleRoot(dir string) string {
	for d := dir; d != filepath.Dir(d); d = filepath.Dir(d) {
		if _, err := os.Stat(filepath.Join(d, "go.mod")); err == nil {
			return d
		}
	}
	return dir
}

// redSpecs reads the list and returns the patterns of a package's specs.
func redSpecs(list, pkg, suite string) ([]string, error) {
	var l []string
	lines := 0
	for line := range strings.Lines(list) {
		line = strings.TrimSpace(line)
		if line == "" {
			continue
		}
		if lines++; lines > knownRedMost {
			return nil, trace.Errorf("%s: more than %d lines; mend those first", knownRedFile, knownRedMost)
		}
		parts := strings.Split(line, knownRedSplit)
		if len(parts) != knownRedParts || parts[1] == "" {
			return nil, trace.Errorf("%s: %q is not %q", knownRedFile, line, "package | spec | cause | issue")
		}
		if parts[0] == pkg {
			fmt.Println("known red, passed over:", line)
			// The runner matches the suite's name, a blank and the spec.
			l = append(l, "^"+regexp.QuoteMeta(suite+" "+parts[1])+"$")
		}
	}
	return l, nil
}
