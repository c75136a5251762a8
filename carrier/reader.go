package carrier

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"merlinhall/forward"
	"merlinhall/memory"
	"merlinhall/upstream"
	"merlinhall/wire"
)

// Protocol implements the requests to a platform's engines and reward services, and reads
// their responses.
type Protocol interface {
	forward.Protocol
	// ItemHeaders returns the headers that name the engine, the weight version it must
	// have and, if lastEvent is above 0, the number of the last event of the text so far.
	ItemHeaders(id, engine string, version uint64, lastEvent int) []wire.Header
	// RewardHeaders returns the headers of a reward call.
	RewardHeaders(id string) []wire.Header
	// Version returns the weight version named in a response, or 0.
	Version(h http.Header) uint64
	// VersionField returns the name of the event field that announces a change of the
	// version.
	VersionField() string
	// Score returns the signature of a reward call's response, which is recorded as the
	// score, or "".
	Score(h http.Header) string
}

// Generated receives the events of a text as they arrive.
type Generated interface {
	Add(event []byte, version uint64)
	// VersionChanged is called when the engine continues with another weight version.
	VersionChanged(version uint64)
}

// ReadEnd is how the generation of a text ended.
type ReadEnd struct {
	Outcome Outcome
	Reached bool // the engine answered the request
	Err     error
	Error   forward.AttemptEnd // set if the engine answered with an error
}

// generate sends an item to an engine and reads the events of its text from the event with
// the number first on.
func generate(ctx context.Context, pool *upstream.Pool, p Protocol, to upstream.Address, request *upstream.Request, out Generated, first int, rule VersionRule) ReadEnd {
	began := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	response, err := pool.Open(ctx, to, request)
	if err != nil {
		end := ReadEnd{Outcome: Broken, Err: err}
		var failure *upstream.Failure
		if errors.As(err, &failure) && failure.NotSent {
			end.Outcome = NotRun
		}
		return end
	}
	end := ReadEnd{Reached: true}
	verdict := p.Verdict(response.StatusCode, response.Header)
	version := p.Version(response.Header)
	if version != 0 && verdict != forward.Malformed {
		out.VersionChanged(version)
	}
	if response.StatusCode != http.StatusOK || verdict != forward.Answered {
		late := time.AfterFunc(failureBodyTime, cancel)
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxFailureBodyBytes+1))
		whole := err == nil && n <= maxFailureBodyBytes
		response.Close(whole)
		late.Stop()
		end.Outcome = failureOf(verdict, response, whole)
		end.Err = eris.Errorf("status %d", response.StatusCode)
		end.Error = forward.AttemptEnd{
			Target: to.ID, Outcome: string(end.Outcome), Status: response.StatusCode, Took: time.Since(began), Origin: response.Origin,
			Counted: end.Outcome == Failed || end.Outcome == Impossible,
		}
		return end
	}
	lease := pool.Memory.Lease()
	defer lease.Close()
	reader := textReader{p: p, next: first, version: version, rule: rule, out: out, buffer: lease.Buffer(), data: lease.Buffer()}
	err = reader.read(response.Body)
	response.Close(err == nil)
	switch {
	case errors.Is(err, errVersionNotAllowed):
		end.Outcome = VersionNotAllowed
	case err != nil:
		end.Outcome = Broken
	default:
		end.Outcome = Complete
	}
	end.Err = err
	return end
}

const (
	// maxFailureBodyBytes is how much of the body of an error response is read so that the
	// connection can be reused.
	maxFailureBodyBytes = 64 << 10
	// failureBodyTime is how long that takes at most. The slot of the engine is not free
	// for the leader before.
	failureBodyTime = 250 * time.Millisecond
)

// failureOf returns the outcome of a run whose response has no text. Whether the run has
// failed, or never can succeed, is only taken from a whole response that names it.
func failureOf(verdict forward.Verdict, response *upstream.Response, whole bool) Outcome {
	switch {
	case verdict == forward.NotRun:
		return NotRun
	case verdict == forward.Misdirected:
		return Misdirected
	case !whole || !response.Named:
		return Unfinished
	case verdict == forward.FailedRun:
		return Failed
	case verdict == forward.Answered && response.StatusCode == http.StatusUnprocessableEntity:
		return Impossible
	}
	return Unfinished
}

