package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/springrail/springrail/internal/losses"
)

// defaultGroupRows is the default number of rows in each table of failure domains, routes and organisations; 12 fit on a screen.
const defaultGroupRows = "12"

var cmdLosses = command{
	name: "losses",
	help: "Read the logs of gateways and stagers: which requests were lost, when and why.",
	setup: func(c *kingpin.CmdClause) action {
		files := c.Arg("log", "Log files of any number of processes; none reads standard input.").Strings()
		span := c.Flag("span", "Length of a row of the first table.").Default("1s").Duration()
		most := c.Flag("most", "Rows of each further table, the worst first.").Default(defaultGroupRows).Int()
		plot := c.Flag("plot", "File for a plot; its ending says the form, such as .svg or .png.").String()
		return func(_ context.Context, e *env) error {
			if *span < time.Millisecond || *most < 1 {
				return fmt.Errorf("--span must be at least 1ms and --most at least 1")
			}
			var l losses.Log
			if err := readInputs(*files, openFile, l.Read); err != nil {
				return err
			}
			a, err := l.Summarise(*span)
			if err != nil {
				return err
			}
			if *plot != "" {
				if err := a.Plot(*plot); err != nil {
					return fmt.Errorf("--plot: %w", err)
				}
			}
			if !e.json {
				return a.Text(e.out, *most)
			}
			j := json.NewEncoder(e.out)
			j.SetIndent("", "  ")
			return j.Encode(a)
		}
	},
}
