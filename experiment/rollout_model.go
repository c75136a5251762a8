package experiment

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"merlinhall/rollout"
	"merlinhall/routing"
	"merlinhall/weights"
	"merlinhall/wire"
)

// RolloutDeployment describes a simulated deployment.
type RolloutDeployment struct {
	Name                   string
	Engines                int
	Zones                  []string
	ZoneDelay              time.Duration // one way between zones
	Trainers               int
	GroupsPerStep          int // groups of one training step
	GroupSize              int
	MeanSampleTokens       float64
	TrainTime              time.Duration
	SwapTime               time.Duration // time for which an engine pauses to load a weight version
	MeanTimeBetweenCrashes time.Duration // of one engine
	DownTime               time.Duration
	CallerRate             float64 // requests per second over all engines
	MeanAnswerTokens       float64 // for callers
	StalenessBound         uint64  // versions
}

// Abay is the deployment of Abay Ledger Systems. Its engines can barely keep up with
// the trainers.
var Abay = RolloutDeployment{
	Name: "Abay", Engines: 12, Zones: []string{"bole", "kirkos", "yeka", "lideta"}, ZoneDelay: 500 * time.Microsecond,
	Trainers: 3, GroupsPerStep: 32, GroupSize: 8, MeanSampleTokens: 1500, TrainTime: 200 * time.Second, SwapTime: 3 * time.Second,
	MeanTimeBetweenCrashes: 40 * time.Minute, DownTime: 45 * time.Second, CallerRate: 6, MeanAnswerTokens: 60, StalenessBound: 2,
}

// Chikushi is the deployment of Chikushi Kodo Inspection. Its engines have spare
// capacity.
var Chikushi = RolloutDeployment{
	Name: "Chikushi Kodo", Engines: 11, Zones: []string{"fukuoka", "kumamoto", "kagoshima", "oita"}, ZoneDelay: 1500 * time.Microsecond,
	Trainers: 2, GroupsPerStep: 32, GroupSize: 8, MeanSampleTokens: 1500, TrainTime: 200 * time.Second, SwapTime: 3 * time.Second,
	MeanTimeBetweenCrashes: 40 * time.Minute, DownTime: 45 * time.Second, CallerRate: 6, MeanAnswerTokens: 60, StalenessBound: 2,
}

// Parameters of the model outside of the engines. Sample lengths are log-normal, with
// a factor that the samples of a group share. The longest of 256 samples, a training
// step, has about ten times the mean length.
const (
	groupLengthSigma      = 0.6
	sampleLengthSigma     = 0.9
	maxSampleTokens       = 16000
	scoreTime             = 300 * time.Millisecond
	commitTime            = 20 * time.Millisecond // replicate to a majority, sync and commit
	rolloutTickPeriod     = time.Second
	inFlightShare         = 0.92 // of all slots; the rest is left to callers
	warmupSteps           = 2    // training steps excluded from all metrics
	jobDeadline           = time.Hour
	maxSequencesPerEngine = rolloutSlots + 2 // entries send no more samples to an engine at this load
	placementRetryDelay   = 100 * time.Millisecond
)

// RolloutOptions describe one run.
type RolloutOptions struct {
	Deployment RolloutDeployment
	Seed       uint64
	Duration   time.Duration
	// Baseline selects the system to compare with: one queue, round-robin routing,
	// weight swaps of all engines at once, a restart of the sequences of a crashed
	// engine, and training steps that wait for all of their own samples.
	Baseline bool
	Policies rollout.Policies
	// Ahead is the share of the next step that is opened when training on a step
	// begins.
	Ahead float64
	// Surplus is the share of a step that is opened beyond what a waiting trainer
	// needs. The trainer then starts with the first complete groups, and long samples
	// are left to the next step.
	Surplus float64
}

// RolloutResult holds the metrics of one run.
type RolloutResult struct {
	Idle          float64 // share of time that trainers spend waiting
	StalenessMean float64 // versions
	StalenessP99  float64
	Wasted        float64 // discarded tokens, relative to the delivered ones
	CallerP99     float64 // seconds
	IdleBound     float64 // lowest idle share that the engines' token rate allows
	Steps         float64 // finished training steps of all trainers
}

