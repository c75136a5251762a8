package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"iter"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"merlinhall/directory"
	"merlinhall/streams"
	"merlinhall/upstream"
	"merlinhall/wire"
)

const (
	// streamIdleTimeout is how long a resumable stream may be without a complete event
	// before it is resumed on another target. Callers disconnect after two seconds or more.
	// It doubles each time, up to maxStreamIdleTimeout, so that a sound stream with long
	// pauses ends whole.
	streamIdleTimeout    = time.Second
	maxStreamIdleTimeout = 8 * time.Second
	// maxEventBytes limits what arrives of a stream without an event: the size of one, and
	// comments and blank lines without end.
	maxEventBytes   = 1 << 20
	streamReadBytes = 4 << 10
)

// OutcomeCut is the outcome of a stream that started and broke off: the caller has
// an incomplete response.
const OutcomeCut Outcome = "cut"

// Sink receives a stream on behalf of the caller.
type Sink interface {
	// Begin is called once, with the status and header of the first target.
	Begin(status int, h http.Header)
	// Events delivers complete events to the caller without delay. An error means
	// that the caller has disconnected.
	Events(text []byte) error
}

var (
	errCallerLeft = eris.New("forward: the caller disconnected from the stream")
	errStreamIdle = eris.New("forward: the stream timed out without an event")

	errWithinEvent = eris.New("forward: the stream ended within an event")
	errNoEvent     = eris.Errorf("forward: more than %d bytes of a stream without the end of an event", maxEventBytes)
)

// stream is the state of one request whose response is an event stream.
type stream struct {
	requestState
	sink        Sink
	begun       bool
	lastEventID string           // id of the last event delivered to the sink
	after       string           // id of the event after which the current run was to go on, until its first event
	gaps        bool             // the ids of events may leave numbers out
	opening     *streams.Opening // set with the first attempt that may begin the stream
	idleTimeout time.Duration
}

// Stream forwards r and delivers events to sink as they arrive. A response that is
// not an event stream is returned as by Do. If the route allows it, a stream that
// breaks or stops sending is resumed on another target after its last complete event.
func (f *Forwarder) Stream(ctx context.Context, r *Request, sink Sink) Result {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	s := &stream{requestState: requestState{f: f, r: r, tried: make(map[string]bool)}, sink: sink, idleTimeout: streamIdleTimeout}
	if refused := s.findSoftware(ctx); refused != nil {
		return *refused
	}
	s.arrived()
	result := s.loop(ctx)
	result.Attempts = s.possibleRuns + s.refused
	result.Failures = s.failures
	return result
}

func (s *stream) loop(ctx context.Context) Result {
	for {
		t, left := s.nextTarget(ctx)
		switch {
		case t != nil:
		case s.begun:
			return Result{Outcome: OutcomeCut, Reason: "no target is left to resume the stream"}
		case s.possibleRuns+s.refused == 0:
			return s.noTarget(ctx)
		default:
			return s.giveUp()
		}
		a := s.send(ctx, t, left)
		if end, ok := s.handleStreamAttempt(ctx, a); ok {
			return end
		}
	}
}

// nextTarget selects the target of the next attempt, see requestState.nextTarget. While a record
// of other software would have to be replaced, the attempt goes to the recorded one if it can.
func (s *stream) nextTarget(ctx context.Context) (*wire.TargetEntry, time.Duration) {
	if s.opening != nil && s.begins() {
		if software, ok := s.opening.Preferred(); ok {
			s.software = software
			t, left := s.requestState.nextTarget(ctx, false)
			s.software = wire.Software{}
			if t != nil {
				return t, left
			}
		}
	}
	return s.requestState.nextTarget(ctx, false)
}

