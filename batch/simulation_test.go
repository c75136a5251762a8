package batch

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"merlinhall/actor"
	"merlinhall/carrier"
	"merlinhall/directory"
	"merlinhall/forward"
	"merlinhall/ledger"
	"merlinhall/observe"
	"merlinhall/routes"
	"merlinhall/upstream"
	"merlinhall/wire"
)

// The simulation runs leaders and carriers, as they run in production, on a virtual clock:
// five control processes, four engines and a reward service, over links that delay, hold
// back and break. Only the replicated log is a model. Processes freeze and restart, leaders
// change while the former one does not know it yet, engines break off, refuse and restart,
// proposals have unknown outcomes, submissions end and their items come again. What is
// checked is what engines, the reward service and the ledger see.

const (
	simProcesses  = 5
	simEngines    = 4
	simCancelTime = 3 * time.Second
	simFaultTime  = 12 * time.Second
	simCalmTime   = 16 * time.Second
)

// simLog takes the log lines of the simulated processes; set it to os.Stdout to trace a seed.
var (
	simLog      io.Writer = io.Discard
	simLogLevel           = "panic"
)

// "make sim" plays many seeds and the planted faults without the race detector, which ends
// with an error of its own after some 40 seeds ("CHECK failed: tsan_rtl.cpp").
var (
	simSeeds   = flag.Int("sim.seeds", 4, "number of seeds of the simulation of leaders and carriers")
	simPlanted = flag.Int("sim.planted", 0, "number of seeds in which each planted fault must be found; 0 plays none")
)

// plant is a fault that is built into the messages, which the checks must find.
type plant string

const (
	plantNothing plant = ""
	// plantNoTerms makes carriers obey a former leader, and leaders take reports for another.
	plantNoTerms plant = "no terms"
	// plantFreshOrders makes all orders look as if they had just been decided.
	plantFreshOrders plant = "orders always fresh"
)

type world struct {
	t          *testing.T
	plant      plant
	began      time.Time
	ctx        context.Context
	cancel     context.CancelFunc
	mu         sync.Mutex
	rng        *rand.Rand
	procs      []*simProcess
	engines    []*simEngine
	log        [][]byte
	term       uint64
	leader     *simProcess // nil while there is none
	runs       map[string]*simRun
	scores     map[string]time.Time // by score: when it was issued
	scoreOf    map[string]string    // by score: the item
	endedAt    map[string]time.Time // by submission
	itemIn     map[string][]string  // submissions of an item
	violations []string
	calm       bool
}

// simRun is one run of an item as its engine saw it.
type simRun struct {
	item    string
	first   int // number of the first event
	eventAt map[int]time.Time
}

func (w *world) violate(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf("%6.3f ", time.Since(w.began).Seconds())+fmt.Sprintf(format, args...))
}

func (w *world) intN(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.IntN(n)
}

// chance returns true with a probability of one in n, and never once the world is calm.
func (w *world) chance(n int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.IntN(n) == 0 && !w.calm
}

func (w *world) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-w.ctx.Done():
		return false
	}
}

// simMailbox passes messages to a handler unless its process is frozen.
type simMailbox struct {
	w  *world
	ch chan any
}

// Offer implements actor.Mailbox.
func (m *simMailbox) Offer(msg any) error {
	select {
	case m.ch <- msg:
		return nil
	default:
		return actor.ErrFull
	}
}

// mailbox starts passing messages to h. When the process stops, the last one is last.
func (w *world) mailbox(p *simProcess, h actor.Handler, last any) *simMailbox {
	m := &simMailbox{w, make(chan any, 4096)}
	go func() {
		for {
			select {
			case msg := <-m.ch:
				for p.frozen.Load() && w.sleep(5*time.Millisecond) {
				}
				h.Receive(msg)
			case <-p.ctx.Done():
				h.Receive(last)
				return
			}
		}
	}()
	return m
}

func (w *world) every(ctx context.Context, d time.Duration, f func()) {
	go func() {
		ticker := time.NewTicker(d)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				f()
			case <-ctx.Done():
				return
			}
		}
	}()
}

