package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"merlinhall/trace"
)

func (e *env) trace(errOut io.Writer) *ffcli.Command {
	fs := newFlags("trace", errOut)
	at := fs.String("at", "", "time at which the caller saw the request fail, as a time of day or in RFC 3339 form; used if no log line contains the id")
	steps := fs.Bool("steps", false, "print where the time of each step went, instead of the account of an id; all arguments are log files")
	return e.command(fs, "merlinhall trace [flags] <id> <log file>...",
		"explain from the logs of all processes how a request, submission or item ended",
		func(_ context.Context, args []string) error {
			if *steps && len(args) > 0 {
				return e.printSteps(args)
			}
			if len(args) < 2 {
				return exitError(ExitUsage, errors.New("expected an id and at least one log file; - means standard input"))
			}
			log, err := readLogs(args[1:])
			if err != nil {
				return err
			}
			var failedAt time.Time
			if *at != "" {
				var err error
				if failedAt, err = log.ParseTime(*at); err != nil {
					return exitError(ExitUsage, err)
				}
			}
			account := log.AccountOf(args[0], failedAt)
			return e.print(account, accountText(&account))
		})
}

// printSteps prints the account of each step in the log files.
func (e *env) printSteps(files []string) error {
	log, err := readLogs(files)
	if err != nil {
		return err
	}
	steps := log.Steps()
	return e.print(steps, stepsText(steps))
}

func stepsText(steps []trace.Step) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "MODEL\tSTEP\tASKED\tWHOLE\tREAD\tLEADERS\tLAST TEXT\tEVENTS\tRUNS\tBEGUN\tGENERATED\tLISTED\tMS/EVENT")
	for i := range steps {
		s := &steps[i]
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%d\t%s on %s\t%d\t%d\t%s\t%s\t%s\t%.1f\n",
			s.Model, s.Step, s.Asked.Format("15:04:05.0"), secondsText(s.Whole), secondsText(s.Closed), s.LeaderChanges,
			s.Last.Item, s.Last.Engine, s.Last.Events, s.Last.Runs,
			secondsText(s.Last.Begun), secondsText(s.Last.Generated), secondsText(s.Last.Listed),
			float64(s.Last.Generated.Milliseconds())/float64(max(1, s.Last.Events)))
	}
	_ = w.Flush() // a strings.Builder does not fail
	return b.String()
}

func secondsText(d time.Duration) string {
	if d < 0 {
		return "-"
	}
	return fmt.Sprintf("%.1fs", d.Seconds())
}

func readLogs(names []string) (*trace.Log, error) {
	log := &trace.Log{}
	for _, name := range names {
		if err := readLog(log, name); err != nil {
			return nil, err
		}
	}
	return log, nil
}

func readLog(log *trace.Log, name string) error {
	if name == "-" {
		return log.Read("stdin", os.Stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return log.Read(name, f)
}

// hiddenFields are not printed as fields: the first three are printed at the start of the
// line, and the level explains nothing.
var hiddenFields = []string{"msg", "time", "host", "level"}

func accountText(a *trace.Account) string {
	var b strings.Builder
	for _, l := range a.Lines {
		fmt.Fprintf(&b, "%s %s %s", l.At.Format("15:04:05.000"), l.Host, l.Text)
		names := make([]string, 0, len(l.Fields))
		for name := range l.Fields {
			if !slices.Contains(hiddenFields, name) {
				names = append(names, name)
			}
		}
		slices.Sort(names)
		for _, name := range names {
			fmt.Fprintf(&b, " %s=%s", name, l.Field(name))
		}
		b.WriteByte('\n')
	}
	for _, d := range a.Caveats {
		fmt.Fprintf(&b, "note: %s\n", d)
	}
	fmt.Fprintf(&b, "cause: %s\n", a.Cause)
	return b.String()
}
