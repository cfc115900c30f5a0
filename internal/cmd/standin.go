package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/springrail/springrail/internal/standin"
)

// Standin runs the command line of the stand-ins, which simulate the platform, a model engine or a plain service for
// tests, and returns the exit code.
func Standin(args []string, out, errorOutput io.Writer) int {
	a := newApp("springrail-standin", "Plays what springrail meets. Faults are read and set at /faults, counts at /stats.",
		out, errorOutput)
	actions := map[string]func(ctx context.Context) error{
		"platform": standinPlatform(a.Command("platform", "The platform's log, VM list, store and origin.")),
		"engine":   standinEngine(a.Command("engine", "A model engine.")),
		"service":  standinService(a.Command("service", "A plain service whose calls may not be repeated.")),
	}
	stopped := false
	a.Terminate(func(int) { stopped = true })
	name, err := a.Parse(args)
	if stopped {
		return ExitDone
	}
	if err != nil {
		fmt.Fprintf(errorOutput, "springrail-standin: %v; see springrail-standin --help\n", err)
		return ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := actions[name](ctx); err != nil {
		fmt.Fprintf(errorOutput, "springrail-standin: %v\n", err)
		return ExitFailed
	}
	return ExitDone
}

func standinPlatform(c *kingpin.CmdClause) func(ctx context.Context) error {
	listen := c.Flag("listen", "IP number and port.").Default("127.0.0.1:7000").String()
	weights := c.Flag("weights", "Folder that the origin serves.").String()
	store := c.Flag("store", "Folder that the weight store serves.").String()
	vms := c.Flag("vms", "JSON file with the VM list; PUT /vms replaces it.").String()
	lag := c.Flag("list-lag", "How late the VM list is.").Default("500ms").Duration()
	retention := c.Flag("retention", "Records that the log keeps.").Default("100000").Int()
	originLink := c.Flag("origin-link", "Speed of the origin's link a second; 0 is unlimited.").Default("0B").Bytes()
	storeLink := c.Flag("store-link", "Speed of the store's link a second; 0 is unlimited.").Default("0B").Bytes()
	return func(ctx context.Context) error {
		p := &standin.Platform{
			Log: standin.NewLog(*retention), VMs: standin.NewVMList(*lag),
			Store: standin.NewWeights(*store, int(*storeLink)), Origin: standin.NewWeights(*weights, int(*originLink)),
		}
		if *vms != "" {
			l, err := readVMs(*vms)
			if err != nil {
				return err
			}
			p.VMs.Set(l)
		}
		return standin.Serve(ctx, *listen, p.Handler())
	}
}

func readVMs(file string) ([]standin.ListedVM, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var l []standin.ListedVM
	if err := json.Unmarshal(b, &l); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return l, nil
}

func standinEngine(c *kingpin.CmdClause) func(ctx context.Context) error {
	listen := c.Flag("listen", "IP number and port.").Default("127.0.0.1:8000").String()
	s := standin.DefaultEngine()
	step := c.Flag("step", "Time of one decoding step.").Default(s.Step.String()).Duration()
	batch := c.Flag("batch", "Requests that decode together.").Default(fmt.Sprint(s.Batch)).Int()
	load := c.Flag("load-time", "Time that each load takes beyond reading.").Default("0s").Duration()
	return func(ctx context.Context) error {
		s.Step, s.Batch, s.LoadTime = *step, *batch, *load
		return standin.Serve(ctx, *listen, standin.NewEngine(ctx, s).Handler())
	}
}

func standinService(c *kingpin.CmdClause) func(ctx context.Context) error {
	listen := c.Flag("listen", "IP number and port.").Default("127.0.0.1:8100").String()
	return func(ctx context.Context) error {
		return standin.Serve(ctx, *listen, standin.NewService().Handler())
	}
}