var errVersionNotAllowed = eris.New("carrier: the engine generates with a weight version that the submission does not allow")

// VersionRule defines which weight versions may generate a text.
type VersionRule struct {
	Oldest uint64 // oldest version allowed
	Single bool   // all events must have the same version
	Only   uint64 // with single, the version of the text so far, 0 before the first event
}

// Allows reports whether an event may have the version. With single, the first call sets
// only if it is 0.
func (r *VersionRule) Allows(version uint64) bool {
	if r.Single && r.Only == 0 {
		r.Only = version
	}
	return version >= r.Oldest && (!r.Single || version == r.Only)
}

const (
	// maxEventBytes bounds what arrives from the end of one event to the end of the next.
	maxEventBytes = 1 << 20
	readBytes     = 4 << 10
	// maxQuoted is how many characters of a wrong value are quoted in an error.
	maxQuoted = 32
)

var errEventTooLong = eris.Errorf("carrier: more than %d bytes without the end of an event", maxEventBytes)

// textReader reads the events of a text from a response.
type textReader struct {
	p       Protocol
	next    int    // expected number of the next event
	version uint64 // of the next event
	rule    VersionRule
	out     Generated

	buffer memory.Buffer // what has arrived of the next line
	data   memory.Buffer // of the current event

	id      int
	size    int  // bytes of the lines since the last event
	inEvent bool // a line of the current event was read
	hasData bool // the current event has data
}

// read returns nil if the stream ended between two events. The HTTP framing of the
// response ensures that it is complete.
func (t *textReader) read(body io.Reader) error {
	chunk := make([]byte, readBytes)
	for {
		n, err := body.Read(chunk)
		if failure := t.take(chunk[:n]); failure != nil {
			return failure
		}
		switch {
		case err == io.EOF && len(t.buffer.Bytes) > 0:
			return io.ErrUnexpectedEOF // the last line has no line feed
		case err == io.EOF && t.inEvent:
			return eris.New("carrier: the text ends in the middle of an event")
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}

// take handles the lines that text completes and keeps the rest.
func (t *textReader) take(text []byte) error {
	start, from := 0, len(t.buffer.Bytes) // what was in the buffer has no line feed
	if err := t.buffer.Append(text); err != nil {
		return err
	}
	for {
		i := bytes.IndexByte(t.buffer.Bytes[from:], '\n')
		if i < 0 {
			break
		}
		line := t.buffer.Bytes[start : from+i]
		from += i + 1
		t.size += from - start
		start = from
		if err := t.line(bytes.TrimSuffix(line, []byte("\r"))); err != nil {
			return err
		}
	}
	t.buffer.Consume(start)
	if t.size+len(t.buffer.Bytes) > maxEventBytes {
		return errEventTooLong
	}
	return nil
}

func (t *textReader) line(line []byte) error {
	if len(line) == 0 {
		return t.finishEvent()
	}
	t.inEvent = true
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		id, err := strconv.Atoi(string(value))
		if err != nil {
			return eris.Errorf("carrier: %.*q is no event number", maxQuoted, value)
		}
		t.id = id
	case "data":
		if t.hasData {
			if err := t.data.Append([]byte{'\n'}); err != nil {
				return err
			}
		}
		t.hasData = true
		return t.data.Append(value)
	case t.p.VersionField():
		version, err := strconv.ParseUint(string(value), 10, 64)
		if err != nil {
			return eris.Errorf("carrier: %.*q is no weight version", maxQuoted, value)
		}
		if version != t.version {
			t.out.VersionChanged(version)
		}
		t.version = version
	}
	return nil
}

func (t *textReader) finishEvent() error {
	if !t.inEvent {
		return nil
	}
	if !t.hasData {
		t.inEvent = false
		return nil
	}
	if t.id != t.next {
		return eris.Errorf("carrier: got event %d, want event %d", t.id, t.next)
	}
	if !t.rule.Allows(t.version) {
		return errVersionNotAllowed
	}
	t.out.Add(bytes.Clone(t.data.Bytes), t.version)
	t.next++
	t.data.Consume(len(t.data.Bytes))
	t.size, t.inEvent, t.hasData, t.id = 0, false, false, 0
	return nil
}
