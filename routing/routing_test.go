package routing

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/wire"
)

var t0 = time.Unix(1_700_000_000, 0)

func newTargets(n int) []Target {
	out := make([]Target, n)
	for i := range out {
		out[i] = Target{Key: fmt.Sprintf("t%d", i), Zone: fmt.Sprintf("z%d", i%2), Cache: NewCache()}
		out[i].Cache.Advance(t0)
	}
	return out
}

// Guards against a request for a target that is leaving, down, ejected, without a link, at
// its limit or too old, and for a suspect or swapping target while a better one is usable.
// The states of the targets are random with a fixed seed.
func TestUnusableTargetIsNeverChosen(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	for range 20000 {
		targets := newTargets(1 + rng.IntN(6))
		for i := range targets {
			x := &targets[i]
			x.InFlight, x.OtherEntriesLoad = rng.IntN(4), float64(rng.IntN(4))
			x.Limit, x.Version = rng.IntN(8), uint64(rng.IntN(3))
			x.Leaving, x.Down, x.Ejected = rng.IntN(4) == 0, rng.IntN(4) == 0, rng.IntN(4) == 0
			x.Unlinked, x.Suspect, x.Swapping = rng.IntN(4) == 0, rng.IntN(4) == 0, rng.IntN(4) == 0
		}
		r := Request{MinVersion: uint64(rng.IntN(3)), Prefixes: []uint64{rng.Uint64N(4)}, Policy: Policy(rng.IntN(4)), Sequence: rng.Uint64N(9)}
		c := Choose(r, targets, rng)
		if c.Index < 0 {
			is.True(c.Reason == ReasonNone || c.Reason == ReasonSaturated || c.Reason == ReasonVersion)
			continue
		}
		x := targets[c.Index]
		is.True(!x.Leaving && !x.Down && !x.Ejected && !x.Unlinked)
		is.True(x.Limit == 0 || x.InFlight+int(x.OtherEntriesLoad) < x.Limit)
		is.True(x.Version == 0 || x.Version >= r.MinVersion)
		for _, y := range targets {
			better := !y.Leaving && !y.Down && !y.Ejected && !y.Unlinked && !y.atLimit() && !(y.Version != 0 && y.Version < r.MinVersion)
			is.True(!(x.Suspect || x.Swapping) || !better || y.Suspect || y.Swapping)
		}
	}
}

// Guards against a cached prefix that attracts load without bound.
func TestPrefixAffinityHasALoadBound(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	targets := newTargets(4)
	prefixes := PrefixHashes(strings.Repeat("x", 4*PrefixBlockBytes))
	is.Equal(len(prefixes), 4)
	targets[2].Cache.ApplyLoadReport(t0, &wire.Load{CachedPrefixes: prefixes})
	c := Choose(Request{Prefixes: prefixes}, targets, rng)
	is.Equal(c, Choice{2, ReasonCached})
	targets[2].InFlight = 30
	c = Choose(Request{Prefixes: prefixes}, targets, rng)
	is.True(c.Index != 2)
	targets[2].InFlight = 0
	targets[2].Cache.ApplyLoadReport(t0, &wire.Load{CacheReset: true})
	is.Equal(targets[2].Cache.Depth(prefixes), 0)
}

// Guards against prefix hashes that differ from those in the cache events of engines.
func TestPrefixHashesMatchCacheEvents(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{1, PrefixBlockBytes - 1, PrefixBlockBytes, 5*PrefixBlockBytes + 3} {
		prompt := strings.Repeat("q", n)
		is.Equal(PrefixHashes(prompt)[0], wire.PrefixHash(prompt))
	}
	is.Equal(len(PrefixHashes("")), 0)
}

