package weights

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"merlinhall/wire"
)

func pool(n, zones int) []Member {
	members := make([]Member, n)
	for i := range members {
		members[i] = Member{Target: fmt.Sprintf("t%d", i), Zone: fmt.Sprintf("z%d", i%zones), Agent: fmt.Sprintf("a%d", i)}
	}
	return members
}

// Guards against a distribution in which an agent waits for itself or fetches across
// zones, or in which one agent or the store serves too many others.
func TestTreeIsBounded(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{1, 2, 3, 12, 100, 650} {
		members := pool(n, min(n, 4))
		p := NewPlan("p", 7, members)
		zone := make(map[string]string)
		for _, m := range members {
			zone[m.Target] = m.Zone
		}
		children := make(map[string]int)
		seeds := 0
		for _, m := range members {
			sources := p.Sources(m.Target)
			is.Equal(sources[len(sources)-1], Store)
			if sources[0] == Store {
				seeds++
				continue
			}
			children[sources[0].Target]++
			hops := 0
			for at := m.Target; p.Sources(at)[0] != Store; at = p.Sources(at)[0].Target {
				hops++
				is.True(hops < 6) // 163 agents of a zone are at most 4 hops from the seed
				is.Equal(zone[at], zone[p.Sources(at)[0].Target])
			}
		}
		is.Equal(seeds, min(n, 4))
		for _, c := range children {
			is.True(c <= FanOut)
		}
	}
}

// Guards against agents that wait for each other, directly or in a cycle.
func TestSourcesHaveNoCycle(t *testing.T) {
	p := NewPlan("p", 3, pool(40, 2))
	for _, m := range p.byRank {
		_, own := p.zoneMembers(m.Target)
		for _, s := range p.Sources(m.Target) {
			if s == Store {
				continue
			}
			if _, other := p.zoneMembers(s.Target); other >= own {
				t.Fatalf("%s of rank %d fetches from rank %d", m.Target, own, other)
			}
		}
	}
}

// simSwaps simulates the swaps of a pool with random delays, replicas that are down at
// first and agents that start late. It returns the largest number of replicas that
// swapped concurrently, and whether all served the version at the end.
func simSwaps(seed uint64, n int, noClaim bool) (worst int, all bool) {
	rng := rand.New(rand.NewPCG(seed, 2))
	members := pool(n, 2)
	type agent struct {
		lock      *SwapLock
		started   bool
		until     int64
		served    uint64
		joinsAt   int64
		down      bool
		downUntil int64
	}
	type message struct {
		at    int64
		to    int
		from  int
		query *wire.SwapQuery
		state *wire.SwapState
	}
	agents := make([]*agent, n)
	for i := range agents {
		agents[i] = &agent{joinsAt: int64(rng.IntN(2000)), served: 1}
		if rng.IntN(5) == 0 {
			agents[i].down, agents[i].downUntil = true, int64(rng.IntN(6000))
		}
	}
	index := func(address string) int {
		var i int
		_, _ = fmt.Sscanf(address, "a%d", &i)
		return i
	}
	var inFlight []message
	for now := int64(0); now < 60_000; now += 5 {
		var due, kept []message
		for _, m := range inFlight {
			if m.at <= now {
				due = append(due, m)
			} else {
				kept = append(kept, m)
			}
		}
		inFlight = kept
		for _, m := range due {
			a := agents[m.to]
			if m.query != nil {
				claim := wire.SwapIdle
				if a.started {
					claim = wire.SwapStarted
				} else if a.lock != nil {
					claim = a.lock.Claim()
				}
				inFlight = append(inFlight, message{at: now + int64(rng.IntN(30)), to: m.from, state: &wire.SwapState{
					Pool: "p", Target: members[m.to].Target, Round: m.query.Round, Served: a.served, Claim: claim, Down: a.down}})
			} else if a.lock != nil {
				a.lock.Answer(m.state)
			}
		}
		swapping := 0
		for i, a := range agents {
			a.down = a.down && now < a.downUntil
			if a.started && now >= a.until {
				a.started, a.served = false, 2
			}
			if a.lock == nil && !a.started && a.served == 1 && now >= a.joinsAt && !a.down {
				a.lock = NewSwapLock(NewPlan("p", 2, members), members[i].Target, now, 0)
				a.lock.skipClaim = noClaim
			}
			if a.lock != nil {
				step := a.lock.Step(now)
				for _, to := range step.Ask {
					inFlight = append(inFlight, message{at: now + int64(rng.IntN(30)), to: index(to.Agent), from: i, query: step.Query})
				}
				if step.Go {
					a.lock, a.started, a.until = nil, true, now+200+int64(rng.IntN(800))
				}
			}
			if a.started {
				swapping++
			}
		}
		worst = max(worst, swapping)
	}
	all = true
	for _, a := range agents {
		all = all && a.served == 2
	}
	return worst, all
}

