package hub

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"merlinhall/consensus"
	"merlinhall/control"
	"merlinhall/directory"
	"merlinhall/ledger"
	"merlinhall/link"
	"merlinhall/replica"
	"merlinhall/routes"
	"merlinhall/wire"
)

const (
	// hostsPeriod is how often the group is brought in line with the hosts that
	// are to be emptied.
	hostsPeriod = 250 * time.Millisecond
)

// Options configures a Hub.
type Options struct {
	Host        string // name of this host
	Address     string // link address of this process, its name in the group
	Seeds       []string
	HostFaults  int
	Control     *control.Control
	Replica     *replica.Replica
	Submissions *ledger.Submissions
	Manifests   *ledger.Manifests
	Versions    *ledger.Versions
	Hosts       *ledger.Hosts
	Directory   *directory.Directory
	Poller      *directory.Poller
	Log         *logrus.Entry
	DataDir     string // for the cached manifest
	// Dial keeps a link to a control process.
	Dial func(address string) (stop func())
}

// Hub is the control side. It implements link.Events for all links of the process.
type Hub struct {
	o     Options
	cache *routeCache
	done  context.Context
	stop  context.CancelFunc
	wg    sync.WaitGroup

	mu       sync.Mutex
	entries  map[*link.Conn]bool
	hosts    map[string]string // link address to host, of control processes
	dials    *dials
	group    wire.GroupUpdate
	controls map[*link.Conn]bool // links to other control processes
	manifest *wire.RouteUpdate
	targets  wire.TargetUpdate
	leading  bool
	term     uint64
	// outsideLeader is the leader that members of the group named.
	outsideLeader string
}

// New returns the control side. It does nothing before Start.
func New(o Options) *Hub {
	done, stop := context.WithCancel(context.Background())
	h := &Hub{
		o: o, cache: newRouteCache(o.DataDir, o.Log), done: done, stop: stop,
		entries: make(map[*link.Conn]bool),
		hosts:   map[string]string{o.Address: o.Host},
		dials:   newDials(o.Dial),

		controls: make(map[*link.Conn]bool),
	}
	h.register()
	// What is cached was in force, so entries may use it before there is a leader.
	h.manifest = h.cache.load()
	o.Manifests.OnChange(h.publishManifest)
	o.Directory.OnChange(func(v *directory.View) { h.publishTargets(v.Targets) })
	o.Control.OnLeader(h.lead)
	return h
}

// Start begins to link with other control processes.
func (h *Hub) Start() {
	h.dial(nil)
	h.wg.Add(2)
	go h.pollTargets()
	go h.followGroup()
}

// Stop ends the control side.
func (h *Hub) Stop() {
	h.stop()
	h.wg.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dials.keep(nil, "")
}

// Up implements link.Events. An entry is told all that it routes by.
func (h *Hub) Up(c *link.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	hello := c.Peer()
	if slices.Contains(hello.Roles, wire.RoleControl) {
		h.hosts[hello.Process] = hello.Host
		h.controls[c] = true
		h.send(c, h.groupCopy())
		return
	}
	h.entries[c] = true
	h.send(c, h.groupCopy())
	if h.manifest != nil {
		h.send(c, h.manifest)
	}
	if h.leading && h.targets.Sequence > 0 {
		update := h.targets
		update.Changed = true
		h.send(c, &update)
	}
}

// Down implements link.Events.
func (h *Hub) Down(c *link.Conn, reason error) {
	h.mu.Lock()
	_, entry := h.entries[c]
	delete(h.entries, c)
	delete(h.controls, c)
	h.mu.Unlock()
	h.o.Log.WithFields(logrus.Fields{"peer": c.Peer().Process, "entry": entry, "reason": reason.Error()}).Info("link is lost")
}

// Message implements link.Events for wire.KindGroupUpdate: another control
// process tells which processes form the group. A process that is not one of them
// needs it to ask for admission and to pass calls on.
func (h *Hub) Message(_ *link.Conn, m wire.Message) {
	u, ok := m.(*wire.GroupUpdate)
	if !ok || len(u.Members) == 0 || h.o.Replica.Status().Role != consensus.RoleFresh {
		return
	}
	h.mu.Lock()
	if u.Leader != "" {
		h.outsideLeader = u.Leader
	}
	h.mu.Unlock()
	h.dial(u.Members)
	h.setPeers(u.Members)
}

// Leader returns the leader as a process outside the group knows it, or "".
func (h *Hub) Leader() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.outsideLeader
}

func (h *Hub) groupCopy() *wire.GroupUpdate {
	u := h.group
	return &u
}

