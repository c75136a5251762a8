// Package cli implements the merlinhall command line tool for operators.
package cli

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// Version is the version of the programs, set at build time.
var Version = "dev"

// Exit codes of the tool.
const (
	ExitOK          = 0
	ExitFailure     = 1
	ExitUsage       = 2
	ExitInvalid     = 3 // a configuration, a settings file or a request is not valid
	ExitConflict    = 4 // another change came first
	ExitUnknown     = 5 // the outcome is unknown; query it by the request id
	ExitUnavailable = 6 // no control replica or leader is available, or the process to dump is unreachable
)

// envPrefix is the prefix of environment variables that set flags, for example
// MERLINHALL_CONTROL.
const envPrefix = "MERLINHALL"

// ExitError is an error that sets the exit code.
type ExitError struct {
	Code int
	Err  error
}

// Error implements error.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e *ExitError) Unwrap() error { return e.Err }

func exitError(code int, err error) error { return &ExitError{Code: code, Err: err} }

// env holds the output writer and the values of the flags that all commands share.
type env struct {
	out       io.Writer
	control   string
	tokenFile string
	caFile    string
	format    string
}

// Run runs the tool with the command line args and returns its exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	e := &env{out: out}
	root := e.root(errOut)
	err := root.Parse(args)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return ExitOK
	case err != nil:
		err = exitError(ExitUsage, err)
	default:
		err = root.Run(ctx)
	}
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(errOut, "merlinhall:", err)
	var coded *ExitError
	if errors.As(err, &coded) {
		return coded.Code
	}
	return ExitFailure
}

func (e *env) root(errOut io.Writer) *ffcli.Command {
	fs := newFlags("merlinhall", errOut)
	e.commonFlags(fs)
	fs.String("settings", "", "settings file (TOML) with these flags as keys")
	return &ffcli.Command{
		ShortUsage: "merlinhall [flags] <command> [flags] [arguments]",
		LongHelp:   "Operates a merlinhall system. Exit codes: 0 success, 1 failure, 2 usage error, 3 invalid configuration or request, 4 conflict, 5 outcome unknown, 6 control unavailable.",
		FlagSet:    fs,
		Options: []ff.Option{
			ff.WithEnvVarPrefix(envPrefix),
			ff.WithConfigFileFlag("settings"),
			ff.WithConfigFileParser(parseTOML),
		},
		Subcommands: []*ffcli.Command{
			e.validate(errOut), e.apply(errOut), e.show(errOut), e.diff(errOut), e.history(errOut), e.outcome(errOut),
			e.account(errOut), e.usage(errOut), e.suspects(errOut), e.explain(errOut),
			e.drain(errOut), e.members(errOut), e.status(errOut), e.dump(errOut), e.trace(errOut),
			e.demo(errOut), e.bench(errOut), e.standin(errOut), e.version(errOut),
		},
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return exitError(ExitUsage, errors.New("no command given; --help lists the commands"))
			}
			return exitError(ExitUsage, fmt.Errorf("unknown command %q; --help lists the commands", args[0]))
		},
	}
}

// commonFlags adds the flags that are accepted both before and after the command name.
func (e *env) commonFlags(fs *flag.FlagSet) {
	fs.StringVar(&e.control, "control", "127.0.0.1:7001", "administration addresses of the control replicas, separated by commas")
	fs.StringVar(&e.tokenFile, "token-file", "", "file with the operator's token")
	fs.StringVar(&e.caFile, "ca", "", "file with the CA certificate; enables TLS")
	fs.StringVar(&e.format, "output", "text", `"text" or "json"`)
}

func newFlags(name string, errOut io.Writer) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(errOut)
	return fs
}

// command returns a subcommand with the common flags. Its name is the first word of
// usage after "merlinhall". Its flags can also be set by environment variables.
func (e *env) command(fs *flag.FlagSet, usage, help string, run func(ctx context.Context, args []string) error) *ffcli.Command {
	e.commonFlags(fs)
	name, _, _ := strings.Cut(strings.TrimPrefix(usage, "merlinhall "), " ")
	return &ffcli.Command{
		Name:       name,
		ShortUsage: usage,
		ShortHelp:  help,
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix + "_" + strings.ToUpper(name))},
		Exec:       run,
	}
}

// parseTOML parses a settings file whose keys are names of flags.
func parseTOML(r io.Reader, set func(name, value string) error) error {
	var values map[string]any
	if err := toml.NewDecoder(r).Decode(&values); err != nil {
		return err
	}
	for name, value := range values {
		if err := set(name, fmt.Sprint(value)); err != nil {
			return err
		}
	}
	return nil
}

// print prints v as JSON or the equivalent text, depending on --output.
func (e *env) print(v any, text string) error {
	if e.format == "json" {
		encoder := json.NewEncoder(e.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(v)
	}
	_, err := fmt.Fprint(e.out, text)
	return err
}

func (e *env) version(errOut io.Writer) *ffcli.Command {
	return e.command(newFlags("version", errOut), "merlinhall version", "print the version", func(context.Context, []string) error {
		return e.print(map[string]string{"version": Version}, Version+"\n")
	})
}

// oneArg returns the argument of a command that takes exactly one. The parameter what
// is the name of the argument in the error message.
func oneArg(args []string, what string) (string, error) {
	if len(args) != 1 {
		return "", exitError(ExitUsage, fmt.Errorf("expected %s as the only argument, got %d arguments", what, len(args)))
	}
	return args[0], nil
}
