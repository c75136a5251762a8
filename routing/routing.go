// Package routing chooses targets. A choice is a pure function of a request and
// a view of the targets; randomness comes from a source that the caller passes.
package routing

import (
	"math/rand/v2"
)

const (
	// DefaultZoneCost is the load, in requests, that a target in another zone
	// must be below one in the same zone to be preferred. A zone is at most
	// 1.5 ms away, which is small against a request, so the cost is below one.
	DefaultZoneCost = 0.5
	// loadBound is how far above the mean load a target may be for the sake of
	// its cache. Consistent hashing with bounded loads uses the same factor.
	loadBound = 1.25
	// loadSlack is added to the bound so that it does not bind on idle targets.
	loadSlack = 1
	// cacheTolerance is the part of a prompt (one in so many blocks) by which a
	// target may cache less than the best one and still be as good.
	cacheTolerance = 8
	// othersGain is the weight of one load report.
	othersGain = 0.3
	// minWeight keeps a recovering target from a share of zero.
	minWeight = 0.05
)

// Policy is a way to choose among usable targets.
type Policy uint8

// Policies. PrefixAware is the one in use; the others are for comparison.
const (
	PrefixAware Policy = iota // prefix affinity with a load bound, else TwoChoices
	TwoChoices                // the less loaded of two random targets
	LeastOutstanding
	RoundRobin
)

// String returns the name of the policy.
func (p Policy) String() string {
	return [...]string{"prefix-aware", "two choices", "least outstanding", "round robin"}[p]
}

// Reason says why a target was chosen, or why none was.
type Reason string

// Reasons of a choice.
const (
	ReasonCached     Reason = "cached prefix"
	ReasonAffinity   Reason = "prefix affinity"
	ReasonTwoChoices Reason = "two choices"
	ReasonOnly       Reason = "only target"
	ReasonLeast      Reason = "least outstanding"
	ReasonTurn       Reason = "round robin"
	// ReasonSaturated: usable targets exist and all are at their limit.
	ReasonSaturated Reason = "all targets are at their limit"
	// ReasonVersion: no usable target serves the weight version asked for.
	ReasonVersion Reason = "no target serves the weight version"
	// ReasonNone: no target is usable.
	ReasonNone Reason = "no target is usable"
)

// Target is what is known of one target at the time of a choice.
type Target struct {
	Key  string
	Zone string
	// InFlight is the number of requests of this entry on the target.
	InFlight int
	// Others is the load by other entries in the last report of the target.
	Others float64
	// Limit bounds InFlight plus Others; 0 means no bound.
	Limit int
	// OwnLimit bounds InFlight; 0 means no bound.
	OwnLimit int
	// Weight is the share of its normal load that the target may have, in (0, 1];
	// it is below 1 after a recovery. 0 means 1.
	Weight float64
	// Version is the weight version of an engine; 0 when it is not known.
	Version uint64
	// FreeKV is the free KV memory in tokens; 0 when it is not known.
	FreeKV int
	Cache  *Cache // nil for plain services

	Unlinked bool // no link to the agent
	Leaving  bool
	Down     bool
	Ejected  bool
	Swapping bool
	Suspect  bool
}

// Request is what a choice depends on.
type Request struct {
	Zone string // of the entry
	// Prefixes are the hashes of the prompt's prefixes, shortest first.
	Prefixes []uint64
	// Tokens is the KV memory that the request may need.
	Tokens     int
	MinVersion uint64
	Avoid      string // key of the target of the attempt before
	Policy     Policy
	// ZoneCost is the load that another zone must be below the own one.
	ZoneCost float64
	// Turn is the number of the request, for RoundRobin.
	Turn uint64
}

// Choice is the result of Choose.
type Choice struct {
	Index  int // into the targets; -1 when none was chosen
	Reason Reason
}

// Choose picks the target of a request.
func Choose(r Request, targets []Target, rng *rand.Rand) Choice {
	candidates, reason := usable(r, targets)
	if len(candidates) == 0 {
		return Choice{-1, reason}
	}
	if len(candidates) == 1 {
		return Choice{candidates[0], ReasonOnly}
	}
	switch r.Policy {
	case RoundRobin:
		return Choice{candidates[int(r.Turn%uint64(len(candidates)))], ReasonTurn}
	case LeastOutstanding:
		return Choice{leastOutstanding(targets, candidates), ReasonLeast}
	case PrefixAware:
		if c, ok := byPrefix(r, targets, candidates, rng); ok {
			return c
		}
	}
	return Choice{twoChoices(r, targets, candidates, rng), ReasonTwoChoices}
}

// usable returns the indices of the targets that may take r: those without any
// doubt, and only when there are none, the doubtful ones.
func usable(r Request, targets []Target) ([]int, Reason) {
	var good, doubtful []int
	reason := ReasonNone
	for i := range targets {
		t := &targets[i]
		switch {
		case t.Unlinked || t.Leaving || t.Down || t.Ejected:
			continue
		case t.Version != 0 && t.Version < r.MinVersion:
			if reason == ReasonNone {
				reason = ReasonVersion
			}
			continue
		case t.full():
			reason = ReasonSaturated
			continue
		}
		if t.doubtful(r) {
			doubtful = append(doubtful, i)
		} else {
			good = append(good, i)
		}
	}
	if len(good) > 0 {
		return good, ""
	}
	return doubtful, reason
}

