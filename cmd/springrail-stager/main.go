// Command springrail-stager fetches model weights and loads them into the upstream on the same VM, on a platform that
// has its own store.
package main

import (
	"os"

	"github.com/springrail/springrail/internal/cmd"
	_ "github.com/springrail/springrail/internal/records"
	_ "github.com/springrail/springrail/internal/stager"
	_ "github.com/springrail/springrail/internal/vars"
	_ "github.com/springrail/springrail/platform"
)

func main() {
	os.Exit(cmd.Daemon("springrail-stager", "Brings weights onto the upstream beside it.",
		"stager", "records", "metrics"))
}
