package consensus_test

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"syscall"
	"time"

	"github.com/anishathalye/porcupine"

	"merlinhall/replica"
	"merlinhall/storage"
	"merlinhall/wire"
)

// Limits of a client, in simulated time.
const (
	attemptTimeout = 800 * time.Millisecond
	maxAttempts    = 15
)

type kvOutput struct {
	known bool
	item  kvItem
}

type kvInput struct {
	write bool
	key   string
	value uint64
}

// history records the operations that the clients observed, for porcupine.
type history struct {
	clock      int64
	operations []porcupine.Operation
	refused    []uint64 // ids of writes that certainly had no effect
	nextID     uint64
}

func (h *history) tick() int64 {
	h.clock++
	return h.clock
}

// client runs one operation at a time. It retries a write with the same request id
// until it succeeds or the attempts are used up.
type client struct {
	sim           *sim
	index         int
	target        int
	input         kvInput
	id            uint64
	calledAt      int64
	attempt       int
	uncertain     bool // an attempt may have had an effect
	attemptSerial int  // changes when an attempt starts or ends, so that late answers are ignored
	completedOps  int
	active        bool // an operation is neither finished nor given up
}

func (s *sim) addClients(n int) {
	for i := range n {
		c := &client{sim: s, index: i, target: s.rng.IntN(len(s.hosts))}
		s.clients = append(s.clients, c)
		s.after(s.random(0, time.Second), c.next)
	}
}

func (c *client) next() {
	s := c.sim
	c.active = true
	s.history.nextID++
	c.id = s.history.nextID
	// Clients with odd numbers only read, from any host. A client that writes to an
	// isolated leader would wait there and never read stale data from it.
	reader := c.index%2 == 1
	if reader && s.rng.IntN(2) == 0 {
		c.target = s.rng.IntN(len(s.hosts))
	}
	c.input = kvInput{write: !reader && s.rng.IntN(3) > 0, key: fmt.Sprint("k", s.rng.IntN(4)), value: c.id}
	c.calledAt = s.history.tick()
	c.attempt = 0
	c.uncertain = false
	c.startAttempt()
}

func (c *client) startAttempt() {
	s := c.sim
	c.attempt++
	c.attemptSerial++
	number := c.attemptSerial
	h := s.hosts[c.target]
	if h.core == nil || h.busyUntil > s.now {
		// The connection is refused, so the request certainly had no effect.
		c.retry()
		return
	}
	if c.input.write {
		c.write(h, number)
	} else {
		c.read(h, number)
	}
	s.after(attemptTimeout, func() {
		if c.attemptSerial == number {
			c.uncertain = c.uncertain || c.input.write
			c.retry()
		}
	})
}

func (c *client) write(h *host, number int) {
	command, _ := wire.Marshal(kvCommand{ID: c.id, Key: c.input.key, Value: c.input.value})
	h.do(func(now time.Duration) {
		h.core.Propose(now, command, func(result any, index uint64, err error) {
			if err == nil {
				c.sim.checkQuorumDurable(h, index)
			}
			c.deliverAnswer(h, number, func() { c.writeDone(result, err) })
		})
	})
}

func (c *client) read(h *host, number int) {
	byLease := !c.sim.skewedClocks && c.sim.rng.IntN(2) == 0
	h.do(func(now time.Duration) {
		h.core.Read(now, byLease, func(_, _ uint64, err error) {
			item := h.kv.state.Items[c.input.key]
			c.deliverAnswer(h, number, func() { c.readDone(item, err) })
		})
	})
}

// deliverAnswer calls f with the result of an attempt, unless the simulated network
// loses the answer or it arrives too late.
func (c *client) deliverAnswer(h *host, number int, f func()) {
	h.whenDiskIdle(func() {
		if c.sim.rng.IntN(1000) < c.sim.lossPerMille {
			return
		}
		c.sim.after(c.sim.random(0, c.sim.jitter), func() {
			if c.attemptSerial == number {
				f()
			}
		})
	})
}

func (c *client) writeDone(result any, err error) {
	if err == nil {
		c.finish(kvOutput{true, kvItem{Version: result.(uint64)}})
		return
	}
	if errors.Is(err, replica.ErrUnknownOutcome) {
		c.uncertain = true
		c.sim.counts["unknown outcome"]++
	}
	c.followRedirect(err)
	c.retry()
}

