package consensus_test

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"merlinhall/consensus"
	"merlinhall/eventqueue"
	"merlinhall/replica"
	"merlinhall/wire"
)

// sim runs replicas on simulated disks, clocks and a simulated network. A run is
// determined by its seed.
type sim struct {
	rng            *rand.Rand
	now            time.Duration
	events         eventqueue.Queue
	hosts          []*host
	injectedFaults []consensus.Fault
	disksSkipSync  bool // injected fault: disks skip syncs
	adjustConfig   func(*consensus.Config)
	blocked        map[[2]int]bool // from, to
	drop           func(from, to *host, m *consensus.Message) bool
	skewedClocks   bool // clock rates differ more than the lease allows, so clients read without it
	voters         int  // number of hosts configured as peers; 0 means all
	lossPerMille   int  // lost messages per thousand
	jitter         time.Duration
	steps          int
	counts         map[string]int
	failure        string

	leaderByTerm map[uint64]uint64 // term to replica id
	stateDigests map[uint64]uint64 // log index to digest of the state after it
	appliedIDs   map[uint64]bool   // ids of requests applied by any replica
	clients      []*client
	history      history
}

type host struct {
	sim         *sim
	index       int
	name        string
	disk        *simDisk
	core        *replica.Core
	kv          *kvMachine
	startedAt   time.Duration
	clockRate   float64
	incarnation int                   // increases with each start and stop of the process
	endedAt     map[int]time.Duration // by incarnation
	busyUntil   time.Duration         // end of the current disk operation
}

// faultSkipSync is injected into the disks: syncs report success without effect.
const faultSkipSync consensus.Fault = "sync skipped"

func newSim(seed uint64, hosts int, toInject ...consensus.Fault) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), injectedFaults: toInject, blocked: map[[2]int]bool{}, counts: map[string]int{},
		jitter: 3 * time.Millisecond, leaderByTerm: map[uint64]uint64{}, stateDigests: map[uint64]uint64{},
		appliedIDs: map[uint64]bool{},
	}
	for _, f := range toInject {
		s.disksSkipSync = s.disksSkipSync || f == faultSkipSync
	}
	for i := range hosts {
		h := &host{sim: s, endedAt: map[int]time.Duration{}, index: i, name: string(rune('a' + i)), clockRate: 0.9 + 0.2*s.rng.Float64()}
		h.installEmptyDisk()
		s.hosts = append(s.hosts, h)
	}
	return s
}

func (s *sim) startAll() {
	for _, h := range s.hosts {
		h.start()
	}
}

func (s *sim) after(d time.Duration, run func()) {
	s.events.Add(s.now+d, 0, run)
}

// run processes events up to the given time, or until a failure.
func (s *sim) run(until time.Duration) {
	for s.failure == "" {
		at, run, ok := s.events.Next(until)
		if !ok {
			break
		}
		s.now = at
		run()
	}
	s.now = max(s.now, until)
}

// runUntil processes events until done returns true or the limit has passed. It
// reports whether done returned true without a failure.
func (s *sim) runUntil(limit time.Duration, done func() bool) bool {
	end := s.now + limit
	for s.failure == "" && s.now < end && !done() {
		s.run(s.now + 10*time.Millisecond)
	}
	return s.failure == "" && done()
}

func (s *sim) fail(format string, args ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf("step %d, %v: ", s.steps, s.now) + fmt.Sprintf(format, args...)
	}
}

func (h *host) installEmptyDisk() {
	h.disk = newSimDisk(h.sim.rng)
	h.disk.skipSync = h.sim.disksSkipSync
	h.disk.onSync = func(d time.Duration) { h.busyUntil = max(h.busyUntil, h.sim.now) + d }
}

func (h *host) clock() time.Duration {
	return time.Duration(float64(h.sim.now-h.startedAt) * h.clockRate)
}

// runGuarded runs f. It turns a simulated power loss into a crash, and any other panic,
// such as a violated invariant, into a failure of the run.
func (h *host) runGuarded(f func()) {
	defer func() {
		switch r := recover().(type) {
		case nil:
		case powerLoss:
			h.sim.counts["power loss in disk operation"]++
			h.endedAt[h.incarnation] = h.busyUntil
			h.crash(h.sim.random(100*time.Millisecond, 3*time.Second))
		default:
			h.sim.fail("%s: %v", h.name, r)
		}
	}()
	f()
}

