package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// holder is a process that holds places and does not adapt them itself.
type holder struct {
	name   string
	demand ServiceDemand
	silent bool
}

// exchange sends the report of a process and applies the answer unless that is lost.
func (h *holder) exchange(now time.Time, a *Allocator, lost bool) ServiceShare {
	s := a.Answer(now, &Demand{Process: h.name, Services: []ServiceDemand{h.demand}}).Services[0]
	if !lost && s.Places > 0 {
		h.demand.Places, h.demand.Applied = s.Places, s.Sequence
	}
	return s
}

func newHolders(n int) (out []*holder) {
	for i := range n {
		out = append(out, &holder{name: fmt.Sprint("p", i), demand: ServiceDemand{Service: "s", Requests: 100 * (1 + i%3), Queued: 1, Places: 5, Seconds: 0.025}})
	}
	return out
}

// Guards against places that are given out twice or disappear when reports and answers are lost,
// processes are lost, stand still and come back, and demand moves; and against the places of a lost
// process that nobody gets. Messages with senseless numbers change nothing of that.
func TestPlacesAreNeitherDoubledNorLost(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		a, holders, now := NewAllocator(), newHolders(12), t0
		a.Lead(t0)
		const total = 12 * 5.0
		round := func(loss float64) {
			now = now.Add(reportInterval)
			a.Answer(now, &Demand{Process: "bad", Services: []ServiceDemand{{Service: "s", Requests: math.MinInt, Places: math.NaN(), Seconds: math.Inf(1), Accounts: []AccountCount{{"x", -1}}}}})
			for _, h := range holders {
				if !h.silent && rng.Float64() >= loss {
					h.exchange(now, a, rng.Float64() < loss)
				}
			}
		}
		check := func(most float64) {
			held := 0.0
			for _, h := range holders {
				if r := a.reports[h.name]; r != nil && !r.lost {
					held += h.demand.Places
				}
			}
			if held > most+0.01 || most == total && held < total-0.01 {
				t.Fatalf("seed %d, %v: processes hold %.2f of %.2f places", seed, now.Sub(t0), held, most)
			}
		}
		round(0)
		for i := range 200 {
			if h := holders[rng.IntN(len(holders))]; i%5 == 0 {
				h.demand.Requests, h.silent = 20+rng.IntN(600), !h.silent
			}
			round(0.2)
			check(total + 1e-6 + max(0, -a.book("s").free)) // what those that came back still use is owed
		}
		for _, h := range holders {
			h.silent = false
		}
		for i := range 40 {
			holders[0].silent = i >= 20 // its places go to the others
			round(0)
		}
		check(total)
	}
}

// Guards against retries of all processes that together exceed a fifth of the requests and ten, and
// against a new leader that gives more than the equal share before it knows all reports.
func TestRetriesOfAllProcessesStayWithinOneBudget(t *testing.T) {
	is := is.New(t)
	a, holders, budget := NewAllocator(), newHolders(30), 10.0
	a.Lead(t0)
	first := a.Answer(t0, &Demand{Process: "p0", Processes: 10, Services: []ServiceDemand{{Service: "s", Requests: 100, RetriesWanted: 1000, Places: 5}}})
	is.Equal(first.Services[0].Places, 0.0)
	is.Equal(first.Services[0].Retries, 0.2*200+1)
	for i, h := range holders {
		h.demand.RetriesWanted = 40 * (i % 4)
		budget += 0.2 * 2 * float64(h.demand.Requests) // in 10 s
		h.exchange(t0.Add(settleTime), a, false)
	}
	allowed, most := 0.0, 0.0
	for _, h := range holders {
		retries := h.exchange(t0.Add(settleTime+reportInterval), a, false).Retries
		allowed += retries
		most = max(most, retries)
	}
	is.True(math.Abs(allowed-budget) < 0.01)
	is.True(most > 0.2*2*200) // those that want more get what others leave
}

// Guards against accounts that are limited although they send no more than others, only because
// processes report their largest ones.
func TestEqualAccountsAreNotOverTheirShare(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(5, 6))
	over := func(large int, served float64) []AccountShare {
		var holdings []*holding
		for range 24 {
			total, requests := countsSlot{accounts: make(map[string]int)}, large
			for i := range 80 {
				n := 4 + rng.IntN(8)
				total.accounts[fmt.Sprint("a", i)] = n
				requests += n
			}
			total.accounts["a7"] += large
			holdings = append(holdings, &holding{demand: ServiceDemand{Requests: requests, Accounts: total.largest(), NumAccounts: 80}})
		}
		return overFairShare(holdings, served)
	}
	is.Equal(len(over(0, 0.6)), 0)
	limited := over(80, 0.9)
	is.Equal(len(limited), 1)
	is.Equal(limited[0].Account, "a7")
	is.True(limited[0].Admitted > 0.1 && limited[0].Admitted < 0.35) // the others leave it 0.22
}