// handleStreamAttempt evaluates a finished attempt. It returns the result of the request
// and true when no further attempt is needed.
func (s *stream) handleStreamAttempt(ctx context.Context, a *attempt) (Result, bool) {
	switch {
	case a.err != nil && errors.Is(a.err, errCallerLeft):
		return Result{Outcome: OutcomeCut, Reason: errCallerLeft.Error(), Target: a.target.ID}, true
	case s.begun && a.err == nil && a.verdict == Answered:
		return Result{Outcome: OutcomeAnswered, Status: a.result.Status, Target: a.target.ID}, true
	case s.begun && (ctx.Err() != nil || !s.r.Route.Repeatable):
		return Result{Outcome: OutcomeCut, Reason: reasonOf(a), Target: a.target.ID}, true
	case ctx.Err() != nil:
		return Result{Outcome: OutcomeUnknown, Reason: contextReason(ctx), Target: a.target.ID}, true
	}
	end, ok := s.handleAttempt(a)
	if s.begun {
		// The failure or refusal of a later target is not the result of a stream that
		// the caller has received in part.
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

// send sends the request to t and delivers the response.
func (s *stream) send(ctx context.Context, t *wire.TargetEntry, left time.Duration) *attempt {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	began := time.Now()
	a := s.newAttempt(t)
	out := s.outbound(a, left)
	refused := observeSending(s.r, out)
	s.tell(a)
	response, err := s.f.Pool.Open(attemptCtx, directory.Address(t), out)
	if err == nil {
		a.headerAfter = time.Since(began)
		err = s.receive(attemptCtx, a, response, func() { cancel(errStreamIdle) })
	}
	if errors.Is(context.Cause(attemptCtx), errStreamIdle) {
		err = errStreamIdle
		s.idleTimeout = min(2*s.idleTimeout, maxStreamIdleTimeout)
	}
	if err == nil {
		refused(a)
	}
	s.f.finishAttempt(ctx, s.r, a, err, left, time.Since(began))
	return a
}

func (s *stream) outbound(a *attempt, left time.Duration) *upstream.Request {
	header := s.r.Header
	switch {
	case s.lastEventID != "":
		header = s.f.Protocol.Resume(header, s.lastEventID)
		s.after = s.lastEventID
		s.recordResumption(a, "answer", s.r.ID, s.lastEventID)
	case s.r.TakeUp != nil:
		s.after, s.gaps = s.r.TakeUp.After, true // of the events before nothing is known
		s.recordResumption(a, "caller", s.r.TakeUp.Attempt, s.r.TakeUp.After)
	}
	return s.f.outbound(s.r, header, a, left)
}

// recordResumption records that a stream is sent to a further target: within one answer, or
// because its caller has taken it up.
func (s *stream) recordResumption(a *attempt, within, began, after string) {
	software := "unknown"
	switch {
	case !s.software.Known():
	case s.software == a.target.Software():
		software = "same"
	default:
		software = "other"
	}
	if s.f.resumed != nil {
		s.f.resumed.WithLabelValues(within, software).Inc()
	}
	if s.f.Log == nil || !s.f.resumedLogs.Allow(time.Now()) {
		return
	}
	s.f.Log.WithFields(logrus.Fields{
		"request": s.r.ID, "within": within, "began_as": began, "after": after, "target": a.target.ID,
		"software": a.target.Software().String(), "began_at": s.software.String(),
	}).Info("stream goes on")
}

// receive reads a response to its end. cancel aborts a stream that stops sending.
func (s *stream) receive(ctx context.Context, a *attempt, response *upstream.Response, cancel func()) error {
	verdict := s.f.Protocol.Verdict(response.StatusCode, response.Header)
	if verdict != Answered || !s.f.Protocol.Events(response.Header) {
		body, err := response.ReadAll()
		if err != nil {
			return err
		}
		a.setResponse(verdict, response, body)
		if s.begun && a.err == nil && verdict == Answered {
			a.verdict = Unfinished // the request was for the rest of a stream
		}
		return nil
	}
	a.result, a.origin = Result{Status: response.StatusCode}, response.Origin
	if !s.begun {
		if err := s.begin(ctx, a); err != nil {
			response.Close(false)
			return err
		}
		s.sink.Begin(response.StatusCode, response.Header)
	}
	err := s.deliver(response.Body, upstream.Framed(response.Response), cancel)
	response.Close(err == nil)
	return err
}

// deliver delivers complete events until the response ends. An event that breaks off is
// not delivered at all, so that another target can send it again from its start.
func (s *stream) deliver(body io.Reader, framed bool, cancel func()) error {
	idleTimer := time.AfterFunc(s.idleTimeout, func() {
		if s.r.Route.Repeatable {
			cancel()
		}
	})
	defer idleTimer.Stop()
	lease := s.r.Lease
	if lease == nil {
		lease = s.f.Pool.Memory.Lease()
		defer lease.Close()
	}
	rest := lease.Buffer()
	defer rest.Release()
	chunk := make([]byte, streamReadBytes)
	without := 0 // bytes delivered since the last event with data
	for {
		n, err := body.Read(chunk)
		former := len(rest.Bytes)
		if failure := rest.Append(chunk[:n]); failure != nil {
			return failure
		}
		// What was there before has no blank line, but may have the beginning of one.
		searched := max(0, former-maxBlankBytes+1)
		length := completeEventsLen(rest.Bytes[searched:])
		if length > 0 {
			length += searched
		}
		if err == io.EOF && framed {
			length = len(rest.Bytes) // the response is complete
		}
		if length > 0 {
			idleTimer.Reset(s.idleTimeout)
			text := rest.Bytes[:length]
			if !s.inOrder(text) {
				return errWrongEvent
			}
			if without += length; hasData(text) {
				without = 0
			}
			if s.sink.Events(text) != nil {
				return errCallerLeft
			}
			rest.Consume(length)
		}
		switch {
		case err == io.EOF && len(rest.Bytes) > 0:
			return errWithinEvent
		case err == io.EOF:
			return nil
		case err != nil:
			return eris.Wrap(err, "forward: read stream")
		case without+len(rest.Bytes) > maxEventBytes:
			return errNoEvent
		}
	}
}

// inOrder notes the ids of the events in text. It returns false if a run that goes on with a
// stream begins with another event than the next one.
func (s *stream) inOrder(text []byte) bool {
	for id := range eventIDs(text) {
		switch {
		case s.after != "" && !follows(id, s.after, s.gaps):
			return false
		case s.after == "" && s.lastEventID != "" && !follows(id, s.lastEventID, false):
			s.gaps = true
		}
		s.after, s.lastEventID = "", id
	}
	return true
}

// maxBlankBytes is the length of the longest blank line, with the end of the line before.
const maxBlankBytes = len("\r\n\r\n")

// completeEventsLen returns the length of the complete events in text: everything up to
// and including the last blank line.
func completeEventsLen(text []byte) int {
	end := 0
	for _, blank := range []string{"\n\n", "\r\n\r\n", "\n\r\n"} {
		if i := bytes.LastIndex(text, []byte(blank)); i >= 0 {
			end = max(end, i+len(blank))
		}
	}
	return end
}

// hasData reports whether a line of text is data of an event.
func hasData(text []byte) bool {
	return bytes.HasPrefix(text, []byte("data")) || bytes.Contains(text, []byte("\ndata"))
}

// eventIDs returns the ids of the events in text that have one.
func eventIDs(text []byte) iter.Seq[string] {
	return func(yield func(string) bool) {
		for line := range bytes.Lines(text) {
			value, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("id:"))
			if ok && len(value) > 0 && !yield(string(bytes.TrimPrefix(value, []byte(" ")))) {
				return
			}
		}
	}
}
