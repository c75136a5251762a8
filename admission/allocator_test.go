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
	name     string
	demand   ServiceDemand
	reporter bool
}

// exchange sends the report of a process. answered is false if the answer is lost.
func (h *holder) exchange(now time.Time, a *Allocator, answered bool) *ServiceShare {
	out := a.Answer(now, &Demand{Process: h.name, Services: []ServiceDemand{h.demand}})
	if !answered || len(out.Services) == 0 {
		return nil
	}
	if s := &out.Services[0]; s.Places > 0 {
		h.demand.Places, h.demand.Applied = s.Places, s.Sequence
	}
	return &out.Services[0]
}

func newHolders(n int) []*holder {
	var out []*holder
	for i := range n {
		out = append(out, &holder{name: fmt.Sprint("p", i), reporter: true, demand: ServiceDemand{
			Service: "s", Requests: 100 * (1 + i%3), Queued: 1, Places: 5, Seconds: 0.025,
		}})
	}
	return out
}

// Guards against places that are given out twice or disappear when answers are lost, processes are
// lost, stand still or come back, and when demand moves.
func TestPlacesAreNeitherDoubledNorLost(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		a, holders := NewAllocator(), newHolders(12)
		a.Lead(t0)
		total := 12 * 5.0
		// held returns what the processes may have in flight. Those that count as lost hold nothing.
		held := func() (sum float64) {
			for _, h := range holders {
				if r := a.reports[h.name]; r != nil && !r.lost {
					sum += h.demand.Places
				}
			}
			return sum
		}
		now := t0
		step := func(loss float64) {
			now = now.Add(reportInterval)
			for _, h := range holders {
				if h.reporter && rng.Float64() >= loss { // the report arrives
					h.exchange(now, a, rng.Float64() >= loss)
				}
			}
		}
		step(0)
		for i := range 200 {
			if i%5 == 0 {
				h := holders[rng.IntN(len(holders))]
				h.demand.Requests = 20 + rng.IntN(600)
				h = holders[rng.IntN(len(holders))]
				h.reporter = !h.reporter || i > 150
			}
			step(0.2)
			// What processes held that were lost and came back is owed by all until they give it up.
			if sum := held(); sum > total+max(0, -a.book("s").free)+0.01 {
				t.Fatalf("seed %d, step %d: processes hold %.2f of %.0f places", seed, i, sum, total)
			}
		}
		for _, h := range holders {
			h.reporter = true
		}
		for range 20 {
			step(0)
		}
		if sum := held(); math.Abs(sum-total) > 0.01 {
			t.Fatalf("seed %d: in the end processes hold %.2f of %.0f places", seed, sum, total)
		}
	}
}

// Guards against a share that stays with a lost process, and against one that is given to others
// before the process must have stopped using it.
func TestShareOfALostProcessIsGivenToOthers(t *testing.T) {
	is := is.New(t)
	a, holders := NewAllocator(), newHolders(4)
	a.Lead(t0)
	others := func() float64 {
		return holders[1].demand.Places + holders[2].demand.Places + holders[3].demand.Places
	}
	round := func(now time.Duration, from int) {
		for _, h := range holders[from:] {
			h.exchange(at(now), a, true)
		}
	}
	now := time.Duration(0)
	for ; now <= 3*time.Second; now += reportInterval {
		round(now, 0)
	}
	last, before := now-reportInterval, others()
	for ; now < last+reportTime; now += reportInterval {
		round(now, 1)
		is.True(others() < before+0.01)
	}
	for range 4 {
		round(now, 1)
		now += reportInterval
	}
	is.True(math.Abs(others()-20) < 0.01)
}

// Guards against a new leader that divides places before it knows what all processes hold, or
// gives the retries of all to the first that reports.
func TestNewLeaderGivesNoMoreThanTheEqualShare(t *testing.T) {
	is := is.New(t)
	a, h := NewAllocator(), newHolders(1)[0]
	a.Lead(t0)
	h.demand.RetriesWanted = 1000
	out := a.Answer(t0.Add(reportInterval), &Demand{Process: h.name, Processes: 10, Services: []ServiceDemand{h.demand}})
	is.Equal(out.Processes, 10)
	is.Equal(out.Services[0].Places, 0.0)
	is.Equal(out.Services[0].Retries, 0.2*200+1)
}

// Guards against retries of all processes that together exceed a fifth of the requests and ten.
func TestRetriesOfAllProcessesStayWithinOneBudget(t *testing.T) {
	is := is.New(t)
	a, holders := NewAllocator(), newHolders(30)
	a.Lead(t0)
	requests := 0
	for i, h := range holders {
		h.demand.RetriesWanted = 40 * (i % 4)
		requests += 2 * h.demand.Requests // in 10 s
	}
	for _, h := range holders {
		h.exchange(t0.Add(settleTime), a, true)
	}
	allowed, most := 0.0, 0.0
	for _, h := range holders {
		share := h.exchange(t0.Add(settleTime+reportInterval), a, true)
		allowed += share.Retries
		most = max(most, share.Retries)
	}
	is.True(allowed <= 0.2*float64(requests)+10.01)
	is.True(allowed > 0.2*float64(requests)+9.99)
	is.True(most > 0.2*2*200) // those that want more get what others leave
}

// Guards against accounts that are limited although they send no more than others, only because
// processes report their largest ones.
func TestEqualAccountsAreNotOverTheirShare(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(5, 6))
	demands := func(large int) (out []*holding) {
		for range 24 {
			var total countsSlot
			total.accounts = make(map[string]int)
			for i := range 80 {
				total.accounts[fmt.Sprint("a", i)] = 4 + rng.IntN(8)
			}
			total.accounts["a7"] += large
			d := ServiceDemand{Accounts: total.largest(), NumAccounts: 80}
			for _, n := range total.accounts {
				d.Requests += n
			}
			out = append(out, &holding{demand: d})
		}
		return out
	}
	is.Equal(len(overFairShare(demands(0), 0.6)), 0)
	over := overFairShare(demands(80), 0.9)
	is.Equal(len(over), 1)
	is.Equal(over[0].Account, "a7")
	is.True(over[0].Admitted > 0.1 && over[0].Admitted < 0.35) // the others leave it 0.22
}

// Guards against numbers of a report that make the leader divide nonsense.
func TestReportWithSenselessNumbersIsHarmless(t *testing.T) {
	is := is.New(t)
	a, holders := NewAllocator(), newHolders(2)
	a.Lead(t0)
	for i := range 10 {
		now := t0.Add(settleTime + time.Duration(i)*reportInterval)
		bad := ServiceDemand{Service: "s", Requests: -5, RetriesWanted: math.MinInt, Places: math.NaN(), Seconds: math.Inf(1), Accounts: []AccountCount{{"x", -1}, {"x", math.MaxInt}}}
		a.Answer(now, &Demand{Process: "bad", Services: []ServiceDemand{bad, bad}})
		for _, h := range holders {
			share := h.exchange(now, a, true)
			is.True(share.Retries >= 0 && share.Retries < 1000)
		}
	}
	is.True(math.Abs(holders[0].demand.Places+holders[1].demand.Places-10) < 0.01)
}