type rolloutModel struct {
	options         RolloutOptions
	events          *eventQueue
	rng             *rand.Rand
	engines         []*rolloutEngine
	targets         []routing.Target
	ledger          *rollout.Ledger
	planner         *rollout.Planner
	logIndex        uint64
	requestSerial   uint64
	trainers        []*trainerModel
	running         map[string]*sequence // by job id
	oldestVersions  map[wire.BodyKey][]uint64
	staleness       []float64
	callerLatencies []time.Duration
	lostTokens      float64 // after the warm-up: tokens of cancelled sequences, and of those that restart after a crash
	reportedWaste   int     // wasted tokens already counted in commits
}

// blankTokens provides the tokens of all samples, as only their number matters.
var blankTokens = make([]string, maxSampleTokens+1)

// RunRollout simulates the rollout ledger and planner with modelled engines and
// trainers.
func RunRollout(o RolloutOptions) RolloutResult {
	m := newRolloutModel(o)
	m.events.run(epoch.Add(o.Duration))
	return m.result()
}

func newRolloutModel(o RolloutOptions) *rolloutModel {
	m := &rolloutModel{
		options:        o,
		events:         newEventQueue(),
		rng:            rand.New(rand.NewPCG(o.Seed, 5)),
		ledger:         rollout.NewLedger(),
		running:        map[string]*sequence{},
		oldestVersions: map[wire.BodyKey][]uint64{},
	}
	m.build()
	return m
}

func (m *rolloutModel) build() {
	s := m.options.Deployment
	m.ledger.UseRules(func(trainer string) (rollout.TrainerRules, bool) {
		return rollout.TrainerRules{Bound: s.StalenessBound, Pools: []string{trainer}}, true
	})
	limit := int(inFlightShare * float64(s.Engines*rolloutSlots))
	if m.options.Baseline {
		limit = math.MaxInt32
	}
	m.planner = rollout.NewPlanner(rollout.PlannerOptions{
		MaxInFlight: limit,
		MaxPerEntry: limit,
		Policies:    m.options.Policies,
		Trainer: func(string) (rollout.TrainerJobSettings, bool) {
			return rollout.TrainerJobSettings{Share: 1, Deadline: jobDeadline}, true
		},
	})
	for i := range s.Engines {
		e := &rolloutEngine{model: m, index: i, versions: map[string]uint64{}, advancedTo: m.events.now}
		m.engines = append(m.engines, e)
		m.targets = append(m.targets, routing.Target{Key: fmt.Sprintf("engine-%d", i), Zone: s.Zones[i%len(s.Zones)], Cache: routing.NewCache()})
		m.scheduleCrash(e)
	}
	for _, zone := range s.Zones {
		m.stepPlanner(rollout.EntryUp{Entry: zone})
	}
	m.stepPlanner(rollout.LeadershipChanged{Leading: true})
	for i := range s.Trainers {
		t := &trainerModel{model: m, name: fmt.Sprintf("trainer-%d", i), version: 1}
		m.trainers = append(m.trainers, t)
		for _, e := range m.engines {
			e.versions[t.name] = 1
		}
		// Trainers start at different times, so that their steps do not coincide.
		m.events.after(time.Duration(i)*s.TrainTime/time.Duration(s.Trainers), t.beginStep)
	}
	m.events.after(rolloutTickPeriod, m.tick)
	m.events.after(0, m.callerArrival)
}

func (m *rolloutModel) tick() {
	m.events.after(rolloutTickPeriod, m.tick)
	m.stepPlanner(rollout.Tick{})
}

// stepPlanner passes an event to the planner and performs the actions it returns.
func (m *rolloutModel) stepPlanner(event any) {
	for _, action := range m.planner.Step(m.events.now, event) {
		switch a := action.(type) {
		case rollout.Send:
			m.send(a)
		case rollout.StoreGroup:
			m.events.after(commitTime, func() { m.commit(a) })
		}
	}
}

