package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"merlinhall/ledger"
)

// usage prints the usage of client accounts by window, as a control process has it.
func (e *env) usage(errOut io.Writer) *ffcli.Command {
	fs := newFlags("usage", errOut)
	address := fs.String("address", "", "metrics address of a control process")
	account := fs.String("account", "", "only this client account")
	window := fs.Duration("window", 0, "length of a window; prints the time at which each begins")
	return e.command(fs, "merlinhall usage --address IP:PORT", "print the usage of client accounts by window", func(ctx context.Context, _ []string) error {
		body, err := e.readDump(ctx, *address)
		if err != nil {
			return err
		}
		var dump struct {
			Usage []ledger.UsageWindow `json:"usage"`
		}
		if err := json.Unmarshal(body, &dump); err != nil {
			return exitError(ExitInvalid, eris.Wrap(err, "the process sent no dump"))
		}
		return e.print(dump.Usage, usageText(dump.Usage, *account, *window))
	})
}

// usageText returns a line for each window and account. account limits it to one account.
func usageText(windows []ledger.UsageWindow, account string, length time.Duration) string {
	var b strings.Builder
	for _, w := range windows {
		state := "fixed"
		if w.Reported {
			state = "reported"
		}
		begin := ""
		if length > 0 {
			begin = " " + time.Unix(0, w.Window*int64(length)).UTC().Format(time.RFC3339)
		}
		for _, c := range w.Counts {
			if account == "" || account == c.Account {
				fmt.Fprintf(&b, "%d%s %s %s %d\n", w.Window, begin, state, c.Account, c.Count)
			}
		}
	}
	return b.String()
}
