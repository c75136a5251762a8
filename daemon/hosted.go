package daemon

import (
	"cmp"
	"context"
	"net/http"
	"os"
	"path/filepath"
	"runtime/debug"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"merlinhall/actor"
	"merlinhall/boottime"
	"merlinhall/connbudget"
	"merlinhall/demand"
	"merlinhall/directory"
	"merlinhall/explain"
	"merlinhall/forward"
	"merlinhall/link"
	"merlinhall/locality"
	"merlinhall/memory"
	"merlinhall/observe"
	"merlinhall/platform"
	"merlinhall/quarantine"
	"merlinhall/ratelimit"
	"merlinhall/server"
	"merlinhall/settings"
	"merlinhall/streams"
	"merlinhall/upstream"
	"merlinhall/wire"
)

const (
	// memoryLimitShare is the Go memory limit as a share of the host's memory; the rest
	// covers thread stacks, sockets and the C library.
	memoryLimitShare = 0.7
	// Parts of the budget for clients, of shareParts, or of twice as many if the process has both
	// roles. Callers have no part of what probes, links and operators
	// can use. An entry keeps three eighths of its descriptors for connections to targets and
	// control processes, as many as its callers can have requests at work; a control process keeps
	// a quarter for those to peers, engines and targets. Links have the largest part of a control
	// process, since each other process holds one.
	callerParts = 3
	linkParts   = 4
	smallParts  = 1
	shareParts  = 8
	// defaultHeaderBytes is the limit of the platform's manifests.
	defaultHeaderBytes = 16384
	// gcPercent is below the default of 100 to save memory; processor time is not scarce.
	gcPercent = 50
	// readyGrace is how long a stopping process still accepts connections: the platform
	// checks readiness every second and regards it as not ready after two failures.
	readyGrace = 2500 * time.Millisecond
	// handoverTimeout bounds the saving of partial texts and the wait for another leader.
	// An election without a handover takes longer than this.
	handoverTimeout = 500 * time.Millisecond
	// departTimeout bounds the wait for another host that takes the vote of a stopping one. It is
	// the duration of an election and of the two membership changes.
	departTimeout = 1500 * time.Millisecond
	// stopMargin is the part of the stop grace period that is reserved for closing the
	// process after the wait for running requests. It is at most the stopMarginDivisor-th part,
	// well below the last sixth: the platform excuses only what targets still work on then.
	stopMargin        = 1500 * time.Millisecond
	stopMarginDivisor = 16
	// poolSweepPeriod is the time between two sweeps of the pool of idle connections.
	poolSweepPeriod = 5 * time.Second
)

// HostedDaemon is one process on a managed platform.
type HostedDaemon struct {
	settings      *settings.HostedSettings
	observer      *observe.Observer
	log           *logrus.Entry
	system        *actor.System
	client        *http.Client // dials links
	boot          string
	bodies        *memory.Budget // for message bodies from clients and targets
	clients       *connbudget.Account
	pool          *upstream.Pool
	targets       *directory.Directory
	poller        *directory.Poller
	forward       *forward.Forwarder
	limits        *ratelimit.Keeper
	quarantine    *quarantine.Keeper
	streams       *streams.Keeper
	admission     *demand.Keeper   // nil if requests are not admitted by all processes together
	locality      *locality.Keeper // nil if the feature is off
	explain       *explain.Handler
	unreadable    observe.LineLimit // of the log lines for limits that cannot be read
	callerHandler *platform.CallerHandler
	ending        context.Context    // is done when running requests get their final answers
	endRequests   context.CancelFunc // ends it
	callerServer  *server.Server     // nil without the entry role
	servers       []*server.Server
	setSeeds      []func(seeds []string)
	handOver      func(ctx context.Context) // hands over the leadership; nil without the control role
	depart        func(ctx context.Context) // has another host take its vote; nil without the control role
	stops         []func()                  // run in reverse order at shutdown
	stopOnce      sync.Once
}