func (c *client) readDone(item kvItem, err error) {
	if err == nil {
		c.finish(kvOutput{true, item})
		return
	}
	c.followRedirect(err)
	c.retry()
}

func (c *client) followRedirect(err error) {
	var notLeader *replica.NotLeaderError
	if errors.As(err, &notLeader) && notLeader.Leader != "" {
		c.target = int(notLeader.Leader[0] - 'a')
		return
	}
	c.target = c.sim.rng.IntN(len(c.sim.hosts))
}

func (c *client) retry() {
	c.attemptSerial++
	s := c.sim
	if c.attempt%2 == 0 {
		c.target = s.rng.IntN(len(s.hosts))
	}
	if c.attempt < maxAttempts {
		s.after(s.random(20*time.Millisecond, 400*time.Millisecond), c.startAttempt)
		return
	}
	c.active = false
	if c.input.write && !c.uncertain {
		s.history.refused = append(s.history.refused, c.id)
	}
	if c.uncertain {
		c.record(kvOutput{}, math.MaxInt64)
	}
	s.after(s.random(0, 100*time.Millisecond), c.next)
}

func (c *client) finish(out kvOutput) {
	c.attemptSerial++
	c.completedOps++
	c.active = false
	c.record(out, c.sim.history.tick())
	c.sim.after(c.sim.random(0, 100*time.Millisecond), c.next)
}

func (c *client) record(out kvOutput, returned int64) {
	s := c.sim
	s.history.operations = append(s.history.operations, porcupine.Operation{
		ClientId: c.index, Input: c.input, Call: c.calledAt, Output: out, Return: returned,
	})
}

// checkQuorumDurable verifies that a majority of the voters has synced an acknowledged
// write. A voter that is down may also have it, so the check applies only while all
// hosts are up.
func (s *sim) checkQuorumDurable(leader *host, index uint64) {
	if voters, holding := s.votersHolding(leader, index); s.allUp() && holding <= voters/2 {
		s.fail("the write at entry %d was acknowledged, but only %d of %d voters have synced it", index, holding, voters)
	}
}

// votersHolding returns the number of voters known to the leader, and how many of them
// are up and have synced the entry at index.
func (s *sim) votersHolding(leader *host, index uint64) (voters, holding int) {
	for _, m := range leader.core.Status().Members {
		if m.Learner {
			continue
		}
		voters++
		for _, h := range s.hosts {
			if h.core != nil && h.core.Status().ID == m.ID && h.core.Durable().Last >= index {
				holding++
			}
		}
	}
	return voters, holding
}

func (s *sim) allUp() bool {
	for _, h := range s.hosts {
		if h.core == nil {
			return false
		}
	}
	return true
}

// kvModel is a set of registers. A write returns the number of writes to its register,
// so that lost and duplicated writes are detected.
var kvModel = porcupine.Model{
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, o := range all {
			key := o.Input.(kvInput).key
			byKey[key] = append(byKey[key], o)
		}
		var parts [][]porcupine.Operation
		for _, key := range sortedKeys(byKey) {
			parts = append(parts, byKey[key])
		}
		return parts
	},
	Init: func() any { return kvItem{} },
	Step: func(state, input, output any) (bool, any) {
		item, in, out := state.(kvItem), input.(kvInput), output.(kvOutput)
		if !in.write {
			return out.item == item, item
		}
		next := kvItem{item.Version + 1, in.value}
		return !out.known || out.item.Version == next.Version, next
	},
}

// verify checks the history of a run for linearizability and for refused writes that
// took effect.
func (s *sim) verify() {
	if s.failure != "" {
		return
	}
	s.checkNothingLost()
	for _, c := range s.clients {
		if c.active && c.input.write {
			c.record(kvOutput{}, math.MaxInt64)
		}
	}
	if result := porcupine.CheckOperationsTimeout(kvModel, s.history.operations, time.Minute); result != porcupine.Ok {
		s.fail("history of %d operations is not linearizable: %s", len(s.history.operations), result)
	}
	for _, h := range s.hosts {
		for _, id := range s.history.refused {
			if h.kv == nil {
				continue
			}
			if _, ran := h.kv.state.Done[id]; ran {
				s.fail("write %d was refused but took effect", id)
			}
		}
	}
}

func isInjected(err error) bool {
	return errors.Is(err, errSync) || errors.Is(err, syscall.ENOSPC) || errors.Is(err, storage.ErrFailed) ||
		strings.Contains(err.Error(), errSync.Error())
}
