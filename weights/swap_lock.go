package weights

import (
	"time"

	"merlinhall/wire"
)

const (
	// RoundPeriod is the time between two rounds of queries to the lane.
	RoundPeriod = 100 * time.Millisecond
	// RoundTimeout is how long a round waits for answers. A replica whose agent cannot
	// be reached counts as not swapping. The link reports an unreachable agent within
	// 4.5 s (2 s to dial, 2.5 s of silence); the timeout covers an agent whose link is up
	// but that does not answer.
	RoundTimeout = 5 * time.Second
	// orderTimeout is how long a replica waits for its predecessor in the lane if that
	// one neither swaps nor is about to. The predecessor may not know the version yet
	// or lack the bytes; new weights must reach all replicas within 17 s.
	orderTimeout = 3 * time.Second
)

// SwapLock decides when a replica may swap its weights. It is a distributed lock
// over the replicas of a lane, of which at most one may swap at a time: an agent
// claims the swap, then queries all others in the lane, and proceeds only if none
// of them has a claim. Of two agents that claim concurrently, at least one sees the
// claim of the other and does not proceed. An agent withdraws its claim when it sees
// one earlier in the lane, or a swap that has started. An agent queries without a
// claim until the lane is free, because claims of agents that only wait would block
// the one that is next.
//
// The replicas of a lane swap in order. The order is only a preference, which is
// abandoned after orderTimeout; the mutual exclusion is not.
type SwapLock struct {
	Plan   *Plan
	Target string

	lane          []Member
	position      int
	claimed       bool
	mayClaim      bool // the last round found the lane free and the order permits a claim
	round         uint64
	startedAt     int64 // ms
	nextRoundAt   int64 // earliest start of the next round, ms
	roundDeadline int64 // end of the current round, ms
	asking        bool
	answers       map[string]*wire.SwapState

	skipClaim bool // hides the claim from others, for tests
}

// SwapLockStep is what the caller of SwapLock.Step must do.
type SwapLockStep struct {
	Go    bool            // the replica may swap now
	Ask   []Member        // agents to query
	Query *wire.SwapQuery // query for these agents
}

// NewSwapLock returns the swap lock of target for the version of the plan. Its rounds follow
// lastRound, that of the agent's last query, so that a late answer to a query of an earlier
// lock counts in none of them.
func NewSwapLock(p *Plan, target string, now int64, lastRound uint64) *SwapLock {
	lane, at := p.Lane(target)
	return &SwapLock{Plan: p, Target: target, lane: lane, position: at, round: lastRound, startedAt: now, nextRoundAt: now}
}

// Claim returns the claim to report to other agents.
func (l *SwapLock) Claim() wire.SwapClaim {
	if l.claimed && !l.skipClaim {
		return wire.SwapClaimed
	}
	return wire.SwapIdle
}

// Step advances the lock at time now in Unix milliseconds. It must be called after
// each answer and periodically.
func (l *SwapLock) Step(now int64) SwapLockStep {
	switch {
	case l.position < 0 || len(l.lane) == 1:
		return SwapLockStep{Go: true}
	case l.asking && len(l.answers) < len(l.lane)-1 && now < l.roundDeadline:
		return SwapLockStep{}
	case l.asking:
		l.asking = false
		return l.decide(now)
	case now < l.nextRoundAt:
		return SwapLockStep{}
	}
	return l.ask(now)
}

func (l *SwapLock) ask(now int64) SwapLockStep {
	l.claimed = l.claimed || l.mayClaim
	l.asking = true
	l.round++
	l.roundDeadline = now + RoundTimeout.Milliseconds()
	l.answers = make(map[string]*wire.SwapState, len(l.lane))
	step := SwapLockStep{Query: &wire.SwapQuery{Pool: l.Plan.Pool, Version: l.Plan.Version, Round: l.round}}
	for i, m := range l.lane {
		if i != l.position {
			step.Ask = append(step.Ask, m)
		}
	}
	return step
}

// Answer handles an agent's answer. It ignores answers to earlier rounds, and those
// from outside the lane, which must not count in place of a missing answer.
func (l *SwapLock) Answer(s *wire.SwapState) {
	if !l.asking || s.Round != l.round || s.Pool != l.Plan.Pool {
		return
	}
	for i, m := range l.lane {
		if m.Target == s.Target && i != l.position {
			l.answers[s.Target] = s
		}
	}
}

// MarkUnreachable records that the agent at address cannot be queried in the
// current round.
func (l *SwapLock) MarkUnreachable(address string) {
	if !l.asking {
		return
	}
	for _, m := range l.lane {
		if _, answered := l.answers[m.Target]; m.Agent == address && !answered {
			l.answers[m.Target] = nil
		}
	}
}

func (l *SwapLock) decide(now int64) SwapLockStep {
	l.nextRoundAt = now + RoundPeriod.Milliseconds()
	free := true
	for i, m := range l.lane {
		s := l.answers[m.Target]
		if i == l.position || s == nil || s.Claim == wire.SwapIdle {
			continue
		}
		free = false
		if i < l.position || s.Claim == wire.SwapStarted {
			l.claimed = false
		}
	}
	l.mayClaim = free && (l.claimed || l.predecessorDone() || now-l.startedAt >= orderTimeout.Milliseconds())
	switch {
	case !l.mayClaim:
		return SwapLockStep{}
	case l.claimed:
		return SwapLockStep{Go: true}
	}
	return l.ask(now)
}

// predecessorDone reports whether the nearest preceding replica that is up serves the
// version or has failed to load it. It returns true if no preceding replica is up.
func (l *SwapLock) predecessorDone() bool {
	for i := l.position - 1; i >= 0; i-- {
		s := l.answers[l.lane[i].Target]
		if s == nil || s.Down {
			continue
		}
		return s.Served >= l.Plan.Version || s.FailedVersion >= l.Plan.Version
	}
	return true
}
