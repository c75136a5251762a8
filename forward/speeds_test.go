package forward

import (
	"container/heap"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/directory"
	"merlinhall/routes"
	"merlinhall/targetcapacity"
	"merlinhall/wire"
)

// playedEvent is something that happens in a played load.
type playedEvent struct {
	at time.Duration
	do func()
}

type playedEvents []playedEvent

func (e playedEvents) Len() int           { return len(e) }
func (e playedEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e playedEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *playedEvents) Push(x any)        { *e = append(*e, x.(playedEvent)) }
func (e *playedEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// playedLoad plays the uneven deployment: 24 processes that know only their own observations send
// requests with 21 ms of work to 29 targets with 6 slots and a queue of 24, whose speeds are 0.6, 1
// and 1.6. In each 600 ms, 15% of the targets are 2.5 times slower for 50 to 300 ms.
type playedLoad struct {
	measured  bool // use speeds
	use       float64
	bursts    bool // one second in four has twice the load, the others two thirds
	rnd       *rand.Rand
	seed      uint64
	now       time.Duration
	events    playedEvents
	targets   [29]playedTarget
	responses []float64 // milliseconds
	rejected  int
}

type playedTarget struct {
	speed float64
	busy  int
	queue []func()
	work  time.Duration // time of the slots after the warm-up
}

const (
	playedWarmUp = 5 * time.Second
	playedEnd    = 13 * time.Second
)

var playedNames = func() (names [29]string) {
	for i := range names {
		names[i] = fmt.Sprint(i)
	}
	return names
}()

func (p *playedLoad) after(d time.Duration, do func()) {
	heap.Push(&p.events, playedEvent{p.now + d, do})
}

// workTime returns how long a request takes that begins now.
func (p *playedLoad) workTime(target int) time.Duration {
	const period = 600 * time.Millisecond
	pause := rand.New(rand.NewPCG(p.seed<<16+uint64(target), uint64(p.now/period)))
	took := 21e6 * (0.8 + 0.4*p.rnd.Float64()) / p.targets[target].speed
	length := 50 + pause.Float64()*250
	begin := pause.Float64() * (600 - length)
	if within := float64(p.now%period) / 1e6; pause.Float64() < 0.15 && within >= begin && within < begin+length {
		took *= 2.5
	}
	return time.Duration(took)
}

// request has a target run a request, or reject it.
func (p *playedLoad) request(target int, done func(ran bool)) {
	t := &p.targets[target]
	run := func() {
		t.busy++
		took := p.workTime(target)
		if p.now > playedWarmUp {
			t.work += took
		}
		p.after(took, func() {
			t.busy--
			done(true)
			if len(t.queue) > 0 {
				next := t.queue[0]
				t.queue = t.queue[1:]
				next()
			}
		})
	}
	switch {
	case t.busy < 6:
		run()
	case len(t.queue) < 24:
		t.queue = append(t.queue, run)
	default:
		done(false)
	}
}

// startProcess plays the requests of a process, perSecond of them.
func (p *playedLoad) startProcess(perSecond func() float64) {
	type state struct {
		targetState
		connections int
	}
	var states [29]state
	var measured targetcapacity.Service
	choose := func() int {
		at := time.Unix(0, 0).Add(p.now)
		ranking := measured.Rank(at)
		best, least := 0, math.Inf(1)
		for i := range states {
			s, speed := &states[i], 0.0
			if p.measured && ranking.InForce() {
				speed = ranking.SpeedOf(playedNames[i])
			}
			cost := waitingCost(s.outstanding, s.latency, speed, p.rnd.Float64(), p.rnd.Float64())
			if s.connections <= s.outstanding {
				cost *= newConnFactor
			}
			if at.Before(s.suspectUntil) {
				cost += suspectCost
			}
			if cost < least {
				best, least = i, cost
			}
		}
		return best
	}
	var next func()
	next = func() {
		if p.now < playedEnd {
			p.after(time.Duration(p.rnd.ExpFloat64()/perSecond()*1e9), next)
		}
		target, sent := choose(), p.now
		s := &states[target]
		s.outstanding++
		s.connections = max(s.connections, s.outstanding)
		load := s.outstanding
		p.after(time.Millisecond, func() {
			p.request(target, func(ran bool) {
				s.outstanding--
				took, at := p.now-sent, time.Unix(0, 0).Add(p.now)
				switch {
				case !ran:
					s.suspectUntil = at.Add(suspectDuration)
					p.rejected++
					return
				case s.latency == 0:
					s.latency = took
				default:
					s.latency += time.Duration(latencyGain * float64(took-s.latency))
				}
				measured.Add(targetcapacity.Sample{Target: playedNames[target], Load: load, At: at, Took: took})
				if p.now > playedWarmUp {
					p.responses = append(p.responses, float64(took)/1e6)
				}
			})
		})
	}
	p.after(time.Duration(p.rnd.Float64()*1e7), next)
}

// play returns the slot time of the busiest target compared with the mean, the mean and the 99th
// percentile of the response times in milliseconds, and the part of them above the objective.
func (p *playedLoad) play() (busiest, mean, p99, late float64) {
	total := 0.0
	for i := range p.targets {
		p.targets[i].speed = []float64{0.6, 1, 1.6}[i%3]
		total += p.targets[i].speed
	}
	for range 24 {
		p.startProcess(func() float64 {
			rate := p.use * total * 6 / 0.021 / 24
			switch {
			case p.bursts && p.now%(4*time.Second) < time.Second:
				rate *= 2
			case p.bursts:
				rate *= 2.0 / 3
			}
			return rate
		})
	}
	for p.events.Len() > 0 {
		e := heap.Pop(&p.events).(playedEvent)
		p.now = e.at
		e.do()
	}
	sum := 0.0
	for i := range p.targets {
		busiest = max(busiest, float64(p.targets[i].work))
		sum += float64(p.targets[i].work) / float64(len(p.targets))
	}
	slices.Sort(p.responses)
	for _, r := range p.responses {
		mean += r / float64(len(p.responses))
		if r > 150 {
			late += 1 / float64(len(p.responses))
		}
	}
	return busiest / sum, mean, p.responses[len(p.responses)*99/100], late
}

// Guards against a load that concentrates on the fast targets until they have a queue, as with the
// former cost, and against a cost that spreads it at the expense of late responses in bursts. Slot
// time is compared, not requests: a target that is 1.6 times faster is to get 1.6 times as many.
func TestBusiestTargetOfUnevenOnes(t *testing.T) {
	for _, c := range []struct {
		use    float64
		bursts bool
		most   float64 // of the former busiest compared with the mean
	}{{0.05, false, 0.8}, {0.3, false, 0.8}, {0.45, true, 0.85}} {
		is := is.New(t)
		play := func(measured bool) (busiest, mean, p99, late float64, rejected int) {
			p := &playedLoad{measured: measured, use: c.use, bursts: c.bursts, seed: 3, rnd: rand.New(rand.NewPCG(3, 4))}
			busiest, mean, p99, late = p.play()
			return busiest, mean, p99, late, p.rejected
		}
		formerBusiest, formerMean, formerP99, formerLate, formerRejected := play(false)
		busiest, mean, p99, late, rejected := play(true)
		t.Logf("use %.2f, bursts %v: busiest %.2f -> %.2f of the mean; response mean %.1f -> %.1f ms, p99 %.1f -> %.1f ms, late %.4f%% -> %.4f%%, rejected %d -> %d",
			c.use, c.bursts, formerBusiest, busiest, formerMean, mean, formerP99, p99, 100*formerLate, 100*late, formerRejected, rejected)
		is.True(busiest < c.most*formerBusiest)
		is.True(late <= formerLate+2e-4 && rejected <= formerRejected)
		is.True(p99 < 100) // two thirds of the objective
	}
}

// Guards against speeds that count with the switch off or among equal targets, and against error
// responses that make a target count as fast.
func TestSpeedsOfTargetsInTheCost(t *testing.T) {
	is := is.New(t)
	f := &Forwarder{MeasuredCapacity: true, Directory: directory.New()}
	r := &Request{Route: &routes.Route{Name: "r"}}
	add := func(id string, status int, took time.Duration) {
		a := &attempt{target: &wire.TargetEntry{ID: id, Service: "s"}, load: 1, verdict: Answered, result: Result{Status: status}}
		f.measureSpeed(context.Background(), r, a, took)
	}
	speed := func(now time.Time, id string) float64 {
		return f.speedOf(now, &wire.TargetEntry{ID: id, Service: "s"})
	}
	add("a", 404, time.Millisecond)
	add("a", 200, 20*time.Millisecond)
	is.Equal(len(f.Speeds().([]targetcapacity.State)), 1)

	now := time.Now()
	feed := func(slow time.Duration) {
		for i := range 200 {
			for _, id := range []string{"a", "b", "c", "d"} {
				took := 20 * time.Millisecond
				if id == "a" || id == "b" {
					took = slow
				}
				f.speeds.measured.Service("s").Add(targetcapacity.Sample{Target: id, Kind: "r", Load: 1, At: now.Add(time.Duration(i) * 50 * time.Millisecond), Took: took})
			}
		}
		now = now.Add(10 * time.Second)
	}
	feed(22 * time.Millisecond)
	is.Equal(speed(now, "a"), 0.0)
	feed(50 * time.Millisecond)
	is.True(speed(now, "a") < 0.75 && speed(now, "c") > 1.3)
	is.Equal(speed(now, "unknown"), 1.0)
	f.MeasuredCapacity = false
	is.Equal(speed(now, "a"), 0.0)
	is.Equal(waitingCost(2, 30*time.Millisecond, 0, 0.25, 0.9), 2.75*(0.03+unmeasuredTime.Seconds()))
}
