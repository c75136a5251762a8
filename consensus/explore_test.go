package consensus

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

var (
	exploreSeeds = flag.Int("explore", 60, "number of random walks of the control group")
	exploreFirst = flag.Int("explore.first", 1, "seed of the first walk")
)

const (
	exploreCatchUp  = 4400 * time.Millisecond // a host counts as lost for this long after it is back
	exploreRecovery = 12 * time.Second        // time in which a group must serve again once all hosts are back
	exploreStep     = 10 * time.Millisecond
	exploreFaults   = 12
)

// walk is a random walk of a group that bears the loss of one disk. Hosts are stopped, frozen, cut
// off and killed at any moment and at the same time, but at most one disk is lost until all
// have had exploreCatchUp together. What was acknowledged must outlive that, and a leader must serve once
// all hosts are back: from each state that is reached, not only from some.
type walk struct {
	*openGroup
	rng      *rand.Rand
	stopping map[string]time.Duration // hosts that have got SIGTERM, by the end of their patience
	gone     map[string]bool          // hosts that are taken away for good
	cut      map[string]bool
	wire     []delivery
	loss     int // lost messages per hundred
	hosts    int
	// diskLost is set from the loss of a disk until all hosts have run for exploreCatchUp:
	// without the others, nobody could copy the log to the host that has lost it.
	diskLost  bool
	calmSince time.Duration
	acked     map[uint64]uint64 // term by index
	pending   map[uint64]uint64 // not yet committed
	leaders   map[uint64]uint64 // id by term
	steps     []string
	group     string // as last noted
	faults    int    // so far
}

type delivery struct {
	at time.Duration
	m  Message
}

func newWalk(seed uint64) *walk {
	w := &walk{
		openGroup: newOpenGroup(), rng: rand.New(rand.NewPCG(seed, 58)), stopping: make(map[string]time.Duration), gone: make(map[string]bool),
		cut: make(map[string]bool), acked: make(map[uint64]uint64), pending: make(map[uint64]uint64), leaders: make(map[uint64]uint64),
	}
	w.config.ReplaceAfter = exploreCatchUp / 4
	for _, name := range seedHosts {
		w.start(name, seedHosts, false)
	}
	w.hosts = len(seedHosts)
	for range (w.rng.IntN(4) + 1) / 2 {
		w.add()
	}
	return w
}

func (w *walk) note(format string, args ...any) {
	w.steps = append(w.steps, fmt.Sprintf("%6d ms  ", w.now.Milliseconds())+fmt.Sprintf(format, args...))
}

func (w *walk) add() string {
	w.hosts++
	name := fmt.Sprintf("host-%02d", w.hosts)
	w.start(name, seedHosts, true)
	return name
}

func (w *walk) between(from, to time.Duration) time.Duration {
	return from + time.Duration(w.rng.Int64N(int64(to-from)))
}

// advance runs the group for d.
func (w *walk) advance(d time.Duration) error {
	for end := w.now + d; w.now < end; w.now += exploreStep {
		w.doDue()
		for _, name := range w.names() {
			if n := w.nodes[name]; !w.down[name] {
				n.Step(w.now, Tick{})
				w.stepStop(name)
			}
		}
		w.tellPeers()
		w.exchange()
		if w.disturbed() {
			w.calmSince = w.now
		}
		w.diskLost = w.diskLost && w.now < w.calmSince+exploreCatchUp
		if err := w.observe(); err != nil {
			return err
		}
	}
	return nil
}

// tellPeers tells the hosts of each other, as their links do.
func (w *walk) tellPeers() {
	if w.now%(100*time.Millisecond) != 0 {
		return
	}
	names := slices.DeleteFunc(w.names(), func(name string) bool { return w.gone[name] })
	for _, name := range w.names() {
		if !w.down[name] && !w.cut[name] {
			w.nodes[name].Step(w.now, SetPeers{Names: names})
		}
	}
}

