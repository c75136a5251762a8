package trace

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// lines are log lines of a load test, shortened.
const lines = `
  37.45 edge-2 {"host":"edge-2","msg":"daemon: edge-2 has started","time":"2026-05-05T01:54:26.100Z"}
  37.45 edge-2 {"host":"edge-2","ms":0,"msg":"gateway: route ended without success","outcome":"not_run","path":"/a/x","reason":"no manifest is known yet","request":"early","retry_after_ms":300,"time":"2026-05-05T01:54:26.150Z"}
  38.00 edge-1 {"host":"edge-1","msg":"forward: attempt ended","ms":2,"outcome":"not_run","reason":"","request":"full","target":"i-1","time":"2026-05-05T01:54:27.000Z"}
  38.00 edge-1 {"host":"edge-1","msg":"forward: attempt ended","ms":3,"outcome":"not_sent","reason":"connection refused","request":"full","target":"i-2","time":"2026-05-05T01:54:27.002Z"}
  38.00 edge-1 {"host":"edge-1","ms":9,"msg":"gateway: forward ended without success","outcome":"not_run","reason":"no target took the request","request":"full","retry_after_ms":250,"time":"2026-05-05T01:54:27.010Z"}
  38.10 edge-1 {"host":"edge-1","msg":"forward: attempt ended","ms":40,"outcome":"broken","reason":"EOF","request":"lost","target":"i-3","time":"2026-05-05T01:54:27.100Z"}
  38.10 edge-1 {"host":"edge-1","ms":41,"msg":"gateway: forward ended without success","outcome":"unknown","reason":"EOF","request":"lost","retry_after_ms":0,"time":"2026-05-05T01:54:27.101Z"}
  38.20 edge-1 {"host":"edge-1","msg":"forward: request is sent","request":"gone","target":"i-4","time":"2026-05-05T01:54:27.200Z"}
  38.25 edge-1 {"host":"edge-1","msg":"hub: link to control is up","time":"2026-05-05T01:54:27.250Z"}
  39.20 edge-1 {"host":"edge-1","msg":"daemon: edge-1 has started","time":"2026-05-05T01:54:28.200Z"}
  39.00 store-1 {"host":"store-1","msg":"batch: leads","term":4,"time":"2026-05-05T01:54:28.000Z"}
  39.00 store-1 {"engine":"i-9","error":"EOF","host":"store-1","item":"it","msg":"batch: run ended early","ms":700,"outcome":"broken","submission":"sub","time":"2026-05-05T01:54:28.700Z","why":""}
  39.00 store-1 {"host":"store-1","ms":30,"msg":"forward: attempt ended","outcome":"failed","request":"rw","status":500,"target":"i-5","time":"2026-05-05T01:54:28.999Z"}
  39.00 store-1 {"host":"store-1","item":"it","reward":"rw","msg":"carrier: reward call has no score","reason":"Internal Server Error","failures":4,"max_failures":4,"manifest":7,"attempts":"i-5: failed after 30 ms, status 500, request 3 of the connection, counted","submission":"sub","time":"2026-05-05T01:54:29.000Z"}
  39.00 store-1 {"host":"store-1","item":"it","msg":"batch: item is given up: the reward call failed too often","submission":"sub","time":"2026-05-05T01:54:29.001Z"}
  39.00 store-1 {"begun_ms":5,"failed":false,"host":"store-1","item":"ok","listed_ms":2100,"moves":0,"msg":"batch: item is listed","runs":1,"submission":"sub","text_ms":2000,"time":"2026-05-05T01:54:29.100Z"}
  39.00 store-1 {"host":"store-1","item":"slow","age_ms":12000,"events":90,"msg":"batch: item is left: ended by the client","state":"running","submission":"sub","time":"2026-05-05T01:54:40.000Z"}
  39.00 store-1 {"host":"store-1","left":1,"msg":"batch: submission is closed: ended by the client","submission":"sub","time":"2026-05-05T01:54:40.001Z"}
  39.00 store-1 {"host":"store-1","msg":"batch: item is lis
`

func account(t *testing.T, id string) Account {
	t.Helper()
	log := &Log{}
	if err := log.Read("file", strings.NewReader(lines)); err != nil {
		t.Fatal(err)
	}
	return log.AccountOf(id, time.Time{})
}

// Guards against wrong explanations of how a request, item or submission ended.
func TestCauses(t *testing.T) {
	for id, want := range map[string]string{
		"early":   "Refused, not run: edge-2 had no manifest yet; it told the caller to retry after 300 ms.",
		"full":    "Refused, not run, after 9 ms: no target took the request [target i-1: not_run after 2 ms; target i-2: not_sent after 3 ms (connection refused)]; the caller may retry after 250 ms.",
		"lost":    "Outcome unknown after 41 ms: EOF [target i-3: broken after 40 ms (EOF)].",
		"it":      "Failed: the reward call failed too often [engine i-9: broken after 700 ms (EOF); no score: Internal Server Error, 4 of 4 failures by manifest 7 (i-5: failed after 30 ms, status 500, request 3 of the connection, counted)].",
		"ok":      "Result recorded in the ledger 2100 ms after its submission (began after 5 ms, text complete after 2000 ms, 1 runs, 0 moves).",
		"slow":    "Left without a result when its submission closed (ended by the client) after 12000 ms: it was running with 90 events kept.",
		"sub":     "1 results were recorded in the ledger, 0 of them failed; 1 items were left without a result when it was closed: ended by the client. The slowest item, ok, was recorded after 2100 ms: it began after 5 ms and its text was complete after 2000 ms.",
		"gone":    "Outcome unknown: edge-1 ended while target i-4 had the request, and started again 1s after sending it.",
		"nowhere": "Unknown: no line names this id.",
	} {
		t.Run(id, func(t *testing.T) { is.New(t).Equal(account(t, id).Cause, want) })
	}
}

// Guards against an account that leaves out the state changes of the hosts involved.
func TestAccountShowsStateChanges(t *testing.T) {
	is := is.New(t)
	a := account(t, "early")
	is.Equal(a.Lines[0].Text, "daemon: edge-2 has started")
	is.Equal(len(a.Lines), 2)
}

// Guards against an account that hides unreadable lines or a missing id.
func TestCaveats(t *testing.T) {
	is := is.New(t)
	a := account(t, "nowhere")
	is.Equal(len(a.Caveats), 2)
	is.True(strings.Contains(a.Caveats[0], "1 lines cannot be read"))
}

// Guards against an account without a cause for a request that no process logged. The
// time at which the caller saw the failure shows which processes were down.
func TestRequestThatReachedNoProcess(t *testing.T) {
	is := is.New(t)
	log := &Log{}
	is.NoErr(log.Read("file", strings.NewReader(lines)))
	at, err := log.ParseTime("01:54:27.900")
	is.NoErr(err)
	is.Equal(at, time.Date(2026, 5, 5, 1, 54, 27, 900_000_000, time.UTC))
	a := log.AccountOf("nowhere", at)
	is.Equal(a.Cause, "It reached no process that was up: no line names it. Down near that time: edge-2, which started at 01:54:26.100; edge-1, which started at 01:54:28.200.")
	is.Equal(len(a.Lines), 2)
	later, err := log.ParseTime("2026-05-05T02:54:27Z")
	is.NoErr(err)
	is.Equal(log.AccountOf("nowhere", later).Cause, "It reached no process: no line names it, and no process started near that time.")
	_, err = log.ParseTime("soon")
	is.True(err != nil)
}
