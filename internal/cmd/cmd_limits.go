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
	help:  "List the upstreams that name a limit, rest or leave, as a gateway knows them; --server is the gateway's internal listener.",
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
				for _, r := range a.GetResting() {
					left := (time.Duration(r.GetLeftMs()) * time.Millisecond).Round(100 * time.Millisecond)
					fmt.Fprintf(w, "%s\trests\tfor %s more\t%s\n", r.GetAddress(), left, r.GetInstance())
				}
				for _, l := range a.GetLeaving() {
					fmt.Fprintf(w, "%s\tleaves\tby %s\t%s\n", l.GetAddress(), leavingSourceNames[l.GetBy()], l.GetInstance())
				}
			})
		}
	},
}

// leavingSourceNames maps the source of an upstream's leaving announcement to its printed name.
var leavingSourceNames = map[pb.LeavingSource]string{
	pb.LeavingSource_LEAVING_SOURCE_ENTRY:  "its entry",
	pb.LeavingSource_LEAVING_SOURCE_ANSWER: "its own answer",
	pb.LeavingSource_LEAVING_SOURCE_STAGER: "the process beside it",
}

func printLimit(w io.Writer, l *pb.LimitEntry) {
	by := "permits by the process beside it"
	if l.GetAlone() {
		by = "own part, as nobody gives permits"
	}
	age := (time.Duration(l.GetAgeMs()) * time.Millisecond).Round(time.Second)
	fmt.Fprintf(w, "%s\t%g a second\tfor %s\tsent %d\tpermits %d\t%s\n", l.GetAddress(), l.GetRate(), age, l.GetSent(), l.GetPermits(), by)
}
