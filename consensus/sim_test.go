package consensus_test

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"merlinhall/consensus"
	"merlinhall/replica"
	"merlinhall/wire"
)

// sim runs replicas over simulated disks, clocks and a network, all driven by
// one seed.
type sim struct {
	rng     *rand.Rand
	now     time.Duration
	events  eventQueue
	order   uint64
	hosts   []*host
	plant   []consensus.Fault
	skip    bool // planted fault: disks skip syncs
	tune    func(*consensus.Config)
	blocked map[[2]int]bool // from, to
	drop    func(from, to *host, m *consensus.Message) bool
	wild    bool // clocks differ more than the lease allows; it is not used to read
	voters  int  // hosts that are configured as peers; 0 means all
	loss    int  // per thousand messages
	jitter  time.Duration
	steps   int
	counts  map[string]int
	failure string

	leaders map[uint64]uint64 // term to replica id
	applied map[uint64]uint64 // log index to digest of the state after it
	ran     map[uint64]bool   // request ids that any replica has applied
	clients []*client
	history history
}

type host struct {
	sim   *sim
	index int
	name  string
	disk  *simDisk
	core  *replica.Core
	kv    *kvMachine
	boot  time.Duration
	rate  float64               // of its clock
	life  int                   // incarnation
	died  map[int]time.Duration // end of each incarnation
	busy  time.Duration
}

// faultSkipSync is planted in the disks: syncs report success and do nothing.
const faultSkipSync consensus.Fault = "sync skipped"

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].order < q[j].order)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func newSim(seed uint64, hosts int, plant ...consensus.Fault) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), plant: plant, blocked: map[[2]int]bool{}, counts: map[string]int{},
		jitter: 3 * time.Millisecond, leaders: map[uint64]uint64{}, applied: map[uint64]uint64{},
		ran: map[uint64]bool{},
	}
	for _, f := range plant {
		s.skip = s.skip || f == faultSkipSync
	}
	for i := range hosts {
		h := &host{sim: s, died: map[int]time.Duration{}, index: i, name: string(rune('a' + i)), rate: 0.9 + 0.2*s.rng.Float64()}
		h.newDisk()
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
	s.order++
	heap.Push(&s.events, event{s.now + d, s.order, run})
}

// run handles events until the time or a failure.
func (s *sim) run(until time.Duration) {
	for s.failure == "" && len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = max(s.now, until)
}

// runUntil handles events until done or limit.
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

func (h *host) newDisk() {
	h.disk = newSimDisk(h.sim.rng)
	h.disk.skipSync = h.sim.skip
	h.disk.busy = func(d time.Duration) { h.busy = max(h.busy, h.sim.now) + d }
}

func (h *host) clock() time.Duration {
	return time.Duration(float64(h.sim.now-h.boot) * h.rate)
}

