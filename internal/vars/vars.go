// Package vars serves the metrics of a process in the JSON format of package expvar.
package vars

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/rpc"
)

// PartName is the name of this part and of its settings section.
const PartName = "metrics"

// headerTimeout is how long a client may take to send the request headers.
const headerTimeout = time.Second

// Settings is the settings section [metrics].
type Settings struct {
	Listen string `toml:"listen"`
}

// Check implements kernel.Section.
func (s *Settings) Check(c *kernel.Checker) {
	_, _, err := net.SplitHostPort(s.Listen)
	c.Require(err == nil, "listen", `an IP number and port such as "127.0.0.1:9464"`)
}

func init() {
	kernel.Register(kernel.Part{
		Name:     PartName,
		Section:  PartName,
		Settings: func() kernel.Section { return &Settings{} },
		New: func(h *kernel.Host) (any, error) {
			l, err := net.Listen("tcp", h.Section(PartName).(*Settings).Listen)
			if err != nil {
				return nil, trace.Wrap(err, "metrics.listen")
			}
			return &server{host: h, listener: l}, nil
		},
	})
}

// server is the HTTP server for metrics.
type server struct {
	host     *kernel.Host
	listener net.Listener
}

// Run serves until the context ends.
func (s *server) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+kernel.MetricsPath, s.host.ServeMetrics)
	return rpc.Serve(ctx, &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}, s.listener, nil)
}
