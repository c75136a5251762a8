package ratelimit

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"merlinhall/boottime"
	"merlinhall/directory"
	"merlinhall/observe"
	"merlinhall/wire"
)

var errAnswers = eris.New("ratelimit: the leader answered another number of wants")

const (
	// logInterval is how often the requests to a target with a limit are logged.
	logInterval = time.Second
	// askTimeout bounds a question to the leader. It is above a few round trips.
	askTimeout = 300 * time.Millisecond
	// noAnswerRetry is the Retry-After value of requests for which the leader was not reached,
	// the duration of an election, and noAnswerPause how long it is not asked again.
	noAnswerRetry = 700 * time.Millisecond
	noAnswerPause = 100 * time.Millisecond
	// maxWaiting bounds the requests that wait for the leader's answer.
	maxWaiting = 1024
)

// KeeperOptions configures a Keeper.
type KeeperOptions struct {
	Process   string // name of this process
	Directory *directory.Directory
	// Ask asks the control leader. Without it, no request is granted.
	Ask      func(ctx context.Context, in *Ask, out *Answers) error
	Registry *prometheus.Registry // nil registers no metrics
	Log      *logrus.Entry
	Clock    func() time.Duration // nil stands for boottime.Now
}

// Keeper keeps one process within the limits of targets. It knows the limits and what the
// process sends, and obtains grants from the control leader. In the leader's process it also
// gives them out. It is safe for concurrent use.
type Keeper struct {
	o      KeeperOptions
	sent   *prometheus.CounterVec
	grants *prometheus.CounterVec
	wake   chan struct{}
	lines  observe.LineLimit
	// limited is the set of targets that need a grant, for reads without the lock.
	limited atomic.Pointer[map[string]bool]

	mu        sync.Mutex
	book      *Book
	tallies   map[string]*Tally // requests that were sent, by target with a limit
	granted   map[string]*Tally // requests of this process that were granted, by target
	loggedAt  map[string]time.Duration
	untold    map[string]bool // targets whose limit has changed and is not known to the leader
	toldTerm  uint64          // of the leader that was told the others
	waiting   []*waiter
	pauses    map[line]pause
	ask       func(ctx context.Context, in *Ask, out *Answers) error
	onChange  func([]wire.TargetLimit)
	allocator *allocator
	term      uint64 // in which this process leads, 0 if it does not
}

// line is what waits for grants together.
type line struct {
	service  string
	priority int
}

// pause is the time in which a line is denied grants without asking the leader.
type pause struct {
	until   time.Duration
	retryAt time.Duration
}

// waiter is a request that waits for the leader's answer.
type waiter struct {
	want   Want
	answer chan Answer
}

// Grant is the permission to send one request to a target.
type Grant struct {
	Target  string // empty if the request is denied
	expires time.Duration
	// RetryAfter is when there is room for a denied request.
	RetryAfter time.Duration
}

// NewKeeper returns a keeper that knows no limits.
func NewKeeper(o KeeperOptions) *Keeper {
	if o.Clock == nil {
		o.Clock = boottime.Now
	}
	k := &Keeper{
		o: o, book: NewBook(), tallies: make(map[string]*Tally), granted: make(map[string]*Tally), loggedAt: make(map[string]time.Duration),
		wake: make(chan struct{}, 1), untold: make(map[string]bool), pauses: make(map[line]pause), ask: o.Ask, onChange: func([]wire.TargetLimit) {},
		grants: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "merlinhall_limit_grants_total", Help: "Requests of this process that wanted a grant for a target with a limit, by what became of it.",
		}, []string{"outcome"}),
		sent: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "merlinhall_limited_target_requests_total", Help: "Requests of this process to targets that name a limit, by use.",
		}, []string{"use"}),
	}
	if o.Registry != nil {
		limited := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "merlinhall_limited_targets", Help: "Targets that name a limit on the requests of all processes.",
		}, func() float64 {
			k.mu.Lock()
			defer k.mu.Unlock()
			return float64(k.book.Limited())
		})
		o.Registry.MustRegister(k.sent, k.grants, limited)
	}
	k.allocator = newAllocator(k.book)
	k.updateTargets()
	o.Directory.OnChange(k.retain)
	return k
}

// Follow sets how the leader is asked. Until then no request is granted.
func (k *Keeper) Follow(ask func(ctx context.Context, in *Ask, out *Answers) error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ask = ask
}

