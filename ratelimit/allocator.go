package ratelimit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// bookingTime is how long before its turn a request may be granted at most.
	bookingTime = 400 * time.Millisecond
	// grantTime is how long after its turn a granted request may be sent.
	grantTime = 250 * time.Millisecond
	// maxRetryAfter bounds what denied requests are told: limits change.
	maxRetryAfter = 5 * time.Second
	// minAskAgain is the least time after a denial in which a process does not ask again.
	minAskAgain = 5 * time.Millisecond
	// maxAsksPerSecond bounds what denied processes ask the leader together. More than
	// asksPerGrant for each request that the targets take would also be in vain.
	maxAsksPerSecond = 300
	asksPerGrant     = 3
	// waitingTime is how long a priority counts as waiting after it was denied a grant.
	waitingTime = 500 * time.Millisecond
	// priorityWeight is how many times as many grants a priority gets as the next less urgent
	// one while both wait.
	priorityWeight = 4
)

// allocator is the control leader's part: it gives out the limit of each target as grants of
// single requests, evenly paced. It reads no clock.
//
// Invariant: the turns of a target with the limit L come at an even pace of L, but for burstTime
// and what it did not get in catchUpTime. The turns of a former leader end bookingTime after
// its lease at the latest, and those of a new one begin then. So a target gets at most
// L*(T+catchUpTime+burstTime+grantTime)+2 requests in a time T, whoever leads.
type allocator struct {
	book     *Book
	startAt  time.Duration // no turn comes before it
	paces    map[string]targetPace
	services map[string]*serviceShares
	asked    map[string]time.Duration // when each process asked last
}

func newAllocator(b *Book) *allocator {
	a := &allocator{book: b}
	a.lead(0)
	return a
}

// lead begins anew for a process that has become leader.
func (a *allocator) lead(now time.Duration) {
	a.startAt = now + bookingTime
	a.paces, a.services, a.asked = make(map[string]targetPace), make(map[string]*serviceShares), make(map[string]time.Duration)
}

// targetPace is the pace of the grants for one run of a target.
type targetPace struct {
	*Pace
	startedMs int64
}

// paceOf returns the pace of a target, or nil if it has no limit.
func (a *allocator) paceOf(now time.Duration, target string) *Pace {
	r, ok := a.book.Reading(target)
	if !ok || !r.Limited {
		delete(a.paces, target)
		return nil
	}
	p, ok := a.paces[target]
	switch {
	case !ok || p.startedMs != r.StartedMs:
		p = targetPace{NewPace(now, a.startAt, r.PerSecond), r.StartedMs}
		a.paces[target] = p
	case p.perSecond != r.PerSecond:
		p.SetLimit(now, a.startAt, r.PerSecond)
	}
	return p.Pace
}

// take grants n requests to a target if the first may be sent now. Targets without a limit
// take any number.
func (a *allocator) take(now time.Duration, target string, n int) bool {
	p := a.paceOf(now, target)
	if p == nil {
		return true
	}
	if p.Delay(now) > 0 {
		return false
	}
	p.Take(now, n)
	return true
}

// allowance returns the limit of a target, and how many requests it may get now.
func (a *allocator) allowance(now time.Duration, target string) (perSecond float64, n int, limited bool) {
	p := a.paceOf(now, target)
	if p == nil {
		return 0, 0, false
	}
	return p.perSecond, p.allowance(now), true
}

// answer grants or denies a want. ready are the targets of its service that accept requests.
func (a *allocator) answer(now time.Duration, process string, w Want, ready []string) Answer {
	a.asked[process] = now
	s := a.services[w.Service]
	if s == nil {
		s = &serviceShares{byPriority: make(map[int]*share)}
		a.services[w.Service] = s
	}
	best, delay, perSecond := a.soonest(now, w, ready)
	own := s.share(now, w.Priority)
	patience := min(max(0, w.Patience), bookingTime)
	if best != "" && delay <= patience && s.comesFirst(now, w.Priority) {
		a.paces[best].Take(now, 1)
		own.used += 1 / weight(w.Priority)
		own.denied = false
		return Answer{Target: best, Delay: delay}
	}
	own.deniedAt, own.denied = now, true
	s.lineEnd = max(s.lineEnd, now+delay)
	if w.Only && perSecond > 0 {
		// These line up, so that callers don't come back together.
		s.lineEnd = min(s.lineEnd+time.Duration(float64(time.Second)/perSecond), now+maxRetryAfter)
	}
	return Answer{RetryAfter: max(minAskAgain, s.lineEnd-now), AskAgain: max(minAskAgain, delay-patience, a.askInterval(now, perSecond))}
}

// soonest returns the target with a limit that may get a request next, the time until then,
// and how many requests a second all targets with a limit take. The target is empty if there
// is none.
func (a *allocator) soonest(now time.Duration, w Want, ready []string) (target string, delay time.Duration, perSecond float64) {
	for _, id := range ready {
		p := a.paceOf(now, id)
		if p == nil || slices.Contains(w.Except, id) {
			continue
		}
		perSecond += float64(time.Second) / float64(interval(p.perSecond))
		if d := p.next - now; target == "" || d < delay {
			target, delay = id, d
		}
	}
	if target == "" {
		return "", 0, 0
	}
	return target, a.paces[target].Delay(now), perSecond
}

// askInterval returns how long a denied process waits before it asks again.
func (a *allocator) askInterval(now time.Duration, perSecond float64) time.Duration {
	asking := 0
	for process, at := range a.asked {
		if now-at > maxRetryAfter {
			delete(a.asked, process)
		} else if now-at <= time.Second {
			asking++
		}
	}
	rate := max(1, min(maxAsksPerSecond, asksPerGrant*perSecond))
	return min(time.Second, time.Duration(float64(asking)/rate*float64(time.Second)))
}

// serviceShares divides the grants for a service among the priorities that wait for them.
type serviceShares struct {
	byPriority map[int]*share
	lineEnd    time.Duration // when there is room for the request that was denied last
}

// share is what a priority has got.
type share struct {
	used     float64 // grants, divided by the weight of the priority
	askedAt  time.Duration
	denied   bool
	deniedAt time.Duration
}

func weight(priority int) float64 {
	return math.Pow(priorityWeight, -float64(min(max(0, priority), 9)))
}

// share returns the share of a priority that asks now. One that has not asked for a while does
// not get what it could have had meanwhile.
func (s *serviceShares) share(now time.Duration, priority int) *share {
	own := s.byPriority[priority]
	if own == nil {
		own = &share{askedAt: now - 2*waitingTime}
		s.byPriority[priority] = own
	}
	if now-own.askedAt > waitingTime {
		own.denied = false
		for p, other := range s.byPriority {
			if p != priority && now-other.askedAt <= waitingTime {
				own.used = max(own.used, other.used)
			}
		}
	}
	own.askedAt = now
	return own
}

// comesFirst reports whether no other priority that waits has got less.
func (s *serviceShares) comesFirst(now time.Duration, priority int) bool {
	own := s.byPriority[priority]
	for p, other := range s.byPriority {
		if p == priority || !other.denied || now-other.deniedAt > waitingTime {
			continue
		}
		if cmp.Or(cmp.Compare(other.used, own.used), cmp.Compare(p, priority)) < 0 {
			return false
		}
	}
	return true
}