func (h *host) start() {
	if h.core != nil {
		return
	}
	s := h.sim
	h.incarnation++
	h.startedAt = s.now
	h.busyUntil = s.now
	h.kv = newKV(s)
	var others []string
	for i, o := range s.hosts {
		if o != h && (s.voters == 0 || i < s.voters) {
			others = append(others, o.name)
		}
	}
	config := consensus.Config{Name: h.name, Peers: others, Rand: s.rng, MaxBatchBytes: 96, MaxInflight: 4, SnapshotChunk: 200}
	for _, f := range s.injectedFaults {
		config.InjectFault(f)
	}
	if s.adjustConfig != nil {
		s.adjustConfig(&config)
	}
	h.runGuarded(func() {
		core, err := replica.OpenCore(replica.CoreOptions{
			Consensus: config, FS: h.disk, NewID: func() uint64 { return s.rng.Uint64() | 1 }, Machine: h.kv,
			Send: h.send, SnapshotEvery: 25, SnapshotKeep: 8,
		}, 0)
		if err == nil {
			h.core = core
			return
		}
		if !h.disk.full && !h.disk.failSync && err.Error() != "" && !isInjected(err) {
			s.fail("%s cannot open its data directory: %v", h.name, err)
		}
		s.after(time.Second, h.start)
	})
	expected := h.incarnation
	s.after(0, func() { h.tick(expected) })
}

func (h *host) tick(expected int) {
	if h.incarnation != expected || h.core == nil {
		return
	}
	h.do(func(now time.Duration) { h.core.Tick(now) })
	h.sim.after(20*time.Millisecond, func() { h.tick(expected) })
}

// do runs a step of the replica, once its disk has finished the previous step.
func (h *host) do(step func(now time.Duration)) {
	if h.core == nil {
		return
	}
	expected := h.incarnation
	if h.busyUntil > h.sim.now {
		h.sim.after(h.busyUntil-h.sim.now, func() {
			if h.incarnation == expected {
				h.do(step)
			}
		})
		return
	}
	h.sim.steps++
	h.runGuarded(func() {
		step(h.clock())
		h.core.Flush(h.clock())
	})
	h.sim.checkSingleLeader(h)
	if h.core != nil && h.core.Err() != nil {
		h.sim.counts["step while stopped by a disk error"]++
	}
}

// whenDiskIdle runs f when the disk operations so far are done, unless the process has
// ended by then. Messages sent before a power loss in a disk operation are still delivered.
func (h *host) whenDiskIdle(f func()) {
	expected := h.incarnation
	at := max(h.sim.now, h.busyUntil)
	h.sim.after(at-h.sim.now, func() {
		if h.incarnation == expected || at <= h.endedAt[expected] {
			f()
		}
	})
}

func (h *host) send(m *consensus.Message) {
	body, err := m.Encode()
	if err != nil {
		h.sim.fail("encode a message: %v", err)
		return
	}
	sent := *m
	h.whenDiskIdle(func() { h.sim.transmit(h, &sent, body) })
}

func (s *sim) transmit(from *host, m *consensus.Message, body []byte) {
	for _, to := range s.hosts {
		if to.name != m.ToName || (s.drop != nil && s.drop(from, to, m)) {
			continue
		}
		if s.blocked[[2]int{from.index, to.index}] || s.rng.IntN(1000) < s.lossPerMille {
			s.counts["lost message"]++
			return
		}
		s.deliver(to, body)
		if s.lossPerMille > 0 && s.rng.IntN(50) == 0 {
			s.counts["duplicated message"]++
			s.deliver(to, body)
		}
	}
}

func (s *sim) deliver(to *host, body []byte) {
	delay := s.random(200*time.Microsecond, s.jitter)
	if s.lossPerMille > 0 && s.rng.IntN(20) == 0 {
		s.counts["late message"]++
		delay = s.random(100*time.Millisecond, 5*time.Second)
	}
	s.after(delay, func() {
		m, err := consensus.DecodeMessage(body)
		if err != nil {
			s.fail("decode a message: %v", err)
			return
		}
		to.do(func(now time.Duration) { to.core.Receive(now, m) })
	})
}