// OnChange has f called with the limits that this process, while it leads, sees or is told.
func (k *Keeper) OnChange(f func([]wire.TargetLimit)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.onChange = f
}

// Targets returns the targets for which requests need a grant. It must not be changed.
func (k *Keeper) Targets() map[string]bool {
	if k == nil {
		return nil
	}
	return *k.limited.Load()
}

// updateTargets updates what Targets returns. The caller holds k.mu.
func (k *Keeper) updateTargets() {
	limited := make(map[string]bool)
	for _, r := range k.book.Readings() {
		if r.Limited {
			limited[r.Target] = true
		}
	}
	k.limited.Store(&limited)
}

// retain forgets the targets that are no longer listed or have started again.
func (k *Keeper) retain(v *directory.View) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.book.Retain(k.o.Clock(), v)
	k.updateTargets()
	gone := func(id string, _ *Tally) bool { return v.Target(id) == nil }
	maps.DeleteFunc(k.tallies, gone)
	maps.DeleteFunc(k.granted, gone)
	maps.DeleteFunc(k.loggedAt, func(id string, _ time.Duration) bool { return v.Target(id) == nil })
}

// Sent notes that a request is sent to a target. Those to targets with a limit are counted.
func (k *Keeper) Sent(target string, u Use) {
	if !k.Targets()[target] {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	perSecond, since, limited := k.book.Limit(target)
	if !limited {
		return
	}
	now := k.o.Clock()
	t := k.tally(k.tallies, target)
	t.Add(now, u)
	k.sent.WithLabelValues(u.String()).Inc()
	if now-k.loggedAt[target] < logInterval || !k.lines.Allow(time.Now()) {
		return
	}
	k.loggedAt[target] = now
	fields := logrus.Fields{
		"target": target, "limit": perSecond, "known_ms": (now - since).Milliseconds(), "sent_4s": t.Total(now),
		"granted_4s": k.tally(k.granted, target).Total(now), "leads": k.term != 0,
	}
	for use, n := range t.Counts(now) {
		fields["sent_4s_"+use.String()] = n
	}
	k.o.Log.WithFields(fields).Info("requests to a target with a limit")
}

// tally returns the tally of a target. The caller holds k.mu.
func (k *Keeper) tally(of map[string]*Tally, target string) *Tally {
	t := of[target]
	if t == nil {
		t = new(Tally)
		of[target] = t
	}
	return t
}

// Note takes what a response of a target says about its limit.
func (k *Keeper) Note(r Reading) {
	if changed, tell := k.note(r); tell != nil {
		tell([]wire.TargetLimit{changed})
	}
}

// note is Note without the call of OnChange, which it returns if it is due.
func (k *Keeper) note(r Reading) (changed wire.TargetLimit, tell func([]wire.TargetLimit)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.o.Clock()
	if t := k.o.Directory.View().Target(r.Target); t != nil {
		r.StartedMs = t.StartedMs
	}
	before, _, _ := k.book.Limit(r.Target)
	if !k.book.Note(now, r) {
		return wire.TargetLimit{}, nil
	}
	k.updateTargets()
	k.o.Log.WithFields(logrus.Fields{"target": r.Target, "limited": r.Limited, "limit": r.PerSecond, "before": before}).Info("limit of a target has changed")
	if k.term != 0 {
		return r.message(now), k.onChange
	}
	k.untold[r.Target] = true
	k.wakeUp()
	return wire.TargetLimit{}, nil
}

// Learn takes limits that another process knows.
func (k *Keeper) Learn(limits []wire.TargetLimit) {
	if k == nil || len(limits) == 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.learn(limits)
}

// learn is Learn for a caller that holds k.mu. It returns the limits that have changed.
func (k *Keeper) learn(limits []wire.TargetLimit) (changed []wire.TargetLimit) {
	now := k.o.Clock()
	for _, m := range limits {
		r, ok := readingOf(now, m)
		if !ok {
			k.o.Log.WithFields(logrus.Fields{"target": m.Target, "limit": m.PerSecond}).Warn("another process tells an invalid limit")
			continue
		}
		if k.book.Note(now, r) {
			delete(k.untold, r.Target)
			changed = append(changed, m)
		}
	}
	if len(changed) > 0 {
		k.updateTargets()
	}
	return changed
}

// Limits returns all limits that this process knows, for another one.
func (k *Keeper) Limits() []wire.TargetLimit {
	k.mu.Lock()
	defer k.mu.Unlock()
	now, readings := k.o.Clock(), k.book.Readings()
	out := make([]wire.TargetLimit, 0, len(readings))
	for _, r := range readings {
		out = append(out, r.message(now))
	}
	return out
}

// Lead tells whether this process leads, and in which term.
func (k *Keeper) Lead(leading bool, term uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.term = 0
	if leading {
		k.term = term
		k.allocator.lead(k.o.Clock())
	}
}

// tellAll has all limits told to a new leader. The caller holds k.mu.
func (k *Keeper) tellAll() {
	for _, r := range k.book.Readings() {
		k.untold[r.Target] = true
	}
	if len(k.untold) > 0 {
		k.wakeUp()
	}
}

// Handle answers the question of a process. The caller has made sure that this process leads
// in the given term. It returns false if Lead has not said so yet: the turns of the former
// leader may not have ended.
func (k *Keeper) Handle(term uint64, in *Ask) (*Answers, bool) {
	k.mu.Lock()
	if term != k.term || term == 0 {
		k.mu.Unlock()
		return nil, false
	}
	changed, tell := k.learn(in.Limits), k.onChange
	out := k.answerAll(in)
	k.mu.Unlock()
	if len(changed) > 0 {
		tell(changed)
	}
	return out, true
}

// answerAll answers the wants of a question. The caller holds k.mu.
func (k *Keeper) answerAll(in *Ask) *Answers {
	now, view := k.o.Clock(), k.o.Directory.View()
	out := &Answers{Term: k.term}
	for _, w := range in.Wants[:min(len(in.Wants), maxWaiting)] {
		ready := make([]string, 0, len(view.Ready(w.Service)))
		for _, t := range view.Ready(w.Service) {
			ready = append(ready, t.ID)
		}
		out.Answers = append(out.Answers, k.allocator.answer(now, in.Process, w, ready))
	}
	return out
}

// Allowance returns the limit of a target in requests a second, and how many this process,
// which leads, may send it now. It returns false if the target has no limit.
func (k *Keeper) Allowance(target string) (perSecond float64, n int, limited bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	perSecond, n, limited = k.allocator.allowance(k.o.Clock(), target)
	if k.term == 0 {
		n = 0
	}
	return perSecond, n, limited
}

// Take grants this process, which leads, n requests to a target if the first may be sent now.
func (k *Keeper) Take(target string, n int) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, _, limited := k.book.Limit(target); !limited {
		return true
	}
	if k.term == 0 || !k.allocator.take(k.o.Clock(), target, n) {
		return false
	}
	k.noteGranted(target, n)
	return true
}

