package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"merlinhall/server"
	"merlinhall/standin"
)

func (e *env) standin(errOut io.Writer) *ffcli.Command {
	c := e.command(newFlags("standin", errOut), "merlinhall standin <kind>", "run a stand-in for an external system, for tests", nil)
	c.Subcommands = []*ffcli.Command{
		e.standinEngine(errOut), e.standinService(errOut), e.standinScorer(errOut), e.standinStore(errOut),
		e.standinHosts(errOut), e.standinTrainer(errOut), e.standinCaller(errOut),
	}
	c.Exec = func(context.Context, []string) error {
		return exitError(ExitUsage, eris.New("expected engine, service, scorer, store, hosts, trainer or caller"))
	}
	return c
}

func (e *env) standinCommand(name, help string, errOut io.Writer) *ffcli.Command {
	fs := newFlags(name, errOut)
	e.commonFlags(fs)
	return &ffcli.Command{Name: name, ShortUsage: "merlinhall standin " + name + " [flags]", ShortHelp: help, FlagSet: fs}
}

// openRecord opens a journal or a file of call records for appending, so that a restarted
// process continues the file of the previous run. If path is empty, the output is
// discarded.
func openRecord(path string) (io.Writer, error) {
	if path == "" {
		return io.Discard, nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	return f, eris.Wrap(err, "record")
}

// serveHTTP serves HTTP at address until ctx is cancelled.
func serveHTTP(ctx context.Context, address string, handler http.Handler) error {
	s, err := server.Start(address, handler, nil)
	if err != nil {
		return err
	}
	<-ctx.Done()
	return s.Close()
}

// journaler is a stand-in that writes a journal of the requests it serves.
type journaler interface {
	http.Handler
	WriteJournal(out io.Writer)
}

func serveJournaled(ctx context.Context, address, journalFile string, h journaler) error {
	out, err := openRecord(journalFile)
	if err != nil {
		return err
	}
	h.WriteJournal(out)
	return serveHTTP(ctx, address, h)
}

func (e *env) standinEngine(errOut io.Writer) *ffcli.Command {
	c := e.standinCommand("engine", "a model engine", errOut)
	var o standin.EngineOptions
	c.FlagSet.IntVar(&o.Slots, "slots", 16, "maximum number of concurrent streams")
	c.FlagSet.DurationVar(&o.TokenPeriod, "token-period", 5*time.Millisecond, "time between two tokens of a stream that runs alone")
	c.FlagSet.DurationVar(&o.SwapTime, "swap-time", 200*time.Millisecond, "time that a weight swap takes")
	c.FlagSet.Uint64Var(&o.Version, "version", 1, "initial weight version")
	c.FlagSet.BoolVar(&o.ChecksFence, "checks-fence", false, "refuse orders with an outdated fencing token")
	address := c.FlagSet.String("listen", "127.0.0.1:8100", "address")
	record := c.FlagSet.String("record", "", "journal file")
	c.Exec = func(ctx context.Context, _ []string) error {
		engine := standin.NewEngine(o)
		defer engine.Close()
		return serveJournaled(ctx, *address, *record, engine)
	}
	return c
}

func (e *env) standinService(errOut io.Writer) *ffcli.Command {
	c := e.standinCommand("service", "a plain service", errOut)
	var o standin.ServiceOptions
	c.FlagSet.StringVar(&o.Name, "name", "service", "name of the target")
	c.FlagSet.DurationVar(&o.Work, "work", 5*time.Millisecond, "time that a call takes")
	address := c.FlagSet.String("listen", "127.0.0.1:8100", "address")
	record := c.FlagSet.String("record", "", "journal file")
	c.Exec = func(ctx context.Context, _ []string) error {
		return serveJournaled(ctx, *address, *record, standin.NewService(o))
	}
	return c
}

func (e *env) standinScorer(errOut io.Writer) *ffcli.Command {
	c := e.standinCommand("scorer", "a scoring service", errOut)
	work := c.FlagSet.Duration("work", 5*time.Millisecond, "time that a score takes")
	address := c.FlagSet.String("listen", "127.0.0.1:8100", "address")
	record := c.FlagSet.String("record", "", "journal file")
	c.Exec = func(ctx context.Context, _ []string) error {
		return serveJournaled(ctx, *address, *record, standin.NewScorer(*work))
	}
	return c
}

func (e *env) standinStore(errOut io.Writer) *ffcli.Command {
	c := e.standinCommand("store", "a rate-limited weight store", errOut)
	var o standin.StoreOptions
	c.FlagSet.IntVar(&o.Size, "size", 1<<20, "bytes of one version")
	c.FlagSet.IntVar(&o.Rate, "rate", 0, "bytes per second over all readers; 0 means no limit")
	address := c.FlagSet.String("listen", "127.0.0.1:9000", "address")
	c.Exec = func(ctx context.Context, _ []string) error {
		return serveHTTP(ctx, *address, standin.NewStore(o))
	}
	return c
}

// standinHosts serves a file as the host list of the platform.
func (e *env) standinHosts(errOut io.Writer) *ffcli.Command {
	c := e.standinCommand("hosts", "the platform's host list", errOut)
	address := c.FlagSet.String("listen", "127.0.0.1:9001", "address")
	file := c.FlagSet.String("file", "", `JSON file with [{"host": "IP", "state": "live"}]; read at each request`)
	c.Exec = func(ctx context.Context, _ []string) error {
		return serveHTTP(ctx, *address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			http.ServeFile(w, r, *file)
		}))
	}
	return c
}