// StartHosted starts a process with the settings s. processStart is used to compute
// its start-up time.
func StartHosted(s *settings.HostedSettings, processStart time.Time) (*HostedDaemon, error) {
	debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * memoryLimitShare))
	debug.SetGCPercent(gcPercent)
	d := &HostedDaemon{
		settings: s,
		observer: observe.NewStructured("info", s.Name, os.Stdout),
		system:   actor.NewSystem(),
		client:   link.NewHTTPClient(nil),
		targets:  directory.New(),
		pool:     upstream.NewPool(platform.RequestID),
		bodies:   memory.NewBudget(clientHost(s).BodyBytes()),
	}
	d.clients = connbudget.New(connbudget.Limits{StallTime: s.Clients.StallTime, Grace: s.Clients.Grace, BodyRate: s.Clients.BodyRate}, d.observer.Registry, d.observer.Logger("clients"))
	d.stops = append(d.stops, d.clients.Close)
	d.bodies.OnExhausted = d.clients.ReleaseBodies
	d.ending, d.endRequests = context.WithCancel(context.Background())
	d.pool.Memory = d.bodies
	d.log = d.observer.Logger("daemon")
	list, patient := platform.NewList(s.TargetList, false), platform.NewList(s.TargetList, true)
	list.OnRefused, patient.OnRefused = d.targets.NoteRefusal, d.targets.NoteRefusal
	d.poller = directory.NewPoller(d.targets, list, patient, d.observer.Logger("directory"))
	d.forward = &forward.Forwarder{Pool: d.pool, Directory: d.targets, Protocol: platform.Protocol{Pool: d.pool}, Zone: s.Zone, ListLag: s.TargetListLag, Log: d.observer.Logger("forward"), Guard: d.observer.Guard("forward")}
	d.forward.MeasuredCapacity = s.Features.MeasuredCapacity
	d.observer.AddDump("target speeds", d.forward.Speeds)
	d.boot = newBootID()
	d.limits = ratelimit.NewKeeper(ratelimit.KeeperOptions{Process: s.Name, Directory: d.targets, Registry: d.observer.Registry, Log: d.observer.Logger("ratelimit")})
	d.forward.Limits = d.limits
	d.observer.AddDump("limits", d.limits.Dump)
	d.quarantine = quarantine.NewKeeper(quarantine.Options{Process: s.Name, Dir: quarantineDir(s.DataDir), Directory: d.targets, Registry: d.observer.Registry, Log: d.observer.Logger("quarantine")})
	d.forward.Quarantine = d.quarantine
	d.observer.AddDump("quarantine", d.quarantine.Dump)
	d.streams = streams.NewKeeper(streams.Options{Process: s.Name, Registry: d.observer.Registry, Log: d.observer.Logger("streams")})
	d.forward.Streams = d.streams
	d.explain = &explain.Handler{Process: s.Name, Forwarder: d.forward}
	d.observer.AddDump("streams", d.streams.Dump)
	d.startAdmission()
	if costs := d.zoneCosts(); costs != nil {
		d.locality = locality.NewKeeper(locality.Options{
			Process: s.Name, Zone: s.Zone, Directory: d.targets, Costs: *costs,
			Registry: d.observer.Registry, Log: d.observer.Logger("locality"),
		})
		d.forward.Locality = d.locality
		d.observer.AddDump("locality", d.locality.Dump)
	}
	d.pool.OnSend = func(to upstream.Address, r *upstream.Request) {
		d.limits.Sent(to.ID, ratelimit.Use{Kind: string(r.Kind), Repeat: r.Repeat})
	}
	d.pool.OnResponse = func(e upstream.Exchange) {
		d.noteLeaving(e)
		d.noteLimit(e)
	}
	d.targets.SetMaxAge(maxViewAge(s.DrainTime))
	d.registerConnectionMetrics()
	d.stops = append(d.stops, d.sweepPool())
	if err := d.start(); err != nil {
		d.close()
		return nil, err
	}
	d.observer.SetReady(true)
	took := time.Since(processStart)
	d.registerStartMetric(took)
	d.log.WithFields(logrus.Fields{
		"settings": s.Digest, "start_ms": took.Milliseconds(), "boot": d.boot, "entry": s.Entry, "control": s.Control, "seeds": s.Seeds, "founding": s.FirstStart,
	}).Infof("%s has started", s.Name)
	return d, nil
}

// zoneCosts returns the costs of traffic between zones, or nil if zones are not chosen by their use.
func (d *HostedDaemon) zoneCosts() *locality.Costs {
	if !d.settings.Features.Locality {
		return nil
	}
	return &locality.Costs{RoundTrip: d.settings.ZoneRoundTrip, ByteCost: d.settings.ZoneByteCost}
}

// clientHost returns what the budget for clients is derived from.
func clientHost(s *settings.HostedSettings) connbudget.Host {
	return connbudget.Host{MemoryBytes: s.MemoryBytes, MaxFiles: s.MaxFiles, ClientBytes: s.Clients.MemoryBytes, Connections: s.Clients.Connections}
}

// listenerLimits returns the limits of a listener to which no manifest applies.
func listenerLimits(c settings.ClientLimits) server.Limits {
	return server.Limits{HeaderBytes: cmp.Or(c.HeaderBytes, defaultHeaderBytes), HeaderTime: c.HeaderTime, Idle: c.Idle}
}

