// Package daemon runs one process: it starts the components of its roles, connects
// them, opens the listeners, and drains at shutdown.
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"merlinhall/actor"
	"merlinhall/link"
	"merlinhall/observe"
	"merlinhall/server"
	"merlinhall/settings"
	"merlinhall/wire"
)

// linkDrainTime is how long links stay open after the drain, so that the last
// responses are delivered.
const linkDrainTime = 200 * time.Millisecond

// Daemon is one running process.
type Daemon struct {
	settings *settings.Settings
	observer *observe.Observer
	log      *logrus.Entry
	system   *actor.System
	tls      server.TLS
	client   *http.Client // dials links
	hello    wire.Hello
	mux      link.Mux // handles messages of accepted links
	admin    *http.ServeMux
	servers  []*server.Server
	// drains run in order at shutdown; each returns when its component is idle.
	drains []func(ctx context.Context) error
	// stops run in reverse order after drains.
	stops []func()
}

// Start loads the key files, starts the roles and opens the listeners.
func Start(s *settings.Settings) (*Daemon, error) {
	d := &Daemon{
		settings: s,
		observer: observe.New(s.LogLevel),
		system:   actor.NewSystem(),
		admin:    http.NewServeMux(),
		hello: wire.Hello{
			Process: s.Name,
			Zone:    s.Zone,
			Roles:   s.Roles,
			Boot:    newBootID(),
			Target:  s.Agent.Target,
			Address: s.Listen.Links,
			Level:   wire.Level,
		},
	}
	d.log = d.observer.Logger("daemon")
	if err := d.start(); err != nil {
		d.close()
		return nil, err
	}
	d.observer.SetReady(true)
	d.log.WithField("boot", d.hello.Boot).Infof("%s has started", s.Name)
	return d, nil
}

// newBootID returns a random id for one run of a process.
func newBootID() string {
	var b [6]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func (d *Daemon) start() error {
	var err error
	if d.tls, err = server.LoadTLS(d.settings.TLS); err != nil {
		return err
	}
	d.client = link.NewHTTPClient(&http.Transport{TLSClientConfig: d.tls.Client})
	d.observer.Attach(d.admin)
	d.observer.AddDump("mailboxes", func() any { return d.system.QueueLengths() })
	for _, role := range d.settings.Roles {
		if err := d.startRole(role); err != nil {
			return err
		}
	}
	return d.listen()
}

func (d *Daemon) startRole(role wire.Role) error {
	switch role {
	case wire.RoleControl:
		return d.startControl()
	case wire.RoleEntry:
		return d.startEntry()
	case wire.RoleAgent:
		return d.startAgent()
	}
	return eris.Errorf("daemon: unknown role %q", role)
}

// listen opens the listeners for links and administration. The listener for callers
// is opened by startEntry.
func (d *Daemon) listen() error {
	if address := d.settings.Listen.Links; address != "" {
		mux := http.NewServeMux()
		links := link.Accept(d.hello, link.Guarded(&d.mux, d.observer.Guard("links")))
		d.stops = slices.Insert(d.stops, 0, links.Close) // after all that uses them has stopped
		mux.Handle(link.Path, links)
		if err := d.serve(address, mux, true); err != nil {
			return err
		}
	}
	if address := d.settings.Listen.Admin; address != "" {
		return d.serve(address, d.admin, false)
	}
	return nil
}

func (d *Daemon) serve(address string, handler http.Handler, links bool) error {
	config := d.tls.Public
	if links {
		config = d.tls.Links
	}
	s, err := server.Start(address, d.observer.Guard("server").Handler(handler), config)
	if err != nil {
		return err
	}
	d.servers = append(d.servers, s)
	return nil
}

// Shutdown drains and stops the process: it fails the readiness check, waits for
// running requests, and closes the listeners. It always closes everything, and
// returns the first error.
func (d *Daemon) Shutdown() error {
	d.observer.SetReady(false)
	d.log.Info("draining")
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(d.settings.DrainTimeout))
	defer cancel()
	if d.settings.Has(wire.RoleEntry) {
		time.Sleep(time.Duration(d.settings.DrainGrace))
	}
	var first error
	for _, drain := range d.drains {
		if err := drain(ctx); err != nil && first == nil {
			first = err
		}
	}
	time.Sleep(linkDrainTime)
	d.close()
	d.log.Info("stopped")
	return first
}

func (d *Daemon) close() {
	for i := len(d.stops) - 1; i >= 0; i-- {
		d.stops[i]()
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
}

// showClusterState adds the version of this process's cluster state to the state dump
// and to the administration API.
func (d *Daemon) showClusterState(state func() *wire.ClusterState) {
	show := func() any {
		s := state()
		if s == nil {
			return map[string]any{"config_version": 0, "index": 0}
		}
		return map[string]any{"config_version": s.ConfigVersion, "index": s.Index, "term": s.Term}
	}
	d.observer.AddDump("world", show)
	d.admin.HandleFunc("GET /world", func(w http.ResponseWriter, _ *http.Request) {
		server.WriteJSON(w, http.StatusOK, show())
	})
}