func (e *env) standinTrainer(errOut io.Writer) *ffcli.Command {
	c := e.standinCommand("trainer", "a trainer that draws samples (requests complete groups)", errOut)
	var o standin.TrainerOptions
	c.FlagSet.StringVar(&o.Name, "name", "trainer", "name in the configuration")
	c.FlagSet.StringVar(&o.StateFile, "state", "", "file that keeps the trainer's progress")
	c.FlagSet.IntVar(&o.Prompts, "prompts", 8, "groups in a step")
	c.FlagSet.IntVar(&o.GroupSize, "group-size", 4, "samples in a group")
	c.FlagSet.IntVar(&o.MaxTokens, "max-tokens", 256, "maximum length of a sample in tokens")
	c.FlagSet.Uint64Var(&o.StalenessBound, "staleness-bound", 2, "maximum staleness of a sample in weight versions")
	c.FlagSet.Uint64Var(&o.Seed, "seed", 1, "random seed for sampling and for simulated losses of responses")
	c.FlagSet.DurationVar(&o.TrainTime, "train-time", time.Second, "duration of the training of a step")
	c.FlagSet.IntVar(&o.StepsAhead, "ahead", 1, "number of steps to open in advance of the one whose samples are being drawn")
	c.FlagSet.IntVar(&o.MaxGroups, "max-groups", 4, "maximum number of groups in one draw")
	c.FlagSet.DurationVar(&o.Wait, "wait", 2*time.Second, "maximum wait time of a draw")
	c.FlagSet.Float64Var(&o.ResendShare, "lose-answer", 0.1, "share of draws that the trainer repeats as if their response had been lost")
	pool := c.FlagSet.String("pool", "", "pool whose weights the trainer publishes")
	store := c.FlagSet.String("store", "", "address of the weight store")
	entries := c.FlagSet.String("entries", "127.0.0.1:8080", "caller addresses of entries, separated by commas")
	record := c.FlagSet.String("record", "", "file for the final report; standard output if empty")
	steps := c.FlagSet.Int("steps", 0, "number of steps to train; 0 means until interrupted")
	c.Exec = func(ctx context.Context, _ []string) error {
		transport, scheme, err := newTransport(e.caFile)
		if err != nil {
			return err
		}
		o.Client = &http.Client{Transport: transport}
		if o.Token, err = server.ReadToken(e.tokenFile); err != nil {
			return err
		}
		o.Pools = []string{*pool}
		if *store != "" {
			o.Store = "http://" + *store
		}
		for _, entry := range splitList(*entries) {
			o.Entries = append(o.Entries, scheme+"://"+entry)
		}
		o.Logf = func(format string, args ...any) { fmt.Fprintf(errOut, "trainer: "+format+"\n", args...) }
		trainer, err := standin.NewTrainer(o)
		if err != nil {
			return err
		}
		err = trainer.Run(ctx, *steps)
		return firstError(err, e.writeReport(*record, trainer.Report()))
	}
	return c
}

func firstError(first, second error) error {
	if first != nil {
		return first
	}
	return second
}

func (e *env) writeReport(path string, report any) error {
	text, err := json.Marshal(report)
	if err != nil {
		return err
	}
	if path == "" {
		_, err = e.out.Write(append(text, '\n'))
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

func (e *env) standinCaller(errOut io.Writer) *ffcli.Command {
	c := e.standinCommand("caller", "callers of plain services and of model pools", errOut)
	var o standin.CallerOptions
	c.FlagSet.StringVar(&o.Name, "name", "caller", "name of the caller")
	c.FlagSet.StringVar(&o.Key, "key", "", "key of the caller's client account, which has the caller's name")
	c.FlagSet.StringVar(&o.Service, "service", "", "name of the plain service to call")
	c.FlagSet.StringVar(&o.Pool, "pool", "", "name of the model pool to call")
	c.FlagSet.IntVar(&o.Workers, "workers", 8, "concurrent requests")
	c.FlagSet.DurationVar(&o.Pause, "pause", 20*time.Millisecond, "time between two requests of a worker")
	c.FlagSet.DurationVar(&o.Timeout, "timeout", 45*time.Second, "time after which a request without a response counts as lost")
	c.FlagSet.Uint64Var(&o.Seed, "seed", 1, "random seed")
	entries := c.FlagSet.String("entries", "127.0.0.1:8080", "caller addresses of entries, separated by commas")
	ready := c.FlagSet.String("ready", "", "administration addresses of the same entries, for readiness checks")
	record := c.FlagSet.String("record", "", "file for the call records")
	c.Exec = func(ctx context.Context, _ []string) error {
		out, err := openRecord(*record)
		if err != nil {
			return err
		}
		if o.Transport, o.Scheme, err = newTransport(e.caFile); err != nil {
			return err
		}
		o.Entries = splitList(*entries)
		o.Ready = splitList(*ready)
		if len(o.Ready) > 0 && len(o.Ready) != len(o.Entries) {
			return exitError(ExitUsage, eris.New("the flags --entries and --ready must list the same number of addresses"))
		}
		o.Record = out
		standin.NewCaller(o).Run(ctx)
		return nil
	}
	return c
}
