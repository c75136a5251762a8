package locality

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var testCosts = Costs{RoundTrip: DefaultRoundTrip, ByteCost: DefaultByteCost, Bytes: 2000, Worth: 75 * time.Millisecond}

// randomZones returns two to four zones with 20 to 100% of their targets, some without any.
func randomZones(rng *rand.Rand) []Zone {
	out := make([]Zone, 2+rng.IntN(3))
	for i := range out {
		places := 24 * (0.2 + 0.8*rng.Float64())
		if rng.IntN(8) == 0 {
			places = 0
		}
		out[i] = Zone{Name: fmt.Sprint("z", i), Places: places, Arrivals: 1200 * rng.Float64(), RunTime: time.Duration(15+rng.IntN(50)) * time.Millisecond}
	}
	return out
}

// Guards against traffic that leaves a zone for no reason, shares that add up to something else
// than all requests, destinations without targets, and zones that get more than they can run
// while others have room.
func TestSharesBalanceTheZones(t *testing.T) {
	for seed := range uint64(2000) {
		zones := randomZones(rand.New(rand.NewPCG(seed, 1)))
		rows, p := Decide(zones, testCosts), newProblem(zones, testCosts)
		after, places, allFree := make(map[string]float64), 0.0, true
		for i, z := range zones {
			places += z.Places
			allFree = allFree && z.Places > 0 && z.Arrivals <= p.capacity(i, p.crossing)
			after[z.Name] += z.Arrivals * (1 - rows[i].Leave)
			sum := 0.0
			for _, s := range rows[i].To {
				sum += s.Part
				after[s.Zone] += z.Arrivals * rows[i].Leave * s.Part
				for _, to := range zones {
					if to.Name == s.Zone && to.Places == 0 || s.Zone == z.Name {
						t.Fatalf("seed %d: zone %s sends to %v", seed, z.Name, s)
					}
				}
			}
			if sum > 0 && math.Abs(sum-1) > 2*minPart {
				t.Fatalf("seed %d: parts add up to %v", seed, sum)
			}
		}
		for i, z := range zones {
			switch {
			case allFree && rows[i].Leave > 0:
				t.Fatalf("seed %d: %v leaves %s although all zones have free capacity", seed, rows[i].Leave, z.Name)
			case z.Places == 0 && places > 0 && rows[i].Leave < 1:
				t.Fatalf("seed %d: zone %s has no target and keeps requests", seed, z.Name)
			case places > 0 && p.evenUse < 0.9 && after[z.Name] > p.rates[i]*(1+2*minPart):
				t.Fatalf("seed %d: zone %s gets %v and can run %v", seed, z.Name, after[z.Name], p.rates[i])
			}
		}
	}
}

// Guards against a small zone whose callers wait longer than those of the others by more than
// the way there costs, and against requests that are not worth the way but leave.
func TestWaitsDifferByTheRoundTrip(t *testing.T) {
	is := is.New(t)
	zones := []Zone{{Name: "a", Places: 6, Arrivals: 480, RunTime: 25 * time.Millisecond}, {Name: "b", Places: 24, Arrivals: 480, RunTime: 25 * time.Millisecond}}
	row := Decide(zones, testCosts)[0]
	stay := 480 * (1 - row.Leave)
	own, other := waitAt(stay/240, serversOf(6), 0.025), waitAt((960-stay)/960, serversOf(24), 0.025)
	is.True(row.Leave > 0.5)
	is.True(math.Abs(own-other-testCosts.crossing().Seconds()) < 2e-4)
	dear := testCosts
	dear.Bytes = 1e6 // 80 ms, more than the wait is worth
	is.Equal(Decide(zones, dear)[0].Leave, 0.0)
	zones[0].Places = 0
	is.Equal(Decide(zones, dear)[0].Leave, 1.0)
}

// Guards against shares that come and go with each report, and against a share that falls slowly
// into a zone that has filled meanwhile.
func TestShareRisesAtOnceAndFallsSlowly(t *testing.T) {
	is := is.New(t)
	before := Row{From: "a", Leave: 0.4}
	is.Equal(Settle(before, Row{Leave: 0.7, Most: 0.8}, time.Second).Leave, 0.7)
	is.True(math.Abs(Settle(before, Row{Leave: 0, Most: 1}, fallTime).Leave-0.4/math.E) < 1e-9)
	is.Equal(Settle(before, Row{Leave: 0.1, Most: 0.15}, 100*time.Millisecond).Leave, 0.15)
	is.Equal(Settle(Row{Leave: 0.006}, Row{Most: 1}, time.Second).Leave, 0.0)
}

