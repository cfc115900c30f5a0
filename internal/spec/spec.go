// Package spec runs a package's specs the same way every time: fixed seeds for the order of specs and for generated
// histories.
package spec

import (
	"flag"
	"strconv"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	// The import declares the flags that Run sets.
	_ "pgregory.net/rapid"
)

// PropertyChecks is the number of generated histories of each property.
const PropertyChecks = 10000

// seed fixes all choices of a run.
const seed = 20261202

// Run runs the specs of the calling package.
func Run(t *testing.T, name string) {
	t.Helper()
	gomega.RegisterFailHandler(ginkgo.Fail)
	set(t, "rapid.checks", strconv.Itoa(PropertyChecks))
	set(t, "rapid.seed", strconv.Itoa(seed))
	set(t, "rapid.nofailfile", "true")
	c, r := ginkgo.GinkgoConfiguration()
	c.RandomSeed = seed
	c.SkipStrings = append(c.SkipStrings, knownRed(t, name)...)
	ginkgo.RunSpecs(t, name, c, r)
}

// set changes a default; a flag of the command line goes before it.
func set(t *testing.T, name, value string) {
	t.Helper()
	f := flag.Lookup(name)
	if f == nil {
		t.Fatalf("flag %s is gone", name)
	}
	if f.Value.String() != f.DefValue {
		return
	}
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
}
