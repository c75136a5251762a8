package cli

import (
	"context"
	"flag"
	"io"
	"net/http"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"merlinhall/experiment"
	"merlinhall/load"
)

func (e *env) bench(errOut io.Writer) *ffcli.Command {
	c := e.command(newFlags("bench", errOut), "merlinhall bench <kind>", "measure latency and run experiments", nil)
	c.Subcommands = []*ffcli.Command{e.benchRollout(errOut), e.benchRouting(errOut), e.benchOverload(errOut), e.benchPath(errOut)}
	c.Exec = func(context.Context, []string) error {
		return exitError(ExitUsage, eris.New("expected rollout, routing, overload or path"))
	}
	return c
}

// benchCommand returns a subcommand of bench.
func (e *env) benchCommand(fs *flag.FlagSet, help string, run func(ctx context.Context) error) *ffcli.Command {
	e.commonFlags(fs)
	return &ffcli.Command{
		Name:       fs.Name(),
		ShortUsage: "merlinhall bench " + fs.Name() + " [flags]",
		ShortHelp:  help,
		FlagSet:    fs,
		Exec:       func(ctx context.Context, _ []string) error { return run(ctx) },
	}
}

func (e *env) benchRollout(errOut io.Writer) *ffcli.Command {
	fs := newFlags("rollout", errOut)
	o := experiment.DefaultReportOptions()
	fs.IntVar(&o.Seeds, "seeds", o.Seeds, "number of seeds")
	fs.DurationVar(&o.Duration, "duration", o.Duration, "virtual time of each run")
	return e.benchCommand(fs, "compare trainer idle time and staleness with a baseline, in virtual time", func(context.Context) error {
		o.JSON = e.format == "json"
		return experiment.RunRolloutReport(e.out, o)
	})
}

// Default seed and virtual time of the routing and overload experiments.
const (
	benchSeed     = 1
	benchDuration = 10 * time.Minute
)

func (e *env) benchRouting(errOut io.Writer) *ffcli.Command {
	fs := newFlags("routing", errOut)
	o := experiment.RoutingOptions{}
	fs.Uint64Var(&o.Seed, "seed", benchSeed, "seed")
	fs.Float64Var(&o.Load, "load", 0.8, "offered work relative to the capacity without cache hits")
	fs.DurationVar(&o.Duration, "duration", benchDuration, "virtual time of each run")
	return e.benchCommand(fs, "compare routing policies by latency, prefix cache hits and balance of load, in virtual time", func(context.Context) error {
		experiment.RoutingTable(e.out, o)
		return nil
	})
}

func (e *env) benchOverload(errOut io.Writer) *ffcli.Command {
	fs := newFlags("overload", errOut)
	o := experiment.OverloadOptions{TrainerShare: 0.5}
	fs.Uint64Var(&o.Seed, "seed", benchSeed, "seed")
	fs.DurationVar(&o.Duration, "duration", benchDuration, "virtual time of each run")
	return e.benchCommand(fs, "measure goodput at 0.5 to 3 times the capacity, in virtual time", func(context.Context) error {
		experiment.OverloadTable(e.out, o, []float64{0.5, 0.75, 1, 1.25, 1.5, 2, 2.5, 3})
		return nil
	})
}

func (e *env) benchPath(errOut io.Writer) *ffcli.Command {
	fs := newFlags("path", errOut)
	var o load.Options
	fs.StringVar(&o.Direct, "direct", "http://127.0.4.7:8100/status/x", "URL of a call at a target")
	fs.StringVar(&o.Through, "through", "http://127.0.2.1:8080/budget-svc/status/x", "URL of the same call at an entry")
	fs.IntVar(&o.Requests, "requests", 10000, "requests sent directly, and as many through the entry")
	fs.IntVar(&o.Concurrency, "concurrency", 8, "concurrent requests")
	return e.benchCommand(fs, "compare the latency of calls through an entry with direct calls", func(ctx context.Context) error {
		transport, _, err := newTransport(e.caFile)
		if err != nil {
			return err
		}
		transport.MaxIdleConnsPerHost = o.Concurrency
		o.Client = &http.Client{Transport: transport}
		result, err := load.Run(ctx, o)
		if err != nil {
			return err
		}
		return e.print(result, result.String())
	})
}
