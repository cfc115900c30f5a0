// Package cmd implements the command lines of the operators' tool, the server processes and the stand-ins. Each command
// of the operators' tool is a variable in a cmd_*.go file and listed in commands.
package cmd

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"time"

	"connectrpc.com/connect"
	"github.com/alecthomas/kingpin/v2"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/springrail/springrail/gen/springrail/v1/springrailv1connect"
)

// env holds the RPC clients, the global flags and the outputs that the operators' commands share.
type env struct {
	client       springrailv1connect.OperatorServiceClient
	quarantine   springrailv1connect.QuarantineServiceClient
	limits       springrailv1connect.LimitServiceClient
	organisation string
	json         bool
	out          io.Writer
	errorOutput  io.Writer
}

// action executes a command after its arguments have been parsed.
type action func(ctx context.Context, e *env) error

// command describes one command of the operators' command line.
type command struct {
	// group is the parent command, for example "rollout"; empty for a top-level command.
	group string
	name  string
	help  string
	// setup declares the command's arguments and flags and returns its action.
	setup func(c *kingpin.CmdClause) action
}

// commands lists the commands of the operators' command line in the order in which --help prints them.
var commands = []command{
	cmdOrganisationPut, cmdOrganisationGet, cmdOrganisationList,
	cmdRolloutCreate, cmdRolloutStatus, cmdRolloutList, cmdRolloutCancel, cmdRolloutRollback,
	cmdVMList, cmdChangeGet, cmdQuarantineList, cmdQuarantineLift, cmdLimitsList, cmdTimeline, cmdLosses, cmdTraffic, cmdManifest, cmdToken,
}

// groupHelp maps each command group to its help text.
var groupHelp = map[string]string{
	"organisation": "Organisations that share the service.",
	"rollout":      "Rollouts of models, adapters and versions.",
	"vm":           "VMs that hold or serve versions.",
	"change":       "Changes of the configuration.",
	"quarantine":   "Requests that crash upstreams, on a platform with its own store.",
	"limits":       "Upstreams that take no more than a limit, on a platform with its own store.",
}

// Operator runs the operators' command line and returns the exit code.
func Operator(args []string, out, errorOutput io.Writer) int {
	a := newApp("springrail", "Drives springrail: rollouts of weights to VMs, and what became of them.\n\n"+
		"Exit codes: 0 done, 1 failed, 2 wrong arguments, 3 not found, 4 refused, 5 outcome unknown, "+
		"6 unreachable, 7 token refused.", out, errorOutput)
	server := a.Flag("server", "Address of an entry's operator listener.").Envar("SPRINGRAIL_SERVER").
		Default("http://127.0.0.1:9090").String()
	token := a.Flag("token", "Operator token.").Envar("SPRINGRAIL_TOKEN").String()
	ca := a.Flag("ca", "File with the authority of the entry's certificate.").Envar("SPRINGRAIL_CA").String()
	e := &env{out: out, errorOutput: errorOutput}
	a.Flag("organisation", "Organisation to act for.").Short('o').Envar("SPRINGRAIL_ORGANISATION").StringVar(&e.organisation)
	output := a.Flag("output", "text or json.").Default("text").Enum("text", "json")
	actions := addCommands(a)
	stopped := false
	a.Terminate(func(int) { stopped = true })
	name, err := a.Parse(args)
	if stopped {
		return ExitDone
	}
	if err != nil {
		fmt.Fprintf(errorOutput, "springrail: %v; see springrail --help\n", err)
		return ExitUsage
	}
	e.json = *output == "json"
	client, err := httpClient(*ca)
	if err != nil {
		fmt.Fprintf(errorOutput, "springrail: %v\n", err)
		return ExitUsage
	}
	e.client = springrailv1connect.NewOperatorServiceClient(client, *server, connect.WithInterceptors(bearerToken(*token)))
	e.quarantine = springrailv1connect.NewQuarantineServiceClient(client, *server)
	e.limits = springrailv1connect.NewLimitServiceClient(client, *server)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	return e.exitCode(actions[name](ctx, e))
}