func (m *rolloutModel) send(a rollout.Send) {
	switch msg := a.Message.(type) {
	case *wire.Generate:
		s := &sequence{
			job:     msg,
			prompt:  hash(msg.Generation.Prompt),
			arrived: m.events.now,
			length:  m.sampleLength(msg),
		}
		s.onFinished = func(s *sequence) { m.events.after(scoreTime, func() { m.finish(a.Entry, s) }) }
		m.running[msg.Job] = s
		m.events.after(0, func() { m.place(a.Entry, s) })
	case *wire.Abandon:
		s := m.running[msg.Job]
		if s == nil {
			return
		}
		delete(m.running, msg.Job)
		m.lose(s)
		if s.engine != nil {
			m.events.after(0, func() { s.engine.remove(s) })
		}
	}
}

func (m *rolloutModel) trainer(name string) *trainerModel {
	return m.trainers[slices.IndexFunc(m.trainers, func(t *trainerModel) bool { return t.name == name })]
}

// measured reports whether the warm-up of all trainers has ended.
func (m *rolloutModel) measured() bool {
	return !slices.ContainsFunc(m.trainers, func(t *trainerModel) bool { return !t.measured() })
}

// lose counts the tokens of a sequence as lost. Those of a trainer in its warm-up, and those
// of callers before the end of all warm-ups, do not count.
func (m *rolloutModel) lose(s *sequence) {
	counts := m.measured
	if s.job != nil {
		counts = m.trainer(s.job.Pool).measured
	}
	if counts() {
		m.lostTokens += s.generated
	}
}

// place routes a sequence to an engine in the way an entry does.
func (m *rolloutModel) place(zone string, s *sequence) {
	if s.job != nil && m.running[s.job.Job] != s {
		return
	}
	pool := ""
	if s.job != nil {
		pool = s.job.Pool
	}
	for i, e := range m.engines {
		t := &m.targets[i]
		t.InFlight = len(e.running) + len(e.queue)
		t.Down = e.down
		t.Swapping = e.swapsInProgress > 0 && !m.options.Baseline
		t.Version = e.versions[pool]
		if s.job != nil && !m.options.Baseline {
			t.Limit = maxSequencesPerEngine
		} else {
			t.Limit = 0
		}
		t.Cache.Advance(m.events.now)
	}
	m.requestSerial++
	r := routing.Request{Zone: zone, Prefixes: []uint64{s.prompt}, ZoneCost: routing.DefaultZoneCost, Sequence: m.requestSerial}
	if s.job != nil && s.generated == 0 {
		r.MinVersion = s.job.MinVersion
	}
	if m.options.Baseline {
		r.Policy = routing.RoundRobin
	}
	c := routing.Choose(r, m.targets, m.rng)
	if c.Index < 0 {
		m.events.after(placementRetryDelay, func() { m.place(zone, s) })
		return
	}
	m.targets[c.Index].Cache.Expect(m.events.now, r.Prefixes)
	m.events.after(m.options.Deployment.ZoneDelay, func() {
		if s.job == nil || m.running[s.job.Job] == s {
			m.engines[c.Index].add(s)
		}
	})
}

func (m *rolloutModel) finish(entry string, s *sequence) {
	if m.running[s.job.Job] != s {
		return
	}
	delete(m.running, s.job.Job)
	n := int(s.length)
	ranges := []wire.VersionRange{{From: 0, To: n, Version: s.oldest}}
	if s.newest != s.oldest {
		ranges = []wire.VersionRange{{From: 0, To: n / 2, Version: s.oldest}, {From: n / 2, To: n, Version: s.newest}}
	}
	m.stepPlanner(rollout.JobDone{Entry: entry, Result: &wire.SampleDone{Job: s.job.Job, Sample: s.job.Sample, Tokens: blankTokens[:n], Versions: ranges}})
}

// commit records a complete group in the ledger.
func (m *rolloutModel) commit(a rollout.StoreGroup) {
	a.Commit.Key.Digest = fmt.Sprint(m.logIndex)
	outcome := m.apply(rollout.Command{CommitGroup: &a.Commit})
	if outcome.Code != rollout.CodeOK {
		k := a.Commit.Key
		m.stepPlanner(rollout.StoreGroupFailed{Trainer: k.Trainer, Step: k.Step, Group: k.Group, Round: k.Round})
		return
	}
	m.reportedWaste += a.Commit.Wasted
	for _, s := range a.Body.Samples {
		m.oldestVersions[a.Commit.Key] = append(m.oldestVersions[a.Commit.Key], s.Versions[0].Version)
	}
	for _, t := range m.trainers {
		if t.name == a.Commit.Key.Trainer {
			t.draw()
		}
	}
}

