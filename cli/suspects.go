package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"merlinhall/quarantine"
)

// suspects prints the requests under which targets have ended, as one process knows them, and
// lets one of them through again.
func (e *env) suspects(errOut io.Writer) *ffcli.Command {
	fs := newFlags("suspects", errOut)
	address := fs.String("address", "", "metrics address of a process")
	lift := fs.String("lift", "", "let requests with this key through again, at all processes")
	return e.command(fs, "merlinhall suspects --address IP:PORT [--lift KEY]", "print or lift the requests that are held back because targets end under them", func(ctx context.Context, _ []string) error {
		if *lift != "" {
			return e.liftSuspect(ctx, *address, *lift)
		}
		body, err := e.readDump(ctx, *address)
		if err != nil {
			return err
		}
		var dump struct {
			Quarantine []quarantine.State `json:"quarantine"`
		}
		if err := json.Unmarshal(body, &dump); err != nil {
			return exitError(ExitInvalid, eris.Wrap(err, "the process sent no dump"))
		}
		return e.print(dump.Quarantine, suspectsText(dump.Quarantine))
	})
}

func suspectsText(states []quarantine.State) string {
	var b strings.Builder
	for _, s := range states {
		tried := "not tried again"
		if s.TriedInMs >= 0 {
			tried = "tried in " + milliseconds(s.TriedInMs)
		}
		fmt.Fprintf(&b, "%s route %s  %d strikes  last end %s ago  arrived %s ago  %s  request %s  targets %s\n",
			s.Key, s.Route, s.Strikes, milliseconds(s.LastEndMs), milliseconds(s.ArrivedMs), tried, s.Request, strings.Join(s.Targets, ","))
	}
	return b.String()
}

func milliseconds(n int64) string { return (time.Duration(n) * time.Millisecond).String() }

func (e *env) liftSuspect(ctx context.Context, address, key string) error {
	if address == "" {
		return exitError(ExitUsage, errNoAddress)
	}
	c, err := e.client()
	if err != nil {
		return err
	}
	r, err := c.send(ctx, address, http.MethodPost, quarantine.LiftPath+url.PathEscape(key), nil, nil)
	if err != nil {
		return exitError(ExitUnavailable, err)
	}
	if r.status != http.StatusOK {
		return exitError(exitCode(r.status), eris.New(r.problem()))
	}
	return nil
}