// noteGranted counts grants of this process. The caller holds k.mu.
func (k *Keeper) noteGranted(target string, n int) {
	k.grants.WithLabelValues("granted").Add(float64(n))
	for range n {
		k.tally(k.granted, target).Add(k.o.Clock(), Use{})
	}
}

// Acquire returns a grant for a request once it may be sent, or a denial. It waits no longer
// than the want's patience and a question to the leader.
func (k *Keeper) Acquire(ctx context.Context, w Want) Grant {
	g := k.acquire(ctx, w)
	if g.Target == "" {
		k.grants.WithLabelValues("denied").Inc()
		return g
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.noteGranted(g.Target, 1)
	return g
}

func (k *Keeper) acquire(ctx context.Context, w Want) Grant {
	askedAt := k.o.Clock()
	waiter := &waiter{want: w, answer: make(chan Answer, 1)}
	if denied, ok := k.enqueue(askedAt, waiter); !ok {
		return denied
	}
	var a Answer
	select {
	case a = <-waiter.answer:
	case <-ctx.Done():
		return Grant{RetryAfter: noAnswerRetry}
	}
	g := grantOf(askedAt, a)
	if a.Delay > 0 {
		select {
		case <-time.After(a.Delay):
		case <-ctx.Done():
			return Grant{RetryAfter: noAnswerRetry}
		}
	}
	return g.at(k.o.Clock())
}

// grantOf returns the grant that the leader's answer to a question means. The turn comes Delay
// after the leader answered, which was after the question.
func grantOf(askedAt time.Duration, a Answer) Grant {
	if a.Target == "" {
		return Grant{RetryAfter: a.RetryAfter}
	}
	return Grant{Target: a.Target, expires: askedAt + a.Delay + grantTime}
}

// at returns the grant if it may still be used, or a denial: the process may have stood still
// since its turn.
func (g Grant) at(now time.Duration) Grant {
	if g.Target != "" && now > g.expires {
		return Grant{RetryAfter: minAskAgain}
	}
	return g
}

// enqueue has the leader asked for a request, or denies it at once.
func (k *Keeper) enqueue(now time.Duration, w *waiter) (denied Grant, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	l := line{w.want.Service, w.want.Priority}
	if p, paused := k.pauses[l]; paused && now < p.until {
		// Requests that are denied together don't come back together.
		after := max(p.retryAt-now, p.until-now)
		return Grant{RetryAfter: min(maxRetryAfter, time.Duration(float64(after)*(1+rand.Float64())))}, false
	}
	if k.ask == nil || len(k.waiting) >= maxWaiting {
		return Grant{RetryAfter: noAnswerRetry}, false
	}
	k.waiting = append(k.waiting, w)
	k.wakeUp()
	return Grant{}, true
}

func (k *Keeper) wakeUp() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Run asks the leader for what the process needs, one question at a time, until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	for {
		select {
		case <-k.wake:
		case <-ctx.Done():
			return
		}
		if !k.askOnce(ctx) {
			select {
			case <-time.After(noAnswerPause):
				k.wakeUp()
			case <-ctx.Done():
				return
			}
		}
	}
}

