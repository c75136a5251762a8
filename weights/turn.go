package weights

import (
	"time"

	"merlinhall/wire"
)

const (
	// RoundPeriod is the time between two rounds of questions to the lane.
	RoundPeriod = 100 * time.Millisecond
	// RoundLimit is how long a round waits for answers. A replica whose agent cannot
	// be reached counts as not swapping. A link reports that by itself within 4 s
	// (2 s to dial, 2 s of silence); the limit is for an agent whose link lives and
	// that does not answer.
	RoundLimit = 5 * time.Second
	// patience is how long a replica waits for the one before it, if that one
	// neither swaps nor is about to. It may not know the version yet or lack the
	// bytes; new weights have 17 s to reach all replicas.
	patience = 3 * time.Second
)

// Turn finds out when a replica may swap. At most one replica of a lane swaps at a
// time: an agent claims the swap, then asks all others of the lane, and goes on
// only when none of them has a claim. Of two that claim at once, at least one sees
// the claim of the other; the one later in the lane then withdraws. An agent asks
// without a claim until the lane is free, as claims of agents that only wait would
// hold up the one whose turn it is.
//
// Within a lane the replicas swap in order. The order is a preference: it is given
// up after patience, the exclusion is not.
type Turn struct {
	Plan   *Plan
	Target string

	lane    []Member
	at      int
	claimed bool
	ready   bool // the lane was free when asked without a claim
	round   uint64
	began   int64 // ms
	next    int64 // start of the next round
	limit   int64 // end of the current round
	asking  bool
	answers map[string]*wire.SwapState

	noClaim bool // switches the claim off, for tests
}

// TurnStep is what a Turn asks for.
type TurnStep struct {
	Go    bool            // the replica may swap now
	Ask   []Member        // agents to ask
	Query *wire.SwapQuery // what to ask them
}

// NewTurn returns the turn of target in the plan.
func NewTurn(p *Plan, target string, now int64) *Turn {
	lane, at := p.Lane(target)
	return &Turn{Plan: p, Target: target, lane: lane, at: at, began: now, next: now}
}

// Claim returns how the replica stands to the swap, for the answers to others.
func (t *Turn) Claim() wire.SwapClaim {
	if t.claimed && !t.noClaim {
		return wire.SwapClaimed
	}
	return wire.SwapIdle
}

// Step goes on with the turn. It is called with the time in Unix milliseconds,
// after each answer and from time to time.
func (t *Turn) Step(now int64) TurnStep {
	switch {
	case t.at < 0 || len(t.lane) == 1:
		return TurnStep{Go: true}
	case t.asking && len(t.answers) < len(t.lane)-1 && now < t.limit:
		return TurnStep{}
	case t.asking:
		t.asking = false
		return t.decide(now)
	case now < t.next:
		return TurnStep{}
	}
	return t.ask(now)
}

func (t *Turn) ask(now int64) TurnStep {
	t.claimed = t.claimed || t.ready
	t.asking = true
	t.round++
	t.limit = now + RoundLimit.Milliseconds()
	t.answers = make(map[string]*wire.SwapState, len(t.lane))
	step := TurnStep{Query: &wire.SwapQuery{Pool: t.Plan.Pool, Version: t.Plan.Version, Round: t.round}}
	for i, m := range t.lane {
		if i != t.at {
			step.Ask = append(step.Ask, m)
		}
	}
	return step
}

// Answer takes up an answer. Answers to earlier rounds are stale, and those of
// replicas outside the lane do not stand for one that has not answered.
func (t *Turn) Answer(s *wire.SwapState) {
	if !t.asking || s.Round != t.round || s.Pool != t.Plan.Pool {
		return
	}
	for i, m := range t.lane {
		if m.Target == s.Target && i != t.at {
			t.answers[s.Target] = s
		}
	}
}

// UnreachableAddress notes that the agent at the address cannot be asked in this
// round.
func (t *Turn) UnreachableAddress(address string) {
	if !t.asking {
		return
	}
	for _, m := range t.lane {
		if _, answered := t.answers[m.Target]; m.Agent == address && !answered {
			t.answers[m.Target] = nil
		}
	}
}

func (t *Turn) decide(now int64) TurnStep {
	t.next = now + RoundPeriod.Milliseconds()
	free := true
	for i, m := range t.lane {
		s := t.answers[m.Target]
		if i == t.at || s == nil || s.Claim == wire.SwapIdle {
			continue
		}
		free = false
		if i < t.at || s.Claim == wire.SwapStarted {
			t.claimed = false
		}
	}
	t.ready = free && (t.claimed || t.preceded() || now-t.began >= patience.Milliseconds())
	switch {
	case !t.ready:
		return TurnStep{}
	case t.claimed:
		return TurnStep{Go: true}
	}
	return t.ask(now)
}

// preceded reports whether the nearest replica before this one that is up has
// finished with the version.
func (t *Turn) preceded() bool {
	for i := t.at - 1; i >= 0; i-- {
		s := t.answers[t.lane[i].Target]
		if s == nil || s.Down {
			continue
		}
		return s.Served >= t.Plan.Version || s.SetAside >= t.Plan.Version
	}
	return true
}
