// Package routing selects a target for each request and detects unhealthy targets. A
// choice is a pure function of the request, the state of the targets and a random source
// that the caller passes.
package routing

import (
	"math/rand/v2"
)

const (
	// DefaultZoneCost is how much lower, in requests, the load of a target in another
	// zone must be for it to be preferred over one in the same zone. Another zone is at
	// most 1.5 ms away, which is short compared to a request, so the cost is below one.
	DefaultZoneCost = 0.5
	// loadBound is the factor by which a target may exceed the mean load and still be
	// chosen for its cache, as in consistent hashing with bounded loads.
	loadBound = 1.25
	// loadSlack is added to the bound so that it does not exclude nearly idle targets.
	loadSlack = 1
	// cacheToleranceDivisor divides the number of prompt blocks into the number by which
	// a target's cached prefix may be shorter than the longest one and still count as
	// equally good.
	cacheToleranceDivisor = 8
	// otherEntriesLoadGain is the weight of one load report in the moving average of
	// OtherEntriesLoad.
	otherEntriesLoadGain = 0.3
	// minWeight is the lower bound of the weight that the load is divided by.
	minWeight = 0.05
)

// Policy is a load-balancing policy among usable targets.
type Policy uint8

// Policies. PrefixAware is the default; the others exist for comparison.
const (
	PrefixAware Policy = iota // prefix affinity with a load bound, falling back to TwoChoices
	TwoChoices                // the less loaded of two random targets
	LeastOutstanding
	RoundRobin
)

// String returns the name of the policy.
func (p Policy) String() string {
	return [...]string{"prefix-aware", "two choices", "least outstanding", "round robin"}[p]
}

// Reason states why a target was chosen, or why none was.
type Reason string

// Reasons of a choice.
const (
	ReasonCached           Reason = "cached prefix"
	ReasonAffinity         Reason = "prefix affinity"
	ReasonTwoChoices       Reason = "two choices"
	ReasonOnlyTarget       Reason = "only target"
	ReasonLeastOutstanding Reason = "least outstanding"
	ReasonRoundRobin       Reason = "round robin"
	// ReasonSaturated means that every usable target is at its limit.
	ReasonSaturated Reason = "all targets are at their limit"
	// ReasonVersion means that no usable target serves Request.MinVersion or a later
	// weight version.
	ReasonVersion Reason = "no target serves the weight version"
	// ReasonNone means that no target is usable.
	ReasonNone Reason = "no target is usable"
)

// Target is the state of one target as an entry knows it at the time of a choice.
type Target struct {
	Key  string
	Zone string
	// InFlight is the number of requests that this entry has in flight on the target.
	InFlight int
	// OtherEntriesLoad is the estimated number of requests from other entries, see
	// SmoothOtherEntriesLoad.
	OtherEntriesLoad float64
	// Limit bounds InFlight plus OtherEntriesLoad; 0 means no bound.
	Limit int
	// OwnLimit bounds InFlight; 0 means no bound.
	OwnLimit int
	// Weight is the share of its normal load that the target may take, in (0, 1]. It
	// is below 1 while the target ramps up after a recovery. 0 means 1.
	Weight float64
	// Version is the weight version of an engine; 0 when unknown.
	Version uint64
	// FreeKV is the free KV cache memory in tokens; 0 when unknown.
	FreeKV int
	Cache  *Cache // nil for plain services

	Unlinked bool // no link to the agent
	Leaving  bool
	Down     bool
	Ejected  bool
	Swapping bool // a weight swap is in progress
	Suspect  bool // likely unhealthy; used only when no better target is left
}

// Request holds the properties of a request that a choice depends on.
type Request struct {
	Zone string // of the entry
	// Prefixes are the hashes of the prompt's prefixes, shortest first, see PrefixHashes.
	Prefixes []uint64
	// Tokens is the KV cache memory that the request may need, in tokens.
	Tokens     int
	MinVersion uint64
	Avoid      string // key of the target of the previous attempt
	Policy     Policy
	// ZoneCost is the load that is added to targets in other zones, see
	// DefaultZoneCost.
	ZoneCost float64
	// Sequence is the sequence number of the request, for RoundRobin.
	Sequence uint64
}

// Choice is the result of Choose.
type Choice struct {
	Index  int // index of the target; -1 when none was chosen
	Reason Reason
}

// Choose selects the target of a request.
func Choose(r Request, targets []Target, rng *rand.Rand) Choice {
	candidates, reason := usableTargets(r, targets)
	if len(candidates) == 0 {
		return Choice{-1, reason}
	}
	if len(candidates) == 1 {
		return Choice{candidates[0], ReasonOnlyTarget}
	}
	switch r.Policy {
	case RoundRobin:
		return Choice{candidates[int(r.Sequence%uint64(len(candidates)))], ReasonRoundRobin}
	case LeastOutstanding:
		return Choice{leastOutstanding(targets, candidates), ReasonLeastOutstanding}
	case PrefixAware:
		if c, ok := chooseByPrefix(r, targets, candidates, rng); ok {
			return c
		}
	}
	return Choice{twoChoices(r, targets, candidates, rng), ReasonTwoChoices}
}