// stepStop repeats the request of a host that stops, and ends it when that is answered or its
// patience is over.
func (w *walk) stepStop(name string) {
	end, ok := w.stopping[name]
	if !ok {
		return
	}
	n := w.nodes[name]
	if n.departure != DepartureOpen || w.now >= end {
		delete(w.stopping, name)
		w.down[name] = true
		w.note("%s has ended: %q", name, n.departure)
		return
	}
	if n.role == RoleLeader {
		n.Step(w.now, Handover{})
	}
	n.Step(w.now, Depart{})
}

// exchange delivers what is due and sends what the nodes have to send. Messages are delayed,
// lost, doubled, and overtake each other.
func (w *walk) exchange() {
	wire := w.wire
	w.wire = nil
	for _, d := range wire {
		n := w.nodes[d.m.ToName]
		switch {
		case d.at > w.now:
			w.wire = append(w.wire, d)
		case n != nil && !w.down[d.m.ToName]:
			m := d.m
			n.Step(w.now, Receive{&m})
		}
	}
	for _, name := range w.names() {
		if w.down[name] {
			continue
		}
		n := w.nodes[name]
		for {
			o, ok := n.Take()
			if !ok {
				break
			}
			n.Persisted()
			for _, m := range o.Messages {
				if w.cut[name] != w.cut[m.ToName] || w.rng.IntN(100) < w.loss {
					continue
				}
				for range 1 + w.rng.IntN(50)/49 {
					w.wire = append(w.wire, delivery{w.now + w.between(0, 3*exploreStep), m})
				}
			}
		}
	}
}

// observe checks that a term has one leader and notes what is acknowledged.
func (w *walk) observe() error {
	for _, name := range w.names() {
		n := w.nodes[name]
		if n.role != RoleLeader || w.down[name] {
			continue
		}
		if id, ok := w.leaders[n.term]; ok && id != n.cfg.ID {
			return fmt.Errorf("term %d has two leaders", n.term)
		}
		w.leaders[n.term] = n.cfg.ID
		w.noteGroup(n)
		for index, term := range w.pending {
			if at, ok := n.log.term(index); ok && n.commit >= index {
				if at == term {
					w.acked[index] = term
				}
				delete(w.pending, index)
			}
		}
		if w.now%(50*time.Millisecond) == 0 && n.checkProposal() == nil {
			n.Step(w.now, Propose{Key: 1, Data: []byte("x")})
			w.pending[n.log.last()] = n.term
		}
	}
	return nil
}

// noteGroup notes a leader with another membership than the one before.
func (w *walk) noteGroup(leader *Node) {
	text := fmt.Sprintf("%s leads term %d:", leader.cfg.Name, leader.term)
	for _, m := range leader.members {
		text += fmt.Sprintf(" %s/%d", m.Name, m.ID)
		if m.Learner {
			text += " (learner)"
		}
	}
	if leader.memberIndex > leader.commit {
		text += ", not committed"
	}
	if text != w.group {
		w.group = text
		w.note("    %s", text)
	}
}

// pick returns a host that runs, or "".
func (w *walk) pick() string {
	var running []string
	for _, name := range w.names() {
		if _, stops := w.stopping[name]; !w.down[name] && !w.gone[name] && !stops {
			running = append(running, name)
		}
	}
	if len(running) == 0 {
		return ""
	}
	if l := w.leader(); l != nil && w.rng.IntN(3) == 0 && slices.Contains(running, l.cfg.Name) {
		return l.cfg.Name
	}
	return running[w.rng.IntN(len(running))]
}