// Guards against entries that send the samples of one group to different engines before
// any cache event has arrived.
func TestEntriesAgreeWithoutCacheEvents(t *testing.T) {
	is := is.New(t)
	prefixes := PrefixHashes(strings.Repeat("y", 2*PrefixBlockBytes))
	first := Choose(Request{Prefixes: prefixes, Zone: "z0"}, newTargets(8), rand.New(rand.NewPCG(1, 1)))
	second := Choose(Request{Prefixes: prefixes, Zone: "z1"}, newTargets(8), rand.New(rand.NewPCG(2, 2)))
	is.Equal(first, second)
	is.Equal(first.Reason, ReasonAffinity)
}

// Guards against a recovered target that gets its full load at once.
func TestRecoveredTargetRampsUp(t *testing.T) {
	is := is.New(t)
	h := NewHealth(0.5)
	h.SetTargets([]string{"a", "b"}, 0.5)
	h.Recover(t0, "a")
	is.True(h.Weight(t0, "a") < 0.2)
	is.True(h.Weight(t0.Add(RampTime/2), "a") > h.Weight(t0.Add(RampTime/4), "a"))
	is.Equal(h.Weight(t0.Add(RampTime), "a"), 1.0)
	targets := []Target{{Key: "a", Limit: 10, Weight: 0.1, InFlight: 1}, {Key: "b", Limit: 20, InFlight: 15}}
	is.Equal(Choose(Request{}, targets, rand.New(rand.NewPCG(1, 1))).Index, 1)
	targets[1].InFlight = 20 // the other target is at its limit, so the ramp limit is ignored
	is.Equal(Choose(Request{}, targets, rand.New(rand.NewPCG(1, 1))).Index, 0)
}

// Guards against outlier detection that ejects all targets of a service.
func TestEjectedShareIsBounded(t *testing.T) {
	is := is.New(t)
	var keys []string
	for i := range 10 {
		keys = append(keys, fmt.Sprint(i))
	}
	h := NewHealth(0.3)
	h.SetTargets(keys, 0.3)
	for range 50 {
		for _, k := range keys {
			h.Fail(t0, k)
		}
	}
	ejected, all := h.EjectedCount(t0)
	is.Equal(ejected, 3)
	is.Equal(all, 10)
	is.True(!h.Ejected(t0, "9") && h.Suspect("9"))
	ejected, _ = h.EjectedCount(t0.Add(baseEjectionTime))
	is.Equal(ejected, 0)
}

// Guards against a slow target that is not detected because it does not fail.
func TestSlowTargetIsEjected(t *testing.T) {
	is := is.New(t)
	h := NewHealth(0.5)
	h.SetTargets([]string{"a", "b", "c", "slow"}, 0.5)
	for range 2 * minLatencySamples {
		for _, k := range []string{"a", "b", "c"} {
			h.Succeed(t0, k, 10*time.Millisecond)
		}
		h.Succeed(t0, "slow", 100*time.Millisecond)
	}
	is.True(h.Ejected(t0, "slow"))
	is.True(!h.Ejected(t0, "a"))
}

// Guards against cache estimates that grow without bound.
func TestCacheIsBounded(t *testing.T) {
	is := is.New(t)
	c := NewCache()
	for i := range uint64(3 * maxCachedPrefixes) {
		c.Expect(t0, []uint64{i})
	}
	is.True(c.Len() <= maxCachedPrefixes)
	is.Equal(c.Depth([]uint64{3*maxCachedPrefixes - 1}), 1)
	c.Advance(t0.Add(expectedTTL + 1))
	is.Equal(c.Depth([]uint64{3*maxCachedPrefixes - 1}), 0)
}

func BenchmarkChoose(b *testing.B) {
	prefixes := PrefixHashes(strings.Repeat("z", 16*PrefixBlockBytes))
	for _, p := range []Policy{RoundRobin, LeastOutstanding, TwoChoices, PrefixAware} {
		b.Run(p.String(), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 1))
			targets := newTargets(12)
			targets[3].Cache.Expect(t0, prefixes)
			r := Request{Prefixes: prefixes, Policy: p}
			for b.Loop() {
				Choose(r, targets, rng)
			}
		})
	}
}
