package hub

import (
	"context"
	"reflect"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"merlinhall/consensus"
	"merlinhall/control"
	"merlinhall/demand"
	"merlinhall/directory"
	"merlinhall/ledger"
	"merlinhall/link"
	"merlinhall/locality"
	"merlinhall/quarantine"
	"merlinhall/ratelimit"
	"merlinhall/replica"
	"merlinhall/routes"
	"merlinhall/streams"
	"merlinhall/usage"
	"merlinhall/wire"
)

const (
	// groupRefreshInterval is the interval at which links and replica peers are updated
	// from the group's members and the retired hosts.
	groupRefreshInterval = 100 * time.Millisecond
)

// Options configures a Hub.
type Options struct {
	Host        string // name of this host
	Address     string // link address of this process, which is its member name
	Seeds       []string
	HostFaults  int // host failures that the group must tolerate
	Control     *control.Control
	Replica     *replica.Replica
	Submissions *ledger.Submissions
	Uploads     *ledger.Uploads
	MemoryBytes int64 // of this host, 0 if it is not known
	// KeepResults is how long submissions stay known after they were made.
	KeepResults time.Duration
	Registry    *prometheus.Registry // nil registers no metrics
	Manifests   *ledger.Manifests
	Versions    *ledger.Versions
	Hosts       *ledger.Hosts
	Usage       *usage.Collector // nil if usage is not counted
	Directory   *directory.Directory
	Poller      *directory.Poller
	Limits      *ratelimit.Keeper
	Quarantine  *quarantine.Keeper
	Streams     *streams.Leader
	Demand      *demand.Keeper   // nil if requests are not admitted by all processes together
	StepReads   *StepReads       // nil if reads of results do not wait for complete steps
	Locality    *locality.Keeper // nil if zones are not chosen by shares
	Log         *logrus.Entry
	DataDir     string // directory of the cached manifest
	// Dial maintains a link to a control process until stop is called.
	Dial func(address string) (stop func())
}

// Hub is the server side in a control process. It implements link.Events for all
// links of the process.
type Hub struct {
	opts   Options
	cache  *manifestCache
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu            sync.Mutex
	entryLinks    map[*link.Conn]bool
	hostByAddress map[string]string // hosts of control processes by link address
	// memoryByAddress has the memory of hosts of control processes, in bytes.
	memoryByAddress map[string]int64
	links           *linkSet
	group           wire.MembershipUpdate
	controlLinks    map[*link.Conn]bool // links to other control processes
	manifest        *wire.RouteUpdate
	table           atomic.Pointer[routes.Table]
	uploading       partsInProgress
	room            *room
	targets         publishedList   // for control processes, one of which may lead next
	entryTargets    publishedList   // for entries
	published       bool            // the list was read and sent in this term
	changedLimits   map[string]bool // targets whose limits all processes are to be told
	leading         bool
	leadership      <-chan struct{} // closed when this process stops leading, nil before it leads
	endLeadership   context.CancelFunc
	term            uint64
	// reported is the group as members reported it while this process is not one.
	reported wire.MembershipUpdate
}

// New returns a hub. Its background work begins with Start.
func New(o Options) *Hub {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Hub{
		opts: o, cache: newManifestCache(o.DataDir, o.Log), ctx: ctx, cancel: cancel,
		entryLinks:    make(map[*link.Conn]bool),
		hostByAddress: map[string]string{o.Address: o.Host}, memoryByAddress: map[string]int64{o.Address: o.MemoryBytes},
		links: newLinkSet(o.Dial),

		controlLinks: make(map[*link.Conn]bool), changedLimits: make(map[string]bool),
		uploading: partsInProgress{done: make(map[string]chan struct{})},
	}
	h.room = newRoom(h.heldLimit,
		// A submission is accepted before its upload is removed, so it is found in this order.
		func(account string) ledger.Held { return o.Uploads.Held(account).Plus(o.Submissions.Held(account)) },
		func() (time.Time, bool) { return o.Submissions.NextExpiry(o.KeepResults) }, o.Log)
	if o.Registry != nil {
		h.room.register(o.Registry)
	}
	h.register()
	// The cached manifest was in force, so entries may use it before a leader is
	// elected.
	h.manifest = h.cache.load()
	if h.manifest != nil {
		h.applyRoutes(h.manifest)
	}
	o.Manifests.OnChange(h.publishManifest)
	o.Directory.OnChange(func(v *directory.View) { h.publishTargets(v.Targets) })
	o.Control.OnLeader(h.setLeading)
	o.Control.OnLeader(o.Limits.Lead)
	o.Limits.OnChange(h.publishLimits)
	if o.Locality != nil {
		o.Control.OnLeader(o.Locality.Lead)
	}
	if o.Quarantine != nil {
		o.Control.OnLeader(o.Quarantine.Lead)
		o.Quarantine.OnChange(h.publishSuspects)
	}
	return h
}