// quarantineDir returns the directory for requests that are held back, or "" without a data
// directory.
func quarantineDir(dataDir string) string {
	if dataDir == "" {
		return ""
	}
	return filepath.Join(dataDir, "quarantine")
}

// sendMargin is the time that a request may take from the choice of its target until it
// arrives there.
const sendMargin = 300 * time.Millisecond

// maxViewAge returns the age of the view of the targets from which no work is sent by it, 0
// for no bound, if a target that leaves accepts requests for the given time.
func maxViewAge(drain time.Duration) time.Duration { return max(0, drain-sendMargin) }

// noteLeaving marks the target of a response as leaving if the response says so, so that no
// request is sent to it any more, whatever the list of targets says.
func (d *HostedDaemon) noteLeaving(e upstream.Exchange) {
	if platform.Leaving(e.Header) && d.targets.MarkLeaving(time.Now(), e.To.ID) {
		d.log.WithFields(logrus.Fields{"target": e.To.ID, "targets_age_ms": d.targets.Age(time.Now()).Milliseconds()}).Info("target says that it is leaving")
	}
}

// noteLimit takes the limit that the target of a response names, or that it names none.
func (d *HostedDaemon) noteLimit(e upstream.Exchange) {
	perSecond, word := platform.Limit(e)
	switch word {
	case ratelimit.Unreadable:
		if d.unreadable.Allow(time.Now()) {
			d.log.WithFields(logrus.Fields{"target": e.To.ID, "kind": e.Request.Kind}).Info("target names a limit that cannot be read; the one before holds")
		}
		return
	case ratelimit.Unknown:
		return
	}
	d.limits.Note(ratelimit.Reading{
		Target: e.To.ID, Limited: word == ratelimit.Limited, PerSecond: perSecond, SentAt: e.SentAt, At: boottime.Now(),
	})
}

func (d *HostedDaemon) start() error {
	admin := http.NewServeMux()
	d.observer.Attach(admin)
	d.quarantine.Attach(admin)
	d.explain.Attach(admin)
	d.observer.AddDump("mailboxes", func() any { return d.system.QueueLengths() })
	if d.settings.Metrics != "" {
		if err := d.serve(d.settings.Metrics, "metrics", smallParts, admin); err != nil {
			return err
		}
	}
	if d.settings.Control {
		if err := d.startHub(); err != nil {
			return err
		}
	}
	if d.settings.Entry {
		if err := d.startGateway(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	go d.limits.Run(ctx)
	go d.streams.Run(ctx)
	go d.locality.Run(ctx)
	var stored sync.WaitGroup
	stored.Go(func() { d.quarantine.Run(ctx) })
	d.stops = append(d.stops, func() {
		cancel()
		stored.Wait()
	})
	return nil
}

// clientPart adds a listener, whose clients have the given parts of the budget, to the account.
func (d *HostedDaemon) clientPart(listener string, parts int) *connbudget.Part {
	of := shareParts
	if d.settings.Entry && d.settings.Control {
		of *= 2
	}
	return d.clients.Part(listener, clientHost(d.settings).Share(parts, of))
}

// serve starts a listener whose clients have the given parts of the budget.
func (d *HostedDaemon) serve(address, name string, parts int, handler http.Handler) error {
	part := d.clientPart(name, parts)
	s, err := server.StartCounted(address, d.observer.Guard("server").Handler(server.LimitUnreadBodies(handler)), part, listenerLimits(d.settings.Clients))
	if err == nil {
		d.servers = append(d.servers, s)
	}
	return err
}

// links are the links of one role of the process. A host with both roles has two sets of
// them, so that each role gets the answers to its own calls, and others see both.
type links struct {
	hello  wire.Hello
	mux    link.Mux // handles the messages
	client *http.Client
	guard  *observe.Guard
}

func (d *HostedDaemon) newLinks(role wire.Role, process, address string) *links {
	return &links{
		hello: wire.Hello{
			Process: process, Address: address, Zone: d.settings.Zone, Boot: d.boot, Host: d.settings.Name, Roles: []wire.Role{role}, Level: wire.Level,
			CPUShare: d.settings.CPUShare, MemoryBytes: d.settings.MemoryBytes,
		},
		client: d.client, guard: d.observer.Guard("links"),
	}
}

// dial keeps a link to a control process open until the returned function is called.
func (l *links) dial(address string) func() {
	return link.StartDialer(l.client, "ws", address, l.hello, link.Guarded(&l.mux, l.guard)).Stop
}

// accept returns the handler of links from other processes.
func (l *links) accept() *link.Acceptor { return link.Accept(l.hello, link.Guarded(&l.mux, l.guard)) }

// registerConnectionMetrics registers the metrics of connections to targets, of the age of
// the list of targets and of the memory of bodies.
func (d *HostedDaemon) registerConnectionMetrics() {
	connections := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "merlinhall_target_connections_total", Help: "Connections to targets, by whether they were opened or reused.",
	}, []string{"how"})
	age := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "merlinhall_targets_age_seconds", Help: "Time since the view of the targets was last confirmed.",
	}, func() float64 { return d.targets.Age(time.Now()).Seconds() })
	bodies := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "merlinhall_body_bytes", Help: "Memory held by large message bodies of clients and targets.",
	}, func() float64 { return float64(d.bodies.Used()) })
	d.observer.Registry.MustRegister(append(d.forward.Metrics(), connections, age, bodies)...)
	d.pool.Opened = connections.WithLabelValues("opened").Inc
	d.pool.Reused = connections.WithLabelValues("reused").Inc
}

