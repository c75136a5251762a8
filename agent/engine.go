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
	// stateLimit bounds one read of the engine's state.
	stateLimit = 2 * time.Second
	// sseLine bounds one server-sent event in bytes.
	sseLine = 64 << 10
	// errorBody is how much of an engine's error answer is reported, in bytes.
	errorBody = 512
)

var (
	errTruncated    = eris.New("engine closed the stream before its end")
	errUnattributed = eris.New("weight version of a token cannot be attributed")
)

// completion is the body of the engine's POST /v1/completions.
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
	FreeKV   int    `json:"free_kv"`
	Events   []struct {
		Seq     uint64 `json:"seq"`
		Hash    uint64 `json:"hash"`
		Evicted bool   `json:"evicted"`
	} `json:"cache_events"`
	Lost bool   `json:"lost"`
	Next uint64 `json:"next"`
}

// engineTarget is a model engine.
type engineTarget struct {
	address   string
	transport http.RoundTripper
	idle      func() time.Duration
	witness   *witness
	silent    func()
}

// run implements target.
func (t *engineTarget) run(ctx context.Context, r *wire.Run, s *sink) *wire.Chunk {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	req, err := t.request(ctx, r)
	if err != nil {
		return &wire.Chunk{End: wire.EndNotRun, Detail: err.Error()}
	}
	e := &engineRun{t: t, ctx: ctx, sink: s, next: len(r.Generation.Prefix)}
	e.watch = watchIdle(t.idle(), cancel, e.waiting, t.silent)
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

// rejected is the end of a request that the engine refused by status. 429 and 503
// are refusals before any work by the engine's protocol.
func rejected(resp *http.Response) *wire.Chunk {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, errorBody))
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

// engineRun relays one stream.
type engineRun struct {
	t     *engineTarget
	ctx   context.Context
	sink  *sink
	watch *idleWatch

	next     int // index of the next token
	previous uint64
	any      atomic.Bool // a token has come; also read by the idle watch
	event    tokenEvent
}

// waiting reports whether silence is expected: during a swap, and while the
// engine, asked on a new connection, has streams queued before this one.
func (e *engineRun) waiting() bool {
	if e.t.witness.swapping() {
		return true
	}
	state, err := e.t.state(e.ctx, 0)
	return err == nil && (state.Swapping || !e.any.Load() && state.Queued > 0)
}

// relay passes on tokens until the engine marks the end. Tokens that have arrived
// together share a chunk.
func (e *engineRun) relay(body io.Reader) *wire.Chunk {
	in := bufio.NewReaderSize(body, sseLine)
	tokens := make([]wire.Token, 0, 1)
	for {
		done, err := e.read(in)
		switch {
		case err != nil:
			return e.failed(tokens, err)
		case done:
			return &wire.Chunk{Tokens: tokens, End: wire.EndComplete}
		}
		tokens = append(tokens, wire.Token{Text: e.event.Token, Version: e.event.Version})
		if len(tokens) < tokensPerChunk && eventBuffered(in) {
			continue
		}
		e.watch.pause()
		if !e.sink.put(e.ctx, &wire.Chunk{Tokens: tokens}) {
			return broken(e.ctx, e.ctx.Err())
		}
		e.watch.heard()
		tokens = make([]wire.Token, 0, 1)
	}
}

// failed ends a stream whose answer had begun. Tokens read before the failure are
// valid and are passed on with the end.
func (e *engineRun) failed(tokens []wire.Token, err error) *wire.Chunk {
	c := broken(e.ctx, err)
	c.Tokens = tokens
	return c
}

// read reads one event into e.event and checks it.
func (e *engineRun) read(in *bufio.Reader) (done bool, err error) {
	data, err := readEvent(in)
	if err != nil {
		return false, err
	}
	if e.event, err = parseTokenEvent(data); err != nil {
		return false, err
	}
	if e.event.Done {
		if e.event.Tokens != e.next {
			return false, eris.Errorf("engine announced %d tokens and sent up to %d", e.event.Tokens, e.next)
		}
		return true, nil
	}
	if e.event.Index != e.next {
		return false, eris.Errorf("engine sent token %d instead of %d", e.event.Index, e.next)
	}
	return false, e.attribute()
}

func (e *engineRun) attribute() error {
	version := e.event.Version
	if !e.t.witness.known(version) || e.any.Load() && e.previous != version {
		e.watch.pause()
		ok := e.t.witness.attribute(e.ctx, version, e.previous, e.any.Load())
		e.watch.heard()
		if !ok {
			return errUnattributed
		}
	}
	e.previous = version
	e.any.Store(true)
	e.next++
	return nil
}

// readEvent returns the data of the next server-sent event. It is valid until the
// next read.
func readEvent(in *bufio.Reader) ([]byte, error) {
	for {
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
	}
}

// eventBuffered reports whether a whole event has been read from the socket.
func eventBuffered(in *bufio.Reader) bool {
	waiting, _ := in.Peek(in.Buffered())
	at := bytes.Index(waiting, []byte("data:"))
	return at >= 0 && bytes.IndexByte(waiting[at:], '\n') >= 0
}

// state reads the engine's state on a new connection.
func (t *engineTarget) state(ctx context.Context, since uint64) (*engineState, error) {
	ctx, cancel := context.WithTimeout(ctx, stateLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, targetURL(t.address, fmt.Sprintf("/state?since=%d", since)), nil)
	if err != nil {
		return nil, eris.Wrap(err, "engine state")
	}
	resp, err := t.transport.RoundTrip(req)
	if err != nil {
		return nil, eris.Wrap(err, "engine state")
	}
	defer func() { _ = resp.Body.Close() }()
	var s engineState
	if err := json.NewDecoder(io.LimitReader(resp.Body, wire.MaxFrameBytes)).Decode(&s); err != nil {
		return nil, eris.Wrap(err, "engine state")
	}
	return &s, nil
}

// probe implements target.
func (t *engineTarget) probe(ctx context.Context) error {
	_, err := t.state(ctx, 0)
	return err
}

// orderResult is what became of an order.
type orderResult uint8

const (
	orderDone orderResult = iota + 1
	orderFailed
	// orderStale: the engine has seen a higher fence.
	orderStale
	// orderNotSent: the engine certainly did not receive the order.
	orderNotSent
	// orderUnknown: the order was sent and no answer came.
	orderUnknown
)

// load orders the engine to load a weight version and waits for the outcome.
func (t *engineTarget) load(ctx context.Context, version uint64, fence wire.Fence) orderResult {
	body, _ := json.Marshal(map[string]any{"kind": "load", "version": version, "term": fence.Term, "seq": fence.Sequence})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, targetURL(t.address, "/orders"), bytes.NewReader(body))
	if err != nil {
		return orderNotSent
	}
	req.Header.Set("Content-Type", "application/json")
	a := &attempt{transport: t.transport}
	resp, err := a.do(req)
	if err != nil && a.notRun() {
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
	}
	return orderFailed
}
