package batch

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
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
	// Report requests the state of an engine.
	Report(ctx context.Context, to upstream.Address) (Report, error)
	// Load orders an engine to load a weight version.
	Load(ctx context.Context, to upstream.Address, o LoadOrder) LoadAnswer
}

// Report is the state of an engine as the engine describes it.
type Report struct {
	Versions  map[string]uint64
	Busy      bool   // an order is in progress
	Orders    uint64 // number accepted since the engine started
	StartedMs int64  // Unix ms of the start, 0 when unknown
}

// LoadOrder orders an engine to load a weight version.
type LoadOrder struct {
	Model   string
	Version uint64
	Holder  string // order holder that sends it
	Fence   uint64 // fencing token
	// Orders is the number of orders that the engine must have accepted before this one.
	Orders uint64
	// KeepRuns lets running requests continue under the new version.
	KeepRuns bool
}

// LoadAnswer is the outcome of a LoadOrder.
type LoadAnswer string

// Answers to orders.
const (
	LoadAccepted   LoadAnswer = "accepted"
	LoadUpToDate   LoadAnswer = "holds"      // the engine already has the version
	LoadBusy       LoadAnswer = "busy"       // another order is in progress or was accepted first, or no report arrived
	LoadSuperseded LoadAnswer = "superseded" // the engine has seen a higher fencing token
	LoadRejected   LoadAnswer = "rejected"
	LoadUnknown    LoadAnswer = "unknown"  // the order may take effect, now or later
	LoadNotSent    LoadAnswer = "not_sent" // this process no longer leads
)

// runOutcome is how a run ended.
type runOutcome string

const (
	runComplete    runOutcome = "complete"
	runNotRun      runOutcome = "not_run"     // not sent, or refused by the engine for now
	runMisdirected runOutcome = "wrong_place" // refused: wrong engine or weight version
	runFailed      runOutcome = "failed"      // any other error status
	runImpossible  runOutcome = "impossible"  // rejected with status 422; a retry cannot succeed
	runBroken      runOutcome = "broken"      // interrupted before the text was complete
	// runVersionNotAllowed is the outcome when the engine generates with a weight version
	// that the submission does not allow.
	runVersionNotAllowed runOutcome = "unfit_weights"
)

// run is one attempt to generate the text of an item on an engine.
type run struct {
	task            *task
	engine          string
	engineStartedMs int64
	began           time.Time
	cancel          context.CancelFunc
	placementReason string       // why it runs on this engine
	cancelReason    string       // set when the leader cancels the run
	count           atomic.Int64 // events so far
	lastEventAt     atomic.Int64 // time of the last event, nanoseconds since began
	version         uint64       // weight version that the engine must have at the start
	// onVersionChange is called when the engine continues with another weight version.
	onVersionChange func(version uint64)
	sampledCount    int64 // value of count at the last call of sampleEventTimes

	mu       sync.Mutex
	events   [][]byte // not yet taken by the leader
	versions []uint64 // distinct weight versions of all events of the run
}

// take returns the events since the last call and the versions of the run.
func (r *run) take() (events [][]byte, versions []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	events = r.events
	r.events = nil
	return events, slices.Clone(r.versions)
}

// buffered returns the number of events that the leader has not taken yet.
func (r *run) buffered() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.events)
}

func (r *run) add(event []byte, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, event)
	if !slices.Contains(r.versions, version) {
		r.versions = append(r.versions, version)
	}
	r.count.Add(1)
	r.lastEventAt.Store(int64(time.Since(r.began)))
}

// idle returns the time since the run's last event, or since its start.
func (r *run) idle(now time.Time) time.Duration {
	return now.Sub(r.began) - time.Duration(r.lastEventAt.Load())
}

// runEnd reports the end of a run to the Runner.
type runEnd struct {
	run           *run
	outcome       runOutcome
	reached       bool   // the engine answered the request
	latestVersion uint64 // last weight version that the engine named, or 0
	err           error
}

// generate performs a run: it sends the item and reads the events of the text.
func generate(ctx context.Context, pool *upstream.Pool, p Protocol, to upstream.Address, request *upstream.Request, r *run, first int, rule versionRule) runEnd {
	end := runEnd{run: r}
	response, err := pool.Open(ctx, to, request)
	if err != nil {
		end.outcome, end.err = runBroken, err
		var failure *upstream.Failure
		if errors.As(err, &failure) && failure.NotSent {
			end.outcome = runNotRun
		}
		return end
	}
	end.reached = true
	end.latestVersion = p.Version(response.Header)
	if response.StatusCode != http.StatusOK {
		_, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxFailureBodyBytes))
		response.Close(err == nil)
		end.outcome = failureOf(p, response.Response)
		end.err = eris.Errorf("status %d", response.StatusCode)
		return end
	}
	reader := textReader{p: p, next: first, version: end.latestVersion, rule: rule, end: &end}
	err = reader.read(response.Body)
	response.Close(err == nil)
	switch {
	case errors.Is(err, errVersionNotAllowed):
		end.outcome = runVersionNotAllowed
	case err != nil:
		end.outcome = runBroken
	default:
		end.outcome = runComplete
	}
	end.err = err
	return end
}

// maxFailureBodyBytes is how much of the body of an error response is read so that the
// connection can be reused.
const maxFailureBodyBytes = 64 << 10

func failureOf(p Protocol, response *http.Response) runOutcome {
	switch p.Verdict(response.StatusCode, response.Header) {
	case forward.NotRun:
		return runNotRun
	case forward.Misdirected:
		return runMisdirected
	}
	if response.StatusCode == http.StatusUnprocessableEntity {
		return runImpossible
	}
	return runFailed
}

var errVersionNotAllowed = eris.New("batch: the engine generates with a weight version that the submission does not allow")

// versionRule defines which weight versions may generate a text.
type versionRule struct {
	oldest uint64 // oldest version allowed
	single bool   // all events must have the same version
	only   uint64 // with single, the version of the text so far, 0 before the first event
}

// allows reports whether an event may have the version. With single, the first call sets
// only if it is 0.
func (r *versionRule) allows(version uint64) bool {
	if r.single && r.only == 0 {
		r.only = version
	}
	return version >= r.oldest && (!r.single || version == r.only)
}

// maxEventBytes bounds the size of one event.
const maxEventBytes = 1 << 20

// textReader reads the events of a text from a response.
type textReader struct {
	p       Protocol
	next    int    // expected number of the next event
	version uint64 // of the next event
	rule    versionRule
	end     *runEnd

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
		return eris.New("batch: the text ends in the middle of an event")
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
			return eris.Wrap(err, "batch: parse event number")
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
			return eris.Wrap(err, "batch: parse weight version of event")
		}
		if version != t.version {
			t.end.run.onVersionChange(version)
		}
		t.version = version
		t.end.latestVersion = version
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
		return eris.Errorf("batch: got event %d, want event %d", t.id, t.next)
	}
	if !t.rule.allows(t.version) {
		return errVersionNotAllowed
	}
	t.end.run.add(t.data, t.version)
	t.next++
	t.data, t.inEvent, t.hasData, t.id = nil, false, false, 0
	return nil
}
