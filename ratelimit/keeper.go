package ratelimit

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"merlinhall/boottime"
	"merlinhall/directory"
	"merlinhall/observe"
	"merlinhall/wire"
)

// KeeperOptions configures a Keeper.
type KeeperOptions struct {
	Process   string // name of this process
	Directory *directory.Directory
	Registry  *prometheus.Registry // nil registers no metrics
	Log       *logrus.Entry
	Clock     func() time.Duration // nil stands for boottime.Now
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
	telling   bool            // the leader will be told them after tellDelay
	toldTerm  uint64          // of the leader that was told the others
	waiting   []*waiter
	pauses    map[lineKey]pause
	ask       askFunc // nil before Follow
	onChange  func([]wire.TargetLimit)
	allocator *allocator
	term      uint64 // in which this process leads, 0 if it does not
}

// NewKeeper returns a keeper that knows no limits.
func NewKeeper(o KeeperOptions) *Keeper {
	if o.Clock == nil {
		o.Clock = boottime.Now
	}
	k := &Keeper{
		o: o, book: NewBook(), tallies: make(map[string]*Tally), granted: make(map[string]*Tally), loggedAt: make(map[string]time.Duration),
		wake: make(chan struct{}, 1), untold: make(map[string]bool), pauses: make(map[lineKey]pause), onChange: func([]wire.TargetLimit) {},
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
func (k *Keeper) Follow(ask askFunc) {
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
	if !k.telling {
		k.telling = true
		time.AfterFunc(tellDelay, k.tellNow)
	}
	return wire.TargetLimit{}, nil
}

// tellDelay is how long limits that have changed wait for others before the leader is told,
// unless the process asks for a grant. The limits of a target may change with each response.
const tellDelay = 50 * time.Millisecond

// tellNow has the leader told the limits that have changed.
func (k *Keeper) tellNow() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.telling = false
	k.wakeUp()
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
