package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a target in trouble whose response has a status that HTTP does not have, or that
// was not asked for: it passed for an answer, or was skipped like an informational response, so
// that the request waited for its whole time limit.
func TestStatusThatHTTPDoesNotHaveIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "700", "999", "+20", "-20", "20", "2000", "2x0"} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			to, accepted := serve(t, func(w io.Writer, r *http.Request, _ int) bool {
				return write(w, "HTTP/1.1 "+status+" X\r\nId: "+r.Header.Get("Id")+"\r\nContent-Length: 5\r\n\r\nbytes")
			})
			p := newTestPool()
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			for _, id := range []string{"1", "2"} {
				_, _, err := p.Do(ctx, to, post(id))
				var failure *Failure
				is.True(errors.As(err, &failure))
				is.True(!failure.NotSent) // it may have run
				_, err = p.Open(ctx, to, post(id+"s"))
				is.True(errors.As(err, &failure))
			}
			is.NoErr(ctx.Err())        // at once
			is.Equal(len(accepted), 4) // no connection is used again
		})
	}
}

func TestStatusesOfHTTPAreAnswers(t *testing.T) {
	for _, status := range []string{"200", "299", "304", "404", "418", "500", "599"} {
		for _, before := range []string{"", "100", "102", "103", "199"} {
			t.Run(before+" "+status, func(t *testing.T) {
				is := is.New(t)
				to, _ := serve(t, func(w io.Writer, r *http.Request, _ int) bool {
					if before != "" {
						write(w, "HTTP/1.1 "+before+" X\r\n\r\n")
					}
					length := "Content-Length: 5\r\n\r\nbytes"
					if status == "304" {
						length = "\r\n"
					}
					return write(w, "HTTP/1.1 "+status+" X\r\nId: "+r.Header.Get("Id")+"\r\n"+length)
				})
				response, _, err := newTestPool().Do(context.Background(), to, post("1"))
				is.NoErr(err)
				is.Equal(response.Status, status+" X")
			})
		}
	}
}
