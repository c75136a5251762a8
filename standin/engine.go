package standin

import (
	"context"
	"sync"
	"time"

	"merlinhall/wire"
)

// EngineOptions configure an Engine. Zero values select the defaults.
type EngineOptions struct {
	// Slots is the maximum number of concurrently running streams; default 8.
	Slots int
	// TokenPeriod is the time per token at batch size 1; default 5 ms.
	TokenPeriod time.Duration
	// BatchSlope is the increase of the time per token for each additional stream in
	// the batch, as a fraction of TokenPeriod; default 0.05.
	BatchSlope float64
	// PrefillBytes is the number of bytes of an uncached prompt that one step
	// processes; default 256.
	PrefillBytes int
	// SwapTime is how long a weight swap pauses all streams; default 200 ms.
	SwapTime time.Duration
	// ChecksFence makes the engine reject orders with a stale fencing token.
	ChecksFence bool
	// Version is the initial weight version.
	Version uint64
	// CachePrefixes is the capacity of the prefix cache; default 256.
	CachePrefixes int
	// CacheDelay is the delay before a cache event becomes visible in GET /state.
	CacheDelay time.Duration
	// CacheEvents is the number of recent events kept for GET /state; default 256.
	CacheEvents int
}

func (o *EngineOptions) defaults() {
	setDefault(&o.Slots, 8)
	setDefault(&o.TokenPeriod, 5*time.Millisecond)
	setDefault(&o.BatchSlope, 0.05)
	setDefault(&o.PrefillBytes, 256)
	setDefault(&o.SwapTime, 200*time.Millisecond)
	setDefault(&o.CachePrefixes, 256)
	setDefault(&o.CacheEvents, 256)
}

func setDefault[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}

// Engine simulates a model engine with continuous batching.
type Engine struct {
	recorder
	faultInjector
	o EngineOptions

	// orderMu serializes the execution of orders.
	orderMu sync.Mutex

	mu           sync.Mutex
	version      uint64
	highestFence wire.Fence
	swapping     bool
	running      []*stream
	queue        []*stream
	cache        *prefixCache
	wake         chan struct{}
	cancel       context.CancelFunc
	done         chan struct{}
}

// stream is a queued or running completion.
type stream struct {
	prompt    string
	priority  int
	next      int // index of the next token to produce
	length    int
	prefill   int // remaining prefill steps
	events    chan tokenEvent
	record    *RequestRecord
	cancelled bool // the request handler has returned
}

type tokenEvent struct {
	Token   string `json:"token,omitempty"`
	Index   int    `json:"index"`
	Version uint64 `json:"version"`
	Done    bool   `json:"done,omitempty"`
	Tokens  int    `json:"tokens,omitempty"`
}

// NewEngine starts an engine; Close stops it.
func NewEngine(o EngineOptions) *Engine {
	o.defaults()
	ctx, cancel := context.WithCancel(context.Background())
	e := &Engine{
		o:       o,
		version: o.Version,
		cache:   newPrefixCache(o.CachePrefixes, o.CacheEvents),
		wake:    make(chan struct{}, 1),
		cancel:  cancel,
		done:    make(chan struct{}),
	}
	go e.loop(ctx)
	return e
}

// Close stops the engine.
func (e *Engine) Close() {
	e.cancel()
	<-e.done
}

func (e *Engine) loop(ctx context.Context) {
	defer close(e.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		period, idle := e.step()
		if idle {
			select {
			case <-e.wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		timer.Reset(period)
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
	}
}

// step produces at most one token for each running stream. It returns the time
// until the next step, and idle if no stream is running or queued.
func (e *Engine) step() (period time.Duration, idle bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.swapping {
		e.admit()
		e.advance()
	}
	batch := len(e.running)
	factor := 1 + e.o.BatchSlope*float64(max(batch-1, 0))
	return time.Duration(float64(e.o.TokenPeriod) * factor), batch == 0 && len(e.queue) == 0
}

// admit moves queued streams into free slots, highest priority first.
func (e *Engine) admit() {
	for len(e.running) < e.o.Slots && len(e.queue) > 0 {
		best := 0
		for i, s := range e.queue {
			if s.priority > e.queue[best].priority {
				best = i
			}
		}
		s := e.queue[best]
		e.queue = append(e.queue[:best], e.queue[best+1:]...)
		if s.cancelled {
			continue
		}
		if !e.cache.use(wire.PrefixHash(s.prompt), time.Now().Add(e.o.CacheDelay)) {
			s.prefill = len(s.prompt) / e.o.PrefillBytes
		}
		e.countRun(s.record)
		e.running = append(e.running, s)
	}
}

func (e *Engine) advance() {
	kept := e.running[:0]
	for _, s := range e.running {
		if !s.cancelled && e.advanceStream(s) {
			kept = append(kept, s)
		}
	}
	clear(e.running[len(kept):])
	e.running = kept
}

// advanceStream executes one step of s and reports whether s has steps left. If the
// reader has fallen behind and the event buffer is full, s skips the step.
func (e *Engine) advanceStream(s *stream) bool {
	if s.prefill > 0 {
		s.prefill--
		return true
	}
	if s.next < s.length {
		select {
		case s.events <- tokenEvent{Token: Token(s.prompt, s.next), Index: s.next, Version: e.version}:
			s.next++
		default:
			return true
		}
	}
	if s.next < s.length {
		return true
	}
	close(s.events)
	return false
}

func (e *Engine) enqueue(s *stream) {
	e.mu.Lock()
	e.queue = append(e.queue, s)
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *Engine) cancelStream(s *stream) {
	e.mu.Lock()
	s.cancelled = true
	e.mu.Unlock()
}

// Version returns the weight version that the engine currently serves.
func (e *Engine) Version() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}
