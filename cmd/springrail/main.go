// Command springrail is the command line tool for operators: it manages rollouts and organisations and shows their state.
package main

import (
	"os"

	"github.com/springrail/springrail/internal/cmd"
)

func main() {
	os.Exit(cmd.Operator(os.Args[1:], os.Stdout, os.Stderr))
}
