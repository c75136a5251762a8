package daemon

import (
	"context"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"merlinhall/directory"
	"merlinhall/duty"
	"merlinhall/forward"
	"merlinhall/link"
	"merlinhall/observe"
	"merlinhall/platform"
	"merlinhall/server"
	"merlinhall/settings"
	"merlinhall/upstream"
	"merlinhall/wire"
)

const (
	// memoryShare is the part of the host's memory that the collector aims to
	// stay below; the rest covers stacks, sockets and the C library.
	memoryShare = 0.7
	// gcPercent trades processor time, of which there is enough, for memory.
	gcPercent = 50
	// readyGrace is the time for which a process that stops still takes new
	// connections: the platform asks each second and needs two misses.
	readyGrace = 2500 * time.Millisecond
	// handoverLimit bounds the wait for another leader; an election takes longer.
	handoverLimit = 500 * time.Millisecond
	// stopMargin is kept from the time before the end by force.
	stopMargin = 1500 * time.Millisecond
	// poolSweep is how often idle connections to targets are looked over.
	poolSweep = 5 * time.Second
)

// HostedDaemon is one process on a managed platform.
type HostedDaemon struct {
	settings *settings.Hosted
	observer *observe.Observer
	log      *logrus.Entry
	system   *duty.System
	client   *http.Client // dials links
	hello    wire.Hello
	mux      link.Mux // all links
	pool     *upstream.Pool
	targets  *directory.Directory
	poller   *directory.Poller
	forward  *forward.Forwarder
	front    *platform.Front
	entry    *server.Server // for callers
	servers  []*server.Server
	setSeeds []func(seeds []string)
	handOver func(ctx context.Context) // of control processes
	stops    []func()                  // in reverse order at the end
	stopOnce sync.Once
}

// StartHosted starts the process that s describes. began is when the process
// started, for its start-up time.
func StartHosted(s *settings.Hosted, began time.Time) (*HostedDaemon, error) {
	debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * memoryShare))
	debug.SetGCPercent(gcPercent)
	d := &HostedDaemon{
		settings: s,
		observer: observe.NewStructured("info", s.Name, os.Stdout),
		system:   duty.NewSystem(),
		client:   link.NewHTTPClient(nil),
		targets:  directory.New(),
		pool:     upstream.NewPool(platform.SameRequest),
	}
	d.log = d.observer.Logger("daemon")
	d.poller = directory.NewPoller(&platform.List{Address: s.TargetList, Client: &http.Client{}}, d.observer.Logger("directory"))
	d.forward = &forward.Forwarder{Pool: d.pool, Directory: d.targets, Protocol: platform.Protocol{Pool: d.pool}, Zone: s.Zone, Log: d.observer.Logger("forward")}
	d.hello = wire.Hello{Process: s.Name, Zone: s.Zone, Boot: newBoot(), Host: s.Name, Roles: []wire.Role{wire.RoleEntry}}
	d.countConnections()
	d.stops = append(d.stops, d.sweepPool())
	if err := d.start(); err != nil {
		d.close()
		return nil, err
	}
	d.observer.SetReady(true)
	took := time.Since(began)
	d.countStart(took)
	d.log.WithFields(logrus.Fields{
		"settings": s.Digest, "start_ms": took.Milliseconds(), "boot": d.hello.Boot, "entry": s.Entry, "control": s.Control, "seeds": s.Seeds, "founding": s.Founding,
	}).Infof("%s has started", s.Name)
	return d, nil
}

func (d *HostedDaemon) start() error {
	admin := http.NewServeMux()
	d.observer.Attach(admin)
	d.observer.Dump("mailboxes", func() any { return d.system.Load() })
	if d.settings.Metrics != "" {
		if err := d.serve(d.settings.Metrics, admin); err != nil {
			return err
		}
	}
	if d.settings.Control {
		if err := d.startHub(); err != nil {
			return err
		}
	}
	if d.settings.Entry {
		return d.startGateway()
	}
	return nil
}

func (d *HostedDaemon) serve(address string, handler http.Handler) error {
	s, err := server.Start(address, handler, nil)
	if err == nil {
		d.servers = append(d.servers, s)
	}
	return err
}

// dial keeps a link to a control process.
func (d *HostedDaemon) dial(address string) func() {
	return link.Keep(d.client, "ws", address, d.hello, &d.mux).Stop
}

// countConnections makes the use of connections to targets and the age of the view
// of them visible.
func (d *HostedDaemon) countConnections() {
	connections := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "merlinhall_target_connections_total", Help: "Connections to targets, by whether they were opened or reused.",
	}, []string{"how"})
	age := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "merlinhall_targets_age_seconds", Help: "Time since the view of the targets was last confirmed.",
	}, func() float64 { return d.targets.Age(time.Now()).Seconds() })
	d.observer.Registry.MustRegister(connections, age, d.forward.Metrics())
	d.pool.Opened = connections.WithLabelValues("opened").Inc
	d.pool.Reused = connections.WithLabelValues("reused").Inc
}

func (d *HostedDaemon) countStart(took time.Duration) {
	start := prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "merlinhall_start_seconds", Help: "Time from the start of the process until its listeners were open.",
	})
	start.Set(took.Seconds())
	d.observer.Registry.MustRegister(start)
}

// sweepPool closes idle connections to targets that are gone.
func (d *HostedDaemon) sweepPool() func() {
	d.targets.OnChange(d.forward.Forget)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		ticker := time.NewTicker(poolSweep)
		defer ticker.Stop()
		for {
			select {
			case now := <-ticker.C:
				known := make(map[upstream.Address]bool)
				for i := range d.targets.View().Targets {
					known[directory.Address(&d.targets.View().Targets[i])] = true
				}
				d.pool.Keep(known, now)
			case <-ctx.Done():
				return
			}
		}
	}()
	return cancel
}

// Reload takes the settings that may change while the process runs.
func (d *HostedDaemon) Reload(s *settings.Hosted) {
	d.log.WithFields(logrus.Fields{"seeds": s.Seeds, "settings": s.Digest}).Info("settings are reloaded")
	for _, f := range d.setSeeds {
		f(s.Seeds)
	}
}

// Shutdown lets the platform turn callers away, finishes what was begun, and ends
// the process's parts.
func (d *HostedDaemon) Shutdown() {
	d.log.Info("draining")
	d.observer.SetReady(false)
	if d.handOver != nil {
		ctx, cancel := context.WithTimeout(context.Background(), handoverLimit)
		d.handOver(ctx)
		cancel()
	}
	if d.front != nil {
		d.front.Draining.Store(true)
		time.Sleep(min(readyGrace, d.settings.StopGrace/3))
		ctx, cancel := context.WithTimeout(context.Background(), max(0, d.settings.StopGrace-readyGrace-stopMargin))
		if err := d.entry.Shutdown(ctx); err != nil {
			d.log.Warnf("requests were still running: %v", err)
		}
		cancel()
	}
	d.close()
	d.log.Info("stopped")
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

// Rejected tells that settings could not be reloaded; those in force stay.
func (d *HostedDaemon) Rejected(err error) {
	d.log.Warnf("settings are not reloaded: %v", err)
}