// simProcess is a control process. A restart replaces its runner and carrier.
type simProcess struct {
	w      *world
	name   string
	frozen atomic.Bool
	ctx    context.Context
	stop   context.CancelFunc

	submissions *ledger.Submissions
	directory   *directory.Directory
	runner      *Runner
	carrier     *carrier.Carrier

	mu      sync.Mutex // guards applied and links
	applied int
	links   map[string]*simLink // to the carriers of other processes
}

func (w *world) start(name string) *simProcess {
	p := &simProcess{w: w, name: name, submissions: ledger.NewSubmissions(), directory: directory.New(), links: make(map[string]*simLink)}
	p.ctx, p.stop = context.WithCancel(w.ctx)
	pool := upstream.NewPool(func(id string, h http.Header) bool { return h.Get("Id") == id })
	pool.Dial = w.dial
	manifest := &routes.Manifest{Version: 1, Routes: []routes.Route{
		{Name: "b", Host: "h", Prefix: "/b/", Shares: []routes.Share{{Service: "engines", Weight: 1}}, Batch: true, Timeout: time.Second},
		{Name: "r", Host: "h", Prefix: "/r/", Shares: []routes.Share{{Service: "reward", Weight: 1}}, Repeatable: true, Timeout: 800 * time.Millisecond, Goal: 300 * time.Millisecond, MaxAttempts: 50},
	}}
	manifests := ledger.NewManifests()
	body, err := wire.Marshal(manifest)
	if err != nil {
		w.violate("the manifest can't be encoded: %v", err)
	}
	manifests.Apply(1, 1, body)
	observer := observe.New(simLogLevel)
	observer.Log.SetOutput(simLog)
	protocol := simProtocol{}
	p.carrier = carrier.New(carrier.Options{
		Pool: pool, Directory: p.directory, Protocol: protocol, Routes: manifests.Table, CancelTime: simCancelTime,
		Forwarder: &forward.Forwarder{Pool: pool, Directory: p.directory, Protocol: protocol, Zone: "z"},
		Clock:     func() time.Duration { return time.Since(w.began) + time.Hour }, Observer: observer,
	})
	box := w.mailbox(p, p.carrier, nil)
	p.carrier.UseMailbox(box)
	p.runner = newRunner(Options{
		Name: name, Process: name, Zone: "z", Boot: "b", Submissions: p.submissions, Versions: ledger.NewVersions(), Manifests: manifests,
		Directory: p.directory, Protocol: protocol, Carrier: p.carrier, Holder: ledger.NewHolder(), HostFaults: 1,
		Propose:       func(ctx context.Context, body []byte) error { return w.propose(ctx, p, body) },
		ProposeHolder: func(context.Context, []byte) error { return nil },
		Leads:         func(context.Context) (uint64, error) { return 0, errors.New("no orders here") },
		Retired:       func() []string { return nil },
		ProcessGone:   func(string, string) bool { return true }, KeepResults: time.Hour, Observer: observer,
	})
	p.runner.newestLinks = p.newestLinks
	p.runner.actor = w.mailbox(p, p.runner, leadMessage{})
	p.runner.follow()
	p.directory.Replace(time.Now(), w.targets())
	w.every(p.ctx, tickInterval, func() { p.runner.offer(tickMessage{}) })
	w.every(p.ctx, carrier.TickInterval, func() { _ = box.Offer(carrier.Tick{}) })
	return p
}

// catchUp applies what the log has.
func (p *simProcess) catchUp() (last any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		p.w.mu.Lock()
		if p.applied == len(p.w.log) {
			p.w.mu.Unlock()
			return last
		}
		body := p.w.log[p.applied]
		p.w.mu.Unlock()
		p.applied++
		last = p.submissions.Apply(uint64(p.applied), 1, body)
	}
}

var errSimUnknown = errors.New("the outcome is unknown")

// propose commits a command if the process leads. Some proposals are lost, and some are
// committed without the process learning it.
func (w *world) propose(ctx context.Context, p *simProcess, body []byte) error {
	if !w.sleep(time.Duration(2+w.intN(15)) * time.Millisecond) {
		return ctx.Err()
	}
	if w.chance(20) { // it is lost, or committed much later
		if w.chance(2) {
			time.AfterFunc(time.Duration(w.intN(2000))*time.Millisecond, func() { w.append(p, body) })
		}
		return errSimUnknown
	}
	result, ok := w.append(p, body)
	if !ok {
		return errors.New("not the leader")
	}
	if w.chance(40) {
		return errSimUnknown
	}
	if err, ok := result.(error); ok {
		return err
	}
	return nil
}

