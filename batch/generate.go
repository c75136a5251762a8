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

// Protocol is the form in which a platform's engines take items and orders.
type Protocol interface {
	forward.Protocol
	// ItemHeaders returns the headers that name the engine, the weight version it
	// must have, and, above 0, the last event of the text so far.
	ItemHeaders(id, engine string, version uint64, lastEvent int) []wire.Header
	// RewardHeaders returns the headers of a reward call.
	RewardHeaders(id string) []wire.Header
	// Version returns the weight version that a response names, 0 without one.
	Version(h http.Header) uint64
	// VersionField is the name of the field of an event at which it changes.
	VersionField() string
	// Score returns the proof of a reward call's answer, empty without one.
	Score(h http.Header) string
	// Report asks an engine for its state.
	Report(ctx context.Context, to upstream.Address) (Report, error)
	// Load gives an engine the order to take a weight version.
	Load(ctx context.Context, to upstream.Address, o LoadOrder) LoadAnswer
}

// Report is what an engine says of itself.
type Report struct {
	Versions map[string]uint64
	Busy     bool   // an order is being carried out
	Orders   uint64 // accepted since the engine started
	Born     int64  // Unix ms of the start, 0 when not told
}

// LoadOrder asks an engine for a weight version.
type LoadOrder struct {
	Model   string
	Version uint64
	Holder  string // who gives the order
	Fence   uint64
	// Orders is how many orders the engine must have accepted before this one.
	Orders uint64
	// KeepRuns lets running requests go on under the new version.
	KeepRuns bool
}

// LoadAnswer is the outcome of a LoadOrder.
type LoadAnswer string

// Answers to orders.
const (
	LoadAccepted   LoadAnswer = "accepted"
	LoadHolds      LoadAnswer = "holds"      // the engine has the version
	LoadBusy       LoadAnswer = "busy"       // another order is carried out, or came first
	LoadSuperseded LoadAnswer = "superseded" // a higher fence was used
	LoadRejected   LoadAnswer = "rejected"
	LoadUnknown    LoadAnswer = "unknown" // may be carried out, now or later
)

// runOutcome says how a run ended.
type runOutcome string

const (
	runComplete   runOutcome = "complete"
	runNotRun     runOutcome = "not_run"     // the engine refused it for now
	runWrongPlace runOutcome = "wrong_place" // another engine or weight version
	runFailed     runOutcome = "failed"
	runImpossible runOutcome = "impossible" // the engine will never do it
	runBroken     runOutcome = "broken"     // ended before its end
	// runVersionNotAllowed: the engine went on under a version that the text must not have.
	runVersionNotAllowed runOutcome = "unfit_weights"
)

// run is one run of an item on an engine.
type run struct {
	task            *task
	engine          string
	engineStartedMs int64
	began           time.Time
	cancel          context.CancelFunc
	placementReason string       // why it runs on this engine
	cancelReason    string       // of a cancellation by the leader
	count           atomic.Int64 // events so far
	lastEvent       atomic.Int64 // time of the last event, nanoseconds since began
	version         uint64       // that the engine was expected to have
	// onVersionChange is called when the engine goes on with another weight version.
	onVersionChange func(version uint64)
	sampledCount    int64 // count when the pace was last looked at

	mu       sync.Mutex
	events   [][]byte // that the leader has not taken yet
	versions []uint64 // of all events of the run
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
	r.lastEvent.Store(int64(time.Since(r.began)))
}

// idle returns the time since the run's last event or its start.
func (r *run) idle(now time.Time) time.Duration {
	return now.Sub(r.began) - time.Duration(r.lastEvent.Load())
}

// runEnd is the end of a run.
type runEnd struct {
	run     *run
	outcome runOutcome
	reached bool   // the engine took the request
	current uint64 // version that the engine named, 0 if it named none
	err     error
}

// generate carries out a run: it sends the item and reads the events of its text.
func generate(ctx context.Context, pool *upstream.Pool, p Protocol, to upstream.Address, request *upstream.Request, r *run, first int, fit versionRule) runEnd {
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
	end.current = p.Version(response.Header)
	if response.StatusCode != http.StatusOK {
		_, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxFailureBodyBytes))
		response.Close(err == nil)
		end.outcome = failureOf(p, response.Response)
		end.err = eris.Errorf("status %d", response.StatusCode)
		return end
	}
	reader := textReader{p: p, next: first, version: end.current, rule: fit, end: &end}
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

// maxFailureBodyBytes is how much of a failure's body is read to keep the connection.
const maxFailureBodyBytes = 64 << 10

func failureOf(p Protocol, response *http.Response) runOutcome {
	switch p.Verdict(response.StatusCode, response.Header) {
	case forward.NotRun:
		return runNotRun
	case forward.WrongPlace:
		return runWrongPlace
	}
	if response.StatusCode == http.StatusUnprocessableEntity {
		return runImpossible
	}
	return runFailed
}

var errVersionNotAllowed = eris.New("batch: the engine generates with weights that the text must not have")

// versionRule says under which weight versions a text may be generated.
type versionRule struct {
	min    uint64 // the oldest one
	single bool   // all events under the same one
	only   uint64 // with single, the one of the text so far, 0 before its first event
}

// allows reports whether an event may be of a version, and takes it as the only one
// where there must be one.
func (f *versionRule) allows(version uint64) bool {
	if f.single && f.only == 0 {
		f.only = version
	}
	return version >= f.min && (!f.single || version == f.only)
}

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

// textReader reads the events of a text.
type textReader struct {
	p       Protocol
	next    int // number of the event that must come next
	version uint64
	rule    versionRule
	end     *runEnd

	id      int
	data    []byte
	inEvent bool // a line of the current event was read
	hasData bool // the current event has data
}

// read returns nil when the stream ended between two events. The response must
// then be whole, which its framing shows.
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
		return eris.New("batch: the text ends within an event")
	}
	return nil
}

// scanCompleteLines is bufio.ScanLines without a last line that lacks its line feed.
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
		return t.finish()
	}
	t.inEvent = true
	name, value, _ := strings.Cut(string(line), ":")
	value = strings.TrimPrefix(value, " ")
	switch name {
	case "id":
		id, err := strconv.Atoi(value)
		if err != nil {
			return eris.Wrap(err, "batch: number of an event")
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
			return eris.Wrap(err, "batch: weight version of an event")
		}
		if version != t.version {
			t.end.run.onVersionChange(version)
		}
		t.version = version
		t.end.current = version
	}
	return nil
}

func (t *textReader) finish() error {
	if !t.inEvent {
		return nil
	}
	if !t.hasData {
		t.inEvent = false
		return nil
	}
	if t.id != t.next {
		return eris.Errorf("batch: event %d comes where %d is due", t.id, t.next)
	}
	if !t.rule.allows(t.version) {
		return errVersionNotAllowed
	}
	t.end.run.add(t.data, t.version)
	t.next++
	t.data, t.inEvent, t.hasData, t.id = nil, false, false, 0
	return nil
}
