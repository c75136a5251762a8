package entry

import (
	"context"
	"net/http"
	"time"

	"merlinhall/duty"
)

const (
	// holdBytes and holdTime bound how much of an answer waits for its end. An
	// answer that ends within them carries its outcome in the header; a longer
	// one carries it in the trailer.
	holdBytes = 64 << 10
	holdTime  = 50 * time.Millisecond
	// writeGrace is added to the deadline for writes to a slow caller.
	writeGrace = 2 * time.Second
)

// answerService submits f and writes the answer of its plain service.
func (e *Entry) answerService(w http.ResponseWriter, r *http.Request, f *flight, id string) {
	if !e.submit(f) {
		writeResult(w, id, f.result)
		return
	}
	a := newAnswer(w, f, id, func(attempt int) bool { return e.commit(f, attempt) })
	defer a.stop()
	result := e.followHeld(r.Context(), f, a)
	a.finish(result)
}

// answer writes the answer of a plain service.
type answer struct {
	w       http.ResponseWriter
	id      string
	commit  func(attempt int) bool
	hold    *time.Timer
	held    [][]byte
	bytes   int
	attempt int  // of what is held
	sent    bool // the header was written
	status  int
}

func newAnswer(w http.ResponseWriter, f *flight, id string, commit func(int) bool) *answer {
	limitWrites(w, f)
	hold := time.NewTimer(holdTime)
	hold.Stop()
	return &answer{w: w, id: id, commit: commit, hold: hold}
}

// limitWrites keeps a caller that does not read from holding its goroutine for
// ever. Test recorders do not support it.
func limitWrites(w http.ResponseWriter, f *flight) {
	_ = http.NewResponseController(w).SetWriteDeadline(f.request.deadline.Add(writeGrace))
}

func (a *answer) stop() { a.hold.Stop() }

// commit reports whether the caller may see the pieces of an attempt.
func (e *Entry) commit(f *flight, attempt int) bool {
	reply, err := duty.Ask[commitQuery, bool](e.duty, commitQuery{f, attempt})
	if err != nil {
		return false
	}
	return <-reply
}

// followHeld is follow with a limit on the time for which an answer is held.
func (e *Entry) followHeld(ctx context.Context, f *flight, a *answer) Result {
	out := make(chan piece)
	ended := make(chan Result, 1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		ended <- e.follow(ctx, f, func(c piece) error {
			select {
			case out <- c:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		})
	}()
	for {
		select {
		case c := <-out:
			if a.take(c) != nil {
				cancel()
				return <-ended
			}
		case <-a.hold.C:
			if a.release() != nil {
				cancel()
				return <-ended
			}
		case result := <-ended:
			return result
		}
	}
}

func (a *answer) take(c piece) error {
	if c.attempt != a.attempt {
		a.begin(c)
	}
	if len(c.Data) > 0 {
		a.held = append(a.held, c.Data)
		a.bytes += len(c.Data)
	}
	if c.End == "" && (a.sent || a.bytes >= holdBytes) {
		return a.release()
	}
	return nil
}

// begin starts with the first piece of an attempt. Nothing of an earlier attempt
// has been written, or there would be no other.
func (a *answer) begin(c piece) {
	a.attempt = c.attempt
	a.held, a.bytes = nil, 0
	a.status = c.Status
	if c.Status < 200 || c.Status > 999 {
		a.status = statusBadGateway // not a status that may end an answer
	}
	h := a.w.Header()
	clear(h)
	for _, f := range c.Headers {
		if !hopHeaders[http.CanonicalHeaderKey(f.Name)] {
			h.Add(f.Name, f.Value)
		}
	}
	h.Set(HeaderRequestID, a.id)
	a.hold.Reset(holdTime)
}

// release writes what is held, with the outcome announced as a trailer.
func (a *answer) release() error {
	if !a.sent {
		if !a.commit(a.attempt) {
			// Another attempt or the end of the request follows, or the entry is too
			// busy to answer.
			a.hold.Reset(holdTime)
			return nil
		}
		// HTTP/1.1 sends trailers only with a chunked body. An answer that is cut
		// off is then visible by its missing last chunk.
		a.w.Header().Del("Content-Length")
		a.w.Header().Del(HeaderOutcome)
		a.w.Header().Set("Trailer", HeaderOutcome)
		a.writeHeader()
	}
	return a.flush()
}

func (a *answer) writeHeader() {
	a.sent = true
	a.hold.Stop()
	a.w.WriteHeader(a.status)
}

func (a *answer) flush() error {
	for _, data := range a.held {
		if _, err := a.w.Write(data); err != nil {
			return err
		}
	}
	a.held = nil
	a.bytes = 0
	return http.NewResponseController(a.w).Flush()
}

// finish writes the end of the answer. An answer of which a part was written and
// that is not complete is aborted, so that its caller sees the failure.
func (a *answer) finish(result Result) {
	if result.Outcome != OutcomeDone {
		a.fail(result)
		return
	}
	a.w.Header().Set(HeaderOutcome, string(OutcomeDone))
	if !a.sent {
		a.writeHeader()
	}
	_ = a.flush()
}

func (a *answer) fail(result Result) {
	if a.sent {
		abort()
	}
	h := a.w.Header()
	clear(h)
	writeResult(a.w, a.id, result)
}

// abort ends an HTTP answer without its regular end. net/http offers no other
// way that works for both HTTP/1.1 and HTTP/2.
func abort() {
	panic(http.ErrAbortHandler)
}