// append commits a command if the process leads, and returns the outcome.
func (w *world) append(p *simProcess, body []byte) (result any, ok bool) {
	p.catchUp()
	w.mu.Lock()
	if w.leader != p || p.frozen.Load() {
		w.mu.Unlock()
		return nil, false
	}
	w.log = append(w.log, body)
	w.mu.Unlock()
	return p.catchUp(), true
}

// elect makes another process lead. The former leader learns it later.
func (w *world) elect() {
	w.mu.Lock()
	former := w.leader
	able := slices.DeleteFunc(slices.Clone(w.procs), func(p *simProcess) bool { return p == former || p.frozen.Load() })
	if len(able) == 0 {
		w.mu.Unlock()
		return // all others are frozen
	}
	next := able[w.rng.IntN(len(able))]
	w.term++
	term := w.term
	w.leader = next
	w.mu.Unlock()
	next.catchUp()
	next.runner.Lead(true, term)
	if former != nil {
		late := time.Duration(w.intN(1500)) * time.Millisecond
		if w.plant == plantNoTerms {
			late *= 5
		}
		go func() {
			if w.sleep(late) {
				w.mu.Lock()
				leadsAgain := w.leader == former
				w.mu.Unlock()
				if !leadsAgain {
					former.runner.Lead(false, term)
				}
			}
		}()
	}
}

// simLink carries orders from a leader to a carrier and reports back, in order.
type simLink struct {
	w      *world
	from   *simProcess
	to     *simProcess
	held   atomic.Bool // messages wait
	broken atomic.Bool
	orders chan []byte
	back   *simBackLink
	out    chan []byte
}

// simBackLink is the end of a simLink at the carrier.
type simBackLink struct{ l *simLink }

func (w *world) connect(from, to *simProcess) *simLink {
	l := &simLink{w: w, from: from, to: to, orders: make(chan []byte, 4096), out: make(chan []byte, 4096)}
	l.back = &simBackLink{l}
	go l.pump(l.orders, func(m wire.Message) {
		o := m.(*carrier.Orders)
		switch w.plant {
		case plantNoTerms:
			o.Term = 1
		case plantFreshOrders:
			if o.Echo > 0 {
				o.Echo = int64(time.Since(w.began) + time.Hour)
			}
		}
		_ = to.carrier.Handle(l.back, o)
	})
	go l.pump(l.out, func(m wire.Message) {
		r := m.(*carrier.Report)
		if w.plant == plantNoTerms {
			r.Term = from.runnerTerm()
		}
		_ = from.runner.Report(l, r)
	})
	return l
}

// runnerTerm returns the newest term in which the process may lead.
func (p *simProcess) runnerTerm() uint64 {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	return p.w.term
}

func (l *simLink) pump(from chan []byte, deliver func(wire.Message)) {
	for {
		select {
		case frame := <-from:
			if !l.w.sleep(time.Duration(l.w.intN(4)) * time.Millisecond) {
				return
			}
			for l.held.Load() && !l.broken.Load() && l.w.sleep(10*time.Millisecond) {
			}
			if l.broken.Load() {
				return
			}
			m, err := wire.Decode(frame)
			if err != nil {
				l.w.violate("a message can't be decoded: %v", err)
				return
			}
			deliver(m)
		case <-l.w.ctx.Done():
			return
		}
	}
}

func (l *simLink) send(ch chan []byte, m wire.Message) error {
	if l.broken.Load() {
		return errors.New("the link is broken")
	}
	frame, err := wire.Encode(m)
	if err != nil {
		return err
	}
	select {
	case ch <- frame:
		return nil
	default:
		return errors.New("the link is full")
	}
}

// Send implements carrier.Sender.
func (l *simLink) Send(m wire.Message) error { return l.send(l.orders, m) }

// Send implements carrier.Sender.
func (b *simBackLink) Send(m wire.Message) error { return b.l.send(b.l.out, m) }

