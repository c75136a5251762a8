package propagate

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"merlinhall/config"
	"merlinhall/link"
	"merlinhall/wire"
)

// sim runs seekers and trees on a virtual clock over a network that delays,
// loses, duplicates and reorders messages and cuts connections.
type sim struct {
	rng       *rand.Rand
	now       time.Time
	queue     []event // by time
	nodes     map[string]*simNode
	links     map[int]*simLink
	nextID    int
	faults    bool
	lossy     float64 // share of messages that are lost, duplicated or late, each
	truth     map[uint64]*wire.World
	newest    *wire.World
	switchOff bool
	steps     int
}

// simNode is a control replica, an entry or an agent.
type simNode struct {
	name    string
	tree    *publisher[int] // nil for agents
	seeker  *subscriber     // nil for control replicas
	boot    int
	links   map[string]int // current connection to each candidate
	deaf    time.Time      // sends but does not receive until then
	cutOff  time.Time      // a control replica without the leader until then
	dead    bool           // neither sends nor receives, and refuses nothing
	rotate  []Candidate
	passive bool
}

// simLink is a connection from a child to a parent.
type simLink struct {
	id            int
	child, parent string
	bootC, bootP  int
	open          bool
	lastUp        time.Time // arrival of the newest message in order
	lastDown      time.Time
}

type event struct {
	at  time.Time
	run func()
}

func newSim(seed uint64) *sim {
	s := &sim{
		rng:    rand.New(rand.NewPCG(seed, 1)),
		now:    time.Unix(1000, 0),
		nodes:  make(map[string]*simNode),
		links:  make(map[int]*simLink),
		truth:  make(map[uint64]*wire.World),
		faults: true,
		lossy:  0.05,
	}
	var controls, all []Candidate
	for i := range 3 {
		controls = append(controls, Candidate{Name: fmt.Sprintf("c%d", i), Control: true})
	}
	for i := range 3 {
		all = append(all, Candidate{Name: fmt.Sprintf("e%d", i), Zone: "bole"})
	}
	all = append(all, controls...)
	for _, c := range controls {
		s.add(&simNode{name: c.Name})
	}
	for i := range 3 {
		s.add(&simNode{name: fmt.Sprintf("e%d", i), rotate: controls, passive: true})
	}
	for i := range 8 {
		s.add(&simNode{name: fmt.Sprintf("a%d", i), rotate: all})
	}
	return s
}

func (s *sim) add(n *simNode) {
	s.nodes[n.name] = n
	s.boot(n)
	s.every(minCheckPeriod, func() {
		if n.seeker == nil || n.dead {
			return
		}
		// As the follower's timer does, skip the checks that are not due.
		if wait, ok := n.seeker.nextCheck(s.now); n.seeker.reportDue || ok && wait <= 0 {
			s.do(n, n.seeker.tick(s.now))
		}
	})
	s.every(digestPeriod, func() {
		if n.tree != nil && !n.dead {
			n.tree.stale = s.now.Before(n.cutOff)
			if n.seeker != nil {
				n.tree.stale = s.now.Sub(n.seeker.freshAt) > freshTimeout
			}
			s.sendDown(n, n.tree.periodicDigests())
		}
	})
}

// boot starts or restarts a node without any memory.
func (s *sim) boot(n *simNode) {
	n.boot++
	n.links = make(map[string]int)
	if n.name[0] != 'a' {
		n.tree = newPublisher[int]()
	}
	if n.name[0] == 'c' {
		if s.newest != nil {
			n.tree.publish(s.newest)
		}
		return
	}
	tree := n.tree
	var own *subscriber
	counts := func() []wire.VersionCount {
		var list []wire.VersionCount
		if own.clusterState != nil {
			list = append(list, wire.VersionCount{Version: own.clusterState.ConfigVersion, Count: 1})
		}
		if tree != nil {
			list = append(list, tree.counts()...)
		}
		return SumCounts(list)
	}
	own = newSubscriber(Rank(n.name, "bole", n.rotate), n.passive, counts, 0)
	n.seeker = own
	n.seeker.allowRollback = s.switchOff
	s.do(n, n.seeker.start(s.now))
	if n.passive {
		for _, c := range n.rotate {
			s.dial(n, c.Name, 0)
		}
	}
}

func (s *sim) at(delay time.Duration, run func()) {
	at := s.now.Add(delay)
	i := len(s.queue)
	for i > 0 && s.queue[i-1].at.After(at) {
		i--
	}
	s.queue = slices.Insert(s.queue, i, event{at: at, run: run})
}

func (s *sim) every(period time.Duration, run func()) {
	var again func()
	again = func() {
		run()
		s.at(period, again)
	}
	s.at(time.Duration(s.rng.Int64N(int64(period))), again)
}

