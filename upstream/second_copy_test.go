package upstream

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a run that is counted as failed twice: a request is sent again on a connection
// that carried it before, with another one in between, and gets a late second copy of the
// response to its first attempt, which names it.
func TestSecondCopyIsNoResponseToALaterAttempt(t *testing.T) {
	is := is.New(t)
	response := func(status, id, body string) string {
		return "HTTP/1.1 " + status + "\r\nId: " + id + "\r\nContent-Length: 4\r\n\r\n" + body
	}
	failure := response("500 Internal Server Error", "a", "fail")
	to, _ := serve(t, func(w io.Writer, r *http.Request, n int) bool {
		switch id := r.Header.Get("Id"); {
		case n == 0:
			return write(w, failure)
		case id == "a" && n > 0: // the copy arrives while the run goes on
			ok := write(w, failure)
			time.Sleep(20 * time.Millisecond)
			return ok && write(w, response("200 OK", id, "done"))
		default:
			return write(w, response("200 OK", id, "done"))
		}
	})
	p := newTestPool()
	first, _, err := p.Do(t.Context(), to, post("a"))
	is.NoErr(err)
	is.Equal(first.StatusCode, 500)
	_, _, err = p.Do(t.Context(), to, post("b"))
	is.NoErr(err)
	again, _, err := p.Do(t.Context(), to, post("a"))
	is.True(err != nil || again.StatusCode != 500 || !again.Named) // the first attempt's response counts again
}
