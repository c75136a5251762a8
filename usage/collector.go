package usage

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"merlinhall/boottime"
	"merlinhall/ledger"
	"merlinhall/truetime"
)

const (
	// tickInterval is how often windows are checked.
	tickInterval = 100 * time.Millisecond
	// settleTime is the least time between the end of a window and its fixing. It covers the
	// interval of reports.
	settleTime = 1500 * time.Millisecond
	// maxSettleTime is the time after the end of a window at which it is fixed without the
	// processes that are silent, such as suspended ones.
	maxSettleTime = 5 * time.Second
	// leadTime is how long a new leader gathers reports before it fixes anything, and
	// maxLeadTime how long it waits for processes that do not report.
	leadTime    = 1500 * time.Millisecond
	maxLeadTime = 4 * time.Second
	// suspendedTime is the time between two ticks from which this host counts as suspended.
	suspendedTime = time.Second
	// lastSettleTime is the time after the end of a window at which it is fixed in any case.
	lastSettleTime = 7500 * time.Millisecond
	// silentTime is the time without a report after which a process is not waited for at all.
	silentTime = 30 * time.Second
	// fewClocksTime is how long a new leader waits for enough clocks for a median. After it
	// the clocks that there are must do.
	fewClocksTime = 10 * time.Second
	// maxCatchUp bounds the windows that are fixed after the log was without a leader; older
	// ones are skipped, their counts are lost.
	maxCatchUp = recordTime
	// sendRetryDelay is the wait before a window is sent again that was not acknowledged.
	sendRetryDelay = 500 * time.Millisecond
	// sendTimeout bounds one sending.
	sendTimeout    = time.Second
	proposeTimeout = 3 * time.Second
)

// Sent is the outcome of sending a window to the platform.
type Sent string

// Outcomes of a sending.
const (
	SentAccepted   Sent = "accepted"
	SentSuperseded Sent = "superseded" // a higher fencing token was seen
	SentUnknown    Sent = "unknown"    // refused for now, or no answer; it may be sent again
	SentNotLeader  Sent = "not_sent"   // this process no longer leads
)

// Claim says whether this process may report; see package duty.
type Claim interface {
	Held(now time.Time) (token uint64, ok bool)
	Superseded(token uint64)
}

// CollectorOptions configures a Collector.
type CollectorOptions struct {
	Process string
	Window  time.Duration
	Ledger  *ledger.Usage
	// Propose commits a command of the usage slice.
	Propose func(ctx context.Context, body []byte) error
	// Ready reports whether all members of the group understand the commands.
	Ready func() bool
	Claim Claim
	// Entries returns the processes that count and have a link to this one.
	Entries func() []string
	// Leads returns the term in which this process leads, confirmed by its lease.
	Leads func(ctx context.Context) (term uint64, err error)
	// Send reports a window to the platform. nil: usage is only recorded.
	Send      func(ctx context.Context, w ledger.UsageWindow, token uint64) Sent
	Clock     func() truetime.Steady // nil stands for boottime.Now
	TimeOfDay func() time.Time       // nil stands for time.Now
	Go        func(work func())      // starts a goroutine; nil stands for the go statement
	Registry  *prometheus.Registry
	Log       *logrus.Entry
}

// Collector adds up the usage of all processes while its process leads. It is safe for
// concurrent use.
type Collector struct {
	o       CollectorOptions
	clock   *truetime.Median
	windows *prometheus.CounterVec

	mu        sync.Mutex
	leading   bool
	leadSince truetime.Steady // or since this host went on after it was suspended
	tickedAt  truetime.Steady
	first     int64 // window in which the leadership began
	sources   map[string]*source
	busy      bool // a window is being fixed or sent
	sendAt    truetime.Steady
}

// source is what is known of one process. A process that has started again goes on with new
// counts; those of its former runs are kept.
type source struct {
	boot     string // of the newest run
	reported truetime.Steady
	settled  int64
	runs     map[string]runCounts // by boot
}

// runCounts are the counts of one run of a process.
type runCounts struct {
	sequence uint64 // of the report
	windows  map[int64]map[string]int
}

