package cmd

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/alecthomas/kingpin/v2"

	pb "github.com/springrail/springrail/gen/springrail/v1"
)

var cmdRolloutCreate = command{
	group: "rollout",
	name:  "create",
	help:  "Make a version current for its model.",
	setup: func(c *kingpin.CmdClause) action {
		model := c.Flag("model", "Model or adapter that callers ask for.").Required().String()
		version := c.Flag("version-name", "Name of the version.").Required().String()
		source := c.Flag("source", "Path of the version at the store and the origin.").Required().String()
		base := c.Flag("base-model", "Model that an adapter applies to.").String()
		domains := c.Flag("domain", "Failure domain; may be given again. None takes all.").Strings()
		pool := c.Flag("pool", "Pool of VMs; none takes all model engines.").String()
		minReady := c.Flag("min-ready", "Replicas per failure domain before it takes traffic.").Default("1").Uint32()
		notBefore := c.Flag("not-before", "Earliest time for traffic, such as 2026-12-24T05:00:00Z.").String()
		objective := c.Flag("objective", "time or origin-bytes; none takes the organisation's.").Enum("", "time", "origin-bytes")
		copies := c.Flag("origin-copies", "Most copies drawn from the origin; 0 is the objective's default.").Float64()
		change := c.Flag("change-id", "Your ID for the change, to ask again with.").String()
		revision := c.Flag("base-revision", "Revision of the model's current rollout that you saw; none reads it.").Int64()
		return func(ctx context.Context, e *env) error {
			if err := e.requireOrganisation(); err != nil {
				return err
			}
			at, err := unixMs(*notBefore)
			if err != nil {
				return err
			}
			seen, err := e.baseRevision(ctx, *model, *revision)
			if err != nil {
				return err
			}
			a, err := e.client.CreateRollout(ctx, &pb.CreateRolloutRequest{
				ChangeId: *change, BaseRevision: seen,
				Rollout: &pb.Rollout{
					Organisation: e.organisation,
					Version:      &pb.Version{Model: *model, Name: *version, BaseModel: *base, Source: *source},
					Targets:      &pb.Targets{Domains: *domains, Pool: *pool},
					MinReady:     *minReady, NotBeforeUnixMs: at, Objective: parseObjective(*objective), OriginCopies: *copies,
				},
			})
			if err != nil {
				return err
			}
			return e.print(a, func(w io.Writer) {
				fmt.Fprintf(w, "%s\n", a.GetRollout().GetId())
				fmt.Fprintf(e.errorOutput, "springrail: in force; follow it with: springrail rollout status --watch %s\n",
					a.GetRollout().GetId())
			})
		}
	},
}

func unixMs(s string) (int64, error) {
	if s == "" {
		return 0, nil
	}
	t, err := time.Parse(time.RFC3339, s)
	if err != nil {
		return 0, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("--not-before wants a time such as 2026-12-24T05:00:00Z, got %q", s))
	}
	return t.UnixMilli(), nil
}

// baseRevision returns the revision that the operator gave, or else the revision of the model's active rollout. It
// returns 0 if the model has no active rollout.
func (e *env) baseRevision(ctx context.Context, model string, given int64) (uint64, error) {
	if given > 0 {
		return uint64(given), nil
	}
	a, err := e.client.ListRollouts(ctx, &pb.ListRolloutsRequest{Organisation: e.organisation})
	if err != nil {
		return 0, err
	}
	for _, r := range a.GetRollouts() {
		if r.GetVersion().GetModel() == model && r.GetState() == pb.RolloutState_ROLLOUT_STATE_ACTIVE {
			return r.GetRevision(), nil
		}
	}
	return 0, nil
}

var cmdRolloutStatus = command{
	group: "rollout",
	name:  "status",
	help:  "Show a rollout and its progress per failure domain.",
	setup: func(c *kingpin.CmdClause) action {
		name := c.Arg("rollout", "ID of the rollout.").Required().String()
		watch := c.Flag("watch", "Go on until every target is ready and every domain open.").Bool()
		timeout := c.Flag("timeout", "End of --watch.").Default("1h").Duration()
		return func(ctx context.Context, e *env) error {
			if err := e.requireOrganisation(); err != nil {
				return err
			}
			if *watch {
				ctx, stop := context.WithTimeout(ctx, *timeout)
				defer stop()
				return e.watch(ctx, *name)
			}
			a, err := e.client.GetRollout(ctx, &pb.GetRolloutRequest{Organisation: e.organisation, Rollout: *name})
			if err != nil {
				return err
			}
			return e.print(a, func(w io.Writer) { printStatus(w, a.GetRollout(), a.GetProgress()) })
		}
	},
}

