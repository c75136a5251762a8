package admission

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// maxWaitingRequests bounds the queue of a service and class in one process. Waiting requests
	// hold their bodies.
	maxWaitingRequests = 256
	// minRefusals and refusalShare say when refusals of targets count as overload: single ones
	// also occur while other targets have room. A request that is refused by one target in eight
	// is refused by four in a row in one case of 4,096.
	minRefusals  = 3
	refusalShare = 1.0 / 8
	// answersFor is how long after an answer a target counts as one that answers.
	answersFor = 500 * time.Millisecond
	// refusalWindow is how long refusals are counted at most. A change of the limit begins anew.
	refusalWindow = time.Second
	// targetShare is the part of the response-time objective above which the mean response time
	// of targets counts as overload; the rest is for waiting in order here, since the queues of
	// targets know no accounts. slowFactor times the mean response time without a limit is the
	// least such time: some services are slower than their objective.
	targetShare = 0.4
	slowFactor  = 1.4
	// slowReduction is multiplied into the limit when responses are slow. It is above
	// overloadFactor since no request was lost.
	slowReduction = 0.85
	// responseGain and usualGain are the weights of one response in the mean response time, and
	// in that without a limit.
	responseGain = 0.1
	usualGain    = 0.01
	// raisePeriod, raiseShare and minRaise say how the limit rises while it is exhausted and
	// targets take what is sent. Up to the limit that they last took, it rises by a half each
	// returnPeriod.
	raisePeriod  = 500 * time.Millisecond
	raiseShare   = 0.1
	minRaise     = 0.5
	returnPeriod = 100 * time.Millisecond
	returnFactor = 1.5
	// knownReduction is multiplied into the limit that targets last took when they refuse requests.
	knownReduction = 0.9
	// calmTime is how long nothing must have been queued or refused until the limit ends.
	calmTime = 5 * time.Second
	// minPlaces is the least limit by refusals.
	minPlaces = 1.0
	// backgroundShare is the least part of the time of the places that background requests get
	// while they wait.
	backgroundShare = 1.0 / 8
	// minReturnShare is the least part of the measured rate at which refused requests are told to
	// come back, if new ones take the rest.
	minReturnShare = 0.1
	// minComeBack and maxComeBack bound Retry-After. Callers' time limits are 1.5 s to 3 s.
	minComeBack = 50 * time.Millisecond
	maxComeBack = 1 * time.Second
	// answerTime is how long an answer of the leader holds.
	answerTime = 2 * time.Second
	// retryShare is the number of retries and hedges allowed for each request.
	retryShare = 0.2
	// maxAccounts bounds the accounts of which a process counts the requests one by one.
	maxAccounts = 4096
)

// ReasonShare is the reason for the refusal of a request of an account over its fair share.
const ReasonShare Reason = "the account exceeds its share of the service"

// Class is the kind of a request.
type Class int

// Classes.
const (
	Caller     Class = iota // somebody waits for the response
	Background              // nobody waits, as for a reward call
	classes
)

// Verdict is the decision on a request that arrives.
type Verdict int

// Verdicts.
const (
	Run Verdict = iota
	Wait
	Refused
)

// ticketState is the state of a request.
type ticketState int

const (
	ticketNew ticketState = iota
	ticketWaiting
	ticketRunning
	ticketDone
)

// Ticket is one request at a Controller.
type Ticket[T any] struct {
	Value   T
	Account string
	Class   Class
	// Goal is the response-time objective, 0 if there is none.
	Goal time.Duration
	// Until is when the request must have been answered, else it is refused.
	Until time.Time

	state ticketState
	item  *Item[*Ticket[T]]
	began time.Time
}

// Running reports whether the request may be sent.
func (t *Ticket[T]) Running() bool { return t.state == ticketRunning }

// Rejection is a waiting request that is refused.
type Rejection[T any] struct {
	Ticket  *Ticket[T]
	Refusal Refusal
}

