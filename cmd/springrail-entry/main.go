// Command springrail-entry runs on an entry VM and serves the callers' API and the operators' API.
package main

import (
	"os"

	_ "github.com/springrail/springrail/internal/callerapi"
	"github.com/springrail/springrail/internal/cmd"
	_ "github.com/springrail/springrail/internal/operatorapi"
	_ "github.com/springrail/springrail/internal/spread"
	_ "github.com/springrail/springrail/internal/status"
)

func main() {
	os.Exit(cmd.Daemon("springrail-entry", "Takes callers' and operators' requests on an entry VM."))
}