func (l *simLink) cut() {
	if !l.broken.Swap(true) {
		go l.to.carrier.Lost(l.back)
	}
}

// newestLinks returns the links to all other processes and connects broken ones again.
func (p *simProcess) newestLinks() map[string]peerLink {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]peerLink)
	p.w.mu.Lock()
	others := slices.Clone(p.w.procs)
	p.w.mu.Unlock()
	for _, o := range others {
		if o.name == p.name {
			continue
		}
		l := p.links[o.name]
		if l == nil || l.broken.Load() || l.to != o {
			l = p.w.connect(p, o)
			p.links[o.name] = l
		}
		out[o.name] = peerLink{l, "z"}
	}
	return out
}

func (p *simProcess) eachLink(f func(*simLink)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		f(l)
	}
}

// simEngine generates texts. Its address is its name.
type simEngine struct {
	id        string
	startedMs int64
	conns     map[net.Conn]bool
}

func (w *world) targets() []wire.TargetEntry {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := []wire.TargetEntry{{ID: "reward", Service: "reward", Address: "reward", Zone: "z", Slots: 8}}
	for _, e := range w.engines {
		list = append(list, wire.TargetEntry{
			ID: e.id, Service: "engines", Address: e.id, Zone: "z", Slots: 4, StartedMs: e.startedMs, Models: []wire.ModelVersion{{Model: "m", Version: 1}},
		})
	}
	return list
}

func (w *world) dial(_ context.Context, _, address string) (net.Conn, error) {
	if !w.sleep(time.Millisecond) {
		return nil, errors.New("the world has ended")
	}
	client, server := net.Pipe()
	var engine *simEngine
	w.mu.Lock()
	for _, e := range w.engines {
		if e.id == address {
			engine = e
			e.conns[server] = true
		}
	}
	w.mu.Unlock()
	context.AfterFunc(w.ctx, func() { _ = server.Close() })
	go w.serve(engine, server)
	return client, nil
}

func (w *world) serve(e *simEngine, c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		ok := false
		if e == nil {
			ok = w.reward(c, r)
		} else {
			ok = w.generate(e, c, r)
		}
		if !ok {
			return
		}
	}
}

func respond(c net.Conn, status int, header, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
	return err == nil
}

// reward scores the item that the request's id names.
func (w *world) reward(c net.Conn, r *http.Request) bool {
	header := "Id: " + r.Header.Get("Id") + "\r\n"
	id := strings.TrimPrefix(r.Header.Get("Id"), "reward-")
	w.sleep(time.Duration(10+w.intN(40)) * time.Millisecond)
	w.checkWanted("reward call", id)
	switch {
	case w.chance(12):
		return respond(c, 500, header, "no")
	case w.chance(12):
		return false
	case w.chance(12):
		return respond(c, 503, header+"Not-Run: 1\r\n", "")
	}
	w.mu.Lock()
	score := fmt.Sprintf("%s/%d", id, len(w.scores))
	w.scores[score], w.scoreOf[score] = time.Now(), id
	w.mu.Unlock()
	return respond(c, 200, header+"Score: "+score+"\r\n", "fine")
}

// checkWanted reports a request of an item whose submissions all ended longer ago than
// allowed.
func (w *world) checkWanted(what, item string) {
	w.mu.Lock()
	wanted := false
	last := time.Time{}
	for _, s := range w.itemIn[item] {
		at, ended := w.endedAt[s]
		wanted = wanted || !ended || time.Since(at) <= simCancelTime
		last = at
	}
	w.mu.Unlock()
	if !wanted {
		w.violate("UNASKED: %s of %s %v after the end", what, item, time.Since(last))
	}
}

