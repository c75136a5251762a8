package quarantine

import (
	"time"

	"merlinhall/directory"
	"merlinhall/upstream"
	"merlinhall/wire"
)

// Run is a request that was sent to a target.
type Run struct {
	Request *upstream.Request
	Account string // client account, empty if it has none
	Route   string
	Target  *wire.TargetEntry
	Took    time.Duration // from the sending until now
	Permit  *Permit       // nil if the request was not suspect
}

// Outcome is what became of a Run.
type Outcome int

// Outcomes.
const (
	NoOutcome       Outcome = iota // the target may have ended: no response in time, or nobody waited for one
	Answered                       // the target answered it
	NoEvidence                     // it was not sent, or the target refused it or said that it failed
	ConnectionEnded                // the response broke off, and the target's address still listens
	TargetEnded                    // the response broke off, and nothing listens there
)

// Ended takes what became of a request.
func (k *Keeper) Ended(run Run, outcome Outcome) {
	if k == nil {
		return
	}
	// The leader must not hear of the end of a trial before its outcome.
	defer k.Release(run.Permit)
	switch outcome {
	case NoEvidence: // a target that fails requests may do so without running them
	case Answered:
		if key, suspect := k.Suspect(run.Request, run.Account); suspect {
			k.answered(key)
		}
	default:
		k.broken(run, outcome)
	}
}

// answered notes that a target answered a request with the key.
func (k *Keeper) answered(key Key) {
	k.mu.Lock()
	tell := k.add(key, &record{answered: true, answeredAt: k.o.Clock()})
	k.mu.Unlock()
	tell()
}

// broken notes that there is no answer. A suspect that is tried has to be answered: without an
// outcome it counts as if the target had ended. Otherwise the list of targets may still show
// that it has.
func (k *Keeper) broken(run Run, outcome Outcome) {
	k.mu.Lock()
	now := k.o.Clock()
	view := k.o.Directory.View()
	leaving := false
	if t := view.Target(run.Target.ID); t != nil {
		leaving = t.Draining
	}
	tried := run.Permit != nil && run.Permit.strikes >= suspectStrikes
	b := brokenRun{key: KeyOf(run.Request, run.Account), route: run.Route, request: run.Request.ID, sentAt: now - run.Took, at: now}
	tell := func() {}
	switch {
	case leaving:
		// A planned stop ends it.
	case outcome == TargetEnded, outcome == NoOutcome && tried:
		tell = k.add(b.key, b.record(run.Target.ID))
	default:
		k.pending.add(run.Target, b)
	}
	k.mu.Unlock()
	tell()
}

// targetsChanged looks for targets that have ended without a word, by the list.
func (k *Keeper) targetsChanged(v *directory.View) {
	k.mu.Lock()
	var tells []func()
	for target, runs := range k.pending.ended(k.o.Clock(), v) {
		for _, b := range runs {
			tells = append(tells, k.add(b.key, b.record(target)))
		}
	}
	k.mu.Unlock()
	for _, tell := range tells {
		tell()
	}
}

// brokenRun is a run without an answer.
type brokenRun struct {
	key            Key
	route, request string
	sentAt, at     time.Duration
}

func (b brokenRun) record(target string) *record {
	return &record{ends: []End{{Target: target, SentAt: b.sentAt, At: b.at}}, arrivedAt: b.at, route: b.route, request: b.request}
}

const (
	// pendingTime is how long after a run without an answer the list of targets may show that
	// its target has ended. The list shows a target for some seconds after its end.
	pendingTime = 15 * time.Second
	// maxPendingTargets and maxPendingRuns bound the runs that are remembered for it.
	maxPendingTargets = 256
	maxPendingRuns    = 64
)

// pending holds runs without an answer at targets that have not been seen to end.
type pending map[string]*pendingTarget

type pendingTarget struct {
	startedMs int64
	until     time.Duration
	draining  bool
	runs      []brokenRun
}

func newPending() pending { return make(pending) }

func (p pending) add(t *wire.TargetEntry, b brokenRun) {
	have := p[t.ID]
	if have == nil || have.startedMs != t.StartedMs {
		if len(p) >= maxPendingTargets {
			return
		}
		have = &pendingTarget{startedMs: t.StartedMs, draining: t.Draining}
		p[t.ID] = have
	}
	have.until = b.at + pendingTime
	if len(have.runs) < maxPendingRuns {
		have.runs = append(have.runs, b)
	}
}

// ended returns the runs at targets that are no longer listed, or have started again, without
// having been leaving before.
func (p pending) ended(now time.Duration, v *directory.View) map[string][]brokenRun {
	out := make(map[string][]brokenRun)
	for id, have := range p {
		t := v.Target(id)
		switch {
		case t != nil && t.StartedMs == have.startedMs:
			have.draining = have.draining || t.Draining
			if now > have.until {
				delete(p, id)
			}
			continue
		case !have.draining && now <= have.until:
			out[id] = have.runs
		}
		delete(p, id)
	}
	return out
}