// Guards against processes that all fill an empty zone at the same time, against a share that
// small processes do not keep together, and against a zone that is no option.
func TestProcessesTogetherKeepTheShares(t *testing.T) {
	is := is.New(t)
	row := Row{From: "a", Leave: 0.2, To: []Share{{"b", 0.75}, {"c", 0.25}}}
	options := []Option{{Zone: "a"}, {Zone: "b"}, {Zone: "c"}}
	for _, requests := range []int{1, 20} {
		got := make(map[string]int)
		for i := range 400 {
			var p Picker
			r := &Request{Row: row, Process: fmt.Sprint("p", i), Rate: 2, Options: options}
			for range requests {
				is.Equal(p.Preview(r), p.Preview(r))
				got[p.Pick(r)]++
			}
		}
		leave := float64(got["b"]+got["c"]) / float64(400*requests)
		is.True(leave > 0.14 && leave < 0.26)
		is.True(got["b"] > 2*got["c"])
	}
	var p Picker
	for range 20 {
		zone := p.Pick(&Request{Row: row, Process: "p", Options: options[1:2]})
		is.Equal(zone, "b")
	}
	is.Equal(p.Pick(&Request{Row: row}), "")
}

// Guards against a process that goes on with old shares for ever, that drops them with the first
// lost answer, that takes those of a former leader, or that alone keeps all in a full zone.
func TestProcessDecidesAloneAfterTheSharesExpire(t *testing.T) {
	is := is.New(t)
	c := Chooser{Process: "p", Zone: "a", Costs: testCosts, Places: func(string) map[string]float64 { return map[string]float64{"a": 6, "b": 24} }}
	c.Learn(time.Second, &Answers{Term: 2, Version: 3, Services: []ServiceAnswer{{Service: "s", Leave: 0.5, To: []Share{{"b", 1}}}}})
	c.Learn(2*time.Second, &Answers{Term: 1, Version: 9, Services: []ServiceAnswer{{Service: "s", Leave: 0.9}}})
	c.Learn(2*time.Second, &Answers{Term: 3, Learning: true})
	options := []string{"a", "b"}
	_, row, source := c.Preview(time.Second+ShareTime, "s", options, false)
	is.Equal(source, FromLeader)
	is.Equal(row.Leave, 0.5)
	now := time.Second + ShareTime + time.Millisecond
	_, row, source = c.Preview(now, "s", options, false)
	is.Equal(source, FromSelf)
	is.True(row.Leave > 0 && row.Leave < 0.5)
	for i := range 40 { // responses become slow, others' are not
		now += AloneInterval
		took := 25 * time.Millisecond
		if i > 5 {
			took = 80 * time.Millisecond
		}
		c.Arrived(now, "s", time.Second)
		for _, zone := range []string{"a", "b"} {
			c.Sent(now, "s", zone)
		}
		c.Ended(now, "s", "a", took, Answered, 100)
		c.Ended(now, "s", "b", 25*time.Millisecond, Answered, 100)
		c.Pick(now, "s", options, false)
	}
	_, row, _ = c.Preview(now, "s", options, false)
	is.True(row.Leave > 0.5)
}

// Guards against a leader that gives out shares before it has heard of all processes, that counts
// a process twice or after its loss, and that takes refusals for capacity.
func TestLeaderCountsEachProcessOnce(t *testing.T) {
	is := is.New(t)
	l := Leader{Costs: testCosts, Places: func(string) map[string]float64 { return map[string]float64{"a": 6, "b": 24} }}
	l.Lead(0, 1)
	report := func(process, zone string, rate, refused float64) *Report {
		return &Report{Process: process, Zone: zone, Services: []ServiceReport{{Service: "s", Arrivals: rate, Worth: 75, Zones: []ZoneReport{{Zone: zone, Outstanding: rate * 0.025, Answered: rate - refused, Refused: refused}}}}}
	}
	is.True(l.Handle(0, report("p", "a", 400, 0)).Learning)
	is.True(l.Handle(learnTime/2, report("p", "a", 400, 0)).Learning)
	l.Handle(learnTime/2, report("q", "b", 100, 0))
	out := l.Handle(learnTime, report("p", "a", 400, 0))
	is.Equal(out.Services[0].Inputs[0].Arrivals, 400.0)
	is.True(out.Services[0].Leave > 0.3)
	is.Equal(out.Services[0].To, []Share{{"b", 1}})
	out = l.Handle(learnTime+ShareTime, report("q", "b", 100, 0))
	is.Equal(out.Services[0].Inputs[0].Arrivals, 400.0)
	out = l.Handle(2*learnTime+ShareTime, report("q", "b", 100, 0))
	is.Equal(out.Services[0].Inputs[0].Arrivals, 0.0)
	out = l.Handle(3*learnTime+ShareTime, report("q", "b", 100, 99))
	is.Equal(out.Services[0].Inputs[1].Places, 0.0)
	l.Lead(time.Minute, 2)
	is.True(l.Handle(time.Minute, report("q", "b", 100, 0)).Learning)
}
