package locality_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"merlinhall/eventqueue"
	"merlinhall/locality"
)

// ZonePolicy is a way to choose between targets of one's own zone and of others.
type ZonePolicy string

// Policies for traffic between zones.
const (
	FixedPenalty   ZonePolicy = "fixed penalty"
	LocalThreshold ZonePolicy = "local threshold"
	LeaderShares   ZonePolicy = "shares"
	TwoChoices     ZonePolicy = "two choices"
)

// ZonePolicies lists the policies.
var ZonePolicies = []ZonePolicy{FixedPenalty, LocalThreshold, LeaderShares, TwoChoices}

// ZoneLoad is one zone in a ZoneScenario.
type ZoneLoad struct {
	Targets int
	// Load is the offered work relative to the targets that a zone has in full, Wave the
	// amplitude of a sine around it, and Phase its phase as a part of the period.
	Load, Wave, Phase float64
	// From TroubleAt on its targets are Slow times slower, Lost, or refuse as Failing.
	TroubleAt     time.Duration
	Slow          float64
	Lost, Failing bool
}

// ZoneScenario is a deployment and its load.
type ZoneScenario struct {
	Name      string
	Full      int // targets of a zone in full
	Processes int // of each zone
	Zones     []ZoneLoad
	// ReportDelay is how late reports arrive, and Silent is set if none does.
	ReportDelay time.Duration
	Silent      bool
	Duration    time.Duration
	Seed        uint64
}

// ZoneResult holds the metrics of one run.
type ZoneResult struct {
	Requests, Unserved int
	MeanWait, P99      time.Duration // beside the run itself; the wait includes the way
	// WorstZone and BestZone are the mean waits of the requests of two zones.
	WorstZone, BestZone time.Duration
	Crossed             float64 // attempts to other zones for each request
	Refused             float64 // refused or failed attempts for each request
	Connections         float64 // opened for each request
	// Swing is the mean change, from one 100 ms to the next, of the share of a zone's attempts
	// that leave it.
	Swing float64
	// Peak is the largest number of attempts that arrived at one zone from others within 50 ms,
	// relative to what the zone can run in that time.
	Peak float64
}

// String returns the line of a table.
func (r ZoneResult) String() string {
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	return fmt.Sprintf("wait %6.2f ms, p99 %6.1f, zones %6.2f to %6.2f, crossed %.3f, refused %.3f, unserved %.4f, opened %.4f, swing %.3f, peak %.2f",
		ms(r.MeanWait), ms(r.P99), ms(r.BestZone), ms(r.WorstZone), r.Crossed, r.Refused, float64(r.Unserved)/float64(max(1, r.Requests)), r.Connections, r.Swing, r.Peak)
}

// Parameters of the model: the plain service of the tight deployment in docs/design/demands.md.
const (
	zoneService     = "s"
	zoneSlots       = 6
	zoneQueue       = 24
	zoneRunTime     = 25 * time.Millisecond
	zoneWay         = 500 * time.Microsecond // one way between zones
	zoneWavePeriod  = 4 * time.Second
	zoneLimit       = 1500 * time.Millisecond
	zoneWorth       = 75 * time.Millisecond // half of the objective
	zoneBytes       = 2000
	zoneMaxRefusals = 4
	zoneSuspectTime = 3 * time.Second
	zoneLatencyGain = 0.2
	// The factors of the cost of a target, as in package forward.
	zonePenalty     = 1.25
	zoneNewConn     = 2.5
	zoneUnmeasured  = 20 * time.Millisecond
	zoneThreshold   = 1.5 // local response time relative to the least, from which requests leave
	zoneBias        = 1.5 // by which the target of another zone must be better with two choices
	zoneWarmUp      = 2 * time.Second
	zoneSwingPeriod = 100 * time.Millisecond
	zonePeakPeriod  = 50 * time.Millisecond
)

// zoneTarget runs up to zoneSlots requests and queues the others.
type zoneTarget struct {
	zone    int
	running int
	queue   []func()
}

// zoneView is what a process sees of a target.
type zoneView struct {
	outstanding, idle int
	latency           time.Duration
	suspectUntil      time.Time
}

// zoneProcess is a process that sends requests.
type zoneProcess struct {
	zone    int
	views   []zoneView
	mean    time.Duration // response time of its own zone, and the least of it
	least   time.Duration
	chooser locality.Chooser
}

