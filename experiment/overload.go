package experiment

import (
	"math/rand/v2"
	"time"

	"merlinhall/admission"
)

// OverloadOptions describe the queueing model of RunOverload.
type OverloadOptions struct {
	Seed     uint64
	Factor   float64 // offered work, relative to the capacity
	Duration time.Duration
	// FIFO replaces admission control by an unbounded queue in order of arrival,
	// which refuses nothing.
	FIFO bool
	// TrainerShare is the trainer's share of the offered work.
	TrainerShare float64
}

// OverloadResult holds the metrics of one run.
type OverloadResult struct {
	Goodput         float64 // tokens of answers within their deadline, relative to the capacity
	CallerAnswered  float64 // share of the application's requests answered within their deadline
	TrainerAnswered float64
	// TrainerLongAnswered is the share among the trainer's requests that are longer
	// than the mean.
	TrainerLongAnswered float64
	Refused             int
	// Late counts the requests that ran to the end but missed their deadline.
	Late int
	// RefusalP99 is the 99th percentile of the time from arrival to refusal.
	RefusalP99 time.Duration
}

const (
	overloadSlots      = 96    // requests that the pool runs concurrently
	overloadSlotRate   = 100.0 // tokens per second
	overloadQueueLimit = 2048
	meanCallerTokens   = 80.0
	callerDeadline     = 5 * time.Second
	meanTrainerTokens  = 400.0
	trainerDeadline    = 30 * time.Second
	overloadWarmup     = 20 * time.Second
)

// overloadRequest is one request of the overload model.
type overloadRequest struct {
	trainer  bool
	tokens   float64
	arrived  time.Time
	deadline time.Time
}

type overloadModel struct {
	options    OverloadOptions
	events     *eventQueue
	rng        *rand.Rand
	rate       *admission.Rate
	queue      *admission.Queue[*overloadRequest]
	fifo       []*overloadRequest
	running    int
	goodTokens float64
	offered    [3]int // application, trainer, long requests of the trainer
	answered   [3]int
	refusals   []time.Duration
	late       int
}

// RunOverload offers Factor times the capacity to a pool behind one entry. The
// admission queue gives an application and a trainer equal shares.
func RunOverload(o OverloadOptions) OverloadResult {
	m := &overloadModel{options: o, events: newEventQueue(), rng: rand.New(rand.NewPCG(o.Seed, 2)), rate: &admission.Rate{}}
	m.rate.SetSlots(overloadSlots)
	m.queue = admission.NewQueue[*overloadRequest](overloadQueueLimit, m.rate)
	m.queue.SetLimits(overloadQueueLimit, map[string]float64{"approve-app": 1, "trainer": 1})
	capacity := overloadSlots * overloadSlotRate
	work := capacity * o.Factor
	m.arrivals(false, work*(1-o.TrainerShare)/meanCallerTokens)
	m.arrivals(true, work*o.TrainerShare/meanTrainerTokens)
	m.events.after(sweepPeriod, m.sweep)
	m.events.run(epoch.Add(o.Duration))
	return m.result(capacity)
}

// sweepPeriod is the time between two sweeps of the admission queue, which remove
// requests that cannot meet their deadline any more.
const sweepPeriod = 20 * time.Millisecond

func (m *overloadModel) arrivals(trainer bool, perSecond float64) {
	if perSecond <= 0 {
		return
	}
	gap := time.Duration(m.rng.ExpFloat64() / perSecond * float64(time.Second))
	m.events.after(gap, func() {
		m.arrive(trainer)
		m.arrivals(trainer, perSecond)
	})
}

func (m *overloadModel) arrive(trainer bool) {
	tokens, deadline := meanCallerTokens, callerDeadline
	if trainer {
		tokens, deadline = meanTrainerTokens, trainerDeadline
	}
	req := &overloadRequest{trainer: trainer, arrived: m.events.now, deadline: m.events.now.Add(deadline)}
	req.tokens = tokens * (0.5 + m.rng.Float64())
	if m.inMeasuredWindow(req) {
		countByClass(&m.offered, req)
	}
	if m.options.FIFO {
		m.fifo = append(m.fifo, req)
		m.serve()
		return
	}
	item := &admission.Item[*overloadRequest]{Value: req, Caller: "approve-app", Cost: req.tokens, Deadline: req.deadline}
	if trainer {
		item.Caller = "trainer"
	}
	refusal, displaced := m.queue.Offer(m.events.now, item)
	if refusal != nil {
		m.refuse(req)
	}
	if displaced != nil {
		m.refuse(displaced.Item.Value)
	}
	m.serve()
}

// inMeasuredWindow excludes requests that arrive during the warm-up, or so late that
// their deadline may fall after the end of the run.
func (m *overloadModel) inMeasuredWindow(req *overloadRequest) bool {
	at := req.arrived.Sub(epoch)
	return at >= overloadWarmup && at < m.options.Duration-trainerDeadline
}

func (m *overloadModel) refuse(req *overloadRequest) {
	m.refusals = append(m.refusals, m.events.now.Sub(req.arrived))
}

func (m *overloadModel) sweep() {
	m.events.after(sweepPeriod, m.sweep)
	for _, d := range m.queue.Sweep(m.events.now) {
		m.refuse(d.Item.Value)
	}
	m.serve()
}

func (m *overloadModel) serve() {
	for m.running < overloadSlots {
		req := m.next()
		if req == nil {
			return
		}
		m.run(req)
	}
}

func (m *overloadModel) next() *overloadRequest {
	if !m.options.FIFO {
		if item := m.queue.Next(); item != nil {
			return item.Value
		}
		return nil
	}
	if len(m.fifo) == 0 {
		return nil
	}
	req := m.fifo[0]
	m.fifo = m.fifo[1:]
	return req
}

func (m *overloadModel) run(req *overloadRequest) {
	m.running++
	started := m.events.now
	took := time.Duration(req.tokens / overloadSlotRate * float64(time.Second))
	m.events.after(took, func() {
		m.running--
		m.rate.Observe(req.tokens, m.events.now.Sub(started))
		m.finish(req)
		m.serve()
	})
}

func (m *overloadModel) finish(req *overloadRequest) {
	if m.events.now.After(req.deadline) {
		m.late++
		return
	}
	if m.events.now.Sub(epoch) >= overloadWarmup {
		m.goodTokens += req.tokens
	}
	if m.inMeasuredWindow(req) {
		countByClass(&m.answered, req)
	}
}

// countByClass counts a request as one of the application or of the trainer, and a
// trainer's request above the mean length in a third class as well.
func countByClass(counts *[3]int, req *overloadRequest) {
	if !req.trainer {
		counts[0]++
		return
	}
	counts[1]++
	if req.tokens > meanTrainerTokens {
		counts[2]++
	}
}

func (m *overloadModel) result(capacity float64) OverloadResult {
	r := OverloadResult{Late: m.late, Refused: len(m.refusals)}
	r.Goodput = m.goodTokens / (capacity * (m.options.Duration - overloadWarmup).Seconds())
	r.CallerAnswered = float64(m.answered[0]) / max(1, float64(m.offered[0]))
	r.TrainerAnswered = float64(m.answered[1]) / max(1, float64(m.offered[1]))
	r.TrainerLongAnswered = float64(m.answered[2]) / max(1, float64(m.offered[2]))
	r.RefusalP99 = percentile(m.refusals, 0.99)
	return r
}
