package agent

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"merlinhall/wire"
)

const (
	// stateTimeout limits one read of the engine's state.
	stateTimeout = 2 * time.Second
	// maxEventBytes is the maximum length of a line of the event stream, and of what may
	// come before a line with data.
	maxEventBytes = 64 << 10
	// maxErrorBytes is how many bytes of an engine's error response are reported.
	maxErrorBytes = 512
)

var (
	errTruncated    = eris.New("engine closed the stream before its end")
	errUnattributed = eris.New("weight version of a token cannot be attributed")
)

// completion is the request body of POST /v1/completions.
type completion struct {
	Model       string   `json:"model"`
	Prompt      string   `json:"prompt"`
	MaxTokens   int      `json:"max_tokens,omitempty"`
	Seed        int64    `json:"seed,omitempty"`
	Prefix      []string `json:"prefix,omitempty"`
	Adapter     string   `json:"adapter,omitempty"`
	Temperature float64  `json:"temperature,omitempty"`
	Priority    int      `json:"priority,omitempty"`
	Stream      bool     `json:"stream"`
}

// engineState is the engine's answer to GET /state.
type engineState struct {
	Version  uint64 `json:"version"`
	Swapping bool   `json:"swapping"`
	Running  int    `json:"running"`
	Queued   int    `json:"queued"`
	FreeKV   int    `json:"free_kv"` // tokens of free KV cache
	Events   []struct {
		Seq     uint64 `json:"seq"`
		Hash    uint64 `json:"hash"`
		Evicted bool   `json:"evicted"`
	} `json:"cache_events"`
	Lost bool   `json:"lost"` // some events after since are no longer available
	Next uint64 `json:"next"` // value of since for the next read
}

// engineTarget is the target implementation for a model engine.
type engineTarget struct {
	address     string
	transport   http.RoundTripper
	idleTimeout func() time.Duration
	versions    *versionTracker
	onSilent    func() // called when a run is cancelled because of its idle timeout
}

// run implements target.
func (t *engineTarget) run(ctx context.Context, r *wire.Run, s *sink) *wire.Chunk {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	req, err := t.request(ctx, r)
	if err != nil {
		return &wire.Chunk{End: wire.EndNotRun, Detail: err.Error()}
	}
	e := &engineRun{target: t, ctx: ctx, sink: s, nextIndex: len(r.Generation.Prefix)}
	e.watch = watchIdle(t.idleTimeout(), cancel, e.silenceExpected, t.onSilent)
	defer e.watch.stop()
	a := &attempt{transport: t.transport}
	resp, err := a.do(req)
	if err != nil {
		return a.failure(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return rejected(resp)
	}
	return e.relay(resp.Body)
}

func (t *engineTarget) request(ctx context.Context, r *wire.Run) (*http.Request, error) {
	g := r.Generation
	if g == nil {
		return nil, eris.New("request to an engine carries no generation")
	}
	body, err := json.Marshal(completion{
		Model:       r.Service,
		Prompt:      g.Prompt,
		MaxTokens:   g.MaxTokens,
		Seed:        g.Seed,
		Prefix:      g.Prefix,
		Adapter:     g.Adapter,
		Temperature: g.Temperature,
		Priority:    int(r.Priority),
		Stream:      true,
	})
	if err != nil {
		return nil, eris.Wrap(err, "encode completion")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, targetURL(t.address, "/v1/completions"), bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "engine request")
	}
	req.Header = requestHeaders(r.Headers, r.ID)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "text/event-stream")
	return req, nil
}

// rejected returns the last chunk of a request that the engine answered with an
// error status. In the engine's protocol, 429 and 503 mean that it did no work.
func rejected(resp *http.Response) *wire.Chunk {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	c := &wire.Chunk{
		Status: resp.StatusCode,
		End:    wire.EndBroken,
		Detail: fmt.Sprintf("engine answered %d: %s", resp.StatusCode, bytes.TrimSpace(text)),
	}
	if resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable {
		c.End = wire.EndNotRun
	}
	return c
}

// engineRun relays the token stream of one request.
type engineRun struct {
	target *engineTarget
	ctx    context.Context
	sink   *sink
	watch  *idleWatch

	nextIndex       int // index of the next token
	previousVersion uint64
	any             atomic.Bool // a token has been received; also read by the idle watch
	event           tokenEvent  // last event read
}

// silenceExpected reports whether the engine may be silent: during a weight swap,
// or while this stream has no token yet and the engine, asked on a new connection,
// reports queued requests.
func (e *engineRun) silenceExpected() bool {
	if e.target.versions.swapping() {
		return true
	}
	state, err := e.target.state(e.ctx, 0)
	return err == nil && (state.Swapping || !e.any.Load() && state.Queued > 0)
}