// zoneModel is one run.
type zoneModel struct {
	now       time.Time
	events    eventqueue.Queue
	scenario  ZoneScenario
	policy    ZonePolicy
	rng       *rand.Rand
	targets   []*zoneTarget
	indices   []int // of targets
	processes []*zoneProcess
	leader    locality.Leader
	result    ZoneResult
	waits     []time.Duration
	zoneWaits [][2]float64 // sum and number by zone
	attempts  [][2]float64 // by zone since the last look at the swing: all, and those that left
	shares    []float64
	swings    int
	swing     float64
	incoming  []float64
	crossed   int
	refused   int
	opened    int
}

func zoneName(i int) string { return fmt.Sprint("z", i) }

// RunZones runs a scenario with a policy on a virtual clock.
func RunZones(s ZoneScenario, policy ZonePolicy) ZoneResult {
	m := &zoneModel{now: epoch, scenario: s, policy: policy, rng: rand.New(rand.NewPCG(s.Seed, 7))}
	n := len(s.Zones)
	m.zoneWaits, m.attempts, m.shares, m.incoming = make([][2]float64, n), make([][2]float64, n), make([]float64, n), make([]float64, n)
	for z, load := range s.Zones {
		for range load.Targets {
			m.indices = append(m.indices, len(m.targets))
			m.targets = append(m.targets, &zoneTarget{zone: z})
		}
	}
	costs := locality.Costs{RoundTrip: locality.DefaultRoundTrip, ByteCost: locality.DefaultByteCost}
	m.leader = locality.Leader{Places: m.places, Costs: costs}
	m.leader.Lead(0, 1)
	for z := range s.Zones {
		for i := range s.Processes {
			p := &zoneProcess{zone: z, views: make([]zoneView, len(m.targets))}
			p.chooser = locality.Chooser{Process: fmt.Sprint(z, "-", i), Zone: zoneName(z), Places: m.places, Costs: costs}
			m.processes = append(m.processes, p)
			m.arrive(p)
			if policy == LeaderShares && !s.Silent {
				m.after(time.Duration(m.rng.Int64N(int64(500*time.Millisecond))), func() { m.report(p) })
			}
		}
	}
	m.after(zoneSwingPeriod, m.lookAtSwing)
	m.after(zonePeakPeriod, m.lookAtPeak)
	m.run(epoch.Add(s.Duration))
	return m.finish()
}

// epoch is the start of virtual time.
var epoch = time.Unix(1_700_000_000, 0)

// after schedules f at now plus d.
func (m *zoneModel) after(d time.Duration, f func()) { m.events.Add(m.now.Add(d).Sub(epoch), 0, f) }

// run handles the events up to and including end.
func (m *zoneModel) run(end time.Time) {
	for {
		at, run, ok := m.events.Next(end.Sub(epoch))
		if !ok {
			return
		}
		m.now = epoch.Add(at)
		run()
	}
}

func (m *zoneModel) since() time.Duration { return m.now.Sub(epoch) }

func (m *zoneModel) troubled(zone int) bool {
	return m.scenario.Zones[zone].TroubleAt > 0 && m.since() >= m.scenario.Zones[zone].TroubleAt
}

func (m *zoneModel) listed(t *zoneTarget) bool {
	return !m.scenario.Zones[t.zone].Lost || !m.troubled(t.zone)
}

// places returns the places of the listed targets by zone.
func (m *zoneModel) places(string) map[string]float64 {
	out := make(map[string]float64)
	for z := range m.scenario.Zones {
		out[zoneName(z)] = 0
	}
	for _, t := range m.targets {
		if m.listed(t) {
			out[zoneName(t.zone)] += zoneSlots
		}
	}
	return out
}

// arrive has the next request of a process arise.
func (m *zoneModel) arrive(p *zoneProcess) {
	z := m.scenario.Zones[p.zone]
	rate := func() float64 {
		wave := math.Sin(2 * math.Pi * (m.since().Seconds()/zoneWavePeriod.Seconds() + z.Phase))
		return max(0, z.Load+z.Wave*wave) * float64(m.scenario.Full*zoneSlots) / zoneRunTime.Seconds() / float64(m.scenario.Processes)
	}
	most := (z.Load + z.Wave) * float64(m.scenario.Full*zoneSlots) / zoneRunTime.Seconds() / float64(m.scenario.Processes)
	if most <= 0 {
		return
	}
	m.after(time.Duration(m.rng.ExpFloat64()/most*float64(time.Second)), func() {
		if m.rng.Float64() < rate()/most { // thinning
			m.begin(p)
		}
		m.arrive(p)
	})
}