func (s *sim) runFor(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := s.queue[0]
		s.queue = slices.Delete(s.queue, 0, 1)
		s.now = e.at
		s.steps++
		e.run()
	}
	s.now = end
}

// dial connects child to parent after delay, or fails.
func (s *sim) dial(child *simNode, parent string, delay time.Duration) {
	boot := child.boot
	if s.nodes[parent].dead {
		delay += dialTimeout
	}
	s.at(delay+s.delay(), func() {
		if child.boot != boot || child.dead {
			return
		}
		if s.nodes[parent].dead || s.faults && s.rng.Float64() < 0.1 {
			if child.passive {
				s.dial(child, parent, 200*time.Millisecond)
			} else {
				s.do(child, child.seeker.disconnected(s.now, parent))
			}
			return
		}
		if !child.passive && child.seeker.parentName() != parent {
			return
		}
		s.nextID++
		l := &simLink{id: s.nextID, child: child.name, parent: parent, bootC: boot, bootP: s.nodes[parent].boot, open: true}
		s.links[l.id] = l
		child.links[parent] = l.id
		s.do(child, child.seeker.connected(s.now, parent))
	})
}

// cut ends a connection on both sides.
func (s *sim) cut(l *simLink) {
	if !l.open {
		return
	}
	l.open = false
	delete(s.links, l.id)
	child, parent := s.nodes[l.child], s.nodes[l.parent]
	if parent.boot == l.bootP {
		parent.tree.remove(l.id)
	}
	if child.boot != l.bootC || child.links[l.parent] != l.id {
		return
	}
	delete(child.links, l.parent)
	s.do(child, child.seeker.disconnected(s.now, l.parent))
	if child.passive {
		s.dial(child, l.parent, 100*time.Millisecond)
	}
}

func (s *sim) delay() time.Duration {
	return time.Duration(s.rng.Int64N(int64(3 * time.Millisecond)))
}

// carry delivers a message over a link, in order unless a fault is drawn.
func (s *sim) carry(l *simLink, last *time.Time, deliver func()) {
	arrive := s.now.Add(s.delay())
	if arrive.Before(*last) {
		arrive = *last
	}
	copies := 1
	if s.faults {
		switch draw := s.rng.Float64(); {
		case draw < s.lossy:
			copies = 0
		case draw < 2*s.lossy:
			copies = 2
		case draw < 3*s.lossy:
			arrive = arrive.Add(time.Duration(s.rng.Int64N(int64(4 * time.Second))))
		default:
			*last = arrive
		}
	}
	for range copies {
		s.at(arrive.Sub(s.now), func() {
			if l.open && !s.nodes[l.child].dead && !s.nodes[l.parent].dead {
				deliver()
			}
		})
		arrive = arrive.Add(s.delay())
	}
}

// do carries out a step of a node's seeker.
func (s *sim) do(n *simNode, st actions) {
	if st.clusterState != nil {
		s.check(n, st.clusterState)
		if n.tree != nil {
			s.sendDown(n, n.tree.publish(st.clusterState))
		}
	}
	for _, a := range st.send {
		if l := s.links[n.links[a.to]]; l != nil {
			s.sendUp(n, l, a.message)
		}
	}
	if st.connectTo != nil {
		for _, parent := range slices.Sorted(maps.Keys(n.links)) {
			if l := s.links[n.links[parent]]; l != nil {
				delete(n.links, parent)
				s.cut(l)
			}
		}
		s.dial(n, st.connectTo.Name, st.connectDelay)
	}
}

// check compares an accepted world with the one that control made.
func (s *sim) check(n *simNode, w *wire.World) {
	if want := s.truth[w.Index]; !reflect.DeepEqual(w, want) {
		panic(fmt.Sprintf("%s holds a world of index %d that control never made", n.name, w.Index))
	}
}

func (s *sim) sendUp(n *simNode, l *simLink, m wire.Message) {
	frame := mustEncode(m)
	s.carry(l, &l.lastUp, func() {
		parent := s.nodes[l.parent]
		if parent.boot != l.bootP || s.now.Before(parent.deaf) {
			return
		}
		msg, _ := wire.Decode(frame)
		switch m := msg.(type) {
		case *wire.Subscribe:
			s.sendDown(parent, parent.tree.subscribe(l.id, m))
		case *wire.Holding:
			if parent.tree.setChildCounts(l.id, m) && parent.seeker != nil {
				parent.seeker.reportDue = true
			}
		}
	})
}

func (s *sim) sendDown(n *simNode, out []outgoing[int]) {
	slices.SortStableFunc(out, func(a, b outgoing[int]) int { return a.to - b.to })
	for _, o := range out {
		l := s.links[o.to]
		if l == nil || !l.open {
			continue
		}
		s.carry(l, &l.lastDown, func() {
			child := s.nodes[l.child]
			if child.boot != l.bootC || child.links[l.parent] != l.id || s.now.Before(child.deaf) {
				return
			}
			msg, _ := wire.Decode(o.frame)
			s.do(child, child.seeker.handleMessage(s.now, l.parent, msg))
		})
	}
}