// usableTargets returns the indices of the targets that may take r. Fallback targets are
// returned only when there are no others. The reason is meaningful only for an empty
// result.
func usableTargets(r Request, targets []Target) ([]int, Reason) {
	var preferred, fallback []int
	reason := ReasonNone
	for i := range targets {
		t := &targets[i]
		switch {
		case !t.Usable():
			continue
		case t.Version != 0 && t.Version < r.MinVersion:
			if reason == ReasonNone {
				reason = ReasonVersion
			}
			continue
		case t.atLimit():
			reason = ReasonSaturated
			continue
		}
		if t.isFallback(r) {
			fallback = append(fallback, i)
		} else {
			preferred = append(preferred, i)
		}
	}
	if len(preferred) > 0 {
		return preferred, ""
	}
	return fallback, reason
}

// Usable reports whether the target may take any requests.
func (t *Target) Usable() bool { return !t.Unlinked && !t.Leaving && !t.Down && !t.Ejected }

// atLimit reports whether the target may take no further request.
func (t *Target) atLimit() bool {
	// OtherEntriesLoad is an estimate, so fractions of a request are ignored.
	return (t.Limit > 0 && t.InFlight+int(t.OtherEntriesLoad) >= t.Limit) || (t.OwnLimit > 0 && t.InFlight >= t.OwnLimit)
}

// atRampLimit reports whether a recovering target has reached the share of its limit
// that its weight allows. It then remains a fallback target, so that a service whose
// targets all recover at the same time is not throttled.
func (t *Target) atRampLimit() bool {
	return t.Weight > 0 && t.Weight < 1 && t.Limit > 0 && float64(t.InFlight)+t.OtherEntriesLoad >= float64(t.Limit)*t.Weight
}

// isFallback reports whether t is used for r only when no other target is usable.
func (t *Target) isFallback(r Request) bool {
	return t.Swapping || t.Suspect || t.atRampLimit() || t.Key == r.Avoid || (t.FreeKV > 0 && t.FreeKV < r.Tokens)
}

// load returns the number of requests on the target divided by its weight.
func (t *Target) load() float64 {
	weight := t.Weight
	if weight == 0 {
		weight = 1
	}
	return (float64(t.InFlight) + t.OtherEntriesLoad) / max(weight, minWeight)
}

// cost returns the load of the target, increased by r.ZoneCost in another zone.
func (t *Target) cost(r Request) float64 {
	cost := t.load()
	if t.Zone != r.Zone {
		cost += r.ZoneCost
	}
	return cost
}

// twoChoices returns the cheaper of two random candidates. Entries that choose at the
// same time from the same outdated load reports thus do not all pick the same target.
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

// chooseByPrefix picks a candidate within the load bound that caches most of the prompt.
// Without a cached prefix it falls back to rendezvous hashing of the longest hashed
// prefix, so that entries that have not received a cache event yet agree on a target for
// the samples of one group.
func chooseByPrefix(r Request, targets []Target, candidates []int, rng *rand.Rand) (Choice, bool) {
	if len(r.Prefixes) == 0 {
		return Choice{}, false
	}
	bound := maxAffinityLoad(targets, candidates)
	if cached := cachingCandidates(r, targets, candidates, bound); len(cached) > 1 {
		return Choice{twoChoices(r, targets, cached, rng), ReasonCached}, true
	} else if len(cached) == 1 {
		return Choice{cached[0], ReasonCached}, true
	}
	if i := highestHash(r.Prefixes[len(r.Prefixes)-1], targets, candidates, bound); i >= 0 {
		return Choice{i, ReasonAffinity}, true
	}
	return Choice{}, false
}

// cachingCandidates returns the candidates within the load bound that cache at least half
// of the prompt and nearly as much as the best of them. If only the best one were
// chosen, all entries would send a popular prefix to the same target.
func cachingCandidates(r Request, targets []Target, candidates []int, bound float64) []int {
	depths := make([]int, len(candidates))
	best := 0
	for n, i := range candidates {
		if targets[i].load() <= bound {
			depths[n] = targets[i].Cache.Depth(r.Prefixes)
			best = max(best, depths[n])
		}
	}
	least := max(best-len(r.Prefixes)/cacheToleranceDivisor, (len(r.Prefixes)+1)/2)
	var out []int
	for n, i := range candidates {
		if depths[n] >= least {
			out = append(out, i)
		}
	}
	return out
}

// maxAffinityLoad returns the load up to which a candidate may be chosen by prefix: the
// mean load of the candidates times loadBound, plus loadSlack.
func maxAffinityLoad(targets []Target, candidates []int) float64 {
	sum := 0.0
	for _, i := range candidates {
		sum += targets[i].load()
	}
	return loadBound*sum/float64(len(candidates)) + loadSlack
}

// highestHash returns the candidate with the highest rendezvous hash among those within
// the load bound, or -1.
func highestHash(key uint64, targets []Target, candidates []int, bound float64) int {
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

// SmoothOtherEntriesLoad returns the moving average of the load from other entries after
// a load report. A single report is a delayed sample of a quickly changing value, and all
// entries see the same one. Used without smoothing, it made two choices worse than round
// robin in the queueing model of package experiment.
func SmoothOtherEntriesLoad(before float64, reported int) float64 {
	return before + otherEntriesLoadGain*(max(0, float64(reported))-before)
}
