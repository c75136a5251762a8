package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"merlinhall/wire"
)

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 8 << 20

// Completion is the request body of POST /v1/completions.
type Completion struct {
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

// Order is the request body of POST /orders.
type Order struct {
	Kind    string `json:"kind"` // "load"
	Version uint64 `json:"version"`
	Term    uint64 `json:"term"`
	Seq     uint64 `json:"seq"`
}

// EngineState is the response of GET /state.
type EngineState struct {
	Version  uint64       `json:"version"`
	Swapping bool         `json:"swapping"`
	Running  int          `json:"running"`
	Queued   int          `json:"queued"`
	FreeKV   int          `json:"free_kv"` // tokens
	Events   []CacheEvent `json:"cache_events,omitempty"`
	// Lost is set if some events after the requested sequence number are no longer
	// available, or if that number is higher than that of any event.
	Lost bool `json:"lost,omitempty"`
	// Next is the value of the parameter since for the next request.
	Next uint64 `json:"next"`
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "POST /v1/completions":
		e.serveCompletion(w, r)
	case "POST /orders":
		e.serveOrder(w, r)
	case "GET /state":
		e.serveState(w, r)
	case "GET /record":
		writeJSON(w, http.StatusOK, e.Record())
	case "POST /fault":
		e.faultInjector.serve(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var c Completion
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	record := e.begin(RequestRecord{
		ID:     r.Header.Get(HeaderRunID),
		CallID: r.Header.Get(HeaderCallID),
		Method: r.Method,
		Path:   r.URL.Path,
		Prompt: c.Prompt,
		Seed:   c.Seed,
	})
	if _, ok := e.trigger(FaultHang); ok {
		<-r.Context().Done()
		return
	}
	if _, ok := e.trigger(FaultRefuse); ok {
		http.Error(w, "engine is not available", http.StatusServiceUnavailable)
		return
	}
	for i, token := range c.Prefix {
		if token != Token(c.Prompt, i) {
			http.Error(w, "prefix does not belong to the prompt", http.StatusBadRequest)
			return
		}
	}
	s := &stream{
		prompt:   c.Prompt,
		priority: c.Priority,
		next:     len(c.Prefix),
		length:   Length(c.Prompt, c.Seed, c.MaxTokens),
		events:   make(chan tokenEvent, 256),
		record:   record,
	}
	e.enqueue(s)
	defer e.cancelStream(s)
	if c.Stream {
		e.writeStream(w, r, s)
		return
	}
	e.writeNonStreaming(w, r, s)
}

func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, s *stream) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w).Flush
	_ = flush()
	crash, crashes := e.trigger(FaultCrash)
	silent, goesSilent := e.trigger(FaultSilent)
	sent := 0
	for {
		select {
		case ev, ok := <-s.events:
			if !ok {
				e.update(func() { s.record.Completed = true })
				writeEvent(w, tokenEvent{Done: true, Index: s.length, Tokens: s.length})
				_ = flush()
				return
			}
			if crashes && sent >= crash.After {
				panic(http.ErrAbortHandler)
			}
			if goesSilent && sent >= silent.After {
				<-r.Context().Done()
				return
			}
			time.Sleep(e.delay(FaultSlow))
			e.recordToken(s.record, ev.Index, ev.Version)
			writeEvent(w, ev)
			_ = flush()
			sent++
		case <-r.Context().Done():
			e.update(func() { s.record.Cancelled = true })
			return
		}
	}
}

func writeEvent(w http.ResponseWriter, ev tokenEvent) {
	body, _ := json.Marshal(ev)
	line := make([]byte, 0, len(body)+8)
	line = append(line, "data: "...)
	line = append(line, body...)
	line = append(line, '\n', '\n')
	_, _ = w.Write(line)
}

func (e *Engine) writeNonStreaming(w http.ResponseWriter, r *http.Request, s *stream) {
	var events []tokenEvent
	for {
		select {
		case ev, ok := <-s.events:
			if !ok {
				e.update(func() { s.record.Completed = true })
				writeJSON(w, http.StatusOK, map[string]any{"tokens": events})
				return
			}
			events = append(events, ev)
			e.recordToken(s.record, ev.Index, ev.Version)
		case <-r.Context().Done():
			e.update(func() { s.record.Cancelled = true })
			return
		}
	}
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	status, outcome := e.executeOrder(o)
	e.recordOrder(OrderRecord{Kind: o.Kind, Version: o.Version, Term: o.Term, Seq: o.Seq, Outcome: outcome})
	if outcome == "silent" {
		<-r.Context().Done()
		return
	}
	writeJSON(w, status, map[string]any{"outcome": outcome, "version": e.Version()})
}

// executeOrder executes an order to completion, even if the client disconnects. An
// order of a kind other than "load" has no effect.
func (e *Engine) executeOrder(o Order) (status int, outcome string) {
	if o.Kind != "load" {
		return http.StatusOK, "done"
	}
	e.orderMu.Lock()
	defer e.orderMu.Unlock()
	if !e.beginSwap(wire.Fence{Term: o.Term, Sequence: o.Seq}) {
		return http.StatusConflict, "stale"
	}
	time.Sleep(e.o.SwapTime)
	_, fails := e.trigger(FaultSwap)
	_, silent := e.trigger(FaultSwapSilent)
	e.endSwap(o.Version, fails)
	switch {
	case silent:
		return 0, "silent"
	case fails:
		return http.StatusInternalServerError, "failed"
	}
	return http.StatusOK, "done"
}

func (e *Engine) beginSwap(fence wire.Fence) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.o.ChecksFence && fence.Less(e.highestFence) {
		return false
	}
	if e.highestFence.Less(fence) {
		e.highestFence = fence
	}
	e.swapping = true
	return true
}

func (e *Engine) endSwap(version uint64, failed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.swapping = false
	if failed {
		return
	}
	e.version = version
	e.cache.reset(time.Now().Add(e.o.CacheDelay))
}

func (e *Engine) serveState(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	writeJSON(w, http.StatusOK, e.State(since))
}

// State returns the engine's state and the visible cache events after since.
func (e *Engine) State(since uint64) EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	used := 0
	for _, s := range e.running {
		used += len(s.prompt)/4 + s.next
	}
	events, lost := e.cache.since(since, time.Now())
	state := EngineState{
		Version:  e.version,
		Swapping: e.swapping,
		Running:  len(e.running),
		Queued:   len(e.queue),
		FreeKV:   max(e.o.Slots*4096-used, 0),
		Events:   events,
		Lost:     lost,
		Next:     since,
	}
	if lost {
		state.Next = e.cache.seq
	}
	if n := len(events); n > 0 {
		state.Next = events[n-1].Seq
	}
	return state
}