func (d *HostedDaemon) registerStartMetric(took time.Duration) {
	start := prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "merlinhall_start_seconds", Help: "Time from the start of the process until its listeners were open.",
	})
	start.Set(took.Seconds())
	d.observer.Registry.MustRegister(start)
}

// sweepPool makes the forwarder forget removed targets, and starts a goroutine that closes
// idle connections that have expired or lead to removed targets. The returned function
// stops the goroutine.
func (d *HostedDaemon) sweepPool() func() {
	d.targets.OnChange(d.forward.RetainTargets)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		ticker := time.NewTicker(poolSweepPeriod)
		defer ticker.Stop()
		for {
			select {
			case now := <-ticker.C:
				known := make(map[upstream.Address]bool)
				view := d.targets.View()
				for i := range view.Targets {
					known[directory.Address(&view.Targets[i])] = true
				}
				d.pool.RetainIdle(known, now)
			case <-ctx.Done():
				return
			}
		}
	}()
	return cancel
}

// Reload applies the settings that may change while the process runs: the seeds.
func (d *HostedDaemon) Reload(s *settings.HostedSettings) {
	d.log.WithFields(logrus.Fields{"seeds": s.Seeds, "settings": s.Digest}).Info("settings are reloaded")
	for _, f := range d.setSeeds {
		f(s.Seeds)
	}
}

// Shutdown fails the readiness check, hands over the leadership, waits for running
// requests, and closes the listeners and components.
func (d *HostedDaemon) Shutdown() {
	began := time.Now()
	d.log.Info("draining")
	d.observer.SetReady(false)
	if d.handOver != nil {
		ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
		d.handOver(ctx)
		cancel()
	}
	if d.depart != nil {
		ctx, cancel := context.WithTimeout(context.Background(), min(departTimeout, d.settings.StopGrace/4))
		d.depart(ctx)
		cancel()
	}
	if d.callerHandler != nil {
		times := newStopTimes(d.settings.StopGrace)
		d.callerHandler.Stop.Store(&platform.Stop{LateFrom: began.Add(times.ready), End: began.Add(times.answers)})
		time.Sleep(time.Until(began.Add(times.ready)))
		answers := time.AfterFunc(time.Until(began.Add(times.answers)), d.endRequests)
		ctx, cancel := context.WithDeadline(context.Background(), began.Add(times.close))
		if err := d.callerServer.Shutdown(ctx); err != nil {
			d.log.Warnf("stopping with requests still running: %v", err)
		}
		cancel()
		answers.Stop()
	}
	d.close()
	d.log.Info("stopped")
}

// stopTimes are the moments of a planned stop, from its beginning. All fit into the grace period,
// also into a short one.
type stopTimes struct {
	ready   time.Duration // connections are accepted until then
	answers time.Duration // requests that still run get their final answer
	close   time.Duration // the listeners and components are closed
}

// newStopTimes returns the moments for a grace period.
func newStopTimes(grace time.Duration) stopTimes {
	margin := min(stopMargin, grace/stopMarginDivisor)
	return stopTimes{ready: min(readyGrace, grace/3), answers: grace - margin - margin/2, close: grace - margin}
}

func (d *HostedDaemon) close() {
	d.stopOnce.Do(func() {
		for i := len(d.stops) - 1; i >= 0; i-- {
			d.stops[i]()
		}
		for _, s := range d.servers {
			_ = s.Close()
		}
	})
}

// ReloadFailed logs that new settings could not be loaded. The current ones stay in
// force.
func (d *HostedDaemon) ReloadFailed(err error) {
	d.log.Warnf("settings could not be reloaded, keeping the current ones: %v", err)
}
