package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/springrail/springrail/internal/traffic"
)

// metricsTimeout limits the HTTP request that reads the metrics of one process.
const metricsTimeout = 5 * time.Second

var cmdTraffic = command{
	name: "traffic",
	help: "Add up what processes send and whom they call: by kind, by how far it goes, and by reason.",
	setup: func(c *kingpin.CmdClause) action {
		from := c.Arg("from", "Log files, saved metrics, or metrics addresses such as http://10.0.0.1:9464/debug/vars; none reads "+
			"standard input.").Strings()
		return func(ctx context.Context, e *env) error {
			var a traffic.Totals
			open := func(name string) (io.ReadCloser, error) { return openTraffic(ctx, name) }
			if err := readInputs(*from, open, a.Read); err != nil {
				return err
			}
			a.Sum()
			if !e.json {
				return a.Text(e.out)
			}
			j := json.NewEncoder(e.out)
			j.SetIndent("", "  ")
			return j.Encode(&a)
		}
	},
}

// openTraffic opens a file by its name, or requests the metrics document where the name is an HTTP URL.
func openTraffic(ctx context.Context, name string) (io.ReadCloser, error) {
	if !strings.HasPrefix(name, "http://") && !strings.HasPrefix(name, "https://") {
		return openFile(name)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, name, nil)
	if err != nil {
		return nil, err
	}
	a, err := (&http.Client{Timeout: metricsTimeout}).Do(r)
	if err != nil {
		return nil, err
	}
	if a.StatusCode != http.StatusOK {
		a.Body.Close()
		return nil, fmt.Errorf("%s: status %d; is it a process's metrics address?", name, a.StatusCode)
	}
	return a.Body, nil
}