// Start starts the background goroutines and the links to other control processes.
func (h *Hub) Start() {
	h.dial(nil)
	h.wg.Add(3)
	go h.pollTargets()
	go h.followGroup()
	go h.dropUploads()
}

// Stop stops the background goroutines and closes the links to control processes.
func (h *Hub) Stop() {
	h.cancel()
	h.wg.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.links.update(nil, "")
}

// Up implements link.Events. It sends the peer the group, the manifest and, while this
// process leads, the targets.
func (h *Hub) Up(c *link.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	hello := c.Peer()
	if slices.Contains(hello.Roles, wire.RoleControl) {
		h.hostByAddress[hello.Process] = hello.Host
		h.memoryByAddress[hello.Process] = hello.MemoryBytes
		h.controlLinks[c] = true
	} else {
		h.entryLinks[c] = true
	}
	h.send(c, h.groupCopy())
	if h.manifest != nil {
		h.send(c, h.manifest)
	}
	if h.leading && h.published {
		list := &h.targets
		if h.entryLinks[c] {
			list = &h.entryTargets
		}
		h.send(c, h.targetUpdate(time.Now(), list, true))
	}
}

// Down implements link.Events.
func (h *Hub) Down(c *link.Conn, reason error) {
	h.mu.Lock()
	_, entry := h.entryLinks[c]
	delete(h.entryLinks, c)
	delete(h.controlLinks, c)
	h.mu.Unlock()
	h.opts.Log.WithFields(logrus.Fields{"peer": c.Peer().Process, "entry": entry, "reason": reason.Error()}).Info("link is lost")
}

// Message implements link.Events for updates from other control processes. A process that
// is outside the group needs all of them, and any carrier needs the targets.
func (h *Hub) Message(_ *link.Conn, m wire.Message) {
	switch m := m.(type) {
	case *wire.MembershipUpdate:
		h.applyGroup(m)
	case *wire.RouteUpdate:
		h.applyRoutes(m)
	case *wire.TargetUpdate:
		h.applyTargets(m)
	}
}

// applyRoutes puts a manifest into force for this process's own requests.
func (h *Hub) applyRoutes(u *wire.RouteUpdate) {
	next, err := newerManifest(h.table.Load(), u)
	if err != nil {
		h.opts.Log.Errorf("decoding manifest %d failed: %v", u.Version, err)
	}
	if next != nil {
		h.useRoutes(next)
	}
}

// newerManifest returns the manifest of an update, or nil if the table's is as new.
func newerManifest(current *routes.Table, u *wire.RouteUpdate) (*routes.Manifest, error) {
	if current != nil && (current.Manifest().Version > u.Version || current.Manifest().Version == u.Version && current.Manifest().AccountsKnown) {
		return nil, nil
	}
	m := new(routes.Manifest)
	if err := wire.Unmarshal(u.Manifest, m); err != nil {
		return nil, err
	}
	if !m.Newer(manifestOf(current)) {
		return nil, nil
	}
	return m, nil
}

// manifestOf returns the manifest of a table, or nil without a table.
func manifestOf(t *routes.Table) *routes.Manifest {
	if t == nil {
		return nil
	}
	return t.Manifest()
}

// useRoutes keeps the newest manifest that this process knows.
func (h *Hub) useRoutes(m *routes.Manifest) {
	table := routes.NewTable(m)
	for {
		before := h.table.Load()
		if !m.Newer(manifestOf(before)) || h.table.CompareAndSwap(before, table) {
			return
		}
	}
}

// Routes returns the newest manifest's routes, or nil before the first one.
func (h *Hub) Routes() *routes.Table { return h.table.Load() }

