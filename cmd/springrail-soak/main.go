// Command springrail-soak runs gateways and stagers as processes over loopback, injects faults drawn at random from a
// seed, and checks the requests and responses that callers and upstreams receive.
package main

import (
	"os"

	"github.com/springrail/springrail/internal/soak"
)

func main() {
	os.Exit(soak.Main(os.Args[1:], os.Stdout, os.Stderr))
}
