package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/wire"
)

// Guards against a stop that tells callers that they have left, with a status that is
// never sent otherwise, and that calls a request unknown that no target ever had.
func TestStopSaysWhatBecameOfEachRequest(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for name, c := range map[string]struct {
		before  []any
		outcome Outcome
		status  int
		broken  bool
	}{
		"waiting": {nil, OutcomeNotRun, http.StatusServiceUnavailable, false},
		"refused by its target": {
			[]any{assigned{target: "t", boot: "b"}, &wire.Refused{ID: "r", Reason: wire.RefusedOverload}},
			OutcomeNotRun, http.StatusServiceUnavailable, false,
		},
		"sent":     {[]any{assigned{target: "t", boot: "b"}}, OutcomeUnknown, http.StatusBadGateway, false},
		"answered": {[]any{assigned{target: "t", boot: "b"}, &wire.Chunk{ID: "r", Tokens: []wire.Token{{Text: "a"}}}}, OutcomeUnknown, http.StatusBadGateway, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d, s, _ := parkedService(t, now, 100)
			req := newActiveRequest("s", newRequestState("r", wire.Run{Generation: &wire.Generation{}}, now.Add(time.Minute), time.Second))
			req.service = s
			d.requests[req] = struct{}{}
			d.entry.running.Add(1)
			for _, input := range c.before {
				req.state.step(now, input)
			}
			d.onStop(now)
			is.Equal(req.result.Outcome, c.outcome)
			is.Equal(req.result.Status, c.status)
			is.Equal(req.result.Broken, c.broken)
			is.Equal(req.result.Detail, "this entry has stopped")
		})
	}
}
