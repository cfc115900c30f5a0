// Command springrail-gateway routes callers' requests to upstreams, on a platform that has its own store.
package main

import (
	"os"

	"github.com/springrail/springrail/internal/cmd"
	_ "github.com/springrail/springrail/internal/gateway"
	_ "github.com/springrail/springrail/internal/records"
	_ "github.com/springrail/springrail/internal/vars"
	_ "github.com/springrail/springrail/platform"
)

func main() {
	os.Exit(cmd.Daemon("springrail-gateway", "Passes callers' requests on to upstreams.",
		"gateway", "readiness", "records", "metrics"))
}
