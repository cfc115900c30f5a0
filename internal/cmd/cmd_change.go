package cmd

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	pb "github.com/springrail/springrail/gen/springrail/v1"
)

var cmdChangeGet = command{
	group: "change",
	name:  "get",
	help:  "Say what became of a change whose outcome was unknown.",
	setup: func(c *kingpin.CmdClause) action {
		name := c.Arg("change-id", "The change's ID.").Required().String()
		return func(ctx context.Context, e *env) error {
			if err := e.requireOrganisation(); err != nil {
				return err
			}
			a, err := e.client.GetChange(ctx, &pb.GetChangeRequest{Organisation: e.organisation, ChangeId: *name})
			if err != nil {
				return err
			}
			return e.print(a, func(w io.Writer) {
				if a.GetOutcome().GetAccepted() {
					fmt.Fprintf(w, "accepted at offset %d\n", a.GetOutcome().GetOffset())
					return
				}
				fmt.Fprintf(w, "rejected at offset %d: %s\n", a.GetOutcome().GetOffset(), a.GetOutcome().GetReason())
			})
		}
	},
}
