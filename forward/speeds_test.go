package forward

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/routes"
	"merlinhall/targetcapacity"
	"merlinhall/wire"
)

// playedRequest is a request of a process to a target.
type playedRequest struct {
	process, target, load int
	sent, ends            time.Duration
}

// playUneven steps through the uneven deployment: 24 processes that know only their own observations
// send requests with 21 ms of work to 29 targets with 6 slots and a queue of 24, whose speeds are 0.6,
// 1 and 1.6. In each 600 ms, 15% of the targets are 2.5 times slower for 50 to 300 ms. With bursts,
// one second in four has twice the load. It returns the slot time of the busiest target compared with
// the mean, the mean and the 99th percentile of the response times in milliseconds, and the part of
// the requests that were later than 150 ms or rejected.
func playUneven(measured bool, use float64, bursts bool) (busiest, mean, p99, late float64) {
	const processes, targets, warmUp, end = 24, 29, 5 * time.Second, 13 * time.Second
	type state struct {
		targetState
		connections int
	}
	rnd := rand.New(rand.NewPCG(3, 4))
	var states [processes][targets]state
	var services [processes]targetcapacity.Service
	var running, queued [targets][]*playedRequest
	var responses []float64
	work := make([]float64, targets)
	speedOf, total := func(i int) float64 { return []float64{0.6, 1, 1.6}[i%3] }, 30.4 // of 29 targets
	choose := func(p int, now time.Time) (best int) {
		least, ranking := math.Inf(1), services[p].Rank(now)
		for i := range targets {
			s, speed := &states[p][i], 0.0
			if measured && ranking.InForce() {
				speed = ranking.SpeedOf(strconv.Itoa(i))
			}
			cost := waitingCost(s.outstanding, s.latency, speed, rnd.Float64(), rnd.Float64())
			if s.connections <= s.outstanding {
				cost *= newConnFactor
			}
			if cost < least {
				best, least = i, cost
			}
		}
		return best
	}
	begin := func(r *playedRequest, now time.Duration) {
		const period = 600 * time.Millisecond
		pause := rand.New(rand.NewPCG(uint64(r.target), uint64(now/period)))
		took, length := 21*(0.8+0.4*rnd.Float64())/speedOf(r.target), 50+pause.Float64()*250
		from, within := pause.Float64()*(600-length), float64(now%period)/1e6
		if pause.Float64() < 0.15 && within >= from && within < from+length {
			took *= 2.5
		}
		r.ends = now + time.Duration(took*1e6)
		running[r.target] = append(running[r.target], r)
		if now > warmUp {
			work[r.target] += took
		}
	}
	for now := time.Duration(0); now < end; now += time.Millisecond {
		at := time.Unix(0, 0).Add(now)
		for i := range targets {
			running[i] = slices.DeleteFunc(running[i], func(r *playedRequest) bool {
				if r.ends > now {
					return false
				}
				s, took := &states[r.process][i], r.ends-r.sent+time.Millisecond
				s.outstanding--
				s.latency = cmp.Or(s.latency, took)
				s.latency += time.Duration(latencyGain * float64(took-s.latency))
				services[r.process].Add(targetcapacity.Sample{Target: strconv.Itoa(i), Load: r.load, At: at, Took: took})
				if now > warmUp {
					responses = append(responses, float64(took)/1e6)
				}
				return true
			})
			for len(queued[i]) > 0 && len(running[i]) < 6 {
				begin(queued[i][0], now)
				queued[i] = queued[i][1:]
			}
		}
		rate := use * total * 6 / 21 / processes // per millisecond
		if bursts {
			rate *= []float64{2, 2.0 / 3, 2.0 / 3, 2.0 / 3}[now/time.Second%4]
		}
		for p := range processes {
			if rnd.Float64() >= rate {
				continue
			}
			i := choose(p, at)
			s := &states[p][i]
			switch r := (&playedRequest{process: p, target: i, load: s.outstanding + 1, sent: now}); {
			case len(running[i]) < 6:
				begin(r, now)
			case len(queued[i]) < 24:
				queued[i] = append(queued[i], r)
			default: // does not happen at these loads
				responses = append(responses, 1000)
				continue
			}
			s.outstanding++
			s.connections = max(s.connections, s.outstanding)
		}
	}
	sum := 0.0
	for _, w := range work {
		sum += w / targets
	}
	for _, r := range responses {
		mean += r / float64(len(responses))
		if r > 150 {
			late += 1 / float64(len(responses))
		}
	}
	slices.Sort(responses)
	return slices.Max(work) / sum, mean, responses[len(responses)*99/100], late
}

// Guards against a load that concentrates on the fast targets until they have a queue, as with the
// former cost, and against a cost that spreads it at the expense of responses later than the
// objective of 150 ms. Slot time is compared, not requests: a target that is 1.6 times faster is to
// get more of them.
func TestBusiestTargetOfUnevenOnes(t *testing.T) {
	is := is.New(t)
	for _, use := range []float64{0.05, 0.3, 0.45} {
		bursts := use > 0.4
		formerBusiest, formerMean, formerP99, formerLate := playUneven(false, use, bursts)
		busiest, mean, p99, late := playUneven(true, use, bursts)
		t.Logf("use %.2f, bursts %v: busiest %.2f -> %.2f of the mean; response mean %.1f -> %.1f ms, p99 %.1f -> %.1f ms, late or rejected %.3f%% -> %.3f%%",
			use, bursts, formerBusiest, busiest, formerMean, mean, formerP99, p99, 100*formerLate, 100*late)
		is.True(busiest < 0.8*formerBusiest && late <= formerLate+2e-4 && p99 < 100)
	}
}

// Guards against speeds that count with the switch off or among equal targets, and against error
// responses that make a target count as fast.
func TestSpeedsOfTargetsInTheCost(t *testing.T) {
	is := is.New(t)
	f := &Forwarder{MeasuredCapacity: true}
	add := func(id string, status int) {
		a := &attempt{target: &wire.TargetEntry{ID: id, Service: "s"}, verdict: Answered, result: Result{Status: status}}
		f.measureSpeed(context.Background(), &Request{Route: &routes.Route{Name: "r"}}, a, time.Millisecond)
	}
	add("a", 404)
	is.Equal(len(f.Speeds().([]targetcapacity.State)), 0)
	add("a", 200)
	is.Equal(len(f.Speeds().([]targetcapacity.State)), 1)
	now := time.Now()
	speedsWith := func(slow time.Duration) (a, c, unknown float64) {
		for range 200 {
			now = now.Add(50 * time.Millisecond)
			for id, took := range map[string]time.Duration{"a": slow, "b": slow, "c": 20 * time.Millisecond, "d": 20 * time.Millisecond} {
				f.speeds.measured.Service("s").Add(targetcapacity.Sample{Target: id, Kind: "r", At: now, Took: took})
			}
		}
		of := func(id string) float64 { return f.speedOf(now, &wire.TargetEntry{ID: id, Service: "s"}) }
		return of("a"), of("c"), of("x")
	}
	a, c, unknown := speedsWith(22 * time.Millisecond)
	is.Equal([]float64{a, c, unknown}, []float64{0, 0, 0})
	a, c, unknown = speedsWith(50 * time.Millisecond)
	is.True(a < 0.75 && c > 1.3 && unknown == 1)
	f.MeasuredCapacity = false
	a, c, unknown = speedsWith(50 * time.Millisecond)
	is.Equal([]float64{a, c, unknown}, []float64{0, 0, 0})
	is.Equal(waitingCost(2, 30*time.Millisecond, 0, 0.25, 0.9), 2.75*(0.03+unmeasuredTime.Seconds()))
}