func (t *Target) full() bool {
	// Others is an estimate; a part of a request does not take a place.
	return (t.Limit > 0 && t.InFlight+int(t.Others) >= t.Limit) || (t.OwnLimit > 0 && t.InFlight >= t.OwnLimit)
}

// ramping reports whether a recovering target has the share that it may have. It
// then takes work only when no other target does, so that a service whose targets
// all come back at once is not held down.
func (t *Target) ramping() bool {
	return t.Weight > 0 && t.Weight < 1 && t.Limit > 0 && float64(t.InFlight)+t.Others >= float64(t.Limit)*t.Weight
}

func (t *Target) doubtful(r Request) bool {
	return t.Swapping || t.Suspect || t.ramping() || t.Key == r.Avoid || (t.FreeKV > 0 && t.FreeKV < r.Tokens)
}

// load is the load of a target relative to what it may have.
func (t *Target) load() float64 {
	weight := t.Weight
	if weight == 0 {
		weight = 1
	}
	return (float64(t.InFlight) + t.Others) / max(weight, minWeight)
}

func (t *Target) cost(r Request) float64 {
	cost := t.load()
	if t.Zone != r.Zone {
		cost += r.ZoneCost
	}
	return cost
}

// twoChoices takes the cheaper of two random candidates. Entries that choose at
// once by the same late reports then do not all pick the same target.
func twoChoices(r Request, targets []Target, candidates []int, rng *rand.Rand) int {
	a := rng.IntN(len(candidates))
	b := rng.IntN(len(candidates) - 1)
	if b >= a {
		b++
	}
	first, second := candidates[a], candidates[b]
	if targets[second].cost(r) < targets[first].cost(r) {
		return second
	}
	return first
}

func leastOutstanding(targets []Target, candidates []int) int {
	best := candidates[0]
	for _, i := range candidates[1:] {
		if targets[i].InFlight < targets[best].InFlight {
			best = i
		}
	}
	return best
}

// byPrefix picks a candidate within the load bound that caches most of the prompt. Without a cached prefix it falls to rendezvous hashing of the whole
// prompt, so that entries that have not yet seen a cache event agree on a target
// for the samples of one group.
func byPrefix(r Request, targets []Target, candidates []int, rng *rand.Rand) (Choice, bool) {
	if len(r.Prefixes) == 0 {
		return Choice{}, false
	}
	bound := boundOf(targets, candidates)
	if cached := wellCached(r, targets, candidates, bound); len(cached) > 1 {
		return Choice{twoChoices(r, targets, cached, rng), ReasonCached}, true
	} else if len(cached) == 1 {
		return Choice{cached[0], ReasonCached}, true
	}
	if i := firstByHash(r.Prefixes[len(r.Prefixes)-1], targets, candidates, bound); i >= 0 {
		return Choice{i, ReasonAffinity}, true
	}
	return Choice{}, false
}

// wellCached returns the candidates within the load bound that cache at least half
// of the prompt and nearly as much as the best of them. A choice of the single
// best would send all entries to the same target for a popular prefix.
func wellCached(r Request, targets []Target, candidates []int, bound float64) []int {
	depths := make([]int, len(candidates))
	best := 0
	for n, i := range candidates {
		if targets[i].load() <= bound {
			depths[n] = targets[i].Cache.Depth(r.Prefixes)
			best = max(best, depths[n])
		}
	}
	least := max(best-len(r.Prefixes)/cacheTolerance, (len(r.Prefixes)+1)/2)
	var out []int
	for n, i := range candidates {
		if depths[n] >= least {
			out = append(out, i)
		}
	}
	return out
}

func boundOf(targets []Target, candidates []int) float64 {
	sum := 0.0
	for _, i := range candidates {
		sum += targets[i].load()
	}
	return loadBound*sum/float64(len(candidates)) + loadSlack
}

// firstByHash returns the candidate with the highest hash that is within the
// bound, or -1.
func firstByHash(key uint64, targets []Target, candidates []int, bound float64) int {
	best, bestHash := -1, uint64(0)
	for _, i := range candidates {
		if targets[i].load() > bound {
			continue
		}
		if h := hashKey(key, targets[i].Key); best < 0 || h > bestHash {
			best, bestHash = i, h
		}
	}
	return best
}

// SmoothOthers returns the new estimate of the load by other entries after a report
// of it. A single report is a late sample of a quickly changing value, and all
// entries see the same one; followed directly it made two choices worse than round
// robin in the queueing model of package experiment.
func SmoothOthers(before float64, reported int) float64 {
	return before + othersGain*(max(0, float64(reported))-before)
}
