package cmd

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	pb "github.com/springrail/springrail/gen/springrail/v1"
)

var cmdQuarantineList = command{
	group: "quarantine",
	name:  "list",
	help:  "List the requests and the parts of prompts that a gateway holds, and those under which upstreams have ended; --server is the gateway's internal listener.",
	setup: func(*kingpin.CmdClause) action {
		return func(ctx context.Context, e *env) error {
			a, err := e.quarantine.ListHeld(ctx, &pb.ListHeldRequest{})
			if err != nil {
				return err
			}
			return e.print(a, func(w io.Writer) {
				for _, h := range a.GetEntries() {
					printHeld(w, h)
				}
			})
		}
	},
}

var cmdQuarantineLift = command{
	group: "quarantine",
	name:  "lift",
	help:  "Let a held request through again at all gateways; --server is any gateway's internal listener.",
	setup: func(c *kingpin.CmdClause) action {
		f := c.Arg("fingerprint", "32 hexadecimal digits, from the list or the line of a refused request.").Required().String()
		return func(ctx context.Context, e *env) error {
			a, err := e.quarantine.LiftHeld(ctx, &pb.LiftHeldRequest{Fingerprint: *f})
			if err != nil {
				return err
			}
			return e.print(a, func(w io.Writer) {
				fmt.Fprintln(w, "lifted; it is held again once three more upstreams have ended under it")
			})
		}
	},
}

func printHeld(w io.Writer, h *pb.HeldEntry) {
	state := "suspected"
	if h.GetHeld() {
		state = "held"
	}
	r := h.GetRequest()
	since := time.UnixMilli(r.GetSinceUnixMs()).UTC().Format(time.RFC3339)
	fmt.Fprintf(w, "%s\t%s\t%s\tsince %s by %s\trefused %d\n", h.GetFingerprint(), state, r.GetOrganisation(), since, r.GetBy(), h.GetRefused())
	for _, p := range r.GetParts() {
		fmt.Fprintf(w, "  prompt part %x\n", p)
	}
	printHeldUses(w, r)
	for _, s := range r.GetStarts() {
		fmt.Fprintf(w, "  ended %s at %s\n", s.GetInstance(), s.GetAddress())
	}
}

// printHeldUses prints for which organisations something is held.
func printHeldUses(w io.Writer, r *pb.HeldRequest) {
	var organisations []string
	for _, u := range r.GetUses() {
		if !slices.Contains(organisations, u.GetOrganisation()) {
			organisations = append(organisations, u.GetOrganisation())
		}
	}
	switch {
	case len(organisations) > 1 && len(r.GetParts()) > 0:
		fmt.Fprintf(w, "  for all organisations, after %s\n", strings.Join(organisations, ", "))
	case len(organisations) > 0:
		fmt.Fprintf(w, "  for %s\n", strings.Join(organisations, ", "))
	}
	if n := len(r.GetExempt()); n > 0 {
		fmt.Fprintf(w, "  not for %d that were answered since\n", n)
	}
}