// report sends a report and has its answer learned.
func (m *zoneModel) report(p *zoneProcess) {
	interval := 500 * time.Millisecond
	if in := p.chooser.Report(m.since()); in != nil {
		m.after(m.scenario.ReportDelay, func() {
			out := m.leader.Handle(m.since(), in)
			m.after(2*zoneWay, func() { p.chooser.Learn(m.since(), out) })
		})
		interval = max(interval, time.Duration(len(m.processes))*5*time.Millisecond)
	}
	m.after(interval, func() { m.report(p) })
}

// zoneRequest is a request on its way.
type zoneRequest struct {
	p       *zoneProcess
	began   time.Time
	tried   []int
	counted bool
}

func (m *zoneModel) begin(p *zoneProcess) {
	r := &zoneRequest{p: p, began: m.now, counted: m.since() >= zoneWarmUp}
	if r.counted {
		m.result.Requests++
	}
	p.chooser.Arrived(m.since(), zoneService, zoneWorth)
	m.attempt(r)
}

// attempt sends a request to the target that the policy chooses.
func (m *zoneModel) attempt(r *zoneRequest) {
	i := m.choose(r)
	if i < 0 || len(r.tried) >= zoneMaxRefusals || m.now.Sub(r.began) > zoneLimit {
		if r.counted {
			m.result.Unserved++
		}
		return
	}
	r.tried = append(r.tried, i)
	t, v := m.targets[i], &r.p.views[i]
	v.outstanding++
	r.p.chooser.Sent(m.since(), zoneService, zoneName(t.zone))
	way := 50 * time.Microsecond
	m.attempts[r.p.zone][0]++
	if t.zone != r.p.zone {
		way = zoneWay
		m.attempts[r.p.zone][1]++
		m.incoming[t.zone]++
		if r.counted {
			m.crossed++
		}
	}
	if v.idle > 0 {
		v.idle--
	} else {
		if r.counted {
			m.opened++
		}
		m.after(2*way, func() { m.send(r, i, way, m.now.Add(-2*way)) })
		return
	}
	m.send(r, i, way, m.now)
}

// send has a request arrive at a target, and its response come back.
func (m *zoneModel) send(r *zoneRequest, i int, way time.Duration, sent time.Time) {
	t := m.targets[i]
	m.after(way, func() {
		if m.troubled(t.zone) && m.scenario.Zones[t.zone].Failing || !m.listed(t) || t.running >= zoneSlots && len(t.queue) >= zoneQueue {
			m.after(way, func() { m.end(r, i, sent, 0) })
			return
		}
		run := func() {
			t.running++
			took := time.Duration(float64(zoneRunTime) * (0.6 + 0.8*m.rng.Float64()))
			if slow := m.scenario.Zones[t.zone].Slow; slow > 0 && m.troubled(t.zone) {
				took = time.Duration(slow * float64(took))
			}
			m.after(took, func() {
				t.running--
				if len(t.queue) > 0 {
					next := t.queue[0]
					t.queue = t.queue[1:]
					next()
				}
				m.after(way, func() { m.end(r, i, sent, took) })
			})
		}
		if t.running < zoneSlots {
			run()
		} else {
			t.queue = append(t.queue, run)
		}
	})
}

// end takes the end of an attempt; run is 0 if it was refused.
func (m *zoneModel) end(r *zoneRequest, i int, sent time.Time, run time.Duration) {
	t, v, took := m.targets[i], &r.p.views[i], m.now.Sub(sent)
	v.outstanding--
	v.idle++
	end := locality.Answered
	if run == 0 {
		end = locality.Refused
	}
	r.p.chooser.Ended(m.since(), zoneService, zoneName(t.zone), took, end, zoneBytes)
	if run == 0 {
		v.suspectUntil = m.now.Add(zoneSuspectTime)
		if r.counted {
			m.refused++
		}
		m.attempt(r)
		return
	}
	if v.latency == 0 {
		v.latency = took
	}
	v.latency += time.Duration(zoneLatencyGain * float64(took-v.latency))
	if t.zone == r.p.zone {
		if r.p.mean == 0 {
			r.p.mean, r.p.least = took, took
		}
		r.p.mean += (took - r.p.mean) / 10
		r.p.least = min(r.p.least, r.p.mean)
	}
	if r.counted {
		wait := m.now.Sub(r.began) - run
		m.waits = append(m.waits, wait)
		m.zoneWaits[r.p.zone][0] += wait.Seconds()
		m.zoneWaits[r.p.zone][1]++
	}
}