// change commits a new world. Control replicas learn it after different delays,
// so that a child may meet an older parent after a newer one.
func (s *sim) change() {
	w := &wire.World{Index: 1, Term: 1}
	if s.newest != nil {
		c := *s.newest
		w = &c
		w.Index += 1 + s.rng.Uint64N(3)
	}
	switch s.rng.IntN(3) {
	case 0:
		w.ConfigVersion++
		w.ConfigText = editText(s.rng, w.ConfigText)
		w.ConfigDigest = config.Digest(w.ConfigText)
		w.ConfigFence = wire.Fence{Term: 1, Sequence: w.Index}
	case 1:
		pool := fmt.Sprintf("pool%d", s.rng.IntN(3))
		next := wire.WeightTarget{Pool: pool, Version: w.Index, Fence: wire.Fence{Term: 1, Sequence: w.Index}}
		w.Weights = applyChanges(w.Weights, []wire.WeightTarget{next}, nil, poolOf)
	default:
		target := fmt.Sprintf("t%d", s.rng.IntN(5))
		if slices.ContainsFunc(w.Departures, func(d wire.Departure) bool { return d.Target == target }) {
			w.Departures = applyChanges(w.Departures, nil, []string{target}, targetOf)
		} else {
			d := wire.Departure{Target: target, Fence: wire.Fence{Term: 1, Sequence: w.Index}}
			w.Departures = applyChanges(w.Departures, []wire.Departure{d}, nil, targetOf)
		}
	}
	s.newest = w
	s.truth[w.Index] = w
	for i := range 3 {
		n := s.nodes[fmt.Sprintf("c%d", i)]
		lag := s.delay()
		if s.faults && s.rng.IntN(4) == 0 {
			lag = time.Duration(s.rng.Int64N(int64(5 * time.Second)))
		}
		s.learn(n, w, lag)
	}
}

// learn gives a control replica a world, once it is not cut off.
func (s *sim) learn(n *simNode, w *wire.World, lag time.Duration) {
	s.at(lag, func() {
		if s.now.Before(n.cutOff) {
			s.learn(n, w, n.cutOff.Sub(s.now))
			return
		}
		s.sendDown(n, n.tree.publish(w))
	})
}

// editText changes a few lines of a text.
func editText(rng *rand.Rand, text []byte) []byte {
	lines := splitLines(text)
	if len(lines) < 20 {
		for i := range 20 {
			lines = append(lines, fmt.Appendf(nil, "line %d\n", i))
		}
	}
	lines = slices.Clone(lines)
	for range 1 + rng.IntN(3) {
		i := rng.IntN(len(lines))
		switch rng.IntN(3) {
		case 0:
			lines[i] = fmt.Appendf(nil, "value %d\n", rng.Uint32())
		case 1:
			lines = slices.Insert(lines, i, fmt.Appendf(nil, "new %d\n", rng.IntN(4)))
		default:
			lines = slices.Delete(lines, i, i+1)
		}
	}
	return slices.Concat(lines...)
}

// fault draws a fault of a process or a connection.
func (s *sim) fault() {
	switch s.rng.IntN(6) {
	case 4:
		s.restart(s.nodes[fmt.Sprintf("c%d", s.rng.IntN(3))])
	case 5:
		cutOff := s.nodes[fmt.Sprintf("c%d", s.rng.IntN(3))]
		cutOff.cutOff = s.now.Add(time.Duration(1+s.rng.IntN(15)) * time.Second)
	case 0:
		n := s.nodes[fmt.Sprintf("e%d", s.rng.IntN(3))]
		s.restart(n)
	case 1:
		s.restart(s.nodes[fmt.Sprintf("a%d", s.rng.IntN(8))])
	case 2:
		s.nodes[fmt.Sprintf("e%d", s.rng.IntN(3))].deaf = s.now.Add(6 * time.Second)
	default:
		for _, l := range s.sortedLinks() {
			if s.rng.IntN(4) == 0 {
				s.cut(l)
			}
		}
	}
}

func (s *sim) sortedLinks() []*simLink {
	var all []*simLink
	for _, l := range s.links {
		all = append(all, l)
	}
	slices.SortFunc(all, func(a, b *simLink) int { return a.id - b.id })
	return all
}

// restart ends a process: its connections break and its memory is lost.
func (s *sim) restart(n *simNode) {
	var mine []*simLink
	for _, l := range s.sortedLinks() {
		if l.child == n.name || l.parent == n.name {
			mine = append(mine, l)
		}
	}
	s.boot(n)
	for _, l := range mine {
		s.cut(l)
	}
}