// relay forwards tokens until the engine marks the end of the stream. Tokens that
// are already in the read buffer share a chunk, up to maxChunkTokens.
func (e *engineRun) relay(body io.Reader) *wire.Chunk {
	in := bufio.NewReaderSize(body, maxEventBytes)
	tokens := make([]wire.Token, 0, 1)
	for {
		done, err := e.read(in)
		switch {
		case err != nil:
			return e.brokenChunk(tokens, err)
		case done:
			return &wire.Chunk{Tokens: tokens, End: wire.EndComplete}
		}
		tokens = append(tokens, wire.Token{Text: e.event.Token, Version: e.event.Version})
		if len(tokens) < maxChunkTokens && eventBuffered(in) {
			continue
		}
		e.watch.pause()
		if !e.sink.put(e.ctx, &wire.Chunk{Tokens: tokens}) {
			return broken(e.ctx, e.ctx.Err())
		}
		e.watch.restart()
		tokens = make([]wire.Token, 0, 1)
	}
}

// brokenChunk returns the last chunk of a stream that failed after its response had
// begun. The tokens read before the failure are valid and are included.
func (e *engineRun) brokenChunk(tokens []wire.Token, err error) *wire.Chunk {
	c := broken(e.ctx, err)
	c.Tokens = tokens
	return c
}

// read reads the next event into e.event and validates it.
func (e *engineRun) read(in *bufio.Reader) (done bool, err error) {
	data, err := readEvent(in)
	if err != nil {
		return false, err
	}
	if e.event, err = parseTokenEvent(data); err != nil {
		return false, err
	}
	if e.event.Done {
		if e.event.Tokens != e.nextIndex {
			return false, eris.Errorf("engine announced %d tokens and sent up to %d", e.event.Tokens, e.nextIndex)
		}
		return true, nil
	}
	if e.event.Index != e.nextIndex {
		return false, eris.Errorf("engine sent token %d instead of %d", e.event.Index, e.nextIndex)
	}
	return false, e.acceptToken()
}

// acceptToken checks that the token in e.event may be attributed to its weight
// version, and advances nextIndex.
func (e *engineRun) acceptToken() error {
	version := e.event.Version
	if !e.target.versions.isCurrent(version) || e.any.Load() && e.previousVersion != version {
		e.watch.pause()
		ok := e.target.versions.attribute(e.ctx, version, e.previousVersion, e.any.Load())
		e.watch.restart()
		if !ok {
			return errUnattributed
		}
	}
	e.previousVersion = version
	e.any.Store(true)
	e.nextIndex++
	return nil
}

var errNoEvent = eris.Errorf("engine sent more than %d bytes without an event", maxEventBytes)

// readEvent returns the next data line of the stream. Engines send each event as one
// such line. The slice is valid until the next read.
func readEvent(in *bufio.Reader) ([]byte, error) {
	for skipped := 0; skipped <= maxEventBytes; {
		line, err := in.ReadSlice('\n')
		if err == io.EOF {
			return nil, errTruncated
		}
		if err != nil {
			return nil, eris.Wrap(err, "read engine stream")
		}
		if data, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			return bytes.TrimSpace(data), nil
		}
		skipped += len(line)
	}
	return nil, errNoEvent
}

// eventBuffered reports whether a complete data line is in the read buffer.
func eventBuffered(in *bufio.Reader) bool {
	waiting, _ := in.Peek(in.Buffered())
	at := bytes.Index(waiting, []byte("data:"))
	return at >= 0 && bytes.IndexByte(waiting[at:], '\n') >= 0
}

// state reads the engine's state, with the cache events after since, on a new
// connection.
func (t *engineTarget) state(ctx context.Context, since uint64) (*engineState, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, targetURL(t.address, fmt.Sprintf("/state?since=%d", since)), nil)
	if err != nil {
		return nil, eris.Wrap(err, "create engine state request")
	}
	resp, err := t.transport.RoundTrip(req)
	if err != nil {
		return nil, eris.Wrap(err, "request engine state")
	}
	defer func() { _ = resp.Body.Close() }()
	var s engineState
	if err := json.NewDecoder(io.LimitReader(resp.Body, wire.MaxFrameBytes)).Decode(&s); err != nil {
		return nil, eris.Wrap(err, "decode engine state")
	}
	return &s, nil
}

// probe implements target.
func (t *engineTarget) probe(ctx context.Context) error {
	_, err := t.state(ctx, 0)
	return err
}

// orderResult is the outcome of an order to the engine.
type orderResult uint8

const (
	orderDone orderResult = iota + 1
	// orderFailed: the engine answered with a status other than 200 and 409.
	orderFailed
	// orderStale: the engine has seen a higher fencing token.
	orderStale
	// orderNotSent: the engine cannot have received the order.
	orderNotSent
	// orderUnknown: the engine may have received the order, but there was no answer.
	orderUnknown
)

// load orders the engine to load a weight version and waits for the result.
func (t *engineTarget) load(ctx context.Context, version uint64, fence wire.Fence) orderResult {
	body, _ := json.Marshal(map[string]any{"kind": "load", "version": version, "term": fence.Term, "seq": fence.Sequence})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, targetURL(t.address, "/orders"), bytes.NewReader(body))
	if err != nil {
		return orderNotSent
	}
	req.Header.Set("Content-Type", "application/json")
	a := &attempt{transport: t.transport}
	resp, err := a.do(req)
	if err != nil && a.notSent() {
		return orderNotSent
	}
	if err != nil {
		return orderUnknown
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
		return orderDone
	case http.StatusConflict:
		return orderStale
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		return orderUnknown // what is before the engine does not know what became of it
	}
	return orderFailed
}
