package standin

import (
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"merlinhall/loopback"
)

// An entry sends without end where a trainer or a caller expects an answer.
func TestAnswersWithoutEnd(t *testing.T) {
	for name, c := range map[string]struct{ first, again string }{
		"body":     {"HTTP/1.1 200 OK\r\n\r\n", "a"},
		"string":   {"HTTP/1.1 200 OK\r\n\r\n{\"draw_id\":\"", "a"},
		"comments": {"HTTP/1.1 200 OK\r\n\r\n", ": a\n"},
		"tokens":   {"HTTP/1.1 200 OK\r\n\r\n", "data: {\"token\":\"a\"}\n\n"},
		"error":    {"HTTP/1.1 500 Internal Server Error\r\n\r\n", "a"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := loopback.ServeEndless(t, c.first, c.again)
			ctx, cancel := context.WithTimeout(t.Context(), 3*loopback.Deadline)
			defer cancel()
			trainer := &Trainer{o: TrainerOptions{Name: "t", Entries: []string{"http://" + server.Address}, Client: http.DefaultClient}}
			err := trainer.request(ctx, http.MethodPost, "/draws", nil, &drawResponse{})
			is.True(err != nil)
			is.True(server.Next(t).Closed)
			for _, kind := range []CallKind{CallCompletion, CallCheck} {
				r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+server.Address, nil)
				is.NoErr(err)
				response, err := http.DefaultClient.Do(r)
				is.NoErr(err)
				outcome, err := (&Caller{}).read(response, "id", kind)
				is.NoErr(response.Body.Close())
				t.Logf("%s: %.80v", outcome, err)
				is.True(err != nil)
				is.True(server.Next(t).Closed)
			}
			is.NoErr(ctx.Err())
		})
	}
}
