// Package spec runs the Ginkgo specs of a package reproducibly, with fixed seeds for the order of the specs and for the inputs
// that rapid generates.
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

// PropertyChecks is the number of generated inputs with which rapid checks each property.
const PropertyChecks = 10000

// seed is the seed of Ginkgo and of rapid.
const seed = 20261202

// Run runs the specs of the calling package as a suite of the given name.
func Run(t *testing.T, name string) {
	t.Helper()
	gomega.RegisterFailHandler(ginkgo.Fail)
	setDefault(t, "rapid.checks", strconv.Itoa(PropertyChecks))
	setDefault(t, "rapid.seed", strconv.Itoa(seed))
	setDefault(t, "rapid.nofailfile", "true")
	c, r := ginkgo.GinkgoConfiguration()
	c.RandomSeed = seed
	c.SkipStrings = append(c.SkipStrings, knownRed(t, name)...)
	ginkgo.RunSpecs(t, name, c, r)
}

// setDefault sets a flag unless it was set on the command line.
func setDefault(t *testing.T, name, value string) {
	t.Helper()
	f := flag.Lookup(name)
	if f == nil {
		t.Fatalf("flag %s does not exist", name)
	}
	if f.Value.String() != f.DefValue {
		return
	}
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
}
