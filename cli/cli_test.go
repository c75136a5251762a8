package cli

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

func run(t *testing.T, args ...string) (code int, out, errOut string) {
	t.Helper()
	var o, e bytes.Buffer
	code = Run(t.Context(), args, &o, &e)
	return code, o.String(), e.String()
}

// fakeControl starts a server with the given response for each method and path, and
// returns its address.
func fakeControl(t *testing.T, answers map[string]struct {
	status int
	body   string
}) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a, ok := answers[r.Method+" "+r.URL.Path]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		w.WriteHeader(a.status)
		_, _ = w.Write([]byte(a.body))
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

type answers = map[string]struct {
	status int
	body   string
}

const good = "../config/testdata/good.toml"

// Guards against wrong exit codes, which scripts depend on.
func TestExitCodes(t *testing.T) {
	conflict := `{"outcome":"conflict","base":1,"winner":{"version":2,"author":"abeba","request_id":"r2"},"diff":["-1 a"]}`
	cases := []struct {
		name    string
		answers answers
		args    []string
		code    int
		text    string
	}{
		{"no command", nil, nil, ExitUsage, "no command"},
		{"unknown command", nil, []string{"aply"}, ExitUsage, `unknown command "aply"`},
		{"unknown flag", nil, []string{"status", "--wat"}, ExitUsage, "wat"},
		{"help", nil, []string{"--help"}, ExitOK, "validate"},
		{"version", nil, []string{"version"}, ExitOK, ""},
		{"faults", nil, []string{"validate", "../config/testdata/bad/many.toml"}, ExitInvalid, "group_sise"},
		{"no file", nil, []string{"validate", "absent.toml"}, ExitFailure, "absent.toml"},
		{"accepted", answers{"POST /v1/config": {200, `{"outcome":"accepted","version":2}`}}, []string{"apply", "--base", "1", good}, ExitOK, ""},
		{"conflict", answers{"POST /v1/config": {409, conflict}}, []string{"apply", "--base", "1", good}, ExitConflict, `version 2 by "abeba"`},
		{"unknown outcome", answers{"POST /v1/config": {504, `{"outcome":"unknown","request_id":"r9"}`}}, []string{"apply", "--base", "1", good}, ExitUnknown, "merlinhall outcome r9"},
		{"no leader", answers{"POST /v1/config": {503, `{"outcome":"no_leader"}`}}, []string{"apply", "--base", "1", good}, ExitUnavailable, "no control replica"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			args := append([]string{"--control", fakeControl(t, c.answers)}, c.args...)
			code, out, errOut := run(t, args...)
			is.Equal(code, c.code)
			is.True(strings.Contains(out+errOut, c.text))
		})
	}
}

// Guards against giving up when the first control replica is down.
func TestNextReplicaIsAsked(t *testing.T) {
	is := is.New(t)
	up := fakeControl(t, answers{"GET /v1/config": {200, `{"version":3,"text":"hello"}`}})
	code, out, _ := run(t, "--control", "127.0.0.1:1,"+up, "show")
	is.Equal(code, ExitOK)
	is.Equal(out, "hello")
}

// Guards against --output json printing text that is not JSON.
func TestJSONOutput(t *testing.T) {
	is := is.New(t)
	up := fakeControl(t, answers{"GET /v1/status": {200, `{"name":"control-1","leader":"control-1","term":4}`}})
	code, out, _ := run(t, "status", "--control", up, "--output", "json")
	is.Equal(code, ExitOK)
	var status struct{ Leader string }
	is.NoErr(json.Unmarshal([]byte(out), &status))
	is.Equal(status.Leader, "control-1")
}

// Guards against flags that can't be set by the environment or a settings file.
func TestFlagsFromEnvironmentAndFile(t *testing.T) {
	is := is.New(t)
	up := fakeControl(t, answers{"GET /v1/config": {200, `{"version":3,"text":"hello"}`}})
	t.Setenv("MERLINHALL_CONTROL", up)
	code, _, _ := run(t, "show")
	is.Equal(code, ExitOK)
	t.Setenv("MERLINHALL_CONTROL", "127.0.0.1:1")
	file := filepath.Join(t.TempDir(), "tool.toml")
	is.NoErr(os.WriteFile(file, []byte("output = \"json\"\n"), 0o600))
	code, _, _ = run(t, "--control", up, "--settings", file, "show")
	is.Equal(code, ExitOK)
}

// Guards against stand-in flags that are accepted and have no effect.
func TestStandinsTakeNoNameThatTheyDoNotUse(t *testing.T) {
	for _, kind := range []string{"engine", "scorer"} {
		is := is.New(t)
		code, _, errOut := run(t, "standin", kind, "--name", "x", "--listen", "127.0.0.1:-1")
		is.Equal(code, ExitUsage)
		is.True(strings.Contains(errOut, "name"))
	}
}

// Guards against a wait that ends with "0 of 0 processes" because nobody could be asked.
func TestWaitThatCannotAskSaysWhy(t *testing.T) {
	is := is.New(t)
	up := fakeControl(t, answers{
		"POST /v1/config": {200, `{"outcome":"accepted","version":2}`},
		"GET /v1/inforce": {403, `{"outcome":"not_run","error":"the token is not the operator's"}`},
	})
	code, _, errOut := run(t, "--control", up, "apply", "--base", "1", "--wait", "1ms", good)
	is.Equal(code, ExitFailure)
	is.True(strings.Contains(errOut, "version 2 was accepted"))
	is.True(strings.Contains(errOut, "the token is not the operator's"))
}

// Guards against a change of members, which has no request id, that is sent again after a
// lost response and then reported as refused although it was carried out.
func TestChangeOfMembersIsSentOnce(t *testing.T) {
	is := is.New(t)
	var received atomic.Int32
	lost := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		received.Add(1)
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(lost.Close)
	address := strings.TrimPrefix(lost.URL, "http://")
	refused := fakeControl(t, answers{"POST /v1/members": {409, `{"outcome":"refused","error":"the replica is already a member"}`}})
	code, _, errOut := run(t, "--control", address+","+refused, "members", "add", "control-4")
	is.Equal(code, ExitUnknown)
	is.Equal(received.Load(), int32(1))
	is.True(strings.Contains(errOut, "merlinhall status"))

	unknown := fakeControl(t, answers{"POST /v1/members": {504, `{"outcome":"unknown","request_id":"r9"}`}})
	code, _, errOut = run(t, "--control", unknown, "members", "add", "control-4")
	is.Equal(code, ExitUnknown)
	is.True(strings.Contains(errOut, "merlinhall status") && !strings.Contains(errOut, "r9")) // no outcome is kept for the id

	// Nobody has received it: the next one is asked.
	code, _, _ = run(t, "--control", "127.0.0.1:1,"+refused, "members", "add", "control-4")
	is.Equal(code, ExitConflict)
}