// Guards against more than a quarter of a pool swapping concurrently, and against
// lanes that block on a replica that is down or late.
func TestSwapsAreBoundedAndEnd(t *testing.T) {
	for _, n := range []int{1, 2, 3, 7, 11, 12, 20} {
		for seed := range uint64(6) {
			worst, all := simSwaps(seed, n, false)
			if limit := max(1, n/4); worst > limit || !all {
				t.Fatalf("pool of %d, seed %d: %d swapped at once, the limit is %d; all served: %v", n, seed, worst, limit, all)
			}
		}
	}
}

// Guards against a simulation that cannot fail: without the claims it must find too
// many concurrent swaps.
func TestSimulationDetectsMissingClaim(t *testing.T) {
	for seed := range uint64(40) {
		if worst, _ := simSwaps(seed, 12, true); worst > 3 {
			return
		}
	}
	t.Fatal("no seed exceeded the limit without claims")
}

// runTransfer serves the steps of a transfer from content until it ends, and returns
// the last operation. corrupt is the number of answers to corrupt for each source.
func runTransfer(tr *Transfer, content []byte, corrupt map[Source]int) TransferOp {
	sum := sha256.Sum256(content)
	digest := hex.EncodeToString(sum[:])
	steps := tr.Begin(0)
	for n := 0; len(steps) > 0 && n < 10_000; n++ {
		s := steps[0]
		steps = steps[1:]
		if s.Op == TransferDone || s.Op == TransferFailed || s.Op == TransferTooLarge {
			return s.Op
		}
		from := min(int(s.Offset), len(content))
		data := bytes.Clone(content[from:])
		if s.Op == TransferAsk {
			data = data[:min(len(data), s.Length)]
		}
		if corrupt[s.Source] > 0 && len(data) > 0 {
			corrupt[s.Source]--
			data[0] ^= 1
		}
		steps = append(steps, tr.Part(0, s.Source, s.Offset, data, int64(len(content)), digest)...)
	}
	return 0
}

// Guards against weights that are used although their bytes do not match the digest,
// and against a transfer that fails while another source has the right bytes.
func TestDigestIsVerified(t *testing.T) {
	is := is.New(t)
	content := bytes.Repeat([]byte("weights"), 100_000)
	parent := Source{"t1", "a1"}
	tr := NewTransfer(NewBlob("p", 1), []Source{parent, Store})
	is.Equal(runTransfer(tr, content, map[Source]int{parent: 1 << 20}), TransferDone)
	is.True(tr.Blob.Verified)
	is.Equal(tr.source(), Store)
	is.True(bytes.Equal(tr.Blob.data, content))

	tr = NewTransfer(NewBlob("p", 1), []Source{parent, Store})
	tr.skipDigest = true
	is.Equal(runTransfer(tr, content, map[Source]int{parent: 1}), TransferDone)
	is.True(!bytes.Equal(tr.Blob.data, content)) // without the check wrong bytes are accepted

	tr = NewTransfer(NewBlob("p", 1), []Source{Store})
	is.Equal(runTransfer(tr, content, map[Source]int{Store: 1}), TransferFailed)
	tr = NewTransfer(NewBlob("p", 1), []Source{Store})
	tr.MaxBytes = 1000
	is.Equal(runTransfer(tr, content, nil), TransferTooLarge)
}

// Guards against invalid or late parts that cause a panic or are stored, and against
// an answer from outside the lane that counts in place of a missing one.
func TestInvalidAnswersAreIgnored(t *testing.T) {
	is := is.New(t)
	parent := Source{"t1", "a1"}
	tr := NewTransfer(NewBlob("p", 1), []Source{parent, Store})
	tr.Begin(0)
	is.Equal(tr.Part(0, parent, 0, []byte("x"), -5, "d")[0].Op, TransferStore)
	is.Equal(len(tr.Part(0, parent, 0, []byte("x"), 1, "d")), 0) // late part from the former source

	lock := NewSwapLock(NewPlan("p", 2, pool(2, 1)), "t0", 0, 0)
	round := lock.Step(0).Query.Round
	lock.Answer(&wire.SwapState{Pool: "p", Target: "stranger", Round: round, Served: 9})
	is.True(!lock.Step(1).Go)
	is.Equal(len(lock.answers), 0)
}

// Guards against a transfer that waits forever for a silent source, and against one
// that abandons a source that reports that it is waiting itself.
func TestStalledSourceIsLeft(t *testing.T) {
	is := is.New(t)
	parent := Source{"t1", "a1"}
	tr := NewTransfer(NewBlob("p", 1), []Source{parent, Store})
	is.Equal(tr.Begin(0)[0].Op, TransferAsk)
	is.Equal(len(tr.Tick(1500)), 0)
	tr.Part(1500, parent, 0, nil, 0, "")
	is.Equal(len(tr.Tick(3400)), 0)
	is.Equal(tr.Tick(3600)[0].Op, TransferStore)
	is.Equal(tr.Tick(20_000)[0].Op, TransferFailed)
}

// Guards against a cache that grows with each version.
func TestCacheIsBounded(t *testing.T) {
	is := is.New(t)
	c := NewCache(2)
	for v := range uint64(5) {
		c.Open("p", v).setHeader(1000, "d")
	}
	is.Equal(c.Bytes(), int64(2000))
	is.True(c.Get("p", 2) == nil)
	is.True(c.Get("p", 3) != nil)
}