// StartCollector returns a collector that works until ctx ends.
func StartCollector(ctx context.Context, o CollectorOptions) *Collector {
	c := newCollector(o)
	go func() {
		ticker := time.NewTicker(tickInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				c.tick(ctx, c.o.Clock())
			case <-ctx.Done():
				return
			}
		}
	}()
	return c
}

func newCollector(o CollectorOptions) *Collector {
	if o.Clock == nil {
		o.Clock = boottime.Now
	}
	if o.TimeOfDay == nil {
		o.TimeOfDay = time.Now
	}
	if o.Go == nil {
		o.Go = func(work func()) { go work() }
	}
	c := &Collector{o: o, clock: truetime.NewMedian(), sources: make(map[string]*source), windows: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "merlinhall_usage_windows_total", Help: "Windows of usage, by what was done with them.",
	}, []string{"what"})}
	if o.Registry != nil {
		o.Registry.MustRegister(c.windows)
	}
	return c
}

// Lead tells whether this process leads.
func (c *Collector) Lead(leading bool, _ uint64) { c.lead(c.o.Clock(), leading) }

func (c *Collector) lead(now truetime.Steady, leading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leading, c.leadSince, c.first, c.busy = leading, now, 0, false
	c.sources, c.clock = make(map[string]*source), truetime.NewMedian()
}

// Handle takes the report of a process.
func (c *Collector) Handle(in *Report) *Reply { return c.handle(c.o.Clock(), in) }

func (c *Collector) handle(now truetime.Steady, in *Report) *Reply {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := &Reply{Fixed: c.o.Ledger.Next() - 1}
	if !c.leading {
		return out
	}
	c.clock.Add(now, in.Process, time.Unix(0, in.TimeOfDay), time.Duration(in.Delay))
	if in.Counts {
		c.take(now, in)
	}
	if t, ok := c.now(now); ok {
		out.Time = t.UnixNano()
	}
	return out
}

// take takes the counts of a report, unless a later one has overtaken it.
func (c *Collector) take(now truetime.Steady, in *Report) {
	s := c.sources[in.Process]
	if s == nil {
		s = &source{runs: make(map[string]runCounts)}
		c.sources[in.Process] = s
	}
	before, known := s.runs[in.Boot]
	if in.Sequence < before.sequence {
		return
	}
	if !known || in.Boot == s.boot {
		s.boot, s.reported, s.settled = in.Boot, now, in.Settled
	}
	counts := runCounts{in.Sequence, make(map[int64]map[string]int, len(in.Windows))}
	for _, w := range in.Windows {
		counts.windows[w.Window] = w.Counts
	}
	s.runs[in.Boot] = counts
}

// now returns the true time, if it is known well enough.
func (c *Collector) now(now truetime.Steady) (time.Time, bool) {
	c.clock.Add(now, c.o.Process, c.o.TimeOfDay(), 0)
	t, sources, ok := c.clock.Now(now)
	// Among a few clocks the stepped ones may be the majority.
	ok = ok && sources > len(c.o.Entries())/2
	if !ok && now-c.leadSince > fewClocksTime {
		return c.o.TimeOfDay(), true
	}
	return t, ok
}

// tick fixes or sends the next window, if one is due.
func (c *Collector) tick(ctx context.Context, now truetime.Steady) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now-c.tickedAt > suspendedTime {
		// The host was suspended: reports are missing that others would have sent meanwhile.
		c.leadSince = now
	}
	c.tickedAt = now
	if !c.leading || c.busy {
		return
	}
	t, ok := c.now(now)
	if !ok {
		return
	}
	if c.first == 0 {
		c.first = windowOf(t, c.o.Window)
	}
	if w, due := c.dueWindow(now, t); due && c.o.Ready() {
		c.busy = true
		c.o.Go(func() { c.fix(ctx, w) })
		return
	}
	if w, ok := c.o.Ledger.Unreported(); ok && c.o.Send != nil && now >= c.sendAt {
		if token, held := c.o.Claim.Held(c.o.TimeOfDay()); held {
			c.busy = true
			c.o.Go(func() { c.send(ctx, w, token) })
		}
	}
}

