package observe

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"
)

func get(t *testing.T, o *Observer, path string) (int, string) {
	t.Helper()
	mux := http.NewServeMux()
	o.Attach(mux)
	w := httptest.NewRecorder()
	mux.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	return w.Code, w.Body.String()
}

// Guards against log lines without the name of their part.
func TestLogPrefix(t *testing.T) {
	is := is.New(t)
	o := New("info")
	var out bytes.Buffer
	o.Log.SetOutput(&out)
	o.Logger("agent").WithField("id", "r1").Info("request is refused")
	is.True(strings.Contains(out.String(), `msg="agent: request is refused" id=r1`))
	is.True(!strings.Contains(out.String(), "part="))
}

// Guards against a process that reports readiness while it drains or while a check
// fails.
func TestReadiness(t *testing.T) {
	is := is.New(t)
	o := New("info")
	code, _ := get(t, o, "/readyz")
	is.Equal(code, http.StatusServiceUnavailable)
	o.SetReady(true)
	failure := eris.New("no leader is known")
	o.AddReadyCheck("replica", func() error { return failure })
	code, text := get(t, o, "/readyz")
	is.Equal(code, http.StatusServiceUnavailable)
	is.True(strings.Contains(text, "replica: no leader"))
	failure = nil
	code, _ = get(t, o, "/readyz")
	is.Equal(code, http.StatusOK)
	o.SetReady(false)
	code, _ = get(t, o, "/readyz")
	is.Equal(code, http.StatusServiceUnavailable)
}

// Guards against a dump that is not JSON or lacks a part.
func TestDump(t *testing.T) {
	is := is.New(t)
	o := New("info")
	o.AddDump("world", func() any { return map[string]int{"config_version": 7} })
	code, text := get(t, o, "/dump")
	is.Equal(code, http.StatusOK)
	is.True(strings.Contains(text, `"config_version": 7`))
}