// runSeed runs changes and faults for a virtual minute, then heals the network.
func runSeed(seed uint64, switchOff bool) *sim {
	s := newSim(seed)
	s.switchOff = switchOff
	for _, n := range s.nodes {
		if n.seeker != nil {
			n.seeker.allowRollback = switchOff
		}
	}
	for range 60 {
		for range s.rng.IntN(5) {
			s.at(time.Duration(s.rng.Int64N(int64(time.Second))), s.change)
		}
		if s.rng.IntN(3) == 0 {
			s.fault()
		}
		s.runFor(time.Second)
	}
	s.faults = false
	s.runFor(40 * time.Second)
	return s
}

// Guards against a world that goes back, differs from the one of control, or
// never arrives, under lost, duplicated, late and reordered messages, restarts,
// cut connections and one-way silence. The invariants are in seeker.take.
func TestSeededFaults(t *testing.T) {
	t.Parallel()
	steps := 0
	for seed := range seedCount() {
		s := runSeed(seed, false)
		steps += s.steps
		for _, n := range s.nodes {
			if n.seeker != nil && n.seeker.heldIndex() != s.newest.Index {
				t.Fatalf("seed %d: %s holds %d, the newest world is %d", seed, n.name, n.seeker.heldIndex(), s.newest.Index)
			}
		}
		total := 0
		for i := range 3 {
			for _, v := range s.nodes[fmt.Sprintf("c%d", i)].tree.counts() {
				if v.Version != s.newest.ConfigVersion {
					t.Fatalf("seed %d: a count of version %d remains", seed, v.Version)
				}
				total += v.Count
			}
		}
		if total != 11 {
			t.Fatalf("seed %d: %d processes are counted, there are 11", seed, total)
		}
	}
	t.Logf("%d steps", steps)
}

// Guards against a check in TestSeededFaults that cannot fail: with the rule
// against older worlds switched off some seed must break an invariant.
func TestSeededFaultsNoticeOlderWorlds(t *testing.T) {
	for seed := range seedCount() {
		if breaksInvariant(seed) {
			return
		}
	}
	t.Fatal("no seed noticed the missing rule")
}

func breaksInvariant(seed uint64) (broken bool) {
	defer func() {
		broken = strings.Contains(fmt.Sprint(recover()), "invariant broken")
	}()
	runSeed(seed, true)
	return false
}

// kill silences a process. Its links end when they are noticed to be silent.
func (s *sim) kill(n *simNode) {
	n.dead = true
	for _, l := range s.sortedLinks() {
		if l.child == n.name || l.parent == n.name {
			s.at(link.SilenceLimit+link.HeartbeatPeriod, func() { s.cut(l) })
		}
	}
}

// Guards against a change that takes longer than the bound of 5 s to be held
// everywhere after the loss of parents. The clock is virtual.
func TestChangeIsHeldWithinFiveSeconds(t *testing.T) {
	const bound = 5 * time.Second
	faults := map[string]func(s *sim){
		"none":                       func(*sim) {},
		"an entry":                   func(s *sim) { s.kill(s.nodes["e0"]) },
		"a control replica":          func(s *sim) { s.kill(s.nodes["c0"]) },
		"an entry and a replica":     func(s *sim) { s.kill(s.nodes["e1"]); s.kill(s.nodes["c1"]) },
		"a replica without a leader": func(s *sim) { s.nodes["c2"].cutOff = s.now.Add(time.Hour) },
		"a deaf entry":               func(s *sim) { s.nodes["e2"].deaf = s.now.Add(time.Hour) },
	}
	for name, fault := range faults {
		worst := time.Duration(0)
		for seed := range uint64(20) {
			s := newSim(seed)
			s.faults = false
			s.change()
			s.runFor(10*time.Second + time.Duration(s.rng.Int64N(int64(time.Second))))
			fault(s)
			s.runFor(time.Duration(s.rng.Int64N(int64(2 * time.Second))))
			s.change()
			made := s.now
			for !s.allHold() && s.now.Sub(made) < 4*bound {
				s.runFor(10 * time.Millisecond)
			}
			worst = max(worst, s.now.Sub(made))
		}
		t.Logf("loss of %s: %v", name, worst)
		if worst > bound {
			t.Errorf("loss of %s: the change took %v", name, worst)
		}
	}
}

// allHold reports whether every process that can hear control holds the newest
// world.
func (s *sim) allHold() bool {
	for _, n := range s.nodes {
		if n.seeker != nil && !n.dead && !s.now.Before(n.deaf) && n.seeker.heldIndex() != s.newest.Index {
			return false
		}
	}
	return true
}

// seedCount returns the number of seeds to run: MERLINHALL_SEEDS for long runs.
func seedCount() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("MERLINHALL_SEEDS"), 10, 64); err == nil {
		return n
	}
	return 6
}