// generate sends the events of an item's text. Each event names its run, so that a text with
// events of a run that did not continue it can be told.
func (w *world) generate(e *simEngine, c net.Conn, r *http.Request) bool {
	item := r.Header.Get("Id")
	header := "Id: " + item + "\r\n"
	w.checkWanted("run", item)
	if w.chance(15) {
		return respond(c, 503, header+"Not-Run: 1\r\n", "")
	}
	after, _ := strconv.Atoi(r.Header.Get("After"))
	events, _ := strconv.Atoi(r.Header.Get("Events"))
	w.mu.Lock()
	run := &simRun{item: item, first: after + 1, eventAt: make(map[int]time.Time)}
	name := fmt.Sprintf("run%d", len(w.runs))
	w.runs[name] = run
	pace := time.Duration(15+w.rng.IntN(50)) * time.Millisecond
	w.mu.Unlock()
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sVersion: 1\r\nTransfer-Encoding: chunked\r\n\r\n", header); err != nil {
		return false
	}
	for n := after + 1; n <= events; n++ {
		if !w.sleep(pace) || w.chance(400) {
			return false
		}
		w.mu.Lock()
		run.eventAt[n] = time.Now()
		w.mu.Unlock()
		event := fmt.Sprintf("id: %d\ndata: %s %d %s\n\n", n, item, n, name)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// simProtocol is the protocol of the simulated targets.
type simProtocol struct{}

func (simProtocol) Outbound(string, time.Duration) []wire.Header { return nil }

func (simProtocol) Verdict(status int, h http.Header) forward.Verdict {
	switch {
	case h.Get("Not-Run") != "":
		return forward.NotRun
	case status >= 500:
		return forward.FailedRun
	}
	return forward.Answered
}

func (simProtocol) Events(http.Header) bool                                  { return false }
func (simProtocol) Resume(h []wire.Header, _ string) []wire.Header           { return h }
func (simProtocol) Version(h http.Header) uint64                             { return 1 }
func (simProtocol) VersionField() string                                     { return "version" }
func (simProtocol) Score(h http.Header) string                               { return h.Get("Score") }
func (simProtocol) Report(context.Context, upstream.Address) (Report, error) { return Report{}, nil }
func (simProtocol) Load(context.Context, upstream.Address, LoadOrder) LoadAnswer {
	return LoadRejected
}

func (simProtocol) ItemHeaders(id, _ string, _ uint64, lastEvent int) []wire.Header {
	return []wire.Header{{Name: "Id", Value: id}, {Name: "After", Value: strconv.Itoa(lastEvent)}}
}

func (simProtocol) RewardHeaders(id string) []wire.Header {
	return []wire.Header{{Name: "Id", Value: id}}
}

// submit has a submission accepted. Its items have texts of a few to 80 events.
func (w *world) submit(id string, items []ledger.Item) {
	w.mu.Lock()
	for _, item := range items {
		w.itemIn[item.ID] = append(w.itemIn[item.ID], id)
	}
	w.mu.Unlock()
	sub := &ledger.Submission{ID: id, Host: "h", Path: "/b/" + id, Model: "m", MinVersion: 1, WantedGroups: 2, Items: items, MaxAttempts: 3, Due: 4 * time.Second}
	body, err := ledger.AcceptCommand(sub)
	if err != nil {
		w.violate("a submission can't be encoded: %v", err)
		return
	}
	w.commit(body)
}

// commit has the current leader commit a command of a client.
func (w *world) commit(body []byte) {
	for w.ctx.Err() == nil {
		w.mu.Lock()
		p := w.leader
		w.mu.Unlock()
		if p != nil {
			p.catchUp()
			w.mu.Lock()
			if w.leader == p {
				w.log = append(w.log, body)
				w.mu.Unlock()
				p.catchUp()
				return
			}
			w.mu.Unlock()
		}
		w.sleep(20 * time.Millisecond)
	}
}

func (w *world) items(id string, n int) []ledger.Item {
	var items []ledger.Item
	for i := range n {
		item := fmt.Sprintf("%s-%d", id, i)
		events := 3 + w.intN(20)
		if w.intN(4) == 0 {
			events = 30 + w.intN(50)
		}
		items = append(items, ledger.Item{
			ID: item, Path: "/b/" + item, Group: fmt.Sprintf("%s-g%d", id, i/3), Length: 60 * events,
			Headers: []wire.Header{{Name: "Events", Value: strconv.Itoa(events)}},
			Reward:  &ledger.Reward{ID: "reward-" + item, Host: "h", Path: "/r/x"},
		})
	}
	return items
}

// trainer submits steps, ends some of them early and lets their items come again.
func (w *world) trainer() {
	var again []ledger.Item
	for step := 0; time.Since(w.began) < simFaultTime; step++ {
		id := fmt.Sprintf("s%d", step)
		items := append(again, w.items(id, 9)...)
		again = nil
		w.submit(id, items)
		w.sleep(time.Duration(500+w.intN(2500)) * time.Millisecond)
		if step%2 == 0 {
			body, err := ledger.EndCommand(id)
			if err != nil {
				w.violate("an end can't be encoded: %v", err)
				return
			}
			w.commit(body)
			w.mu.Lock()
			w.endedAt[id] = time.Now()
			w.mu.Unlock()
			again = items[len(items)-3:]
		}
	}
}

// trouble plays faults until the calm begins.
func (w *world) trouble() {
	for time.Since(w.began) < simFaultTime {
		w.sleep(time.Duration(50+w.intN(700)) * time.Millisecond)
		w.mu.Lock()
		i := w.rng.IntN(len(w.procs))
		p := w.procs[i]
		leads := w.leader == p
		kind := w.rng.IntN(8)
		d := time.Duration(100+w.rng.IntN(6000)) * time.Millisecond
		e := w.engines[w.rng.IntN(len(w.engines))]
		w.mu.Unlock()
		switch kind {
		case 0:
			w.elect()
		case 1: // a frozen process; if it leads, another one does
			if w.frozen() >= simProcesses/2 {
				continue
			}
			p.frozen.Store(true)
			time.AfterFunc(d, func() { p.frozen.Store(false) })
			if leads {
				w.elect()
			}
		case 2:
			p.eachLink(func(l *simLink) { l.cut() })
		case 3: // silent links
			p.eachLink(func(l *simLink) { l.held.Store(true) })
			time.AfterFunc(d, func() { p.eachLink(func(l *simLink) { l.held.Store(false) }) })
		case 4:
			w.restart(i)
		case 5:
			w.restartEngine(e)
		default:
			w.mu.Lock()
			procs := slices.Clone(w.procs)
			w.mu.Unlock()
			for _, q := range procs { // links to it are silent
				if l := q.linkTo(p.name); l != nil {
					l.held.Store(true)
					time.AfterFunc(d, func() { l.held.Store(false) })
				}
			}
		}
	}
	w.mu.Lock()
	w.calm = true
	w.mu.Unlock()
}

// frozen returns the number of frozen processes.
func (w *world) frozen() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, p := range w.procs {
		if p.frozen.Load() {
			n++
		}
	}
	return n
}

