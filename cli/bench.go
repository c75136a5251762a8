package cli

import (
	"context"
	"io"
	"net/http"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"merlinhall/load"
)

func (e *env) bench(errOut io.Writer) *ffcli.Command {
	c := e.command(newFlags("bench", errOut), "merlinhall bench <kind>", "measure latency and run experiments", nil)
	c.Subcommands = []*ffcli.Command{e.benchPath(errOut)}
	c.Exec = func(context.Context, []string) error {
		return exit(ExitUsage, eris.New("expected path"))
	}
	return c
}

func (e *env) benchPath(errOut io.Writer) *ffcli.Command {
	fs := newFlags("path", errOut)
	e.commonFlags(fs)
	var o load.Options
	fs.StringVar(&o.Direct, "direct", "http://127.0.4.7:8100/status/x", "URL of a call at a target")
	fs.StringVar(&o.Through, "through", "http://127.0.2.1:8080/budget-svc/status/x", "URL of the same call at an entry")
	fs.IntVar(&o.Requests, "requests", 10000, "requests each way")
	fs.IntVar(&o.Concurrency, "concurrency", 8, "requests at once")
	return &ffcli.Command{
		Name:       "path",
		ShortUsage: "merlinhall bench path [flags]",
		ShortHelp:  "latency through the system against direct calls",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			transport, _, err := newTransport(e.ca)
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
		},
	}
}