// Controller decides for the requests of one process to one service which run, wait or are
// refused. It has no limit until targets refuse requests or answer them late; before that each
// request runs at once. It reads no clock and is not safe for concurrent use.
//
// Invariant: running counts the tickets in state ticketRunning, and the queues hold those in
// state ticketWaiting. End takes a ticket out of either, whatever its state.
type Controller[T any] struct {
	queues   [classes]*Queue[*Ticket[T]]
	rates    [classes]*Rate
	weights  map[string]float64 // of the accounts that were seen
	running  [classes]int
	duration [classes]float64 // moving mean in seconds, 0 before the first answer
	// credit is the time of places that background requests have coming, in seconds.
	credit float64

	limited bool
	// places is the limit. It has a fraction: processes with two or three places each could
	// not adapt them otherwise.
	places        float64
	known         float64 // limit that targets last took
	response      float64 // moving mean response time of targets in seconds
	usual         float64 // the same while there was no limit
	responses     int     // that response is made from, up to minRateSamples
	goal          time.Duration
	answers       map[string]time.Time // last answer of each target
	recent        refusals
	lastReduction time.Time
	lastRaise     time.Time
	exhausted     bool // since lastRaise
	lastTrouble   time.Time

	budget    *RetryBudget
	processes int // that share the minimum of retries
	share     ServiceShare
	shareEnd  time.Time // of the leader's answer
	sequence  uint64    // of the last answer that was applied
	admitted  map[string]float64

	counts  counts
	lineEnd time.Time // when the request that was refused last is told to come back
	dropped []Rejection[T]
}

// NewController returns a controller without a limit.
func NewController[T any]() *Controller[T] {
	c := &Controller[T]{
		weights: make(map[string]float64), budget: NewRetryBudget(retryShare), answers: make(map[string]time.Time),
		processes: 1, admitted: make(map[string]float64),
	}
	for class := range classes {
		c.rates[class] = &Rate{}
		c.queues[class] = NewQueue[*Ticket[T]](maxWaitingRequests, c.rates[class])
		c.queues[class].SetLimits(maxWaitingRequests, c.weights)
		c.queues[class].SetEqualCosts()
	}
	return c
}

// Arrive decides on a request. Step must be called after it.
func (c *Controller[T]) Arrive(now time.Time, t *Ticket[T]) (Verdict, Refusal) {
	slot := c.counts.slot(now)
	slot.requests[t.Class]++
	slot.account(t.Account)
	c.budget.RecordRequest(now)
	c.adapt(now)
	if !c.limited || c.hasPlace() && c.queues[Caller].Len()+c.queues[Background].Len() == 0 {
		c.start(now, t)
		return Run, Refusal{}
	}
	if !c.withinShare(now, t.Account) {
		return Refused, c.refuse(now, t, ReasonShare)
	}
	c.learnAccount(t.Account)
	t.item = &Item[*Ticket[T]]{Value: t, Caller: t.Account, Cost: 1, Deadline: t.Until}
	refusal, evicted := c.queues[t.Class].Offer(now, t.item)
	if evicted != nil {
		c.drop(now, evicted.Item.Value, evicted.Refusal.Reason)
	}
	if refusal != nil {
		return Refused, c.refuse(now, t, refusal.Reason)
	}
	t.state = ticketWaiting
	slot.queued++
	c.lastTrouble = now
	return Wait, Refusal{}
}

// learnAccount gives an account a flow of its own in the queues. Accounts are known by their
// keys, so that nobody can invent them.
func (c *Controller[T]) learnAccount(account string) {
	if _, ok := c.weights[account]; !ok && len(c.weights) < maxAccounts {
		c.weights[account] = 1
	}
}

// withinShare reports whether a request may wait as far as the leader has limited its account.
func (c *Controller[T]) withinShare(now time.Time, account string) bool {
	if !c.answered(now) {
		return true
	}
	i := slices.IndexFunc(c.share.Over, func(o AccountShare) bool { return o.Account == account })
	if i < 0 {
		return true
	}
	credit := c.admitted[account] + c.share.Over[i].Admitted
	if credit < 1 {
		c.admitted[account] = credit
		return false
	}
	c.admitted[account] = credit - 1
	return true
}