func (p *simProcess) linkTo(name string) *simLink {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.links[name]
}

// restart replaces a process. It has lost all but the log.
func (w *world) restart(i int) {
	w.mu.Lock()
	p := w.procs[i]
	leads := w.leader == p
	w.mu.Unlock()
	if leads {
		w.elect()
		w.mu.Lock()
		leads = w.leader == p
		w.mu.Unlock()
		if leads {
			return // no other process can lead now
		}
	}
	p.stop()
	p.carrier.Stop()
	p.eachLink(func(l *simLink) { l.cut() })
	next := w.start(p.name)
	w.mu.Lock()
	w.procs[i] = next
	w.mu.Unlock()
	next.catchUp()
}

func (w *world) restartEngine(e *simEngine) {
	w.mu.Lock()
	e.startedMs++
	for c := range e.conns {
		_ = c.Close()
	}
	e.conns = make(map[net.Conn]bool)
	procs := slices.Clone(w.procs)
	w.mu.Unlock()
	list := w.targets()
	for _, p := range procs {
		late := time.Duration(w.intN(900)) * time.Millisecond
		time.AfterFunc(late, func() { p.directory.Replace(time.Now(), list) })
	}
}

// check looks at all results in the ledger.
func (w *world) check() {
	w.mu.Lock()
	p := w.leader
	w.mu.Unlock()
	p.catchUp()
	for _, open := range p.submissions.Open() {
		for _, item := range open.Remaining {
			w.violate("item %s of %s has no result", item.ID, open.Submission.ID)
		}
	}
	w.mu.Lock()
	subs := make(map[string]bool)
	for _, list := range w.itemIn {
		for _, s := range list {
			subs[s] = true
		}
	}
	w.mu.Unlock()
	for s := range subs {
		page, _, _ := p.submissions.Page(s, 0, 1<<30)
		seen := make(map[string]bool)
		for _, r := range page.Results {
			if seen[r.Item] {
				w.violate("item %s has two results", r.Item)
			}
			seen[r.Item] = true
			w.checkResult(&r)
		}
	}
}

