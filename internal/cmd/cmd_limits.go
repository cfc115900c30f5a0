package cmd

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"

	pb "github.com/springrail/springrail/gen/springrail/v1"
)

var cmdLimitsList = command{
	group: "limits",
	name:  "list",
	help:  "List the upstreams that name a limit, as a gateway knows them; --server is the gateway's internal listener.",
	setup: func(*kingpin.CmdClause) action {
		return func(ctx context.Context, e *env) error {
			a, err := e.limits.ListLimits(ctx, &pb.ListLimitsRequest{})
			if err != nil {
				return err
			}
			return e.print(a, func(w io.Writer) {
				for _, l := range a.GetEntries() {
					printLimit(w, l)
				}
			})
		}
	},
}

func printLimit(w io.Writer, l *pb.LimitEntry) {
	by := "permits by the process beside it"
	if l.GetAlone() {
		by = "own part, as nobody gives permits"
	}
	age := (time.Duration(l.GetAgeMs()) * time.Millisecond).Round(time.Second)
	fmt.Fprintf(w, "%s\t%g a second\tfor %s\tsent %d\tpermits %d\t%s\n", l.GetAddress(), l.GetRate(), age, l.GetSent(), l.GetPermits(), by)
}