func (c *Controller[T]) answered(now time.Time) bool { return now.Before(c.shareEnd) }

func (c *Controller[T]) start(now time.Time, t *Ticket[T]) {
	t.state, t.began = ticketRunning, now
	c.running[t.Class]++
	slot := c.counts.slot(now)
	slot.peak = max(slot.peak, c.inFlight())
}

// refuse ends a request that has not run, and lines it up to come back.
func (c *Controller[T]) refuse(now time.Time, t *Ticket[T], reason Reason) Refusal {
	t.state = ticketDone
	c.counts.slot(now).refused++
	c.lastTrouble = now
	q := c.queues[t.Class]
	return Refusal{Reason: reason, RetryAfter: c.comeBack(now, t.Class, q.rate.drainTime(q.queuedCost))}
}

// comeBack returns when a refused request may come back: after those that wait now and those
// that were refused before it, at the rate that new requests leave.
func (c *Controller[T]) comeBack(now time.Time, class Class, wait time.Duration) time.Duration {
	line := now.Add(wait)
	if c.lineEnd.After(line) {
		line = c.lineEnd
	}
	if answered, wanted := c.counts.rates(now, class); answered > 0 {
		line = line.Add(time.Duration(float64(time.Second) / max(minReturnShare*answered, answered-wanted)))
	}
	after := min(max(line.Sub(now), minComeBack), maxComeBack)
	c.lineEnd = now.Add(after)
	return after
}

// RetryAfter returns when a request may come back that no target took.
func (c *Controller[T]) RetryAfter(now time.Time, class Class) time.Duration {
	return c.comeBack(now, class, c.rates[class].drainTime(c.queues[class].queuedCost))
}

func (c *Controller[T]) drop(now time.Time, t *Ticket[T], reason Reason) {
	c.dropped = append(c.dropped, Rejection[T]{t, c.refuse(now, t, reason)})
}

// LastTurn returns the latest time at which a request may begin to run and still be answered in
// time.
func (c *Controller[T]) LastTurn(t *Ticket[T]) time.Time {
	return t.Until.Add(-time.Duration(waitSafetyFactor * float64(c.rates[t.Class].estimateRunTime(1))))
}

// Expire refuses a request that still waits at its last turn.
func (c *Controller[T]) Expire(now time.Time, t *Ticket[T]) {
	if t.state == ticketWaiting {
		c.queues[t.Class].Remove(t.item)
		c.drop(now, t, ReasonDeadline)
	}
}

// Step returns the waiting requests that run now, and those that are refused.
func (c *Controller[T]) Step(now time.Time) (started []*Ticket[T], refused []Rejection[T]) {
	c.adapt(now)
	for c.hasPlace() {
		t := c.next()
		if t == nil {
			break
		}
		c.start(now, t)
		started = append(started, t)
	}
	for _, q := range c.queues {
		for _, d := range q.Sweep(now) {
			c.drop(now, d.Item.Value, d.Refusal.Reason)
		}
	}
	if c.queues[Background].Len() == 0 {
		c.credit = 0
	}
	refused, c.dropped = c.dropped, nil
	return started, refused
}

// next takes the next request out of the queues, or returns nil.
func (c *Controller[T]) next() *Ticket[T] {
	class := Caller
	switch waits := c.queues[Background].Len() > 0; {
	case c.queues[Caller].Len() == 0:
		class = Background
	case waits && c.credit >= c.cost(Background):
		class = Background
		c.credit -= c.cost(Background)
	case waits:
		c.credit += c.cost(Caller) * backgroundShare / (1 - backgroundShare)
	}
	if item := c.queues[class].Next(); item != nil {
		return item.Value
	}
	return nil
}

// cost returns the time for which a request of a class takes a place, or 1 for both classes while
// one is not known.
func (c *Controller[T]) cost(class Class) float64 {
	if c.duration[Caller] == 0 || c.duration[Background] == 0 {
		return 1
	}
	return c.duration[class]
}

