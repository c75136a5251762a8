package server

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// unreadBodyWait is how long the server reads on in a body that nobody needs, so that the
// connection can be kept. Most bodies have arrived with the header.
const unreadBodyWait = 20 * time.Millisecond

// LimitUnreadBodies returns a handler for which net/http does not wait for a body that next
// does not read: it reads up to 256 KB of it before it sends the response. next must set a
// read deadline of its own to read a body, as ReadBody does.
func LimitUnreadBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body != http.NoBody {
			// Without a deadline the response only leaves later.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyWait))
		}
		next.ServeHTTP(w, r)
	})
}

// ReadBody reads the body of a request, which may have up to limit bytes and must arrive
// within wait. A larger one is an *http.MaxBytesError, a slower one os.ErrDeadlineExceeded.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, wait time.Duration) ([]byte, error) {
	return ReadBodyWith(w, r, limit, wait, io.ReadAll)
}

// ReadBodyWith is ReadBody with another function than io.ReadAll.
func ReadBodyWith(w http.ResponseWriter, r *http.Request, limit int64, wait time.Duration, readAll func(io.Reader) ([]byte, error)) ([]byte, error) {
	if r.Body == http.NoBody {
		return nil, nil
	}
	// The server itself limits only the time to read the header. It sets a new read
	// deadline for the next request.
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(time.Now().Add(wait)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, err
	}
	body, err := readAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		return nil, err
	}
	// While the request is served, the server reads on to notice that the client leaves.
	if err := controller.SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, err
	}
	return body, nil
}