// applyTargets takes the target list of the leader. The leader itself reads the platform's.
func (h *Hub) applyTargets(u *wire.TargetUpdate) {
	h.mu.Lock()
	leading := h.leading
	h.mu.Unlock()
	h.opts.Limits.Learn(u.Limits)
	h.opts.Quarantine.Learn(u.Term, u.Changed, u.Suspects)
	if !leading {
		h.opts.Directory.ApplyUpdate(time.Now(), u)
	}
}

// applyGroup takes the members of the group. A process that is not yet one needs them to
// request admission and to forward calls.
func (h *Hub) applyGroup(u *wire.MembershipUpdate) {
	if len(u.Members) == 0 || h.opts.Replica.Status().Role != consensus.RoleFresh {
		return
	}
	h.mu.Lock()
	if u.Term < h.reported.Term {
		h.mu.Unlock()
		return // from a process that is cut off
	}
	changed := !slices.Equal(h.reported.Members, u.Members) || h.reported.Leader != u.Leader
	leader := h.reported.Leader
	h.reported = *u
	if u.Leader == "" {
		h.reported.Leader = leader
	}
	if changed {
		// A process that knows only this one learns the members from it.
		h.broadcast(h.groupCopy())
	}
	h.mu.Unlock()
	h.dial(u.Members)
	h.setPeers(u.Members)
}

// Leader returns the leader that group members reported while this process was not a
// member, or "".
func (h *Hub) Leader() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reported.Leader
}

// groupCopy returns the group as this process knows it.
func (h *Hub) groupCopy() *wire.MembershipUpdate {
	u := h.group
	if len(u.Members) == 0 {
		u = h.reported
	}
	return &u
}

func (h *Hub) send(c *link.Conn, m wire.Message) {
	h.closeOnError(c, c.Send(m))
}

// closeOnError closes a link over which an update could not be sent. The peer gets the full
// state when it reconnects.
func (h *Hub) closeOnError(c *link.Conn, err error) {
	if err != nil {
		h.opts.Log.WithField("peer", c.Peer().Process).Infof("sending an update failed; closing the link: %v", err)
		c.Close(err)
	}
}

// broadcast sends m to all entries and to the other control processes.
func (h *Hub) broadcast(m wire.Message) { h.sendAll(m, h.entryLinks, h.controlLinks) }

// sendAll sends m over all links of the sets. It is encoded once: a list of thousands of
// targets for hundreds of processes takes a leader's time otherwise.
func (h *Hub) sendAll(m wire.Message, sets ...map[*link.Conn]bool) {
	frame, err := wire.Encode(m)
	if err != nil {
		h.opts.Log.Errorf("encoding an update failed: %v", err)
		return
	}
	for _, links := range sets {
		for c := range links {
			h.closeOnError(c, c.SendFrame(frame))
		}
	}
}

func (h *Hub) publishManifest(m *routes.Manifest) {
	h.useRoutes(m)
	sent := *m
	sent.Raw = nil
	body, err := wire.Marshal(&sent)
	if err != nil {
		h.opts.Log.Errorf("encoding manifest %d failed: %v", m.Version, err)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.manifest != nil && h.manifest.Version > m.Version {
		return // the cached manifest is newer: the replicated log is still being applied
	}
	h.manifest = &wire.RouteUpdate{Version: m.Version, Manifest: body}
	h.cache.save(h.manifest)
	h.broadcast(h.manifest)
	h.opts.Log.WithFields(logrus.Fields{"version": m.Version, "routes": len(m.Routes), "entries": len(h.entryLinks)}).Info("manifest is in force")
}

// publishedList is a list of targets as processes get it.
type publishedList struct {
	sequence uint64 // number of changes
	targets  []wire.TargetEntry
}

// set stores a list and reports whether it differs from the one before.
func (l *publishedList) set(targets []wire.TargetEntry) (changed bool) {
	if l.sequence > 0 && reflect.DeepEqual(l.targets, targets) {
		return false
	}
	l.sequence++
	l.targets = targets
	return true
}

// withoutModels returns the targets without the weight versions of their models, which change
// with each load and which only the control leader uses.
func withoutModels(targets []wire.TargetEntry) []wire.TargetEntry {
	out := slices.Clone(targets)
	for i := range out {
		out[i].Models = nil
	}
	return out
}

// publishTargets sends the processes a list that has changed, once this process has read the
// list as leader. Until then the list is that of a former leader.
func (h *Hub) publishTargets(targets []wire.TargetEntry) {
	h.mu.Lock()
	defer h.mu.Unlock()
	changed, changedForEntries := h.targets.set(targets), h.entryTargets.set(withoutModels(targets))
	if h.leading && h.published {
		h.sendTargets(changed, changedForEntries)
	}
}

// sendTargets sends all processes the list or, if it has not changed for them, its
// confirmation. The caller holds h.mu.
func (h *Hub) sendTargets(changed, changedForEntries bool) {
	now := time.Now()
	h.sendAll(h.targetUpdate(now, &h.targets, changed), h.controlLinks)
	h.sendAll(h.targetUpdate(now, &h.entryTargets, changedForEntries), h.entryLinks)
}

// targetUpdate returns an update with a list, or one that confirms it. The caller holds h.mu.
func (h *Hub) targetUpdate(now time.Time, l *publishedList, changed bool) *wire.TargetUpdate {
	u := h.opts.Directory.Update(now, h.term, l.sequence, changed, l.targets)
	if changed {
		u.Limits, u.Suspects = h.opts.Limits.Limits(), h.opts.Quarantine.Suspects()
	}
	return u
}

// publishDelay is how long limits that have changed wait for others before all processes are
// told. The limits of a target may change with each response.
const publishDelay = 50 * time.Millisecond

// publishLimits has all processes told limits of targets that have changed.
func (h *Hub) publishLimits(limits []wire.TargetLimit) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.changedLimits) == 0 {
		time.AfterFunc(publishDelay, h.sendLimits)
	}
	for _, l := range limits {
		h.changedLimits[l.Target] = true
	}
}

