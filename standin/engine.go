package standin

import (
	"context"
	"sync"
	"time"

	"merlinhall/wire"
)

// EngineOptions set the behaviour of an Engine. Zero values take the defaults.
type EngineOptions struct {
	Name string
	// Slots is the number of streams that run at once; default 8.
	Slots int
	// TokenPeriod is the time between two tokens of a stream that runs alone;
	// default 5 ms.
	TokenPeriod time.Duration
	// BatchSlope is how much each further stream of the batch adds to the period,
	// as a share of TokenPeriod; default 0.05.
	BatchSlope float64
	// PrefillBytes is how much of an uncached prompt one period processes;
	// default 256.
	PrefillBytes int
	// SwapTime is how long a swap pauses the streams; default 200 ms.
	SwapTime time.Duration
	// ChecksFence makes the engine refuse orders with an old fence.
	ChecksFence bool
	// Version is the weight version at the start.
	Version uint64
	// CachePrefixes bounds the prefix cache; default 256.
	CachePrefixes int
	// CacheDelay is how late cache events appear in GET /state.
	CacheDelay time.Duration
	// CacheEvents is how many events GET /state remembers; default 256.
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

// Engine is a model engine with continuous batching.
type Engine struct {
	recorder
	faultInjector
	o EngineOptions

	// orderMu makes the engine carry out one order at a time.
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

// stream is one completion in the engine.
type stream struct {
	prompt    string
	priority  int
	next      int // index of the next token
	length    int
	prefill   int // periods of prefill left
	events    chan tokenEvent
	record    *RequestRecord
	cancelled bool
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

// step produces one token of each running stream and returns the time until the
// next step.
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

// admit moves waiting streams into free slots, the most urgent first.
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

// advanceStream reports whether the stream goes on. A stream whose reader is
// slow skips the step.
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

// Version returns the weight version that the engine serves.
func (e *Engine) Version() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}