func addCommands(a *kingpin.Application) map[string]action {
	actions := map[string]action{}
	groups := map[string]*kingpin.CmdClause{}
	for _, c := range commands {
		if c.group == "" {
			actions[c.name] = c.setup(a.Command(c.name, c.help))
			continue
		}
		if groups[c.group] == nil {
			groups[c.group] = a.Command(c.group, groupHelp[c.group])
		}
		actions[c.group+" "+c.name] = c.setup(groups[c.group].Command(c.name, c.help))
	}
	return actions
}

func httpClient(ca string) (*http.Client, error) {
	t := &http.Transport{ForceAttemptHTTP2: true, ResponseHeaderTimeout: time.Minute}
	if ca == "" {
		return &http.Client{Transport: t}, nil
	}
	pem, err := os.ReadFile(ca)
	if err != nil {
		return nil, fmt.Errorf("--ca: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("--ca: %s holds no certificate", ca)
	}
	t.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}
	return &http.Client{Transport: t}, nil
}

// bearerToken is a client interceptor that sends an operator token in the Authorization header of each RPC.
type bearerToken string

// WrapUnary implements connect.Interceptor.
func (b bearerToken) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
		r.Header().Set("Authorization", "Bearer "+string(b))
		return next(ctx, r)
	}
}

// WrapStreamingClient implements connect.Interceptor.
func (b bearerToken) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, s connect.Spec) connect.StreamingClientConn {
		c := next(ctx, s)
		c.RequestHeader().Set("Authorization", "Bearer "+string(b))
		return c
	}
}

// WrapStreamingHandler implements connect.Interceptor.
func (b bearerToken) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}

// exitCode maps an error to an exit code. It prints the error with a hint on what to do next.
func (e *env) exitCode(err error) int {
	if err == nil {
		return ExitDone
	}
	var c *connect.Error
	if !errors.As(err, &c) {
		fmt.Fprintf(e.errorOutput, "springrail: %v\n", err)
		return ExitFailed
	}
	switch c.Code() {
	case connect.CodeNotFound:
		return e.printError(ExitNotFound, "not found; see what there is with: springrail rollout list", "")
	case connect.CodeUnauthenticated:
		return e.printError(ExitUnauthorised, c.Message(), "; set --token or SPRINGRAIL_TOKEN")
	case connect.CodeFailedPrecondition:
		return e.printError(ExitRefused, c.Message(), "; nothing was changed")
	case connect.CodeInvalidArgument:
		return e.printError(ExitUsage, c.Message(), "")
	case connect.CodeDeadlineExceeded:
		return e.printError(ExitOutcomeUnknown, c.Message(), "; ask with: springrail change get")
	case connect.CodeUnavailable:
		return e.printError(ExitUnreachable, c.Message(), "; is --server an entry's operator listener?")
	default:
		return e.printError(ExitFailed, c.Message(), "")
	}
}

func (e *env) printError(code int, text, next string) int {
	fmt.Fprintf(e.errorOutput, "springrail: %s%s\n", text, next)
	return code
}

// print writes a message as JSON if --output=json is set; otherwise it calls text to write it.
func (e *env) print(m proto.Message, text func(w io.Writer)) error {
	if !e.json {
		text(e.out)
		return nil
	}
	b, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return err
	}
	// protojson varies its whitespace between builds on purpose. Indenting again gives scripts a stable format.
	var fixed bytes.Buffer
	if err := json.Indent(&fixed, b, "", "  "); err != nil {
		return err
	}
	_, err = fmt.Fprintln(e.out, fixed.String())
	return err
}

// requireOrganisation returns an error if no organisation is set.
func (e *env) requireOrganisation() error {
	if e.organisation == "" {
		return connect.NewError(connect.CodeInvalidArgument, errors.New("name the organisation with -o or SPRINGRAIL_ORGANISATION"))
	}
	return nil
}