// askOnce asks the leader for all that is due and reports whether it answered.
func (k *Keeper) askOnce(ctx context.Context) bool {
	in, waiting, ask := k.nextAsk()
	if ask == nil || len(in.Limits) == 0 && len(in.Wants) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var out Answers
	err := ask(ctx, in, &out)
	k.settle(in, waiting, &out, err)
	return err == nil
}

// settle takes the leader's answers to a question, or the error that there are none.
func (k *Keeper) settle(in *Ask, waiting []*waiter, out *Answers, err error) {
	if err == nil && len(out.Answers) != len(waiting) {
		err = errAnswers
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.o.Clock()
	if err != nil {
		k.o.Log.WithFields(logrus.Fields{"wants": len(in.Wants), "limits": len(in.Limits)}).Infof("no grants from the leader: %v", err)
		for _, m := range in.Limits {
			k.untold[m.Target] = true
		}
	}
	if err == nil && out.Term != k.toldTerm {
		k.toldTerm = out.Term
		k.tellAll()
	}
	for i, w := range waiting {
		a := Answer{RetryAfter: noAnswerRetry, AskAgain: noAnswerPause}
		if err == nil {
			a = out.Answers[i]
		}
		l := line{w.want.Service, w.want.Priority}
		if a.Target == "" {
			k.pauses[l] = pause{until: now + min(a.AskAgain, maxRetryAfter), retryAt: now + min(a.RetryAfter, maxRetryAfter)}
		} else {
			delete(k.pauses, l)
		}
		w.answer <- a
	}
}

// nextAsk returns the next question to the leader and who waits for its answers.
func (k *Keeper) nextAsk() (*Ask, []*waiter, func(ctx context.Context, in *Ask, out *Answers) error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ask == nil {
		return nil, nil, nil
	}
	now := k.o.Clock()
	in := &Ask{Process: k.o.Process}
	for target := range k.untold {
		if r, ok := k.book.Reading(target); ok {
			in.Limits = append(in.Limits, r.message(now))
		}
	}
	clear(k.untold)
	waiting := k.waiting
	k.waiting = nil
	for _, w := range waiting {
		in.Wants = append(in.Wants, w.want)
	}
	return in, waiting, k.ask
}

// Dump returns the limits known for the state dump.
func (k *Keeper) Dump() any {
	type line struct {
		Target    string         `json:"target"`
		PerSecond float64        `json:"per_second"`
		KnownMs   int64          `json:"known_ms"`
		Sent      map[string]int `json:"sent_4s"`
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.o.Clock()
	out := []line{}
	for _, r := range k.book.Readings() {
		perSecond, since, ok := k.book.Limit(r.Target)
		if !ok {
			continue
		}
		l := line{Target: r.Target, PerSecond: perSecond, KnownMs: (now - since).Milliseconds(), Sent: make(map[string]int)}
		if t := k.tallies[r.Target]; t != nil {
			for use, n := range t.Counts(now) {
				l.Sent[use.String()] = n
			}
		}
		out = append(out, l)
	}
	return out
}
