package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"merlinhall/directory"
	"merlinhall/upstream"
	"merlinhall/wire"
)

const (
	// streamSilence is how long a stream that can be resumed may be silent before
	// another target goes on with it; callers leave after two seconds or more.
	streamSilence = time.Second
	// streamBuffer is the most of a stream that is read at once, and its largest
	// event.
	streamBuffer = 1 << 20
	streamRead   = 4 << 10
)

// OutcomeCut is the end of a stream that began and was not finished: what the
// caller has is not complete.
const OutcomeCut Outcome = "cut"

// Sink takes a stream for its caller.
type Sink interface {
	// Begin is called once, with the status and header of the first target.
	Begin(status int, h http.Header)
	// Events passes whole events on without delay. An error means that the caller
	// has left.
	Events(text []byte) error
}

var (
	errCallerLeft = eris.New("forward: the caller has left the stream")
	errSilent     = eris.New("forward: the stream is silent")
)

// stream is the state of one request that is answered with events.
type stream struct {
	run
	sink  Sink
	begun bool
	last  string // id of the last event that was passed on
}

// Stream carries r to its end and passes events on as they come. A response that is
// no stream is returned like that of Do. A stream that breaks or falls silent is
// resumed at another target after its last whole event, where the route allows it.
func (f *Forwarder) Stream(ctx context.Context, r *Request, sink Sink) Result {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	s := &stream{run: run{f: f, r: r, tried: make(map[string]bool)}, sink: sink}
	result := s.loop(ctx)
	result.Attempts = s.runs + s.refused
	result.Failures = s.failed
	return result
}

func (s *stream) loop(ctx context.Context) Result {
	for {
		t, left := s.next()
		switch {
		case t != nil:
		case s.begun:
			return Result{Outcome: OutcomeCut, Reason: "no target is left to go on with the stream"}
		case s.runs+s.refused == 0:
			return s.refuse("no target is known", retryAfterNone)
		default:
			return s.giveUp()
		}
		a := s.send(ctx, t, left)
		if end, ok := s.end(ctx, a); ok {
			return end
		}
	}
}

// end takes the end of an attempt and returns the end of the request, if it is one.
func (s *stream) end(ctx context.Context, a *attempt) (Result, bool) {
	switch {
	case a.err != nil && errors.Is(a.err, errCallerLeft):
		return Result{Outcome: OutcomeCut, Reason: errCallerLeft.Error(), Target: a.target.ID}, true
	case s.begun && a.err == nil && a.verdict == Answered:
		return Result{Outcome: OutcomeAnswered, Status: a.result.Status, Target: a.target.ID}, true
	case s.begun && (ctx.Err() != nil || !s.r.Route.Repeatable):
		return Result{Outcome: OutcomeCut, Reason: reasonOf(a), Target: a.target.ID}, true
	case ctx.Err() != nil:
		return Result{Outcome: OutcomeUnknown, Reason: endOf(ctx), Target: a.target.ID}, true
	}
	end, ok := s.finish(a)
	if s.begun {
		// Another target's failure or refusal says nothing of what the caller has.
		return Result{}, false
	}
	return end, ok
}

func reasonOf(a *attempt) string {
	if a.err != nil {
		return a.err.Error()
	}
	return a.verdict.String()
}

// send sends the request to t and passes on what comes back.
func (s *stream) send(ctx context.Context, t *wire.TargetEntry, left time.Duration) *attempt {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	began := time.Now()
	a := &attempt{target: t}
	response, err := s.f.Pool.Open(attemptCtx, directory.Address(t), s.outbound(t, left))
	if err == nil {
		err = s.receive(a, response, func() { cancel(errSilent) })
	}
	if errors.Is(context.Cause(attemptCtx), errSilent) {
		err = errSilent
	}
	s.f.end(ctx, s.r, a, err, left, time.Since(began))
	return a
}

func (s *stream) outbound(t *wire.TargetEntry, left time.Duration) *upstream.Request {
	header := s.r.Header
	if s.last != "" {
		header = s.f.Protocol.Resume(header, s.last)
		if s.f.Log != nil {
			s.f.Log.WithFields(logrus.Fields{"request": s.r.ID, "target": t.ID, "after": s.last}).Info("stream goes on at another target")
		}
	}
	return s.f.outbound(s.r, header, t, left)
}

// receive reads a response to its end.
func (s *stream) receive(a *attempt, response *upstream.Response, cancel func()) error {
	verdict := s.f.Protocol.Verdict(response.StatusCode, response.Header)
	if verdict != Answered || !s.f.Protocol.Events(response.Header) {
		body, err := response.ReadAll()
		if err != nil {
			return err
		}
		a.take(verdict, response.Response, body)
		if s.begun && a.err == nil && verdict == Answered {
			a.verdict = FailedRun // the rest of a stream was asked for
		}
		return nil
	}
	a.result = Result{Status: response.StatusCode}
	if !s.begun {
		s.begun = true
		s.sink.Begin(response.StatusCode, response.Header)
	}
	err := s.pass(response.Body, cancel)
	response.Close(err == nil)
	return err
}

// pass passes whole events on until the response ends. A break within an event
// leaves nothing of it behind, so that another target can go on before it.
func (s *stream) pass(body io.Reader, cancel func()) error {
	silence := time.AfterFunc(streamSilence, func() {
		if s.r.Route.Repeatable {
			cancel()
		}
	})
	defer silence.Stop()
	var rest []byte
	chunk := make([]byte, streamRead)
	for {
		n, err := body.Read(chunk)
		silence.Reset(streamSilence)
		rest = append(rest, chunk[:n]...)
		whole := wholeEvents(rest)
		if err == io.EOF {
			whole = len(rest) // the target ended its answer here
		}
		if whole > 0 {
			if id := lastEvent(rest[:whole]); id != "" {
				s.last = id
			}
			if s.sink.Events(rest[:whole]) != nil {
				return errCallerLeft
			}
			rest = append(rest[:0], rest[whole:]...)
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return eris.Wrap(err, "forward: read the stream")
		case len(rest) > streamBuffer:
			return eris.Errorf("forward: an event is longer than %d bytes", streamBuffer)
		}
	}
}

// wholeEvents returns the length of the events in text that are complete: all up to
// the last blank line.
func wholeEvents(text []byte) int {
	end := 0
	for _, blank := range []string{"\n\n", "\r\n\r\n", "\n\r\n"} {
		if i := bytes.LastIndex(text, []byte(blank)); i >= 0 {
			end = max(end, i+len(blank))
		}
	}
	return end
}

// lastEvent returns the id of the last event in text that has one.
func lastEvent(text []byte) string {
	lines := bytes.Split(text, []byte("\n"))
	for i := len(lines) - 1; i >= 0; i-- {
		if value, ok := bytes.CutPrefix(bytes.TrimSuffix(lines[i], []byte("\r")), []byte("id:")); ok {
			return string(bytes.TrimPrefix(value, []byte(" ")))
		}
	}
	return ""
}
