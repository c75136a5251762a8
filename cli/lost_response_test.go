package cli

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a change that is reported as not carried out although a replica may have
// done so: its response was lost, and the next replica has no leader.
func TestLostResponseBeforeARefusalIsUnknown(t *testing.T) {
	is := is.New(t)
	lost := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		panic(http.ErrAbortHandler) // after the request was read
	}))
	defer lost.Close()
	down := fakeControl(t, answers{"POST /v1/config": {503, `{"outcome":"no_leader"}`}})
	code, _, _ := run(t, "--control", strings.TrimPrefix(lost.URL, "http://")+","+down, "apply", "--base", "1", good)
	is.Equal(code, ExitUnknown)
}