// sendLimits tells all processes the limits that have changed.
func (h *Hub) sendLimits() {
	h.mu.Lock()
	defer h.mu.Unlock()
	changed := h.changedLimits
	h.changedLimits = make(map[string]bool)
	if !h.leading || !h.published {
		return // all are sent with the list
	}
	limits := slices.DeleteFunc(h.opts.Limits.Limits(), func(l wire.TargetLimit) bool { return !changed[l.Target] })
	h.sendBeside(func(u *wire.TargetUpdate) { u.Limits = limits })
}

// sendBeside sends all processes what belongs to the targets, without their list. The caller
// holds h.mu.
func (h *Hub) sendBeside(add func(u *wire.TargetUpdate)) {
	now := time.Now()
	forControl, forEntries := h.targetUpdate(now, &h.targets, false), h.targetUpdate(now, &h.entryTargets, false)
	add(forControl)
	add(forEntries)
	h.sendAll(forControl, h.controlLinks)
	h.sendAll(forEntries, h.entryLinks)
}

// publishSuspects tells all processes requests under which targets have ended. Each may end
// more targets until they know.
func (h *Hub) publishSuspects(suspects []wire.SuspectRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.leading || !h.published {
		return // all are sent with the list
	}
	h.sendBeside(func(u *wire.TargetUpdate) { u.Suspects = suspects })
}

// confirmTargets notifies the processes that the target list was read again and has not
// changed. It sends the list if that was the first time in this term.
func (h *Hub) confirmTargets(changed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.leading || changed && h.published {
		return
	}
	first := !h.published
	h.published = true
	h.sendTargets(first, first)
}

func (h *Hub) setLeading(leading bool, term uint64) {
	h.mu.Lock()
	h.leading, h.term, h.published = leading, term, false
	if h.endLeadership != nil {
		h.endLeadership()
	}
	h.leadership, h.endLeadership = nil, nil
	if leading {
		ctx, cancel := context.WithCancel(h.ctx)
		h.leadership, h.endLeadership = ctx.Done(), cancel
	}
	h.mu.Unlock()
	if leading {
		h.opts.Poller.Wake()
	}
}

// pollTargets reads the target list periodically while this process leads, and else when
// its view is old.
func (h *Hub) pollTargets() {
	defer h.wg.Done()
	for h.waitForRead() {
		if !h.leads() {
			if r := h.reader(); h.opts.Poller.ReadIfOlder(h.ctx, r) && r.Relays {
				h.relayTargets()
			}
			continue
		}
		if changed, err := h.opts.Poller.Read(h.ctx); err == nil {
			h.confirmTargets(changed)
		}
	}
}

func (h *Hub) leads() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leading
}

