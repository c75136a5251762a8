package cli

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"merlinhall/config"
	"merlinhall/control"
	"merlinhall/strict"
)

// configVersion is a version of the configuration as the administration API returns it.
type configVersion struct {
	control.Revision
	Text string `json:"text"`
}

func (e *env) validate(errOut io.Writer) *ffcli.Command {
	return e.command(newFlags("validate", errOut), "merlinhall validate <file>", "check a configuration file offline",
		func(_ context.Context, args []string) error {
			file, text, err := readArg(args)
			if err != nil {
				return err
			}
			return e.printValidation(file, text)
		})
}

// readArg reads the file that is the only argument of a command.
func readArg(args []string) (file string, text []byte, err error) {
	if file, err = oneArg(args, "a file"); err != nil {
		return "", nil, err
	}
	text, err = os.ReadFile(file)
	return file, text, err
}

func (e *env) printValidation(file string, text []byte) error {
	c, err := config.Parse(file, text)
	if err != nil {
		var faults strict.Faults
		if e.format == "json" && eris.As(err, &faults) {
			_ = e.print(map[string]any{"valid": false, "faults": faults}, "")
		}
		return exitError(ExitInvalid, err)
	}
	summary := map[string]any{"valid": true, "zones": len(c.Zones), "services": len(c.Services), "pools": len(c.Pools), "trainers": len(c.Trainers)}
	return e.print(summary, fmt.Sprintf("%s is valid: %d zones, %d services, %d pools, %d trainers\n", file, len(c.Zones), len(c.Services), len(c.Pools), len(c.Trainers)))
}

func (e *env) apply(errOut io.Writer) *ffcli.Command {
	fs := newFlags("apply", errOut)
	base := fs.Int64("base", -1, "version that the change is based on; -1 is the current version")
	author := fs.String("author", os.Getenv("USER"), "author of the change")
	id := fs.String("request-id", "", "id of the request; repeating a request with the same id has no further effect")
	wait := fs.Duration("wait", 0, "how long to wait until every process has received the version")
	return e.command(fs, "merlinhall apply [flags] <file>", "submit a configuration",
		func(ctx context.Context, args []string) error {
			file, text, err := readArg(args)
			if err != nil {
				return err
			}
			if _, err := config.Parse(file, text); err != nil {
				return exitError(ExitInvalid, err)
			}
			c, err := e.client()
			if err != nil {
				return err
			}
			if *id == "" {
				*id = rand.Text()
			}
			return e.submit(ctx, c, configChange{text: text, base: *base, author: *author, id: *id, wait: *wait})
		})
}

type configChange struct {
	text   []byte
	base   int64
	author string
	id     string
	wait   time.Duration
}

// applyResponse is the response to an accepted configuration.
type applyResponse struct {
	Outcome   string `json:"outcome"`
	RequestID string `json:"request_id"`
	Version   uint64 `json:"version"`
}

func (e *env) submit(ctx context.Context, c *client, s configChange) error {
	base, err := c.base(ctx, s.base)
	if err != nil {
		return err
	}
	query := url.Values{"base": {strconv.FormatUint(base, 10)}, "request_id": {s.id}}
	r, err := c.do(ctx, http.MethodPost, "/v1/config", query, http.Header{"Merlinhall-Author": {s.author}}, s.text)
	if err != nil {
		return eris.Wrapf(err, "request id %s", s.id)
	}
	if r.status == http.StatusConflict {
		return exitError(ExitConflict, eris.New(conflictText(r)))
	}
	if r.status != http.StatusOK {
		return exitError(exitCode(r.status), eris.New(r.problem()))
	}
	var done applyResponse
	if err := json.Unmarshal(r.body, &done); err != nil {
		return err
	}
	if s.wait > 0 {
		if err := c.awaitReceived(ctx, done.Version, s.wait); err != nil {
			return err
		}
	}
	return e.print(done, fmt.Sprintf("accepted as version %d (request id %s)\n", done.Version, done.RequestID))
}

// base returns the version that a change is based on: given, or the current version if
// given is negative. It returns 0 if there is no configuration yet.
func (c *client) base(ctx context.Context, given int64) (uint64, error) {
	if given >= 0 {
		return uint64(given), nil
	}
	r, err := c.do(ctx, http.MethodGet, "/v1/config", nil, nil, nil)
	if err != nil {
		return 0, err
	}
	if r.status == http.StatusNotFound {
		return 0, nil
	}
	var current configVersion
	if r.status != http.StatusOK {
		return 0, exitError(exitCode(r.status), eris.New(r.problem()))
	}
	return current.Version, json.Unmarshal(r.body, &current)
}

