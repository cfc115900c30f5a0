package cmd

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	pb "github.com/springrail/springrail/gen/springrail/v1"
)

var cmdVMList = command{
	group: "vm",
	name:  "list",
	help:  "List the VMs that hold or serve versions of an organisation.",
	setup: func(*kingpin.CmdClause) action {
		return func(ctx context.Context, e *env) error {
			if err := e.requireOrganisation(); err != nil {
				return err
			}
			a, err := e.client.ListVMs(ctx, &pb.ListVMsRequest{Organisation: e.organisation})
			if err != nil {
				return err
			}
			return e.print(a, func(w io.Writer) {
				for _, v := range a.GetVms() {
					printVM(w, v)
				}
			})
		}
	},
}

func printVM(w io.Writer, v *pb.VMStatus) {
	state := "up"
	switch {
	case v.GetLeaving():
		state = "leaving"
	case !v.GetUpstreamUp():
		state = "upstream down"
	}
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", v.GetVm().GetId(), v.GetVm().GetDomain(), v.GetVm().GetPool(), state)
	for _, l := range v.GetLive() {
		fmt.Fprintf(w, "  serves %s %s (%s)\n", l.GetModel(), l.GetVersion(), l.GetRollout())
	}
	for _, p := range v.GetReplicas() {
		fmt.Fprintf(w, "  %s holds %d of %d chunks %s\n", p.GetRollout(), p.GetChunksHeld(), p.GetChunksTotal(), p.GetReason())
	}
}
