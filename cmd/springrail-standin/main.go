// Command springrail-standin simulates the systems that springrail works with: the platform, model engines and plain
// services.
package main

import (
	"os"

	"github.com/springrail/springrail/internal/cmd"
)

func main() {
	os.Exit(cmd.Standin(os.Args[1:], os.Stdout, os.Stderr))
}
