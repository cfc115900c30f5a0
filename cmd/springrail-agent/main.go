// Command springrail-agent runs on an upstream VM. It fetches model versions onto the VM and proxies all requests to the
// VM's upstream.
package main

import (
	"os"

	"github.com/springrail/springrail/internal/cmd"
	_ "github.com/springrail/springrail/internal/status"
	_ "github.com/springrail/springrail/internal/upstream"
)

func main() {
	os.Exit(cmd.Daemon("springrail-agent", "Brings versions onto an upstream VM and is the only door to its upstream."))
}