// waitForRead waits until this process may read the target list. It returns false when the
// process stops.
func (h *Hub) waitForRead() bool {
	if h.leads() {
		return h.opts.Poller.WaitNext(h.ctx)
	}
	return h.opts.Poller.WaitIfOlder(h.ctx, h.reader())
}

const (
	// relayViewAge is the age of the view from which the first member of the group reads the
	// list in the leader's place and passes it on. It is above the age that a view reaches
	// while the leader reads a long list.
	relayViewAge = 1800 * time.Millisecond
	// relayStagger is the additional age for each further member, in which what the one
	// before has read arrives.
	relayStagger = 250 * time.Millisecond
)

// reader returns how this process reads the list while it does not lead.
func (h *Hub) reader() directory.Reader {
	st := h.opts.Replica.Status()
	names := make([]string, 0, len(st.Members))
	for _, m := range st.Members {
		names = append(names, m.Name)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return readerOf(h.opts.Address, names, st.Leader, len(h.controlLinks) > 0)
}

// readerOf returns how a process reads the list that does not lead a group with the given
// members. Without a link to another control process nobody takes its place.
func readerOf(self string, members []string, leader string, linked bool) directory.Reader {
	members = slices.Sorted(slices.Values(members))
	rank := slices.Index(slices.DeleteFunc(members, func(name string) bool { return name == leader }), self)
	if rank < 0 {
		return directory.Reader{MaxAge: viewAge(linked)}
	}
	if !linked {
		rank = 0
	}
	return directory.Reader{MaxAge: relayViewAge + time.Duration(rank)*relayStagger, Relays: true}
}

// relayTargets passes on the list that this process has read in the leader's place.
func (h *Hub) relayTargets() {
	now := time.Now()
	update := h.opts.Directory.Relay(now)
	forEntries := h.opts.Directory.Update(now, 0, 0, true, withoutModels(h.opts.Directory.View().Targets))
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.leading {
		h.sendAll(update, h.controlLinks)
		h.sendAll(forEntries, h.entryLinks)
	}
}

// followGroup periodically updates the links and replica peers to match the members
// of the group and the hosts retired by the operator.
func (h *Hub) followGroup() {
	defer h.wg.Done()
	ticker := time.NewTicker(groupRefreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			h.refreshGroup()
		case <-h.ctx.Done():
			return
		}
	}
}

func (h *Hub) refreshGroup() {
	st := h.opts.Replica.Status()
	next := wire.MembershipUpdate{Leader: st.Leader, Term: st.Term}
	for _, m := range st.Members {
		next.Members = append(next.Members, m.Name)
	}
	h.mu.Lock()
	changed := next.Leader != h.group.Leader || !slices.Equal(next.Members, h.group.Members)
	if changed {
		h.group = next
		sent := next
		h.broadcast(&sent)
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
	if err := h.opts.Replica.SetPeers(names, h.Retired()); err != nil {
		h.opts.Log.Infof("setting the replica's peers failed: %v", err)
	}
}

// Entries returns the processes without a control role that have a link to this one.
func (h *Hub) Entries() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]string, 0, len(h.entryLinks))
	for c := range h.entryLinks {
		out = append(out, c.Peer().Process)
	}
	return out
}

// Retired returns the sorted link addresses of retired hosts.
func (h *Hub) Retired() []string {
	retired := h.opts.Hosts.List()
	if len(retired) == 0 {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []string
	for address, host := range h.hostByAddress {
		if retired[host] {
			out = append(out, address)
		}
	}
	slices.Sort(out)
	return out
}

// dial maintains links to the given addresses and the seeds, and closes those it opened
// to other addresses. Links opened by former members end when those processes stop.
func (h *Hub) dial(addresses []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.links.update(slices.Concat(addresses, h.opts.Seeds), h.opts.Address)
}

// SetSeeds replaces the seed addresses, to which this process always keeps links.
func (h *Hub) SetSeeds(seeds []string) {
	h.mu.Lock()
	h.opts.Seeds = seeds
	members := h.groupCopy().Members
	h.mu.Unlock()
	h.dial(members)
}

// propose commits a command for a slice of the replicated state. encoding is the error
// of encoding the command, if any.
func (h *Hub) propose(ctx context.Context, slice string, body []byte, encoding error) error {
	if encoding != nil {
		return eris.Wrap(control.ErrRejected, encoding.Error())
	}
	return h.opts.Control.Commit(ctx, slice, body)
}