// watch prints a rollout's status at each update until every target is ready and every failure domain is open. It
// returns an error if the rollout ends before.
func (e *env) watch(ctx context.Context, name string) error {
	s, err := e.client.WatchRollout(ctx, &pb.WatchRolloutRequest{Organisation: e.organisation, Rollout: name})
	if err != nil {
		return err
	}
	defer s.Close()
	started := time.Now()
	for s.Receive() {
		m := s.Msg()
		if err := e.print(m, func(w io.Writer) {
			fmt.Fprintf(w, "after %s\n", time.Since(started).Round(100*time.Millisecond))
			printStatus(w, m.GetRollout(), m.GetProgress())
		}); err != nil {
			return err
		}
		if m.GetRollout().GetState() != pb.RolloutState_ROLLOUT_STATE_ACTIVE {
			return fmt.Errorf("the rollout has ended: %s", stateName(m.GetRollout().GetState()))
		}
		if liveInAllDomains(m.GetProgress()) {
			return nil
		}
	}
	return s.Err()
}

func liveInAllDomains(l []*pb.DomainProgress) bool {
	for _, d := range l {
		if d.GetReady() < d.GetTargets() || !d.GetOpen() {
			return false
		}
	}
	return len(l) > 0
}

func stateName(s pb.RolloutState) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "ROLLOUT_STATE_"))
}

func printStatus(w io.Writer, r *pb.Rollout, l []*pb.DomainProgress) {
	v := r.GetVersion()
	fmt.Fprintf(w, "%s  %s %s  %s  %d bytes\n", r.GetId(), v.GetModel(), v.GetName(), stateName(r.GetState()), v.GetTotalBytes())
	for _, d := range l {
		open := "closed"
		if d.GetOpen() {
			open = "open"
		}
		percent := uint64(0)
		if d.GetChunksTotal() > 0 {
			percent = 100 * d.GetChunksHeld() / d.GetChunksTotal()
		}
		fmt.Fprintf(w, "  %-20s %-6s  ready %d of %d  fetching %d (%d%%)  waiting %d  loading %d  origin %.2f copies\n",
			d.GetDomain(), open, d.GetReady(), d.GetTargets(), d.GetFetching(), percent, d.GetComplete(), d.GetLoading(),
			float64(d.GetOriginBytes())/float64(max(1, v.GetTotalBytes())))
		for _, t := range d.GetWaiting() {
			fmt.Fprintf(w, "    %s\n", t)
		}
	}
}

var cmdRolloutList = command{
	group: "rollout",
	name:  "list",
	help:  "List an organisation's rollouts, oldest first.",
	setup: func(*kingpin.CmdClause) action {
		return func(ctx context.Context, e *env) error {
			if err := e.requireOrganisation(); err != nil {
				return err
			}
			a, err := e.client.ListRollouts(ctx, &pb.ListRolloutsRequest{Organisation: e.organisation})
			if err != nil {
				return err
			}
			return e.print(a, func(w io.Writer) {
				for _, r := range a.GetRollouts() {
					printStatus(w, r, nil)
				}
			})
		}
	},
}

var cmdRolloutCancel = command{
	group: "rollout",
	name:  "cancel",
	help:  "End a rollout: transfers stop, and VMs that serve the version stop serving it.",
	setup: func(c *kingpin.CmdClause) action {
		name := c.Arg("rollout", "ID of the rollout.").Required().String()
		change := c.Flag("change-id", "Your ID for the change, to ask again with.").String()
		return func(ctx context.Context, e *env) error {
			if err := e.requireOrganisation(); err != nil {
				return err
			}
			a, err := e.client.CancelRollout(ctx, &pb.CancelRolloutRequest{
				ChangeId: *change, Organisation: e.organisation, Rollout: *name,
			})
			if err != nil {
				return err
			}
			return e.print(a, func(w io.Writer) { printStatus(w, a.GetRollout(), nil) })
		}
	},
}

var cmdRolloutRollback = command{
	group: "rollout",
	name:  "rollback",
	help:  "Make the version before a rollout current again.",
	setup: func(c *kingpin.CmdClause) action {
		name := c.Arg("rollout", "ID of the rollout to undo.").Required().String()
		change := c.Flag("change-id", "Your ID for the change, to ask again with.").String()
		return func(ctx context.Context, e *env) error {
			if err := e.requireOrganisation(); err != nil {
				return err
			}
			a, err := e.client.RollBackRollout(ctx, &pb.RollBackRolloutRequest{
				ChangeId: *change, Organisation: e.organisation, Rollout: *name,
			})
			if err != nil {
				return err
			}
			return e.print(a, func(w io.Writer) { fmt.Fprintln(w, a.GetRollout().GetId()) })
		}
	},
}
