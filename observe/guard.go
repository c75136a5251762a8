package observe

import (
	"net/http"
	"runtime/debug"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"merlinhall/actor"
)

// maxStackBytes bounds the stack in a log line; the innermost calls come first.
const maxStackBytes = 4 << 10

// Guard ends one request, message or call when an unexpected error panics in it, instead of
// the process. A broken invariant ends the process all the same: going on would act on a
// state that is wrong.
type Guard struct {
	log    *logrus.Entry
	panics prometheus.Counter
}

// Guard returns the guard of a part of the process.
func (o *Observer) Guard(part string) *Guard {
	return &Guard{log: o.Logger(part), panics: o.panics.WithLabelValues(part)}
}

// Run runs work. If it panics, Run logs that with the fields, counts it in
// merlinhall_panics_total and returns an error. A nil Guard only returns the error.
func (g *Guard) Run(fields logrus.Fields, work func()) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = g.handle(fields, r)
		}
	}()
	work()
	return nil
}

// handle takes the value of a panic.
func (g *Guard) handle(fields logrus.Fields, r any) error {
	if _, broken := r.(actor.BrokenInvariant); broken {
		panic(r)
	}
	if g != nil {
		g.panics.Inc()
		stack := debug.Stack()
		g.log.WithFields(fields).WithField("stack", string(stack[:min(len(stack), maxStackBytes)])).Errorf("unexpected error, the work is given up: %v", r)
	}
	return eris.Errorf("unexpected error: %v", r)
}

// Handler returns a handler that closes the connection without an answer when next panics:
// it is unknown how far the request got.
func (g *Guard) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			v := recover()
			if v == nil {
				return
			}
			if v != http.ErrAbortHandler {
				_ = g.handle(logrus.Fields{"method": r.Method, "path": r.URL.Path}, v) // is logged there
			}
			panic(http.ErrAbortHandler)
		}()
		next.ServeHTTP(w, r)
	})
}
