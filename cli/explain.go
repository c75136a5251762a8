package cli

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"merlinhall/batch"
	"merlinhall/explain"
)

// explain prints where a running process would route a request or an item now.
func (e *env) explain(errOut io.Writer) *ffcli.Command {
	fs := newFlags("explain", errOut)
	address := fs.String("address", "", "metrics address of a process; for items that of the control leader")
	request := fs.String("request", "", "id of a request, which decides its service")
	asJSON := fs.Bool("json", false, "the same as --output json")
	return e.command(fs, "merlinhall explain --address IP:PORT [--json] [--request ID] route <route> | route <host> <path> | item <submission> <item>", "print where a request or an item would be routed now, without sending or changing anything", func(ctx context.Context, args []string) error {
		if *asJSON {
			e.format = "json"
		}
		switch {
		case (len(args) == 2 || len(args) == 3) && args[0] == "route":
			var out explain.Route
			query, path := url.Values{}, explain.FindPath
			if *request != "" {
				query.Set("request", *request)
			}
			if len(args) == 2 {
				path = explain.RoutePath + url.PathEscape(args[1])
			} else {
				query.Set("host", args[1])
				query.Set("path", args[2])
			}
			if err := e.ask(ctx, *address, path+"?"+query.Encode(), &out); err != nil {
				return err
			}
			return e.print(&out, out.Text())
		case len(args) == 3 && args[0] == "item":
			var out batch.ItemExplanation
			if err := e.ask(ctx, *address, explain.ItemPath+url.PathEscape(args[1])+"/"+url.PathEscape(args[2]), &out); err != nil {
				return err
			}
			return e.print(&out, explain.ItemText(&out))
		}
		return exitError(ExitUsage, eris.New("expected route and its name or a host and a path, or item, the id of a submission and that of an item"))
	})
}

// ask decodes the response of one process to a GET request into v.
func (e *env) ask(ctx context.Context, address, path string, v any) error {
	if address == "" {
		return exitError(ExitUsage, errNoAddress)
	}
	c, err := e.client()
	if err != nil {
		return err
	}
	r, err := c.send(ctx, address, http.MethodGet, path, nil, nil)
	if err != nil {
		return exitError(ExitUnavailable, err)
	}
	if r.status != http.StatusOK {
		return exitError(exitCode(r.status), eris.New(r.problem()))
	}
	if err := json.Unmarshal(r.body, v); err != nil {
		return exitError(ExitInvalid, eris.Wrap(err, "the process sent no explanation"))
	}
	return nil
}
