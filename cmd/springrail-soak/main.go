// Command springrail-soak runs gateways and stagers as processes over loopback under faults that are drawn by seed, and
// checks what callers and upstreams see.
package main

import (
	"os"

	"github.com/springrail/springrail/internal/soak"
)

func main() {
	os.Exit(soak.Main(os.Args[1:], os.Stdout, os.Stderr))
}
