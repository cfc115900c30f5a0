package cmd

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"

	pb "github.com/springrail/springrail/gen/springrail/v1"
)

var cmdTimeline = command{
	name: "timeline",
	help: "Show the events of all processes in causal order.",
	setup: func(c *kingpin.CmdClause) action {
		rollout := c.Flag("rollout", "Only events of this rollout.").String()
		request := c.Flag("request", "Only events of this request.").String()
		return func(ctx context.Context, e *env) error {
			if err := e.requireOrganisation(); err != nil {
				return err
			}
			a, err := e.client.ListEvents(ctx, &pb.ListEventsRequest{
				Organisation: e.organisation, Rollout: *rollout, RequestId: *request,
			})
			if err != nil {
				return err
			}
			return e.print(a, func(w io.Writer) { printEvents(w, a) })
		}
	},
}

func printEvents(w io.Writer, a *pb.ListEventsResponse) {
	for _, v := range a.GetEvents() {
		at := time.UnixMilli(v.GetAt().GetWallUnixMs()).UTC().Format("15:04:05.000")
		fmt.Fprintf(w, "%s.%03d  %-12s %-14s %-18s %s %s\n", at, v.GetAt().GetLogical(), v.GetProcess(), v.GetDomain(),
			v.GetKind(), v.GetRequestId(), v.GetDetail())
	}
	for _, p := range a.GetUnreachable() {
		fmt.Fprintf(w, "no answer from %s: its events are missing above\n", p)
	}
}