// End ends a request, whether it runs, waits or was refused. answered is set if a target has
// answered it.
func (c *Controller[T]) End(now time.Time, t *Ticket[T], answered bool) {
	switch t.state {
	case ticketWaiting:
		c.queues[t.Class].Remove(t.item)
	case ticketRunning:
		c.running[t.Class]--
		if took := now.Sub(t.began); answered && took > 0 {
			c.counts.slot(now).answered[t.Class]++
			c.rates[t.Class].Observe(1, took)
			if c.duration[t.Class] == 0 {
				c.duration[t.Class] = took.Seconds()
			}
			c.duration[t.Class] += rateGain * (took.Seconds() - c.duration[t.Class])
		}
	}
	t.state = ticketDone
}

// AttemptEnded notes that a target has answered a request after the given time, or refused to
// run it. Refusals of a target that answers nothing say that it is lost or stops, and nothing of
// the room at the others.
func (c *Controller[T]) AttemptEnded(now time.Time, t *Ticket[T], target string, took time.Duration, refused bool) {
	if !refused {
		c.answers[target] = now
	} else if now.Sub(c.answers[target]) > answersFor {
		return
	}
	c.recent.add(now, refused)
	if refused {
		if c.recent.overloaded() {
			c.reduce(now, overloadFactor)
		}
		return
	}
	if t.Class == Background {
		return // nobody waits, and response times of both in one mean would follow their proportion
	}
	c.observe(took, t.Goal)
	if c.slow() {
		c.reduce(now, slowReduction)
	}
}

func (c *Controller[T]) observe(took, goal time.Duration) {
	if c.responses == 0 {
		c.response, c.usual = took.Seconds(), took.Seconds()
	}
	c.responses = min(c.responses+1, minRateSamples)
	c.goal = goal
	c.response += responseGain * (took.Seconds() - c.response)
	if !c.limited && !c.slow() {
		c.usual += usualGain * (took.Seconds() - c.usual)
	}
}

// refusals are the attempts since a time, and those of them that targets refused.
type refusals struct {
	since             time.Time
	attempts, refused int
}

func (r *refusals) add(now time.Time, refused bool) {
	if now.Sub(r.since) > refusalWindow {
		*r = refusals{since: now}
	}
	r.attempts++
	if refused {
		r.refused++
	}
}

// overloaded reports whether targets refuse so much that the service has no room.
func (r *refusals) overloaded() bool {
	return r.refused >= minRefusals && float64(r.refused) >= refusalShare*float64(r.attempts)
}

// slow reports whether targets take longer than callers' objective leaves them, and than usual.
func (c *Controller[T]) slow() bool {
	return c.goal > 0 && c.responses >= minRateSamples && c.response > max(targetShare*c.goal.Seconds(), slowFactor*c.usual)
}

// reduce lowers the limit, or begins it at what is in flight.
func (c *Controller[T]) reduce(now time.Time, factor float64) {
	c.lastTrouble = now
	peak := float64(max(1, c.counts.peak(now), c.inFlight()))
	switch {
	case !c.limited:
		c.limited, c.places, c.known = true, peak, peak
	case now.Sub(c.lastReduction) < overloadPause:
		return
	default:
		c.places = min(c.places, max(minPlaces, min(c.places, peak)*factor))
		c.known = max(c.known*knownReduction, c.places)
	}
	c.lastReduction, c.lastRaise, c.exhausted, c.recent = now, now, false, refusals{}
}

// adapt raises the limit or ends it, and adjusts the measured rates to it.
func (c *Controller[T]) adapt(now time.Time) {
	if !c.limited {
		return
	}
	if now.Sub(c.lastTrouble) >= calmTime {
		c.limited, c.places, c.sequence = false, 0, 0
		return
	}
	c.exhausted = c.exhausted || !c.hasPlace()
	period, raised := raisePeriod, c.places+max(minRaise, raiseShare*c.places)
	if c.places < c.known {
		period, raised = returnPeriod, min(c.known, c.places*returnFactor)
	}
	if now.Sub(c.lastRaise) >= period {
		if c.exhausted && !c.recent.overloaded() && !c.slow() {
			c.places = raised
			c.known = max(c.known, raised)
			c.recent = refusals{}
		}
		c.lastRaise, c.exhausted = now, false
	}
	slots := c.places
	c.rates[Caller].SetSlots(max(1, int(math.Round(slots))))
	if c.queues[Caller].Len() > 0 {
		slots *= backgroundShare
	}
	c.rates[Background].SetSlots(max(1, int(math.Round(slots))))
}

