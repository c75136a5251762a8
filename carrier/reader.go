package carrier

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"merlinhall/forward"
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
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxFailureBodyBytes+1))
		whole := err == nil && n <= maxFailureBodyBytes
		response.Close(whole)
		end.Outcome = failureOf(verdict, response, whole)
		end.Err = eris.Errorf("status %d", response.StatusCode)
		end.Error = forward.AttemptEnd{
			Target: to.ID, Outcome: string(end.Outcome), Status: response.StatusCode, Took: time.Since(began), Origin: response.Origin,
			Counted: end.Outcome == Failed || end.Outcome == Impossible,
		}
		return end
	}
	reader := textReader{p: p, next: first, version: version, rule: rule, out: out}
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

// maxFailureBodyBytes is how much of the body of an error response is read so that the
// connection can be reused.
const maxFailureBodyBytes = 64 << 10

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

// maxEventBytes bounds the size of one event.
const maxEventBytes = 1 << 20

// textReader reads the events of a text from a response.
type textReader struct {
	p       Protocol
	next    int    // expected number of the next event
	version uint64 // of the next event
	rule    VersionRule
	out     Generated

	id      int
	data    []byte
	inEvent bool // a line of the current event was read
	hasData bool // the current event has data
}

// read returns nil if the stream ended between two events. The HTTP framing of the
// response ensures that it is complete.
func (t *textReader) read(body io.Reader) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	scanner.Split(scanCompleteLines)
	for scanner.Scan() {
		if err := t.line(scanner.Bytes()); err != nil {
			return err
		}
	}
	if err := scanner.Err(); err != nil {
		return err
	}
	if t.inEvent {
		return eris.New("carrier: the text ends in the middle of an event")
	}
	return nil
}

// scanCompleteLines is bufio.ScanLines, except that a last line without a line feed is an
// error.
func scanCompleteLines(data []byte, atEOF bool) (int, []byte, error) {
	if i := bytes.IndexByte(data, '\n'); i >= 0 {
		return i + 1, bytes.TrimSuffix(data[:i], []byte("\r")), nil
	}
	if atEOF && len(data) > 0 {
		return 0, nil, io.ErrUnexpectedEOF
	}
	return 0, nil, nil
}

func (t *textReader) line(line []byte) error {
	if len(line) == 0 {
		return t.finishEvent()
	}
	t.inEvent = true
	name, value, _ := strings.Cut(string(line), ":")
	value = strings.TrimPrefix(value, " ")
	switch name {
	case "id":
		id, err := strconv.Atoi(value)
		if err != nil {
			return eris.Wrap(err, "carrier: parse event number")
		}
		t.id = id
	case "data":
		if t.hasData {
			t.data = append(t.data, '\n')
		}
		t.hasData = true
		t.data = append(t.data, value...)
	case t.p.VersionField():
		version, err := strconv.ParseUint(value, 10, 64)
		if err != nil {
			return eris.Wrap(err, "carrier: parse weight version of event")
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
	t.out.Add(t.data, t.version)
	t.next++
	t.data, t.inEvent, t.hasData, t.id = nil, false, false, 0
	return nil
}
