package daemon

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"merlinhall/wire"
)

// Guards against a handler that redirects or cleans a caller's path instead of passing
// it on unchanged.
func TestPathsReachTheirHandler(t *testing.T) {
	is := is.New(t)
	named := func(name string) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = w.Write([]byte(name + r.URL.Path)) })
	}
	h := splitTrainers(named("trainers "), named("callers "))
	for path, want := range map[string]string{
		"/svc//x":             "callers /svc//x",
		"/svc/../x":           "callers /svc/../x",
		"/v1/completions":     "callers /v1/completions",
		"/v1/trainers/a/acks": "trainers /v1/trainers/a/acks",
	} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		is.Equal(w.Body.String(), want)
	}
}

// Guards against treating a job without a deadline as expired.
func TestJobWithoutDeadline(t *testing.T) {
	is := is.New(t)
	is.True(deadlineOf(&wire.Generate{}).IsZero())
	is.Equal(deadlineOf(&wire.Generate{Deadline: 5}).UnixMilli(), int64(5))
}