// kill ends the process. Everything it wrote remains readable, even if not synced.
func (h *host) kill(downFor time.Duration) {
	h.core = nil
	h.endedAt[h.incarnation] = max(h.endedAt[h.incarnation], h.sim.now)
	h.incarnation++
	h.sim.after(downFor, h.start)
}

// crash simulates a power loss of the host.
func (h *host) crash(downFor time.Duration) {
	h.disk.crash()
	h.kill(downFor)
}

func (s *sim) random(from, to time.Duration) time.Duration {
	return from + time.Duration(s.rng.Int64N(int64(to-from)+1))
}

// checkSingleLeader fails the run if two replicas lead the same term.
func (s *sim) checkSingleLeader(h *host) {
	if h.core == nil {
		return
	}
	st := h.core.Status()
	if st.Role != consensus.RoleLeader {
		return
	}
	if id, ok := s.leaderByTerm[st.Term]; ok && id != st.ID {
		s.fail("term %d has two leaders: %x and %x", st.Term, id, st.ID)
	}
	s.leaderByTerm[st.Term] = st.ID
}

// leader returns the ready leader of the highest term, or nil.
func (s *sim) leader() *host {
	var best *host
	for _, h := range s.hosts {
		if h.core == nil || !h.core.Status().Ready {
			continue
		}
		if best == nil || h.core.Status().Term > best.core.Status().Term {
			best = h
		}
	}
	return best
}

// checkNothingLost verifies that the leader has every write that any replica applied.
func (s *sim) checkNothingLost() {
	l := s.leader()
	if s.failure != "" || l == nil {
		return
	}
	for id := range s.appliedIDs {
		if _, ok := l.kv.state.Done[id]; !ok {
			s.fail("leader %s lacks write %d, which a replica has applied", l.name, id)
			return
		}
	}
}

// kvCommand writes a key. The version of a key is the number of writes to it.
type kvCommand struct {
	ID    uint64 `cbor:"1,keyasint"`
	Key   string `cbor:"2,keyasint"`
	Value uint64 `cbor:"3,keyasint"`
}

type kvItem struct {
	Version uint64 `cbor:"1,keyasint"`
	Value   uint64 `cbor:"2,keyasint"`
}

type kvState struct {
	Index uint64            `cbor:"1,keyasint"`
	Items map[string]kvItem `cbor:"2,keyasint"`
	Done  map[uint64]uint64 `cbor:"3,keyasint"` // request id to version
}

// kvMachine is the replicated state machine of the simulation. After each entry, it
// compares its state with that of other replicas after the same entry.
type kvMachine struct {
	sim   *sim
	state kvState
}

func newKV(s *sim) *kvMachine {
	return &kvMachine{sim: s, state: kvState{Items: map[string]kvItem{}, Done: map[uint64]uint64{}}}
}

func (k *kvMachine) Apply(index, _ uint64, command []byte) any {
	var c kvCommand
	if err := wire.Unmarshal(command, &c); err != nil {
		k.sim.fail("decode a command: %v", err)
		return nil
	}
	if index <= k.state.Index {
		k.sim.fail("entry %d was applied after entry %d", index, k.state.Index)
	}
	k.state.Index = index
	k.sim.appliedIDs[c.ID] = true
	version, done := k.state.Done[c.ID]
	if !done {
		version = k.state.Items[c.Key].Version + 1
		k.state.Items[c.Key] = kvItem{version, c.Value}
		k.state.Done[c.ID] = version
	}
	k.checkDigest()
	return version
}

func (k *kvMachine) checkDigest() {
	b, _ := wire.Marshal(k.state)
	h := fnv.New64a()
	_, _ = h.Write(b)
	digest := h.Sum64()
	if old, ok := k.sim.stateDigests[k.state.Index]; ok && old != digest {
		k.sim.fail("the states of replicas differ after entry %d", k.state.Index)
	}
	k.sim.stateDigests[k.state.Index] = digest
}

func (k *kvMachine) Snapshot() ([]byte, error) { return wire.Marshal(k.state) }

func (k *kvMachine) Restore(b []byte) error {
	k.state = kvState{Items: map[string]kvItem{}, Done: map[uint64]uint64{}}
	if err := wire.Unmarshal(b, &k.state); err != nil {
		return err
	}
	if k.state.Index > 0 {
		k.checkDigest()
	}
	return nil
}
