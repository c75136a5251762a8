package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"merlinhall/replica"
	"merlinhall/wire"
)

// levelPeriod is the time between two checks whether the level in force can rise.
const levelPeriod = 250 * time.Millisecond

// ErrLevelNotInForce is wrapped by the errors of commands that not all control processes
// understand yet. They were not proposed.
var ErrLevelNotInForce = eris.New("not all control processes understand the command yet")

// levelCommand raises the level in force. It never falls.
type levelCommand struct {
	Raise uint32 `cbor:"1,keyasint"`
}

// levelSlice holds the level in force, up to which control processes use messages, log
// commands and snapshots. See docs/design/upgrades.md.
type levelSlice struct {
	level    atomic.Uint32
	onRaised []func(level uint32)
}

// Name implements Slice.
func (s *levelSlice) Name() string { return "level" }

// Level implements LaterSlice.
func (s *levelSlice) Level() uint32 { return wire.LevelInLog }

// Unused implements LaterSlice.
func (s *levelSlice) Unused() bool { return s.level.Load() == 0 }

// Apply implements Slice.
func (s *levelSlice) Apply(_, _ uint64, body []byte) any {
	var c levelCommand
	if err := wire.Unmarshal(body, &c); err != nil {
		return eris.Wrapf(ErrBadCommand, "%v", err)
	}
	if c.Raise > wire.Level {
		return notUnderstood(s.Name(), c.Raise)
	}
	s.raise(c.Raise)
	return s.level.Load()
}

func (s *levelSlice) raise(to uint32) {
	if to <= s.level.Load() {
		return
	}
	s.level.Store(to)
	for _, f := range s.onRaised {
		f(to)
	}
}

// Snapshot implements Slice.
func (s *levelSlice) Snapshot() ([]byte, error) {
	return wire.Marshal(levelCommand{s.level.Load()})
}

// Restore implements Slice.
func (s *levelSlice) Restore(snapshot []byte) error {
	var c levelCommand
	if err := wire.Unmarshal(snapshot, &c); err != nil {
		return eris.Wrap(err, "decode the level in force")
	}
	s.raise(c.Raise)
	return nil
}

func notUnderstood(slice string, level uint32) error {
	return eris.Wrapf(replica.ErrNotUnderstood, "slice %q at level %d, this program has level %d", slice, level, wire.Level)
}

// Level returns the level in force.
func (m *StateMachine) Level() uint32 { return m.level.level.Load() }

// OnLevel registers f to be called with each new level in force, on the goroutine that
// applies commands. f must not block. It must be called before the first command.
func (m *StateMachine) OnLevel(f func(level uint32)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.level.onRaised = append(m.level.onRaised, f)
}

// commandLevel returns the level that the commands of a slice need.
func (m *StateMachine) commandLevel(slice string) (uint32, error) {
	s := m.slices[slice]
	if s == nil {
		return 0, eris.Wrapf(ErrBadCommand, "no slice %q", slice)
	}
	later, ok := s.(LaterSlice)
	if !ok {
		return 0, nil
	}
	level := later.Level()
	if s != Slice(m.level) && level > m.Level() {
		return 0, eris.Wrapf(ErrLevelNotInForce, "slice %q needs level %d, level %d is in force", slice, level, m.Level())
	}
	return level, nil
}

// ProcessLevel is the level that a control process understands.
type ProcessLevel struct {
	Process string `json:"process"`
	Level   uint32 `json:"level"`
	// Known is false for a member of the group without a link.
	Known bool `json:"known"`
}

// commonLevel returns the level that all processes understand. One of which nothing is known
// may have any level.
func commonLevel(processes []ProcessLevel) uint32 {
	common := uint32(wire.Level)
	for _, p := range processes {
		if !p.Known {
			return 0
		}
		common = min(common, p.Level)
	}
	return common
}

// raiseLevel has the level in force raised once all control processes understand a higher
// one.
func (c *Control) raiseLevel() {
	before := c.options.Machine.Level()
	if before >= wire.Level || !c.options.Log.Status().Leading {
		return
	}
	common := commonLevel(c.options.Levels())
	if common <= before {
		return
	}
	body, err := wire.Marshal(levelCommand{common})
	if err != nil {
		c.logf("cannot encode level %d: %v", common, err)
		return
	}
	ctx, cancel := context.WithTimeout(c.runCtx, c.options.CallTimeout)
	defer cancel()
	if err := c.Commit(ctx, c.options.Machine.level.Name(), body); err != nil {
		c.logf("the level in force could not be raised from %d to %d: %v", before, common, err)
		return
	}
	c.logf("the level in force has been raised from %d to %d; older control processes are no longer taken", before, common)
}
