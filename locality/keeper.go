package locality

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"merlinhall/boottime"
	"merlinhall/directory"
	"merlinhall/wire"
)

const (
	// askTimeout bounds a report to the leader. It is above a few round trips.
	askTimeout = 300 * time.Millisecond
	// maxBytesPerSecond bounds the reports and answers of a process; 4 KB a second are allowed
	// for all control traffic.
	maxBytesPerSecond = 2000
	// entryBytes is the size of a zone in a report or an answer, see BenchmarkReports.
	entryBytes = 30
	// defaultPlaces stands for the places of a target that the list does not name, as in package
	// batch.
	defaultPlaces = 8
	// logChange is the change of a share that is logged.
	logChange = 0.1
	// logInterval is the least time between two lines about a service.
	logInterval = time.Second
)

// Options configures a Keeper.
type Options struct {
	Process   string // name of this process
	Zone      string
	Directory *directory.Directory
	Costs     Costs                // without Bytes and Worth
	Registry  *prometheus.Registry // nil registers no metrics
	Log       *logrus.Entry
	Clock     func() time.Duration // nil stands for boottime.Now
}

// askFunc sends a report to the control leader.
type askFunc func(ctx context.Context, in *Report, out *Answers) error

// Keeper chooses zones for the requests of one process and exchanges reports and shares with the
// control leader. In the leader's process it also computes the shares. It is safe for concurrent
// use; a nil Keeper chooses no zones.
type Keeper struct {
	o        Options
	requests *prometheus.CounterVec
	leaving  *prometheus.GaugeVec

	mu      sync.Mutex
	chooser Chooser
	leader  Leader
	term    uint64  // in which this process leads, 0 if it does not
	ask     askFunc // nil before Follow
	logged  map[string]loggedShare
}

// loggedShare is the share of a service that was logged last.
type loggedShare struct {
	leave  float64
	source Source
	at     time.Duration
}

// NewKeeper returns a keeper that knows no shares.
func NewKeeper(o Options) *Keeper {
	if o.Clock == nil {
		o.Clock = boottime.Now
	}
	k := &Keeper{
		o: o, logged: make(map[string]loggedShare),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "merlinhall_zone_requests_total", Help: "Attempts of requests by the zone in which they arose and the zone of their target.",
		}, []string{"service", "from", "to"}),
		leaving: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "merlinhall_zone_leaving_share", Help: "Share of the requests to a service that leaves the zone of this process by the shares in force.",
		}, []string{"service"}),
	}
	k.chooser = Chooser{Process: o.Process, Zone: o.Zone, Places: k.places, Costs: o.Costs}
	k.leader = Leader{Places: k.places, Costs: o.Costs}
	if o.Registry != nil {
		o.Registry.MustRegister(k.requests, k.leaving)
	}
	return k
}

// places returns the places of the ready targets of a service by zone.
func (k *Keeper) places(service string) map[string]float64 {
	out := make(map[string]float64)
	for _, t := range k.o.Directory.View().Ready(service) {
		n := t.Slots
		if n <= 0 {
			n = defaultPlaces
		}
		out[t.Zone] += float64(n)
	}
	return out
}

// Follow sets how the leader is asked. Until then the process decides alone.
func (k *Keeper) Follow(ask askFunc) {
	if k == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ask = ask
}

// Arrived counts a request that arises in the process and is worth waiting for the given time.
func (k *Keeper) Arrived(service string, worth time.Duration) {
	if k == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.chooser.Arrived(k.o.Clock(), service, worth)
}