func (w *world) checkResult(r *ledger.Result) {
	if r.Failed {
		w.violate("item %s failed", r.Item)
		return
	}
	text, err := ledger.Text(r.Parts)
	if err != nil {
		w.violate("item %s: %v", r.Item, err)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	fail := func(format string, args ...any) {
		w.violations = append(w.violations, "item "+r.Item+": "+fmt.Sprintf(format, args...))
	}
	var lastAt time.Time
	current := ""
	for i, line := range strings.Split(string(text), "\n") {
		f := strings.Fields(line)
		if len(f) != 3 || f[0] != r.Item || f[1] != strconv.Itoa(i+1) {
			fail("event %d is %q", i+1, line)
			return
		}
		run := w.runs[f[2]]
		if f[2] != current && run.first != i+1 {
			fail("ORDER: event %d is from a run that began with event %d", i+1, run.first)
		}
		current = f[2]
		lastAt = run.eventAt[i+1]
	}
	if w.scoreOf[r.Score] != r.Item {
		fail("MIXED: score %q belongs to %q", r.Score, w.scoreOf[r.Score])
	} else if w.scores[r.Score].Before(lastAt) {
		fail("MIXED: it was scored %v before its last event", lastAt.Sub(w.scores[r.Score]))
	}
}

// simulate plays one seed and returns what was violated.
func simulate(t *testing.T, seed uint64, p plant) (violations []string) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{
			t: t, plant: p, began: time.Now(), rng: rand.New(rand.NewPCG(seed, 77)), runs: make(map[string]*simRun),
			scores: make(map[string]time.Time), scoreOf: make(map[string]string), endedAt: make(map[string]time.Time), itemIn: make(map[string][]string),
		}
		w.ctx, w.cancel = context.WithCancel(t.Context())
		defer w.cancel()
		for i := range simEngines {
			w.engines = append(w.engines, &simEngine{id: fmt.Sprint("e", i), startedMs: 1, conns: make(map[net.Conn]bool)})
		}
		for i := range simProcesses {
			w.procs = append(w.procs, w.start(fmt.Sprint("p", i)))
		}
		w.every(w.ctx, 30*time.Millisecond, func() {
			w.mu.Lock()
			procs := slices.Clone(w.procs)
			w.mu.Unlock()
			for _, p := range procs {
				if !p.frozen.Load() {
					p.catchUp()
				}
			}
		})
		w.elect()
		go w.trainer()
		w.trouble()
		w.sleep(simCalmTime)
		w.check()
		w.cancel()
		for _, p := range w.procs {
			p.carrier.Stop()
		}
		w.mu.Lock()
		violations = w.violations
		w.mu.Unlock()
	})
	return violations
}

// Changes of leader with two leaders at a time, carriers that freeze, restart and lose their
// links, engines that break off: each item is recorded once, with a text of runs that
// continue each other and a score of that text, and nothing runs after its submission's end.
func TestLeadersAndCarriersKeepTheirPromises(t *testing.T) {
	const parts = 4
	for part := range uint64(parts) {
		t.Run(fmt.Sprint("part", part), func(t *testing.T) {
			t.Parallel()
			for seed := part; seed < uint64(*simSeeds); seed += parts {
				for _, v := range simulate(t, seed, plantNothing) {
					t.Errorf("seed %d: %s", seed, v)
				}
			}
		})
	}
}

// Guards against checks that find nothing: each fault that is planted into the messages is
// found, usually within 60 seeds.
func TestPlantedFaultsAreFound(t *testing.T) {
	if *simPlanted == 0 {
		t.Skip("played by make sim")
	}
	for _, p := range []plant{plantNoTerms, plantFreshOrders} {
		t.Run(string(p), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(*simPlanted) {
				if v := simulate(t, seed, p); len(v) > 0 {
					t.Logf("seed %d: %s", seed, v[0])
					return
				}
			}
			t.Error("no seed found it")
		})
	}
}