// guard runs f and turns a power loss into a crash and a broken invariant into a
// failure of the run.
func (h *host) guard(f func()) {
	defer func() {
		switch r := recover().(type) {
		case nil:
		case powerLoss:
			h.sim.counts["power loss in disk operation"]++
			h.died[h.life] = h.busy
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
	h.life++
	h.boot = s.now
	h.busy = s.now
	h.kv = newKV(s)
	var others []string
	for i, o := range s.hosts {
		if o != h && (s.voters == 0 || i < s.voters) {
			others = append(others, o.name)
		}
	}
	config := consensus.Config{Name: h.name, Peers: others, Rand: s.rng, MaxBatchBytes: 96, MaxInflight: 4, SnapshotChunk: 200}
	for _, f := range s.plant {
		config.InjectFault(f)
	}
	if s.tune != nil {
		s.tune(&config)
	}
	h.guard(func() {
		core, err := replica.OpenCore(replica.CoreOptions{
			Consensus: config, FS: h.disk, NewID: func() uint64 { return s.rng.Uint64() | 1 }, Machine: h.kv,
			Send: h.send, SnapshotEvery: 25, SnapshotKeep: 8,
		}, 0)
		if err == nil {
			h.core = core
			return
		}
		if !h.disk.full && !h.disk.failSync && err.Error() != "" && !isInjected(err) {
			s.fail("%s does not open its folder: %v", h.name, err)
		}
		s.after(time.Second, h.start)
	})
	life := h.life
	s.after(0, func() { h.tick(life) })
}

func (h *host) tick(life int) {
	if h.life != life || h.core == nil {
		return
	}
	h.do(func(now time.Duration) { h.core.Tick(now) })
	h.sim.after(20*time.Millisecond, func() { h.tick(life) })
}

// do steps the replica, after its disk is done with the last step.
func (h *host) do(step func(now time.Duration)) {
	if h.core == nil {
		return
	}
	life := h.life
	if h.busy > h.sim.now {
		h.sim.after(h.busy-h.sim.now, func() {
			if h.life == life {
				h.do(step)
			}
		})
		return
	}
	h.sim.steps++
	h.guard(func() {
		step(h.clock())
		h.core.Flush(h.clock())
	})
	h.sim.check(h)
	if h.core != nil && h.core.Err() != nil {
		h.sim.counts["stopped by disk error"]++
		h.kill(h.sim.random(500*time.Millisecond, 3*time.Second))
	}
}

// emit runs f when the disk operations so far are done, unless the host has gone
// by then. What was sent before a disk operation leaves even if that fails.
func (h *host) emit(f func()) {
	life := h.life
	at := max(h.sim.now, h.busy)
	h.sim.after(at-h.sim.now, func() {
		if h.life == life || at <= h.died[life] {
			f()
		}
	})
}

func (h *host) send(m *consensus.Message) {
	body, err := m.Encode()
	if err != nil {
		h.sim.fail("encode: %v", err)
		return
	}
	sent := *m
	h.emit(func() { h.sim.transmit(h, &sent, body) })
}

func (s *sim) transmit(from *host, m *consensus.Message, body []byte) {
	for _, to := range s.hosts {
		if to.name != m.ToName || (s.drop != nil && s.drop(from, to, m)) {
			continue
		}
		if s.blocked[[2]int{from.index, to.index}] || s.rng.IntN(1000) < s.loss {
			s.counts["lost message"]++
			return
		}
		s.deliver(to, body)
		if s.loss > 0 && s.rng.IntN(50) == 0 {
			s.counts["duplicated message"]++
			s.deliver(to, body)
		}
	}
}

func (s *sim) deliver(to *host, body []byte) {
	delay := s.random(200*time.Microsecond, s.jitter)
	if s.loss > 0 && s.rng.IntN(20) == 0 {
		s.counts["late message"]++
		delay = s.random(100*time.Millisecond, 5*time.Second)
	}
	s.after(delay, func() {
		m, err := consensus.DecodeMessage(body)
		if err != nil {
			s.fail("decode: %v", err)
			return
		}
		to.do(func(now time.Duration) { to.core.Receive(now, m) })
	})
}

// kill ends the process; what it wrote stays readable, synced or not.
func (h *host) kill(downFor time.Duration) {
	h.core = nil
	h.died[h.life] = max(h.died[h.life], h.sim.now)
	h.life++
	h.sim.after(downFor, h.start)
}

// crash cuts the power of the host.
func (h *host) crash(downFor time.Duration) {
	h.disk.crash()
	h.kill(downFor)
}

func (s *sim) random(from, to time.Duration) time.Duration {
	return from + time.Duration(s.rng.Int64N(int64(to-from)+1))
}

// check compares the replicas with each other from outside.
func (s *sim) check(h *host) {
	if h.core == nil {
		return
	}
	st := h.core.Status()
	if st.Role != consensus.RoleLeader {
		return
	}
	if id, ok := s.leaders[st.Term]; ok && id != st.ID {
		s.fail("term %d has leaders %x and %x", st.Term, id, st.ID)
	}
	s.leaders[st.Term] = st.ID
}

// leader returns the host that leads the highest term and may act.
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

// checkKept verifies that the leader still has all that any replica ever applied.
func (s *sim) checkKept() {
	l := s.leader()
	if s.failure != "" || l == nil {
		return
	}
	for id := range s.ran {
		if _, ok := l.kv.state.Done[id]; !ok {
			s.fail("leader %s lacks write %d, which a replica had applied", l.name, id)
			return
		}
	}
}

// kvCommand writes a key. A key's version counts its writes.
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

// kvMachine is the state machine of the simulation. It compares its state after
// each entry with what other replicas had after the same entry.
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
		k.sim.fail("apply: %v", err)
		return nil
	}
	if index <= k.state.Index {
		k.sim.fail("entry %d applied after %d", index, k.state.Index)
	}
	k.state.Index = index
	k.sim.ran[c.ID] = true
	version, done := k.state.Done[c.ID]
	if !done {
		version = k.state.Items[c.Key].Version + 1
		k.state.Items[c.Key] = kvItem{version, c.Value}
		k.state.Done[c.ID] = version
	}
	k.compare()
	return version
}

func (k *kvMachine) compare() {
	b, _ := wire.Marshal(k.state)
	h := fnv.New64a()
	_, _ = h.Write(b)
	digest := h.Sum64()
	if old, ok := k.sim.applied[k.state.Index]; ok && old != digest {
		k.sim.fail("replicas differ after entry %d", k.state.Index)
	}
	k.sim.applied[k.state.Index] = digest
}

func (k *kvMachine) Snapshot() ([]byte, error) { return wire.Marshal(k.state) }

func (k *kvMachine) Restore(b []byte) error {
	k.state = kvState{Items: map[string]kvItem{}, Done: map[uint64]uint64{}}
	if err := wire.Unmarshal(b, &k.state); err != nil {
		return err
	}
	if k.state.Index > 0 {
		k.compare()
	}
	return nil
}
