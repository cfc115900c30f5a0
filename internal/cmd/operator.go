// Package cmd holds the command lines of all programs: one command a file, collected in one list.
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

// env is what an operator's command works with.
type env struct {
	client       springrailv1connect.OperatorServiceClient
	quarantine   springrailv1connect.QuarantineServiceClient
	limits       springrailv1connect.LimitServiceClient
	organisation string
	json         bool
	out          io.Writer
	problems     io.Writer
}

// action carries a command out once its arguments are read.
type action func(ctx context.Context, e *env) error

// command is one command of the operators' command line.
type command struct {
	// group is the noun, for example "rollout"; empty for commands of one word.
	group string
	name  string
	help  string
	// setup declares the arguments and returns the action.
	setup func(c *kingpin.CmdClause) action
}

// commands lists all of them, in the order of --help.
var commands = []command{
	cmdOrganisationPut, cmdOrganisationGet, cmdOrganisationList,
	cmdRolloutCreate, cmdRolloutStatus, cmdRolloutList, cmdRolloutCancel, cmdRolloutRollback,
	cmdVMList, cmdChangeGet, cmdQuarantineList, cmdQuarantineLift, cmdLimitsList, cmdTimeline, cmdLosses, cmdTraffic, cmdManifest, cmdToken,
}

// groupHelp describes the nouns.
var groupHelp = map[string]string{
	"organisation": "Organisations that share the service.",
	"rollout":      "Rollouts of models, adapters and versions.",
	"vm":           "VMs that hold or serve versions.",
	"change":       "Changes of the configuration.",
	"quarantine":   "Requests that crash upstreams, on a platform with its own store.",
	"limits":       "Upstreams that take no more than a limit, on a platform with its own store.",
}

// Operator runs the operators' command line and returns the exit code.
func Operator(args []string, out, problems io.Writer) int {
	a := newApp("springrail", "Drives springrail: rollouts of weights to VMs, and what became of them.\n\n"+
		"Exit codes: 0 done, 1 failed, 2 wrong arguments, 3 not found, 4 refused, 5 outcome unknown, "+
		"6 unreachable, 7 token refused.", out, problems)
	server := a.Flag("server", "Address of an entry's operator listener.").Envar("SPRINGRAIL_SERVER").
		Default("http://127.0.0.1:9090").String()
	token := a.Flag("token", "Operator token.").Envar("SPRINGRAIL_TOKEN").String()
	ca := a.Flag("ca", "File with the authority of the entry's certificate.").Envar("SPRINGRAIL_CA").String()
	e := &env{out: out, problems: problems}
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
		fmt.Fprintf(problems, "springrail: %v; see springrail --help\n", err)
		return ExitUsage
	}
	e.json = *output == "json"
	client, err := httpClient(*ca)
	if err != nil {
		fmt.Fprintf(problems, "springrail: %v\n", err)
		return ExitUsage
	}
	e.client = springrailv1connect.NewOperatorServiceClient(client, *server, connect.WithInterceptors(bearer(*token)))
	e.quarantine = springrailv1connect.NewQuarantineServiceClient(client, *server)
	e.limits = springrailv1connect.NewLimitServiceClient(client, *server)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	return e.exit(actions[name](ctx, e))
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

// bearer puts the token on each call.
type bearer string

// WrapUnary implements connect.Interceptor.
func (b bearer) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
		r.Header().Set("Authorization", "Bearer "+string(b))
		return next(ctx, r)
	}
}

// WrapStreamingClient implements connect.Interceptor.
func (b bearer) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, s connect.Spec) connect.StreamingClientConn {
		c := next(ctx, s)
		c.RequestHeader().Set("Authorization", "Bearer "+string(b))
		return c
	}
}

// WrapStreamingHandler implements connect.Interceptor.
func (b bearer) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}

// exit says what went wrong, and what to do next, and returns the exit code.
func (e *env) exit(err error) int {
	if err == nil {
		return ExitDone
	}
	var c *connect.Error
	if !errors.As(err, &c) {
		fmt.Fprintf(e.problems, "springrail: %v\n", err)
		return ExitFailed
	}
	switch c.Code() {
	case connect.CodeNotFound:
		return e.say(ExitNotFound, "not found; see what there is with: springrail rollout list", "")
	case connect.CodeUnauthenticated:
		return e.say(ExitUnauthorised, c.Message(), "; set --token or SPRINGRAIL_TOKEN")
	case connect.CodeFailedPrecondition:
		return e.say(ExitRefused, c.Message(), "; nothing was changed")
	case connect.CodeInvalidArgument:
		return e.say(ExitUsage, c.Message(), "")
	case connect.CodeDeadlineExceeded:
		return e.say(ExitOutcomeUnknown, c.Message(), "; ask with: springrail change get")
	case connect.CodeUnavailable:
		return e.say(ExitUnreachable, c.Message(), "; is --server an entry's operator listener?")
	default:
		return e.say(ExitFailed, c.Message(), "")
	}
}

func (e *env) say(code int, text, next string) int {
	fmt.Fprintf(e.problems, "springrail: %s%s\n", text, next)
	return code
}

// print writes a message as JSON, or with the text form.
func (e *env) print(m proto.Message, text func(w io.Writer)) error {
	if !e.json {
		text(e.out)
		return nil
	}
	b, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return err
	}
	// protojson varies its spaces from build to build, so that nobody relies on them; scripts get one form.
	var fixed bytes.Buffer
	if err := json.Indent(&fixed, b, "", "  "); err != nil {
		return err
	}
	_, err = fmt.Fprintln(e.out, fixed.String())
	return err
}

// need says that an argument that many commands share is missing.
func (e *env) need() error {
	if e.organisation == "" {
		return connect.NewError(connect.CodeInvalidArgument, errors.New("name the organisation with -o or SPRINGRAIL_ORGANISATION"))
	}
	return nil
}