// dueWindow returns the next window if it is to be fixed now.
func (c *Collector) dueWindow(now truetime.Steady, t time.Time) (ledger.UsageWindow, bool) {
	next := c.o.Ledger.Next()
	if next == 0 {
		next = c.firstCounted()
	}
	next = max(next, windowOf(t.Add(-maxCatchUp), c.o.Window))
	since := t.Sub(windowEnd(next, c.o.Window))
	if since < settleTime || now-c.leadSince < leadTime {
		return ledger.UsageWindow{}, false
	}
	patient := since < maxSettleTime || now-c.leadSince < maxLeadTime && since < lastSettleTime
	if patient && c.unsettled(now, next) {
		return ledger.UsageWindow{}, false
	}
	return c.sum(next), true
}

// firstCounted returns the first window to be fixed of all: the one in which this process
// became leader, or an earlier one that has counts.
func (c *Collector) firstCounted() int64 {
	first := c.first
	for _, s := range c.sources {
		for _, r := range s.runs {
			for w := range r.windows {
				first = min(first, w)
			}
		}
	}
	return first
}

// unsettled reports whether a process may still change a window.
func (c *Collector) unsettled(now truetime.Steady, window int64) bool {
	for _, s := range c.sources {
		if s.settled < window && now-s.reported < silentTime {
			return true
		}
	}
	return slices.ContainsFunc(c.o.Entries(), func(process string) bool { return c.sources[process] == nil })
}

// sum returns the usage of a window in all processes.
func (c *Collector) sum(window int64) ledger.UsageWindow {
	total := make(map[string]int)
	for _, s := range c.sources {
		for _, r := range s.runs {
			for account, n := range r.windows[window] {
				total[account] += n
			}
		}
	}
	out := ledger.UsageWindow{Window: window}
	for account, n := range total {
		out.Counts = append(out.Counts, ledger.AccountUsage{Account: account, Count: n})
	}
	slices.SortFunc(out.Counts, func(a, b ledger.AccountUsage) int { return cmp.Compare(a.Account, b.Account) })
	return out
}

// fix has the usage of a window committed. Nothing of it is sent before.
func (c *Collector) fix(ctx context.Context, w ledger.UsageWindow) {
	body, err := ledger.FixUsageCommand(w)
	if err == nil {
		err = c.propose(ctx, body)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
	fields := logrus.Fields{"window": w.Window, "accounts": len(w.Counts), "sources": len(c.sources)}
	if err != nil {
		c.o.Log.WithFields(fields).Infof("usage of a window is not fixed yet: %v", err)
		return
	}
	c.windows.WithLabelValues("fixed").Inc()
	c.o.Log.WithFields(fields).Info("usage of a window is fixed")
	for _, s := range c.sources {
		for boot, r := range s.runs {
			delete(r.windows, w.Window)
			if len(r.windows) == 0 && boot != s.boot {
				delete(s.runs, boot)
			}
		}
	}
}

func (c *Collector) propose(ctx context.Context, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	return c.o.Propose(ctx, body)
}

// send reports a fixed window to the platform and notes it in the log.
func (c *Collector) send(ctx context.Context, w ledger.UsageWindow, token uint64) {
	sendCtx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	outcome := SentNotLeader
	if term, err := c.o.Leads(sendCtx); err == nil && term == token {
		outcome = c.o.Send(sendCtx, w, token)
	}
	c.windows.WithLabelValues(string(outcome)).Inc()
	c.o.Log.WithFields(logrus.Fields{"window": w.Window, "accounts": len(w.Counts), "token": token, "outcome": outcome}).Info("usage of a window is sent")
	switch outcome {
	case SentAccepted:
		body, err := ledger.UsageReportedCommand(w.Window)
		if err == nil {
			err = c.propose(ctx, body)
		}
		if err != nil {
			c.o.Log.WithField("window", w.Window).Infof("a reported window is sent again: %v", err)
		}
	case SentSuperseded:
		c.o.Claim.Superseded(token)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
	if outcome != SentAccepted {
		c.sendAt = c.o.Clock() + sendRetryDelay
	}
}