// Pick returns the zone of the next attempt, or "" if any will do. zones are those with a target
// to which the request may be sent, and refused is set if targets have refused it.
func (k *Keeper) Pick(service string, zones []string, refused bool) string {
	if k == nil {
		return ""
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.o.Clock()
	zone := k.chooser.Pick(now, service, zones, refused)
	k.noteShare(now, service)
	return zone
}

// Sent counts an attempt to a target.
func (k *Keeper) Sent(t *wire.TargetEntry) {
	if k == nil {
		return
	}
	k.requests.WithLabelValues(t.Service, k.o.Zone, t.Zone).Inc()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.chooser.Sent(k.o.Clock(), t.Service, t.Zone)
}

// Ended counts the end of an attempt that Sent has counted. bytes is the size of the request and
// its response.
func (k *Keeper) Ended(t *wire.TargetEntry, took time.Duration, end End, bytes int) {
	if k == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.chooser.Ended(k.o.Clock(), t.Service, t.Zone, took, end, bytes)
}

// noteShare keeps the metric of the share in force and logs it if it has changed. The caller
// holds k.mu.
func (k *Keeper) noteShare(now time.Duration, service string) {
	s := k.chooser.service(service)
	last := k.logged[service]
	if s.row.Leave == last.leave && s.source == last.source {
		return
	}
	k.leaving.WithLabelValues(service).Set(s.row.Leave)
	if math.Abs(s.row.Leave-last.leave) < logChange && s.source == last.source || last.at != 0 && now-last.at < logInterval {
		return
	}
	k.logged[service] = loggedShare{s.row.Leave, s.source, now}
	if last.at == 0 && s.row.Leave == 0 {
		return
	}
	own, others := s.Seen(now, k.o.Zone)
	k.o.Log.WithFields(logrus.Fields{
		"service": service, "leave": s.row.Leave, "before": last.leave, "to": s.row.To, "source": s.source, "over": s.row.Over, "version": k.chooser.version,
		"inputs": s.inputs, "own_ms": own.Time.Milliseconds(), "own_least_ms": own.Least.Milliseconds(), "others_ms": others.Time.Milliseconds(),
	}).Info("share of requests that leaves the zone has changed")
}

// Lead tells whether this process leads, and in which term.
func (k *Keeper) Lead(leading bool, term uint64) {
	if k == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.term = 0; leading {
		k.term = term
		k.leader.Lead(k.o.Clock(), term)
	}
}

// Handle takes the report of a process. The caller has made sure that this process leads in the
// given term. It returns false if Lead has not said so yet.
func (k *Keeper) Handle(term uint64, in *Report) (*Answers, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if term != k.term || term == 0 {
		return nil, false
	}
	return k.leader.Handle(k.o.Clock(), in), true
}

// Run reports to the leader until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	wait := minInterval
	for k != nil {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
		wait = max(minInterval, k.reportOnce(ctx))
	}
}

// reportOnce reports to the leader, if there is anything to report, and returns the time until
// the next report.
func (k *Keeper) reportOnce(ctx context.Context) time.Duration {
	k.mu.Lock()
	in, ask := k.chooser.Report(k.o.Clock()), k.ask
	k.mu.Unlock()
	if in == nil || ask == nil {
		return minInterval
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	out := new(Answers)
	if ask(ctx, in, out) != nil {
		return minInterval // the last shares stay in force until they expire
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.chooser.Learn(k.o.Clock(), out)
	return pause(in, out)
}

// pause returns the time until the next report after a report and its answer.
func pause(in *Report, out *Answers) time.Duration {
	bytes := 0
	for i := range in.Services {
		bytes += entryBytes * (1 + len(in.Services[i].Zones))
	}
	for i := range out.Services {
		bytes += entryBytes * (1 + len(out.Services[i].To) + len(out.Services[i].Inputs))
	}
	return min(ShareTime/2, max(out.Interval, time.Duration(bytes)*time.Second/maxBytesPerSecond))
}

// View is what a process knows of the shares of a service.
type View struct {
	Zone    string      `json:"zone"` // of the process
	Leave   float64     `json:"leave"`
	To      []Share     `json:"to"`
	Over    bool        `json:"over"`
	Source  Source      `json:"source"`
	Version uint64      `json:"version"`
	Term    uint64      `json:"term"`
	AgeMs   int64       `json:"age_ms"` // of the last answer of the leader, -1 without one
	Inputs  []ZoneInput `json:"inputs"`
	// Picked is the zone of the next request, empty if it goes to the best target of any zone.
	Picked string `json:"picked"`
}

// Explain returns the zone that Pick would return and what it would decide by, without changing
// anything. It returns nil if the process chooses no zones.
func (k *Keeper) Explain(service string, zones []string) *View {
	if k == nil {
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.o.Clock()
	picked, row, source := k.chooser.Preview(now, service, zones, false)
	v := &View{Zone: k.o.Zone, Leave: row.Leave, To: row.To, Over: row.Over, Source: source, Version: k.chooser.version, Term: k.chooser.term, AgeMs: -1, Picked: picked}
	if s := k.chooser.services[service]; s != nil && s.learned {
		v.AgeMs, v.Inputs = (now - s.learnedAt).Milliseconds(), s.inputs
	}
	return v
}

// Dump returns the shares of all services for the state dump.
func (k *Keeper) Dump() any {
	k.mu.Lock()
	names := make([]string, 0, len(k.chooser.services))
	for name := range k.chooser.services {
		names = append(names, name)
	}
	k.mu.Unlock()
	out := make(map[string]*View, len(names))
	for _, name := range names {
		out[name] = k.Explain(name, nil)
	}
	return out
}
