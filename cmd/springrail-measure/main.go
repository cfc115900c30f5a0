// Command springrail-measure runs experiments with the production code over the loopback interface.
package main

import (
	"os"

	"github.com/springrail/springrail/internal/measure"
)

func main() {
	os.Exit(measure.Main(os.Args[1:], os.Stdout, os.Stderr))
}