func conflictText(r *response) string {
	var conflict struct {
		Base       uint64            `json:"base"`
		Winner     *control.Revision `json:"winner"`
		WinnerDiff []string          `json:"winner_diff"`
		Diff       []string          `json:"diff"`
	}
	if json.Unmarshal(r.body, &conflict) != nil || conflict.Winner == nil {
		return r.problem()
	}
	var b strings.Builder
	fmt.Fprintf(&b, "conflict: the change is based on version %d, but version %d by %q (request id %s) was accepted first\n", conflict.Base, conflict.Winner.Version, conflict.Winner.Author, conflict.Winner.RequestID)
	writeDiff(&b, "changes accepted since then:", conflict.WinnerDiff)
	writeDiff(&b, "changes that this text would make to the current version:", conflict.Diff)
	return strings.TrimRight(b.String(), "\n")
}

func writeDiff(b *strings.Builder, title string, lines []string) {
	if len(lines) == 0 {
		return
	}
	fmt.Fprintln(b, title)
	for _, line := range lines {
		fmt.Fprintln(b, "  "+line)
	}
}

// receivedResponse counts the processes that have received a version. It is a part of
// the response of GET /v1/inforce.
type receivedResponse struct {
	Version     uint64 `json:"version"`
	Holding     int    `json:"holding"`
	Subscribers int    `json:"subscribers"`
}

func (c *client) awaitReceived(ctx context.Context, version uint64, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for {
		var state receivedResponse
		err := c.get(ctx, "/v1/inforce", url.Values{"version": {strconv.FormatUint(version, 10)}}, &state)
		if err == nil && state.Subscribers > 0 && state.Holding == state.Subscribers {
			return nil
		}
		if time.Now().After(deadline) {
			if err != nil {
				return exitError(ExitFailure, eris.Wrapf(err, "version %d was accepted, but which processes have received it is not known", version))
			}
			return exitError(ExitFailure, eris.Errorf("version %d was accepted, but only %d of %d processes have received it after %s", version, state.Holding, state.Subscribers, limit))
		}
		if err := sleep(ctx, pollPeriod); err != nil {
			return err
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (e *env) show(errOut io.Writer) *ffcli.Command {
	fs := newFlags("show", errOut)
	version := fs.Uint64("version", 0, "version to print; 0 is the current one")
	return e.command(fs, "merlinhall show [--version N]", "print a configuration", func(ctx context.Context, _ []string) error {
		shown, err := e.fetch(ctx, *version)
		if err != nil {
			return err
		}
		return e.print(shown, shown.Text)
	})
}

func (e *env) fetch(ctx context.Context, version uint64) (configVersion, error) {
	var shown configVersion
	c, err := e.client()
	if err != nil {
		return shown, err
	}
	query := url.Values{}
	if version > 0 {
		query.Set("version", strconv.FormatUint(version, 10))
	}
	return shown, c.get(ctx, "/v1/config", query, &shown)
}

func (e *env) diff(errOut io.Writer) *ffcli.Command {
	fs := newFlags("diff", errOut)
	version := fs.Uint64("version", 0, "version to compare with; 0 is the current one")
	return e.command(fs, "merlinhall diff [--version N] <file>", "show the changes that a configuration file would make", func(ctx context.Context, args []string) error {
		_, text, err := readArg(args)
		if err != nil {
			return err
		}
		shown, err := e.fetch(ctx, *version)
		if err != nil {
			return err
		}
		lines := control.LineDiff([]byte(shown.Text), text)
		var b strings.Builder
		for _, line := range lines {
			fmt.Fprintln(&b, line)
		}
		return e.print(map[string]any{"version": shown.Version, "diff": lines}, b.String())
	})
}

func (e *env) history(errOut io.Writer) *ffcli.Command {
	return e.command(newFlags("history", errOut), "merlinhall history", "list the accepted configurations with their changes", func(ctx context.Context, _ []string) error {
		c, err := e.client()
		if err != nil {
			return err
		}
		var history struct {
			Revisions []struct {
				control.Revision
				Diff []string `json:"diff,omitempty"`
			} `json:"revisions"`
		}
		if err := c.get(ctx, "/v1/config/history", nil, &history); err != nil {
			return err
		}
		var b strings.Builder
		for _, r := range history.Revisions {
			fmt.Fprintf(&b, "version %d  %s  %s  request id %s\n", r.Version, time.UnixMilli(r.TimeMs).UTC().Format(time.RFC3339), r.Author, r.RequestID)
			writeDiff(&b, "", r.Diff)
		}
		return e.print(history, b.String())
	})
}

func (e *env) outcome(errOut io.Writer) *ffcli.Command {
	return e.command(newFlags("outcome", errOut), "merlinhall outcome <request id>", "print the outcome of a request", func(ctx context.Context, args []string) error {
		id, err := oneArg(args, "a request id")
		if err != nil {
			return err
		}
		c, err := e.client()
		if err != nil {
			return err
		}
		var outcome map[string]any
		if err := c.get(ctx, "/v1/requests/"+url.PathEscape(id), nil, &outcome); err != nil {
			return err
		}
		text, _ := json.MarshalIndent(outcome, "", "  ")
		return e.print(outcome, string(text)+"\n")
	})
}
