package experiment

import (
	"slices"
	"time"

	"merlinhall/wire"
)

// Figures of the engine model. A sequence in a batch of b yields
// rolloutBaseRate/(1+b/rolloutHalfRateBatch) tokens per second, so that the rate of one
// sequence falls and that of the engine grows with the batch.
const (
	rolloutSlots          = 16
	rolloutBaseRate       = 60.0
	rolloutHalfRateBatch  = 24.0
	uncachedPrefillTokens = 40 // tokens of work for a prompt that is not cached
	cachedPrefillTokens   = 4
	maxCachedPrompts      = 48 // prompts in the prefix cache of one engine
)

// sequence is one generation on an engine.
type sequence struct {
	job         *wire.Generate // nil for callers
	prompt      uint64
	arrived     time.Time
	length      float64 // tokens
	prefillLeft float64 // work left before the first token
	generated   float64 // tokens generated
	oldest      uint64
	newest      uint64
	urgent      bool
	engine      *rolloutEngine
	onFinished  func(*sequence)
}

// rolloutEngine is a model of continuous batching: up to rolloutSlots sequences
// share the engine, the others wait.
type rolloutEngine struct {
	model            *rolloutModel
	index            int
	running          []*sequence
	queue            []*sequence
	cachedPrompts    []uint64 // most recently used last
	versions         map[string]uint64
	swapsInProgress  int // swaps under way; the engine stands still
	down             bool
	advancedTo       time.Time // up to when progress is counted
	completionSerial int       // invalidates planned completions
}

func sequenceRate(batch int) float64 {
	return rolloutBaseRate / (1 + float64(batch)/rolloutHalfRateBatch)
}

// engineCapacity is the token rate of one engine with a full batch.
func engineCapacity() float64 { return rolloutSlots * sequenceRate(rolloutSlots) }

func (e *rolloutEngine) stopped() bool { return e.down || e.swapsInProgress > 0 }

// advance counts the progress since the last event of the engine.
func (e *rolloutEngine) advance() {
	now := e.model.events.now
	elapsed := now.Sub(e.advancedTo).Seconds()
	e.advancedTo = now
	if e.stopped() || len(e.running) == 0 {
		return
	}
	each := elapsed * sequenceRate(len(e.running))
	for _, s := range e.running {
		work := each
		used := min(work, s.prefillLeft)
		s.prefillLeft -= used
		s.generated = min(s.length, s.generated+work-used)
	}
}

// update finishes sequences, fills free slots and plans the next completion.
func (e *rolloutEngine) update() {
	e.completionSerial++
	if e.stopped() {
		return
	}
	const nearly = 1e-6
	var over []*sequence
	e.running = slices.DeleteFunc(e.running, func(s *sequence) bool {
		if s.generated < s.length-nearly {
			return false
		}
		over = append(over, s)
		return true
	})
	e.startQueued()
	e.scheduleCompletion()
	for _, s := range over {
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
	least := e.running[0].prefillLeft + e.running[0].length - e.running[0].generated
	for _, s := range e.running[1:] {
		least = min(least, s.prefillLeft+s.length-s.generated)
	}
	wait := time.Duration(least/sequenceRate(len(e.running))*float64(time.Second)) + time.Microsecond
	turn := e.completionSerial
	e.model.events.after(wait, func() {
		if turn == e.completionSerial {
			e.advance()
			e.update()
		}
	})
}

// add queues a sequence. Engines that serve by priority put callers first.
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

// remove takes a sequence off the engine.
func (e *rolloutEngine) remove(s *sequence) {
	e.advance()
	same := func(o *sequence) bool { return o == s }
	e.running = slices.DeleteFunc(e.running, same)
	e.queue = slices.DeleteFunc(e.queue, same)
	e.update()
}

// swap stops the engine while it loads a version.
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

// crash loses all sequences of the engine and returns them.
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