func (m *rolloutModel) apply(c rollout.Command) rollout.Outcome {
	m.logIndex++
	outcome := m.ledger.Apply(m.logIndex, 1, c.Encode()).(rollout.Outcome)
	m.stepPlanner(rollout.ViewChanged{View: m.ledger.View()})
	return outcome
}

func hash(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}

// sampleLength returns the length of a sample in tokens. It is a function of the seed
// of the run and the sample only, so that a second copy has the same length.
func (m *rolloutModel) sampleLength(g *wire.Generate) float64 {
	normal := func(key string) float64 {
		h := hash(fmt.Sprintf("%d/%s", m.options.Seed, key))
		return rand.New(rand.NewPCG(h, 9)).NormFloat64()
	}
	group := normal(g.Generation.Prompt)
	sample := normal(fmt.Sprint(g.Generation.Seed))
	variance := groupLengthSigma*groupLengthSigma + sampleLengthSigma*sampleLengthSigma
	length := m.options.Deployment.MeanSampleTokens * math.Exp(groupLengthSigma*group+sampleLengthSigma*sample-variance/2)
	return math.Floor(min(max(length, 1), maxSampleTokens))
}

// callerArrival places one caller's request and schedules the next.
func (m *rolloutModel) callerArrival() {
	m.events.after(time.Duration(m.rng.ExpFloat64()/m.options.Deployment.CallerRate*float64(time.Second)), m.callerArrival)
	s := &sequence{
		prompt:  m.rng.Uint64N(64),
		arrived: m.events.now,
		length:  math.Ceil(m.rng.ExpFloat64() * m.options.Deployment.MeanAnswerTokens),
		urgent:  !m.options.Baseline,
	}
	if m.measured() {
		s.onFinished = func(s *sequence) { m.callerLatencies = append(m.callerLatencies, m.events.now.Sub(s.arrived)) }
	} else {
		s.onFinished = func(*sequence) {}
	}
	m.place(m.options.Deployment.Zones[m.rng.IntN(len(m.options.Deployment.Zones))], s)
}

func (m *rolloutModel) scheduleCrash(e *rolloutEngine) {
	wait := time.Duration(m.rng.ExpFloat64() * float64(m.options.Deployment.MeanTimeBetweenCrashes))
	m.events.after(wait, func() {
		for _, s := range e.crash(m.options.Deployment.DownTime) {
			m.recover(s)
		}
		m.scheduleCrash(e)
	})
}

// recover places a sequence of a crashed engine again. In the baseline it starts
// over; otherwise it resumes after the tokens that the entry has received.
func (m *rolloutModel) recover(s *sequence) {
	s.engine = nil
	if m.options.Baseline {
		m.lose(s)
		s.generated = 0
	}
	m.events.after(0, func() { m.place(m.options.Deployment.Zones[0], s) })
}

// publish starts the weight swaps to a version: on all engines at once in the
// baseline, otherwise in the order of the lanes of the weights plan.
func (m *rolloutModel) publish(pool string, version uint64) {
	if m.options.Baseline {
		for _, e := range m.engines {
			e.swap(pool, version, m.options.Deployment.SwapTime, func() {})
		}
		return
	}
	var members []weights.Member
	for i, t := range m.targets {
		members = append(members, weights.Member{Target: t.Key, Zone: t.Zone, Agent: fmt.Sprint(i)})
	}
	plan := weights.NewPlan(pool, version, members)
	for i := range m.engines {
		if lane, at := plan.Lane(m.targets[i].Key); at == 0 {
			m.swapLane(pool, version, lane)
		}
	}
}

// swapLane swaps the engines of a lane one after the other.
func (m *rolloutModel) swapLane(pool string, version uint64, lane []weights.Member) {
	if len(lane) == 0 {
		return
	}
	at := slices.IndexFunc(m.targets, func(t routing.Target) bool { return t.Key == lane[0].Target })
	m.engines[at].swap(pool, version, m.options.Deployment.SwapTime, func() { m.swapLane(pool, version, lane[1:]) })
}
