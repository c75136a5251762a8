package usage

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"merlinhall/boottime"
	"merlinhall/truetime"
)

const (
	// reportInterval is how often a process reports although nothing has changed.
	reportInterval = time.Second
	// minReportInterval is the least time between two reports. What a process has counted in
	// it is lost with the process.
	minReportInterval = 100 * time.Millisecond
	// callTimeout bounds a report.
	callTimeout = time.Second
	// recordTime is how long counts are kept that no leader has fixed.
	recordTime = 10 * time.Minute
	// answerTime is how long a request may be unsettled: the longest time that a caller waits.
	answerTime = 10 * time.Second
)

// MeterOptions configures a Meter.
type MeterOptions struct {
	Process string
	Boot    string
	Window  time.Duration
	Counts  bool // this process counts requests
	// Call sends a report to the control leader.
	Call     func(ctx context.Context, in *Report, out *Reply) error
	Clock    func() truetime.Steady // nil stands for boottime.Now
	Registry *prometheus.Registry
	Log      *logrus.Entry
}

// Meter counts the requests that targets begin on behalf of this process. It is safe for
// concurrent use.
type Meter struct {
	o     MeterOptions
	clock truetime.Follower
	late  prometheus.Counter
	wake  chan struct{}

	mu      sync.Mutex
	records []*Request
	fixed   int64
	reports uint64
}

// Request is one request of an account. A request is counted once, from the first attempt
// that a target has not refused.
type Request struct {
	meter   *Meter
	account string
	began   truetime.Steady
	sent    []truetime.Steady // attempts that may have begun, in order
	done    bool
}

// StartMeter returns a meter that reports until ctx ends.
func StartMeter(ctx context.Context, o MeterOptions) *Meter {
	m := newMeter(o)
	go m.run(ctx)
	return m
}

func newMeter(o MeterOptions) *Meter {
	if o.Clock == nil {
		o.Clock = boottime.Now
	}
	m := &Meter{o: o, wake: make(chan struct{}, 1), late: prometheus.NewCounter(prometheus.CounterOpts{
		Name: "merlinhall_usage_late_total", Help: "Requests that were counted after their window had been fixed.",
	})}
	if o.Registry != nil {
		o.Registry.MustRegister(m.late)
	}
	return m
}

// Begin registers a request of an account. Done must be called when it has ended.
func (m *Meter) Begin(account string) *Request {
	r := &Request{meter: m, account: account, began: m.o.Clock()}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.records = append(m.records, r)
	return r
}

// Sent notes that the request was sent to a target. The returned function notes that the
// target has refused it.
func (r *Request) Sent() (refused func()) {
	at := r.meter.o.Clock()
	r.change(func() { r.sent = append(r.sent, at) })
	return func() {
		r.change(func() {
			if i := slices.Index(r.sent, at); i >= 0 {
				r.sent = slices.Delete(r.sent, i, i+1)
			}
		})
	}
}

// Done notes that the request has ended.
func (r *Request) Done() { r.change(func() { r.done = true }) }

func (r *Request) change(f func()) {
	r.meter.mu.Lock()
	f()
	r.meter.mu.Unlock()
	select {
	case r.meter.wake <- struct{}{}:
	default:
	}
}

func (m *Meter) run(ctx context.Context) {
	for {
		m.report(ctx)
		select {
		case <-time.After(minReportInterval):
		case <-ctx.Done():
			return
		}
		select {
		case <-time.After(reportInterval - minReportInterval):
		case <-m.wake:
		case <-ctx.Done():
			return
		}
	}
}

func (m *Meter) report(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply Reply
	sent := m.o.Clock()
	if err := m.o.Call(ctx, m.next(sent, time.Now()), &reply); err != nil {
		if ctx.Err() == nil {
			m.o.Log.Debugf("usage could not be reported to the leader: %v", err)
		}
		return
	}
	m.take(sent, m.o.Clock(), &reply)
}

// next returns the next report.
func (m *Meter) next(now truetime.Steady, timeOfDay time.Time) *Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reports++
	out := &Report{Process: m.o.Process, Boot: m.o.Boot, Sequence: m.reports, TimeOfDay: timeOfDay.UnixNano(), Counts: m.o.Counts}
	current, delay, known := m.clock.At(now)
	out.Delay = int64(delay)
	if !known || !m.o.Counts {
		return out
	}
	out.Settled = windowOf(current, m.o.Window) - 1
	byWindow := make(map[int64]map[string]int)
	for _, r := range m.records {
		if !r.done && now-r.began < answerTime {
			out.Settled = min(out.Settled, m.windowAt(r.first())-1)
		}
		if len(r.sent) == 0 {
			continue
		}
		w := m.windowAt(r.sent[0])
		if byWindow[w] == nil {
			byWindow[w] = make(map[string]int)
		}
		byWindow[w][r.account]++
	}
	for w, counts := range byWindow {
		if w > m.fixed {
			out.Windows = append(out.Windows, WindowCounts{w, counts})
		}
	}
	slices.SortFunc(out.Windows, func(a, b WindowCounts) int { return int(a.Window - b.Window) })
	return out
}

// first returns when the request was sent first, or when it came.
func (r *Request) first() truetime.Steady {
	if len(r.sent) > 0 {
		return r.sent[0]
	}
	return r.began
}

// windowAt returns the window of a reading of the steady clock. The true time is known.
func (m *Meter) windowAt(at truetime.Steady) int64 {
	t, _, _ := m.clock.At(at)
	return windowOf(t, m.o.Window)
}

// take takes the leader's reply to a report that was sent at the given time.
func (m *Meter) take(sent, received truetime.Steady, reply *Reply) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if reply.Time != 0 {
		m.clock.Add(sent, received, time.Unix(0, reply.Time))
	}
	former := m.fixed
	m.fixed = max(m.fixed, reply.Fixed)
	_, _, known := m.clock.At(received)
	m.records = slices.DeleteFunc(m.records, func(r *Request) bool {
		switch {
		case !r.done && received-r.began < answerTime:
			return false
		case len(r.sent) == 0 || received-r.began > recordTime:
			return true
		case !known:
			return false
		}
		w := m.windowAt(r.sent[0])
		if w <= former && r.sent[0] > sent {
			m.late.Inc()
			m.o.Log.WithFields(logrus.Fields{"account": r.account, "window": w}).Info("a request was counted after its window had been fixed")
		}
		return w <= m.fixed
	})
}
