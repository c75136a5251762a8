package cli

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"merlinhall/demo"
)

func (e *env) demo(errOut io.Writer) *ffcli.Command {
	c := e.command(newFlags("demo", errOut), "merlinhall demo files|watch|report --dir DIR", "steps of make demo: write its files, record the run and check it", nil)
	c.Subcommands = []*ffcli.Command{
		e.demoFiles(errOut),
		e.demoCommand("watch", "record the configuration version of each process until interrupted", errOut, func(ctx context.Context, dir string) error {
			out, err := openRecord(dir + "/record/sightings.jsonl")
			if err != nil {
				return err
			}
			transport, scheme, err := newTransport(e.caFile)
			if err != nil {
				return err
			}
			demo.Watch(ctx, &http.Client{Transport: transport}, scheme, out)
			return nil
		}),
		e.demoCommand("report", "check a run against the records of the stand-ins", errOut, func(_ context.Context, dir string) error {
			report, details, err := demo.Check(dir)
			if err != nil {
				return err
			}
			for _, line := range details {
				_, _ = io.WriteString(e.out, line+"\n")
			}
			text, err := json.Marshal(report)
			if err != nil {
				return err
			}
			if _, err := e.out.Write(append(text, '\n')); err != nil {
				return err
			}
			if !report.Passed() {
				return exitError(ExitFailure, eris.New("the run violated a guarantee or did no work"))
			}
			return nil
		}),
	}
	c.Exec = func(context.Context, []string) error {
		return exitError(ExitUsage, eris.New("expected files, watch or report; make demo runs all of them"))
	}
	return c
}

func (e *env) demoFiles(errOut io.Writer) *ffcli.Command {
	var tls bool
	c := e.demoCommand("files", "write settings, configurations and the list of processes", errOut, func(_ context.Context, dir string) error {
		return demo.WriteFiles(dir, tls)
	})
	c.FlagSet.BoolVar(&tls, "tls", false, "write keys and tokens too, and use TLS and authentication")
	return c
}

func (e *env) demoCommand(name, help string, errOut io.Writer, run func(ctx context.Context, dir string) error) *ffcli.Command {
	fs := newFlags(name, errOut)
	e.commonFlags(fs)
	dir := fs.String("dir", "out/demo", "folder of the demo")
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "merlinhall demo " + name + " --dir DIR",
		ShortHelp:  help,
		FlagSet:    fs,
		Exec:       func(ctx context.Context, _ []string) error { return run(ctx, *dir) },
	}
}
