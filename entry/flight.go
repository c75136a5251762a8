package entry

import (
	"context"
	"time"

	"merlinhall/admission"
	"merlinhall/routing"
	"merlinhall/wire"
)

// flight is a request between its caller and the dispatcher.
type flight struct {
	request    *request
	name       string // of the service or pool
	caller     string
	callerID   string // request id that the caller knows
	priority   int8
	minVersion uint64
	prefixes   []uint64
	cost       float64

	// The rest belongs to the dispatcher.
	service      *service
	accepted     time.Time
	assigned     time.Time // to the current target
	waiting      time.Time // since when, for another target
	notBefore    time.Time // of the next attempt
	target       *target   // of the current attempt, nil while waiting
	avoid        string
	item         *admission.Item[*flight]
	tries        int
	status       int // of the answer of a plain service
	tokensBefore int // tokens that earlier targets generated

	// chunks never blocks the dispatcher: the credit window bounds the chunks
	// that were delivered and not taken.
	chunks chan piece
	result Result // valid after chunks is closed
}

// piece is a chunk of an attempt. The caller of a plain service forgets the pieces
// of earlier attempts; a generation goes on after them.
type piece struct {
	*wire.Chunk
	attempt int
}

func newFlight(name string, r *request) *flight {
	f := &flight{
		name:     name,
		request:  r,
		caller:   r.run.Caller,
		callerID: r.id,
		priority: r.run.Priority,
		cost:     costOf(&r.run),
		chunks:   make(chan piece, creditWindow),
	}
	if g := r.run.Generation; g != nil {
		f.prefixes = routing.PrefixHashes(g.Prompt)[:min(1, len(g.Prompt))]
	}
	return f
}

// setPriority replaces the configured priority by p when p is set.
func (f *flight) setPriority(p *int8) {
	if p == nil {
		return
	}
	f.priority = *p
	f.request.run.Priority = *p
}

// follow passes the chunks of f to take until the end and returns the result.
// When ctx ends or take fails, the request is cancelled.
func (e *Entry) follow(ctx context.Context, f *flight, take func(piece) error) Result {
	var taken uint64
	for {
		select {
		case c, ok := <-f.chunks:
			if !ok {
				return f.result
			}
			if err := take(c); err != nil {
				return e.leave(f)
			}
			taken++
			if taken >= creditStep {
				e.offer(ctx, consumedMessage{f, taken})
				taken = 0
			}
		case <-ctx.Done():
			return e.leave(f)
		}
	}
}

// leave cancels f and returns its result.
func (e *Entry) leave(f *flight) Result {
	e.offer(context.Background(), leaveMessage{f})
	for range f.chunks {
	}
	return f.result
}

// submit gives f to the dispatcher. It returns false when f was not accepted; then
// f.result is set.
func (e *Entry) submit(f *flight) bool {
	// Counted before the check, so that Drain cannot miss a request.
	e.running.Add(1)
	if e.draining.Load() {
		return e.refuse(f, "this entry is draining")
	}
	if err := e.duty.Offer(submitMessage{f}); err != nil {
		return e.refuse(f, "this entry is overloaded")
	}
	return true
}

func (e *Entry) refuse(f *flight, why string) bool {
	f.result = notRun(why, time.Second)
	e.ended(f)
	return false
}

// ended counts the end of a submitted request.
func (e *Entry) ended(f *flight) {
	e.metrics.finished(f)
	e.logEnd(f)
	if e.running.Add(-1) > 0 {
		return
	}
	select {
	case e.idle <- struct{}{}:
	default:
	}
}

func (e *Entry) logEnd(f *flight) {
	log := e.log.WithField("request", f.callerID).WithField("id", f.request.id).WithField("service", f.name)
	switch r := f.result; {
	case r.Outcome == OutcomeDone:
		log.WithField("target", r.Target).Debug("request is done")
	case r.Outcome == OutcomeNotRun || r.Status == statusCallerGone:
		log.WithField("detail", r.Detail).Debug("request did not finish")
	default:
		log.WithField("target", r.Target).WithField("detail", r.Detail).Warn("outcome of a request is unknown")
	}
}

func notRun(detail string, retryAfter time.Duration) Result {
	return Result{Outcome: OutcomeNotRun, Status: statusUnavailable, RetryAfter: retryAfter, Detail: detail}
}
