package cmd

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"strings"

	"connectrpc.com/connect"
	"github.com/alecthomas/kingpin/v2"

	pb "github.com/springrail/springrail/gen/springrail/v1"
)

var cmdOrganisationPut = command{
	group: "organisation",
	name:  "put",
	help:  "Create or replace an organisation (administrators).",
	setup: func(c *kingpin.CmdClause) action {
		name := c.Arg("name", "Lower-case letters, digits and dashes.").Required().String()
		tokens := c.Flag("operator-token", "Token of its operators; only the hash is sent.").Strings()
		keys := c.Flag("caller-key", "Key of its callers; only the hash is sent.").Strings()
		objective := c.Flag("objective", "time or origin-bytes.").Default("time").Enum("time", "origin-bytes")
		concurrency := c.Flag("concurrency", "Requests in flight over all entries; 0 is the default.").Uint32()
		perSecond := c.Flag("requests-per-second", "Requests a second over all entries; 0 is the default.").Float64()
		change := c.Flag("change-id", "Your ID for the change, to ask again with.").String()
		return func(ctx context.Context, e *env) error {
			o := &pb.Organisation{
				Id: *name, OperatorTokenSha256: sha256Sums(*tokens), CallerKeySha256: sha256Sums(*keys),
				Objective: parseObjective(*objective),
				Limits:    &pb.Limits{Concurrency: *concurrency, RequestsPerSecond: *perSecond},
			}
			base, err := e.organisationRevision(ctx, *name)
			if err != nil {
				return err
			}
			a, err := e.client.PutOrganisation(ctx, &pb.PutOrganisationRequest{
				ChangeId: *change, BaseRevision: base, Organisation: o,
			})
			if err != nil {
				return err
			}
			return e.print(a, func(w io.Writer) {
				fmt.Fprintf(w, "organisation %s is in force, revision %d\n", *name, a.GetOrganisation().GetRevision())
			})
		}
	},
}

func (e *env) organisationRevision(ctx context.Context, name string) (uint64, error) {
	a, err := e.client.GetOrganisation(ctx, &pb.GetOrganisationRequest{Organisation: name})
	if connect.CodeOf(err) == connect.CodeNotFound {
		return 0, nil
	}
	return a.GetOrganisation().GetRevision(), err
}

var cmdOrganisationGet = command{
	group: "organisation",
	name:  "get",
	help:  "Show an organisation.",
	setup: func(c *kingpin.CmdClause) action {
		name := c.Arg("name", "The organisation.").Required().String()
		return func(ctx context.Context, e *env) error {
			a, err := e.client.GetOrganisation(ctx, &pb.GetOrganisationRequest{Organisation: *name})
			if err != nil {
				return err
			}
			return e.print(a, func(w io.Writer) { printOrganisation(w, a.GetOrganisation()) })
		}
	},
}

var cmdOrganisationList = command{
	group: "organisation",
	name:  "list",
	help:  "List the organisations that the token may see.",
	setup: func(*kingpin.CmdClause) action {
		return func(ctx context.Context, e *env) error {
			a, err := e.client.ListOrganisations(ctx, &pb.ListOrganisationsRequest{})
			if err != nil {
				return err
			}
			return e.print(a, func(w io.Writer) {
				for _, o := range a.GetOrganisations() {
					printOrganisation(w, o)
				}
			})
		}
	},
}

func printOrganisation(w io.Writer, o *pb.Organisation) {
	fmt.Fprintf(w, "%s\trevision %d\tobjective %s\toperator tokens %d\tcaller keys %d\n", o.GetId(), o.GetRevision(),
		objectiveName(o.GetObjective()), len(o.GetOperatorTokenSha256()), len(o.GetCallerKeySha256()))
}

func parseObjective(s string) pb.Objective {
	switch s {
	case "time":
		return pb.Objective_OBJECTIVE_TIME
	case "origin-bytes":
		return pb.Objective_OBJECTIVE_ORIGIN_BYTES
	default:
		return pb.Objective_OBJECTIVE_UNSPECIFIED
	}
}

func objectiveName(o pb.Objective) string {
	return strings.ReplaceAll(strings.ToLower(strings.TrimPrefix(o.String(), "OBJECTIVE_")), "_", "-")
}

func sha256Sums(secrets []string) [][]byte {
	var l [][]byte
	for _, s := range secrets {
		sum := sha256.Sum256([]byte(s))
		l = append(l, sum[:])
	}
	return l
}
