package entry

import (
	"context"
	"net/http"
	"time"

	"merlinhall/actor"
	"merlinhall/upstream"
)

const (
	// maxBufferedBytes and maxBufferTime bound how much of an answer is buffered, and
	// for how long, before it is streamed. An answer that ends within them carries its
	// outcome in a header field; others carry it in a trailer field.
	maxBufferedBytes = 64 << 10
	maxBufferTime    = 50 * time.Millisecond
	// writeGrace is added to the request's deadline to get the write deadline.
	writeGrace = 2 * time.Second
)

// answerService submits req, a call to a plain service, and writes the answer.
func (e *Entry) answerService(w http.ResponseWriter, r *http.Request, req *activeRequest, id string) {
	if !e.submit(req) {
		writeResult(w, id, req.result)
		return
	}
	a := newBufferedAnswer(w, req, id, func(attempt int) bool { return e.commit(req, attempt) })
	defer a.stop()
	result := e.followBuffered(r.Context(), req, a)
	a.finish(result)
}

// bufferedAnswer writes the answer of a plain service. It buffers the start of the
// answer, so that a call that fails early can be run again on another target.
type bufferedAnswer struct {
	w             http.ResponseWriter
	id            string
	commit        func(attempt int) bool
	flushTimer    *time.Timer
	buffered      [][]byte
	bufferedBytes int
	attempt       int  // attempt that the buffered chunks belong to
	headerSent    bool // the header was written to the caller
	status        int
}

func newBufferedAnswer(w http.ResponseWriter, req *activeRequest, id string, commit func(int) bool) *bufferedAnswer {
	setWriteDeadline(w, req)
	timer := time.NewTimer(maxBufferTime)
	timer.Stop()
	return &bufferedAnswer{w: w, id: id, commit: commit, flushTimer: timer}
}

// setWriteDeadline bounds the time for which a caller that does not read can block the
// goroutine that serves it. It ignores the error, because httptest.ResponseRecorder does
// not support write deadlines.
func setWriteDeadline(w http.ResponseWriter, req *activeRequest) {
	_ = http.NewResponseController(w).SetWriteDeadline(req.state.deadline.Add(writeGrace))
}

func (a *bufferedAnswer) stop() { a.flushTimer.Stop() }

// commit reports whether the chunks of an attempt may be shown to the caller.
func (e *Entry) commit(req *activeRequest, attempt int) bool {
	reply, err := actor.Ask[commitQuery, bool](e.actor, commitQuery{req, attempt})
	if err != nil {
		return false
	}
	return <-reply
}

// followBuffered is like follow, but also flushes the buffer when it was held for
// maxBufferTime.
func (e *Entry) followBuffered(ctx context.Context, req *activeRequest, a *bufferedAnswer) Result {
	out := make(chan attemptChunk)
	ended := make(chan Result, 1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		ended <- e.follow(ctx, req, func(c attemptChunk) error {
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
		case <-a.flushTimer.C:
			if a.flushPartial() != nil {
				cancel()
				return <-ended
			}
		case result := <-ended:
			return result
		}
	}
}

func (a *bufferedAnswer) take(c attemptChunk) error {
	if c.attempt != a.attempt {
		a.startAttempt(c)
	}
	if len(c.Data) > 0 {
		a.buffered = append(a.buffered, c.Data)
		a.bufferedBytes += len(c.Data)
	}
	if c.End == "" && (a.headerSent || a.bufferedBytes >= maxBufferedBytes) {
		return a.flushPartial()
	}
	return nil
}

// startAttempt resets the answer for the first chunk of a new attempt. Nothing of an
// earlier attempt has been written; otherwise there would be no new attempt.
func (a *bufferedAnswer) startAttempt(c attemptChunk) {
	a.attempt = c.attempt
	a.buffered, a.bufferedBytes = nil, 0
	a.status = c.Status
	if upstream.CheckStatus(c.Status) != nil {
		a.status = statusBadGateway // from an agent that does not check it
	}
	h := a.w.Header()
	clear(h)
	for _, f := range c.Headers {
		if !droppedHeaders[http.CanonicalHeaderKey(f.Name)] {
			h.Add(f.Name, f.Value)
		}
	}
	h.Set(HeaderRequestID, a.id)
	a.flushTimer.Reset(maxBufferTime)
}

// flushPartial writes the buffered part of the answer and announces the outcome as a
// trailer field.
func (a *bufferedAnswer) flushPartial() error {
	if !a.headerSent {
		if !a.commit(a.attempt) {
			// Another attempt or the end of the request follows, or the dispatcher
			// cannot take the query.
			a.flushTimer.Reset(maxBufferTime)
			return nil
		}
		// HTTP/1.1 sends trailers only with a chunked body. The caller recognizes a
		// truncated answer by its missing last chunk.
		a.w.Header().Del("Content-Length")
		a.w.Header().Del(HeaderOutcome)
		a.w.Header().Set("Trailer", HeaderOutcome)
		a.writeHeader()
	}
	return a.flush()
}

func (a *bufferedAnswer) writeHeader() {
	a.headerSent = true
	a.flushTimer.Stop()
	a.w.WriteHeader(a.status)
}

func (a *bufferedAnswer) flush() error {
	for _, data := range a.buffered {
		if _, err := a.w.Write(data); err != nil {
			return err
		}
	}
	a.buffered = nil
	a.bufferedBytes = 0
	return http.NewResponseController(a.w).Flush()
}

// finish writes the end of the answer. An incomplete answer that was written in part
// is aborted, so that the caller can see the failure.
func (a *bufferedAnswer) finish(result Result) {
	if result.Outcome != OutcomeDone {
		a.fail(result)
		return
	}
	a.w.Header().Set(HeaderOutcome, string(OutcomeDone))
	if !a.headerSent {
		a.writeHeader()
	}
	_ = a.flush()
}

func (a *bufferedAnswer) fail(result Result) {
	if a.headerSent {
		abort()
	}
	h := a.w.Header()
	clear(h)
	writeResult(a.w, a.id, result)
}

// abort terminates an HTTP answer so that the caller sees it as truncated. Panicking
// with http.ErrAbortHandler is the only way that works for both HTTP/1.1 and HTTP/2.
func abort() {
	panic(http.ErrAbortHandler)
}
