package experiment

import (
	"slices"
	"time"

	"merlinhall/wire"
)

// Parameters of the engine model. A sequence in a batch of b generates
// baseRate/(1+b/halfRateBatch) tokens per second: with a larger batch
// each sequence slows down, while the engine's total rate grows.
const (
	rolloutSlots          = 16
	baseRate              = 60.0
	halfRateBatch         = 24.0
	uncachedPrefillTokens = 40 // prefill work for a prompt that is not cached, in generated tokens
	cachedPrefillTokens   = 4
	maxCachedPrompts      = 48 // size of an engine's prefix cache
)

// sequence is one generation on an engine.
type sequence struct {
	job         *wire.Generate // nil for callers
	prompt      uint64
	arrived     time.Time
	length      float64 // tokens
	prefillLeft float64 // remaining prefill work, in generated tokens
	generated   float64 // tokens generated
	oldest      uint64
	newest      uint64
	urgent      bool
	engine      *rolloutEngine
	onFinished  func(*sequence)
}

// rolloutEngine models continuous batching: up to rolloutSlots sequences run in one
// batch, and the others wait in a queue.
type rolloutEngine struct {
	model            *rolloutModel
	index            int
	running          []*sequence
	queue            []*sequence
	cachedPrompts    []uint64 // most recently used last
	versions         map[string]uint64
	swapsInProgress  int // no sequence advances while a weight swap runs
	down             bool
	advancedTo       time.Time // time up to which progress is counted
	completionSerial int       // invalidates completion events that were scheduled before
}

// sequenceRate returns the tokens per second of one sequence in a batch.
func sequenceRate(batch int) float64 { return baseRate / (1 + float64(batch)/halfRateBatch) }

// engineCapacity returns the tokens per second of an engine with a full batch.
func engineCapacity() float64 { return rolloutSlots * sequenceRate(rolloutSlots) }

func (e *rolloutEngine) stopped() bool { return e.down || e.swapsInProgress > 0 }

// advance adds the progress of the running sequences since the last event of the
// engine. It must run before the batch or the state of the engine changes.
func (e *rolloutEngine) advance() {
	now := e.model.events.now
	elapsed := now.Sub(e.advancedTo).Seconds()
	e.advancedTo = now
	if e.stopped() || len(e.running) == 0 {
		return
	}
	tokensEach := elapsed * sequenceRate(len(e.running))
	for _, s := range e.running {
		work := tokensEach
		used := min(work, s.prefillLeft)
		s.prefillLeft -= used
		s.generated = min(s.length, s.generated+work-used)
	}
}

// update completes finished sequences, fills free slots from the queue and schedules
// the next completion.
func (e *rolloutEngine) update() {
	e.completionSerial++
	if e.stopped() {
		return
	}
	const tolerance = 1e-6
	var completed []*sequence
	e.running = slices.DeleteFunc(e.running, func(s *sequence) bool {
		if s.generated < s.length-tolerance {
			return false
		}
		completed = append(completed, s)
		return true
	})
	e.startQueued()
	e.scheduleCompletion()
	for _, s := range completed {
		if s.job != nil {
			s.newest = e.versions[s.job.Pool]
		}
		s.onFinished(s)
	}
}

func (e *rolloutEngine) startQueued() {
	for len(e.running) < rolloutSlots && len(e.queue) > 0 {
		s := e.queue[0]
		e.queue = e.queue[1:]
		s.prefillLeft = uncachedPrefillTokens
		if i := slices.Index(e.cachedPrompts, s.prompt); i >= 0 {
			s.prefillLeft = cachedPrefillTokens
			e.cachedPrompts = slices.Delete(e.cachedPrompts, i, i+1)
		}
		e.cachedPrompts = append(e.cachedPrompts, s.prompt)
		if len(e.cachedPrompts) > maxCachedPrompts {
			e.cachedPrompts = e.cachedPrompts[1:]
		}
		if s.job != nil && s.generated == 0 {
			s.oldest = e.versions[s.job.Pool]
		}
		e.running = append(e.running, s)
	}
}

func (e *rolloutEngine) scheduleCompletion() {
	if len(e.running) == 0 {
		return
	}
	shortest := e.running[0].prefillLeft + e.running[0].length - e.running[0].generated
	for _, s := range e.running[1:] {
		shortest = min(shortest, s.prefillLeft+s.length-s.generated)
	}
	wait := time.Duration(shortest/sequenceRate(len(e.running))*float64(time.Second)) + time.Microsecond
	serial := e.completionSerial
	e.model.events.after(wait, func() {
		if serial == e.completionSerial {
			e.advance()
			e.update()
		}
	})
}

// add queues a sequence. Urgent sequences precede the others in the queue.
func (e *rolloutEngine) add(s *sequence) {
	e.advance()
	s.engine = e
	at := len(e.queue)
	if s.urgent {
		for at > 0 && !e.queue[at-1].urgent {
			at--
		}
	}
	e.queue = slices.Insert(e.queue, at, s)
	e.update()
}

// remove cancels a sequence on the engine.
func (e *rolloutEngine) remove(s *sequence) {
	e.advance()
	same := func(o *sequence) bool { return o == s }
	e.running = slices.DeleteFunc(e.running, same)
	e.queue = slices.DeleteFunc(e.queue, same)
	e.update()
}

// swap pauses the engine while it loads a weight version, and then calls then.
func (e *rolloutEngine) swap(pool string, version uint64, took time.Duration, then func()) {
	e.advance()
	e.swapsInProgress++
	e.update()
	e.model.events.after(took, func() {
		e.advance()
		e.swapsInProgress--
		e.versions[pool] = max(e.versions[pool], version)
		e.update()
		then()
	})
}

// crash takes the engine down for a while and returns the sequences that it ran or
// queued.
func (e *rolloutEngine) crash(down time.Duration) []*sequence {
	e.advance()
	e.down = true
	lost := append(e.running, e.queue...)
	e.running, e.queue, e.cachedPrompts = nil, nil, nil
	e.update()
	e.model.events.after(down, func() {
		e.advance()
		e.down = false
		e.update()
	})
	return lost
}