// choose returns the target of the next attempt, or -1.
func (m *zoneModel) choose(r *zoneRequest) int {
	p := r.p
	usable := func(i int) bool { return !m.now.Before(p.views[i].suspectUntil) }
	any := func(int) bool { return true }
	own := func(i int) bool { return m.targets[i].zone == p.zone }
	switch m.policy {
	case LocalThreshold:
		if p.mean < time.Duration(zoneThreshold*float64(p.least)) || p.mean == 0 {
			if i := m.cheapest(r, func(i int) bool { return own(i) && usable(i) }, 1); i >= 0 {
				return i
			}
		}
		return m.cheapest(r, any, 1)
	case TwoChoices:
		near, far := m.random(r, func(i int) bool { return own(i) && usable(i) }), m.random(r, func(i int) bool { return !own(i) && usable(i) })
		switch {
		case near < 0 && far < 0:
			return m.cheapest(r, any, 1)
		case near < 0 || far >= 0 && m.cost(p, far)*zoneBias < m.cost(p, near):
			return far
		}
		return near
	case LeaderShares:
		var options []string
		for z := range m.scenario.Zones {
			if slices.ContainsFunc(m.indices, func(i int) bool {
				return m.targets[i].zone == z && m.listed(m.targets[i]) && !slices.Contains(r.tried, i) && usable(i)
			}) {
				options = append(options, zoneName(z))
			}
		}
		if zone := p.chooser.Pick(m.since(), zoneService, options, len(r.tried) > 0); zone != "" {
			return m.cheapest(r, func(i int) bool { return zoneName(m.targets[i].zone) == zone && usable(i) }, 1)
		}
	}
	return m.cheapest(r, any, zonePenalty)
}

// cost is the cost of a target without regard to zones.
func (m *zoneModel) cost(p *zoneProcess, i int) float64 {
	v := &p.views[i]
	cost := (float64(v.outstanding) + 0.5 + m.rng.Float64()) * (v.latency + zoneUnmeasured).Seconds()
	if v.idle == 0 {
		cost *= zoneNewConn
	}
	if m.now.Before(v.suspectUntil) {
		cost += 1e6
	}
	return cost
}

func (m *zoneModel) cheapest(r *zoneRequest, allowed func(int) bool, penalty float64) int {
	best, bestCost := -1, 0.0
	for i, t := range m.targets {
		if !m.listed(t) || slices.Contains(r.tried, i) || !allowed(i) {
			continue
		}
		cost := m.cost(r.p, i)
		if t.zone != r.p.zone {
			cost *= penalty
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

func (m *zoneModel) random(r *zoneRequest, allowed func(int) bool) int {
	var list []int
	for i, t := range m.targets {
		if m.listed(t) && !slices.Contains(r.tried, i) && allowed(i) {
			list = append(list, i)
		}
	}
	if len(list) == 0 {
		return -1
	}
	return list[m.rng.IntN(len(list))]
}

// lookAtSwing takes the changes of the shares that leave.
func (m *zoneModel) lookAtSwing() {
	for z, a := range m.attempts {
		if a[0] == 0 {
			continue
		}
		share := a[1] / a[0]
		if m.since() > zoneWarmUp {
			m.swing += math.Abs(share - m.shares[z])
			m.swings++
		}
		m.shares[z], m.attempts[z] = share, [2]float64{}
	}
	m.after(zoneSwingPeriod, m.lookAtSwing)
}

// lookAtPeak takes the attempts that arrived at each zone from others.
func (m *zoneModel) lookAtPeak() {
	for z, n := range m.incoming {
		if able := float64(m.scenario.Zones[z].Targets*zoneSlots) * zonePeakPeriod.Seconds() / zoneRunTime.Seconds(); able > 0 && m.since() > zoneWarmUp {
			m.result.Peak = max(m.result.Peak, n/able)
		}
		m.incoming[z] = 0
	}
	m.after(zonePeakPeriod, m.lookAtPeak)
}

func (m *zoneModel) finish() ZoneResult {
	r := m.result
	sum, n := 0.0, 0.0
	for _, w := range m.zoneWaits {
		if w[1] == 0 {
			continue
		}
		mean := time.Duration(w[0] / w[1] * float64(time.Second))
		r.WorstZone = max(r.WorstZone, mean)
		if r.BestZone == 0 || mean < r.BestZone {
			r.BestZone = mean
		}
		sum, n = sum+w[0], n+w[1]
	}
	requests := float64(max(1, r.Requests))
	r.MeanWait = time.Duration(sum / max(1, n) * float64(time.Second))
	if n := len(m.waits); n > 0 {
		slices.Sort(m.waits)
		r.P99 = m.waits[n*99/100]
	}
	r.Crossed, r.Refused, r.Connections = float64(m.crossed)/requests, float64(m.refused)/requests, float64(m.opened)/requests
	r.Swing = m.swing / float64(max(1, m.swings))
	return r
}