// fault disturbs a host.
func (w *walk) fault() {
	name := w.pick()
	if name == "" {
		return
	}
	back := w.between(100*time.Millisecond, 3500*time.Millisecond)
	switch w.rng.IntN(11) {
	case 0, 1:
		w.note("%s stands still for %v", name, back)
		w.down[name] = true
		w.at(w.now+back, func() { w.down[name] = false })
	case 2:
		w.note("%s is killed and back after %v", name, back)
		w.down[name] = true
		w.at(w.now+back, func() { w.restart(name) })
	case 3:
		w.note("%s is cut off for %v", name, back)
		w.cut[name] = true
		w.at(w.now+back, func() { delete(w.cut, name) })
	case 4:
		w.note("%s gets SIGTERM and is started again", name)
		w.stopping[name] = w.now + 1500*time.Millisecond
		w.at(w.now+1500*time.Millisecond+back, func() { w.restart(name) })
	case 5, 6, 7, 8:
		if w.diskLost {
			return
		}
		w.note("%s loses its disk and is back after %v", name, back)
		w.down[name] = true
		w.diskLost = true
		w.at(w.now+back, func() { w.start(name, seedHosts, true) })
	default:
		w.replace(name)
	}
}

// replace plans the replacement of a host: the new one has had exploreCatchUp, with all others
// there, when the former one gets SIGTERM and is taken away. That is no loss.
func (w *walk) replace(name string) {
	if w.diskLost || w.disturbed() {
		return
	}
	successor := w.add()
	w.note("%s is to be replaced by %s", name, successor)
	faults := w.faults
	w.at(w.now+exploreCatchUp, func() {
		if w.faults != faults || w.disturbed() {
			return // other losses have kept the successor from catching up
		}
		w.note("%s gets SIGTERM for good", name)
		w.gone[name] = true
		w.stopping[name] = w.now + 1500*time.Millisecond
	})
}

// disturbed reports whether a host is lost now, or the group has no leader.
func (w *walk) disturbed() bool {
	for _, name := range w.names() {
		if _, stops := w.stopping[name]; !w.gone[name] && (w.down[name] || w.cut[name] || stops) {
			return true
		}
	}
	return w.leader() == nil
}

// play plays the walk and returns what it breaks.
func (w *walk) play() error {
	if err := w.advance(8 * time.Second); err != nil {
		return err
	}
	w.loss = w.rng.IntN(2) * w.rng.IntN(15)
	for range exploreFaults {
		w.faults++
		w.fault()
		pause := w.between(0, 1500*time.Millisecond)
		if w.rng.IntN(3) == 0 {
			pause = w.between(2*time.Second, 6*time.Second)
		}
		if err := w.advance(pause); err != nil {
			return err
		}
	}
	if err := w.advance(5500 * time.Millisecond); err != nil { // the last host is back
		return err
	}
	w.loss = 0
	w.note("all hosts are back")
	if err := w.advance(exploreRecovery); err != nil {
		return err
	}
	acknowledged := len(w.acked)
	if err := w.advance(time.Second); err != nil {
		return err
	}
	leader := w.leader()
	if leader == nil || len(w.acked) == acknowledged {
		return fmt.Errorf("no leader serves %v after all hosts are back", exploreRecovery)
	}
	for index, term := range w.acked {
		if at, ok := leader.log.term(index); !ok || at != term {
			return fmt.Errorf("entry %d of term %d, which was acknowledged, is lost (%d, %v)", index, term, at, ok)
		}
	}
	return nil
}

// TestAnyOrderOfLossesIsRecoverable guards against orders of stops, cuts, restarts and lost disks
// after which a group never has a leader again, or has lost what it acknowledged, although no
// more than one disk was lost at a time.
//
//	go test ./consensus -run AnyOrder -explore 20000
func TestAnyOrderOfLossesIsRecoverable(t *testing.T) {
	var next, faults atomic.Int64
	next.Store(int64(*exploreFirst) - 1)
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for seed := next.Add(1); seed < int64(*exploreFirst+*exploreSeeds); seed = next.Add(1) {
				w := newWalk(uint64(seed))
				if err := w.play(); err != nil {
					t.Errorf("seed %d: %v\n%s", seed, err, strings.Join(w.steps, "\n"))
				}
				faults.Add(int64(len(w.steps)))
			}
		})
	}
	wg.Wait()
	t.Logf("%d walks, %d steps", *exploreSeeds, faults.Load())
}