func (h *Hub) send(c *link.Conn, m wire.Message) {
	if err := c.Send(m); err != nil {
		h.o.Log.WithField("peer", c.Peer().Process).Infof("update is not sent: %v", err)
		c.Close(err) // the entry asks for everything again when it comes back
	}
}

func (h *Hub) broadcast(m wire.Message) {
	for c := range h.entries {
		h.send(c, m)
	}
}

func (h *Hub) publishManifest(m *routes.Manifest) {
	sent := *m
	sent.Raw = nil
	body, err := wire.Marshal(&sent)
	if err != nil {
		h.o.Log.Errorf("manifest %d cannot be encoded: %v", m.Version, err)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.manifest != nil && h.manifest.Version > m.Version {
		return // the log is still being applied
	}
	h.manifest = &wire.RouteUpdate{Version: m.Version, Manifest: body}
	h.cache.save(h.manifest)
	h.broadcast(h.manifest)
	h.o.Log.WithFields(logrus.Fields{"version": m.Version, "routes": len(m.Routes), "entries": len(h.entries)}).Info("manifest is in force")
}

func (h *Hub) publishTargets(targets []wire.TargetEntry) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.targets.Sequence++
	h.targets.Targets = targets
	if !h.leading {
		return
	}
	update := h.targets
	update.Changed = true
	h.broadcast(&update)
}

// confirmTargets tells the entries that the list was read again without a change.
func (h *Hub) confirmTargets() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leading && h.targets.Sequence > 0 {
		h.broadcast(&wire.TargetUpdate{Term: h.targets.Term, Sequence: h.targets.Sequence})
	}
}

func (h *Hub) lead(leading bool, term uint64) {
	h.mu.Lock()
	h.leading, h.term = leading, term
	h.targets.Term = term
	h.mu.Unlock()
	if leading {
		h.o.Poller.Wake()
	}
}

// pollTargets reads the list of targets while this process leads.
func (h *Hub) pollTargets() {
	defer h.wg.Done()
	first := true
	for h.o.Poller.Wait(h.done) {
		h.mu.Lock()
		leading := h.leading
		h.mu.Unlock()
		if !leading {
			first = true
			continue
		}
		read := time.Now()
		targets, err := h.o.Poller.Read(h.done)
		if err != nil {
			continue
		}
		changed := h.o.Directory.Replace(read, targets)
		switch {
		case first && !changed:
			h.publishTargets(targets)
		case !changed:
			h.confirmTargets()
		}
		first = false
	}
}

// followGroup keeps links to the members of the group and applies the wishes of
// the operator about hosts.
func (h *Hub) followGroup() {
	defer h.wg.Done()
	ticker := time.NewTicker(hostsPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			h.refreshGroup()
		case <-h.done.Done():
			return
		}
	}
}

func (h *Hub) refreshGroup() {
	st := h.o.Replica.Status()
	next := wire.GroupUpdate{Leader: st.Leader}
	for _, m := range st.Members {
		next.Members = append(next.Members, m.Name)
	}
	h.mu.Lock()
	changed := next.Leader != h.group.Leader || !slices.Equal(next.Members, h.group.Members)
	if changed {
		h.group = next
		sent := next
		h.broadcast(&sent)
		for c := range h.controls {
			h.send(c, &sent)
		}
	}
	h.mu.Unlock()
	if len(next.Members) > 0 {
		if changed {
			h.dial(next.Members)
		}
		h.setPeers(next.Members)
	}
}

func (h *Hub) setPeers(names []string) {
	if err := h.o.Replica.SetPeers(names, h.excluded()); err != nil {
		h.o.Log.Infof("peers are not set: %v", err)
	}
}

// excluded returns the addresses of the hosts that are to be emptied.
func (h *Hub) excluded() []string {
	retired := h.o.Hosts.List()
	if len(retired) == 0 {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []string
	for address, host := range h.hosts {
		if retired[host] {
			out = append(out, address)
		}
	}
	slices.Sort(out)
	return out
}

// dial keeps links to control processes. Links to former members end when those
// processes do.
func (h *Hub) dial(addresses []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dials.keep(slices.Concat(addresses, h.o.Seeds), h.o.Address)
}

// SetSeeds changes the addresses at which control processes are looked for.
func (h *Hub) SetSeeds(seeds []string) {
	h.mu.Lock()
	h.o.Seeds = seeds
	members := h.group.Members
	h.mu.Unlock()
	h.dial(members)
}

// propose commits the command of a slice.
func (h *Hub) propose(ctx context.Context, slice string, body []byte, encoding error) error {
	if encoding != nil {
		return eris.Wrap(control.ErrRejected, encoding.Error())
	}
	result, err := h.o.Control.Propose(ctx, slice, "", body)
	if err != nil {
		return err
	}
	if failure, ok := result.(error); ok {
		return failure
	}
	return nil
}
