package experiment

import (
	"slices"
	"time"

	"merlinhall/wire"
)

// Figures of the engine model. A sequence in a batch of b yields
// rolloutRate/(1+b/rolloutHalf) tokens per second, so that the rate of one
// sequence falls and that of the engine grows with the batch.
const (
	rolloutSlots = 16
	rolloutRate  = 60.0
	rolloutHalf  = 24.0
	prefillMiss  = 40 // tokens of work for a prompt that is not cached
	prefillHit   = 4
	prefixesKept = 48 // prompts in the prefix cache of one engine
)

// sequence is one generation on an engine.
type sequence struct {
	job      *wire.Generate // nil for callers
	prompt   uint64
	arrived  time.Time
	length   float64 // tokens
	prefill  float64 // work left before the first token
	done     float64 // tokens generated
	oldest   uint64
	newest   uint64
	urgent   bool
	engine   *rolloutEngine
	finished func(*sequence)
}

// rolloutEngine is a model of continuous batching: up to rolloutSlots sequences
// share the engine, the others wait.
type rolloutEngine struct {
	m        *rolloutModel
	index    int
	running  []*sequence
	queue    []*sequence
	prefixes []uint64 // most recently used last
	versions map[string]uint64
	swapping int // swaps under way; the engine stands still
	down     bool
	last     time.Time // up to when progress is counted
	turn     int       // invalidates planned completions
}

func rateAt(batch int) float64 { return rolloutRate / (1 + float64(batch)/rolloutHalf) }

// capacity is the token rate of one engine with a full batch.
func capacity() float64 { return rolloutSlots * rateAt(rolloutSlots) }

func (e *rolloutEngine) stopped() bool { return e.down || e.swapping > 0 }

// advance counts the progress since the last event of the engine.
func (e *rolloutEngine) advance() {
	now := e.m.events.now
	elapsed := now.Sub(e.last).Seconds()
	e.last = now
	if e.stopped() || len(e.running) == 0 {
		return
	}
	each := elapsed * rateAt(len(e.running))
	for _, s := range e.running {
		work := each
		used := min(work, s.prefill)
		s.prefill -= used
		s.done = min(s.length, s.done+work-used)
	}
}

// settle finishes sequences, fills free slots and plans the next completion.
func (e *rolloutEngine) settle() {
	e.turn++
	if e.stopped() {
		return
	}
	const nearly = 1e-6
	var over []*sequence
	e.running = slices.DeleteFunc(e.running, func(s *sequence) bool {
		if s.done < s.length-nearly {
			return false
		}
		over = append(over, s)
		return true
	})
	e.fill()
	e.plan()
	for _, s := range over {
		if s.job != nil {
			s.newest = e.versions[s.job.Pool]
		}
		s.finished(s)
	}
}

func (e *rolloutEngine) fill() {
	for len(e.running) < rolloutSlots && len(e.queue) > 0 {
		s := e.queue[0]
		e.queue = e.queue[1:]
		s.prefill = prefillMiss
		if i := slices.Index(e.prefixes, s.prompt); i >= 0 {
			s.prefill = prefillHit
			e.prefixes = slices.Delete(e.prefixes, i, i+1)
		}
		e.prefixes = append(e.prefixes, s.prompt)
		if len(e.prefixes) > prefixesKept {
			e.prefixes = e.prefixes[1:]
		}
		if s.job != nil && s.done == 0 {
			s.oldest = e.versions[s.job.Pool]
		}
		e.running = append(e.running, s)
	}
}

func (e *rolloutEngine) plan() {
	if len(e.running) == 0 {
		return
	}
	least := e.running[0].prefill + e.running[0].length - e.running[0].done
	for _, s := range e.running[1:] {
		least = min(least, s.prefill+s.length-s.done)
	}
	wait := time.Duration(least/rateAt(len(e.running))*float64(time.Second)) + time.Microsecond
	turn := e.turn
	e.m.events.after(wait, func() {
		if turn == e.turn {
			e.advance()
			e.settle()
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
	e.settle()
}

// remove takes a sequence off the engine.
func (e *rolloutEngine) remove(s *sequence) {
	e.advance()
	same := func(o *sequence) bool { return o == s }
	e.running = slices.DeleteFunc(e.running, same)
	e.queue = slices.DeleteFunc(e.queue, same)
	e.settle()
}

// swap stops the engine while it loads a version.
func (e *rolloutEngine) swap(pool string, version uint64, took time.Duration, then func()) {
	e.advance()
	e.swapping++
	e.settle()
	e.m.events.after(took, func() {
		e.advance()
		e.swapping--
		e.versions[pool] = max(e.versions[pool], version)
		e.settle()
		then()
	})
}

// crash loses all sequences of the engine and returns them.
func (e *rolloutEngine) crash(down time.Duration) []*sequence {
	e.advance()
	e.down = true
	lost := append(e.running, e.queue...)
	e.running, e.queue, e.prefixes = nil, nil, nil
	e.settle()
	e.m.events.after(down, func() {
		e.advance()
		e.down = false
		e.settle()
	})
	return lost
}