func (c *Controller[T]) inFlight() int { return c.running[Caller] + c.running[Background] }

func (c *Controller[T]) hasPlace() bool {
	return !c.limited || float64(c.inFlight()) < c.places
}

// AllowRetry reports whether a further attempt is within the budget, and counts it if so.
func (c *Controller[T]) AllowRetry(now time.Time) bool {
	allowed := false
	if c.answered(now) {
		allowed = c.budget.AllowWithin(now, c.share.Retries)
	} else {
		requests, _ := c.budget.Counts(now)
		allowed = c.budget.AllowWithin(now, retryShare*float64(requests)+baseRetries/float64(c.processes))
	}
	slot := c.counts.slot(now)
	slot.retriesWanted++
	if allowed {
		slot.retries++
	}
	return allowed
}

// ReturnRetry takes back an allowed attempt that was not made.
func (c *Controller[T]) ReturnRetry(now time.Time) {
	slot := c.counts.slot(now)
	slot.retriesWanted = max(0, slot.retriesWanted-1)
	slot.retries = max(0, slot.retries-1)
	c.budget.ReturnRetry(now)
}

// Demand returns the totals of the last 5 s for the leader, and false if there is nothing to
// report.
func (c *Controller[T]) Demand(now time.Time) (ServiceDemand, bool) {
	c.adapt(now)
	maps.DeleteFunc(c.answers, func(_ string, at time.Time) bool { return now.Sub(at) > answersFor })
	total := c.counts.total(now)
	d := ServiceDemand{
		Requests: total.requests[Caller], Background: total.requests[Background], Queued: total.queued, Refused: total.refused,
		Retries: total.retries, RetriesWanted: total.retriesWanted, Places: c.places, Applied: c.sequence,
		Seconds: c.duration[Caller], BackgroundSeconds: c.duration[Background], Accounts: total.largest(), NumAccounts: len(total.accounts),
	}
	return d, c.limited || total.queued+total.refused+total.retriesWanted > 0
}

// Apply takes an answer of the leader to a question that was asked at the given time.
func (c *Controller[T]) Apply(askedAt time.Time, processes int, s ServiceShare) {
	c.share, c.shareEnd, c.processes = s, askedAt.Add(answerTime), max(1, processes)
	for account := range c.admitted {
		if !slices.ContainsFunc(s.Over, func(o AccountShare) bool { return o.Account == account }) {
			delete(c.admitted, account)
		}
	}
	if c.limited && s.Places > 0 {
		c.known = max(s.Places, min(c.known, c.known*s.Places/c.places))
		c.places, c.sequence = s.Places, s.Sequence
	}
}

// State is what a controller shows in a dump and in log lines.
type State struct {
	Limited    bool
	Limit      float64
	ResponseMs float64 // mean response time of targets to callers' requests
	Running    [2]int  // callers' and background requests
	Waiting    [2]int
	Answered   bool // an answer of the leader holds
	Share      ServiceShare
	Requests   int // in the last 5 s
	Refused    int
	Retries    int
	ComeBackMs int64
}

// State returns the state at the time now.
func (c *Controller[T]) State(now time.Time) State {
	total := c.counts.total(now)
	s := State{
		Limited: c.limited, Limit: c.places, ResponseMs: 1000 * c.response, Running: c.running, Answered: c.answered(now), Share: c.share, Retries: total.retries,
		Requests: total.requests[Caller] + total.requests[Background], Refused: total.refused,
		ComeBackMs: max(0, c.lineEnd.Sub(now).Milliseconds()),
	}
	for class, q := range c.queues {
		s.Waiting[class] = q.Len()
	}
	return s
}
