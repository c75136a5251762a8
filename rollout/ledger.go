package rollout

import (
	"slices"
	"sync"

	"github.com/rotisserie/eris"

	"merlinhall/actor"
	"merlinhall/wire"
)

// Limits of the ledger. They keep the control snapshot small.
const (
	maxOpenSteps    = 64
	maxGroups       = 4096 // groups in one step
	maxGroupSize    = 1024
	maxStepBytes    = 2 << 20 // prompts of one step; a log entry must fit a link frame
	maxUnackedDraws = 16      // unacknowledged draws of one trainer
	maxDrawGroups   = 1024
	maxAckedDraws   = 1024 // acknowledged draw ids remembered for resends
	maxDoneSteps    = 64   // completed steps remembered for resends
	maxIDBytes      = 128
)

// TrainerRules are the configured rules of a trainer.
type TrainerRules struct {
	Bound uint64 // largest accepted staleness in versions
	Pools []string
}

// Ledger is the record of steps, groups and draws of all trainers. It is a slice
// of the control state machine: only Apply changes it, and the same commands in
// the same order produce the same state.
type Ledger struct {
	mu       sync.RWMutex
	state    ledgerState
	rules    func(trainer string) (TrainerRules, bool)
	onChange []func()

	// Each switch disables one rule. Tests set them to show that the guarantee
	// depends on the rule.
	skipStaleness, skipExactlyOnce, skipUnackedDraws, skipDrawnLoss bool
}

type ledgerState struct {
	Revision uint64                    `cbor:"1,keyasint"`
	Trainers map[string]*trainerRecord `cbor:"2,keyasint,omitempty"`
	Pools    map[string]*poolRecord    `cbor:"3,keyasint,omitempty"`
}

type poolRecord struct {
	Version uint64     `cbor:"1,keyasint"`
	Trainer string     `cbor:"2,keyasint"`
	Fence   wire.Fence `cbor:"3,keyasint"`
}

type trainerRecord struct {
	Version  uint64                 `cbor:"1,keyasint"`
	LastStep uint64                 `cbor:"2,keyasint"`
	Opened   bool                   `cbor:"3,keyasint"`
	Steps    map[uint64]*stepRecord `cbor:"4,keyasint,omitempty"`
	Done     []doneStep             `cbor:"5,keyasint,omitempty"`
	Draws    map[string]*drawRecord `cbor:"6,keyasint,omitempty"`
	Acked    []ackedDraw            `cbor:"7,keyasint,omitempty"`
	Counts   Counts                 `cbor:"8,keyasint"`
	// Published holds the last publication to each pool.
	Published map[string]Publish `cbor:"9,keyasint,omitempty"`
}

func newTrainerRecord() *trainerRecord {
	t := &trainerRecord{}
	t.initMaps()
	return t
}

// initMaps allocates the maps that a snapshot omits because they were empty.
func (t *trainerRecord) initMaps() {
	if t.Steps == nil {
		t.Steps = map[uint64]*stepRecord{}
	}
	if t.Draws == nil {
		t.Draws = map[string]*drawRecord{}
	}
	if t.Published == nil {
		t.Published = map[string]Publish{}
	}
}

// Counts are totals of one trainer.
type Counts struct {
	Drawn     uint64 `cbor:"1,keyasint" json:"drawn"`     // groups
	Acked     uint64 `cbor:"2,keyasint" json:"acked"`     // groups
	Repeated  uint64 `cbor:"3,keyasint" json:"repeated"`  // duplicate results discarded
	TooOld    uint64 `cbor:"4,keyasint" json:"too_old"`   // groups regenerated because they were too old
	Lost      uint64 `cbor:"5,keyasint" json:"lost"`      // groups regenerated because their body was lost
	Wasted    uint64 `cbor:"6,keyasint" json:"wasted"`    // tokens
	Delivered uint64 `cbor:"7,keyasint" json:"delivered"` // tokens
	// Staleness sums the staleness in versions of the drawn groups.
	Staleness uint64 `cbor:"8,keyasint" json:"staleness_sum"`
}

type doneStep struct {
	Step        uint64 `cbor:"1,keyasint"`
	Fingerprint string `cbor:"2,keyasint"`
}

type stepRecord struct {
	Fingerprint string         `cbor:"1,keyasint"`
	GroupSize   int            `cbor:"2,keyasint"`
	Sampling    Sampling       `cbor:"3,keyasint"`
	Groups      []*groupRecord `cbor:"4,keyasint"`
	Acked       int            `cbor:"5,keyasint"` // groups acknowledged
}

// GroupState is the state of a group.
type GroupState uint8

// States of a group, in order.
const (
	GroupPending  GroupState = iota // its samples are being generated
	GroupComplete                   // its body is stored; it may be drawn
	GroupDrawn                      // it is part of an unacknowledged draw
	GroupAcked                      // the trainer has acknowledged it
)

type groupRecord struct {
	Prompt      string       `cbor:"1,keyasint,omitempty"`
	State       GroupState   `cbor:"2,keyasint"`
	Round       uint32       `cbor:"3,keyasint"` // incremented when the group is regenerated
	Commit      *CommitGroup `cbor:"4,keyasint,omitempty"`
	CommitIndex uint64       `cbor:"5,keyasint,omitempty"` // log index of the commit
}

type drawRecord struct {
	Fingerprint string       `cbor:"1,keyasint"`
	Groups      []DrawnGroup `cbor:"2,keyasint"`
	Version     uint64       `cbor:"3,keyasint"`
}

type ackedDraw struct {
	ID          string `cbor:"1,keyasint"`
	Fingerprint string `cbor:"2,keyasint"`
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{state: newLedgerState(), rules: func(string) (TrainerRules, bool) { return TrainerRules{}, false }}
}

func newLedgerState() ledgerState {
	return ledgerState{Trainers: map[string]*trainerRecord{}, Pools: map[string]*poolRecord{}}
}

// UseRules sets the function that returns a trainer's staleness bound and pools. Its
// result must depend only on the control state machine, such as its configuration
// slice, so that all replicas reach the same decisions.
func (l *Ledger) UseRules(rules func(trainer string) (TrainerRules, bool)) { l.rules = rules }

// OnChange adds a function that is called after each applied command and each
// restore. It must not block. OnChange may be called while commands are being applied.
func (l *Ledger) OnChange(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onChange = append(slices.Clone(l.onChange), f)
}

func (l *Ledger) changed() {
	l.mu.RLock()
	functions := l.onChange
	l.mu.RUnlock()
	for _, f := range functions {
		f()
	}
}

// Name implements control.Slice.
func (l *Ledger) Name() string { return SliceName }

// Apply implements control.Slice. The result is an Outcome.
func (l *Ledger) Apply(index, term uint64, body []byte) any {
	var c Command
	if err := wire.Unmarshal(body, &c); err != nil {
		return Outcome{Code: CodeInvalid, Detail: err.Error()}
	}
	l.mu.Lock()
	outcome := l.apply(index, term, c)
	l.state.Revision = index
	l.checkInvariants()
	l.mu.Unlock()
	l.changed()
	return outcome
}

func (l *Ledger) apply(index, term uint64, c Command) Outcome {
	switch {
	case c.OpenStep != nil:
		return l.openStep(c.OpenStep)
	case c.CommitGroup != nil:
		return l.commitGroup(index, c.CommitGroup)
	case c.Draw != nil:
		return l.draw(c.Draw)
	case c.Ack != nil:
		return l.ack(c.Ack)
	case c.Publish != nil:
		return l.publish(wire.Fence{Term: term, Sequence: index}, c.Publish)
	case c.ReportLostBody != nil:
		return l.reportLostBody(c.ReportLostBody)
	}
	return Outcome{Code: CodeInvalid, Detail: "the command is empty"}
}

// Snapshot implements control.Slice.
func (l *Ledger) Snapshot() ([]byte, error) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return wire.Marshal(l.state)
}

// Restore implements control.Slice.
func (l *Ledger) Restore(snapshot []byte) error {
	state := newLedgerState()
	if err := wire.Unmarshal(snapshot, &state); err != nil {
		return eris.Wrap(err, "restore trainer ledger")
	}
	for _, t := range state.Trainers {
		t.initMaps()
	}
	l.mu.Lock()
	l.state = state
	l.checkInvariants()
	l.mu.Unlock()
	l.changed()
	return nil
}

// checkInvariants asserts the invariants that hold after every command: each drawn
// group is in exactly one unacknowledged draw, and draws contain only drawn groups.
func (l *Ledger) checkInvariants() {
	if l.skipExactlyOnce || l.skipDrawnLoss {
		return
	}
	for name, t := range l.state.Trainers {
		drawn := 0
		for _, s := range t.Steps {
			for _, g := range s.Groups {
				if g.State == GroupDrawn {
					drawn++
				}
			}
		}
		for id, d := range t.Draws {
			drawn -= len(d.Groups)
			for _, g := range d.Groups {
				record := t.group(g.Key)
				actor.Invariant(record != nil && record.State == GroupDrawn, "draw %s of trainer %s contains group %v, which is not in the drawn state", id, name, g.Key)
			}
		}
		actor.Invariant(drawn == 0, "trainer %s has %d drawn groups that are in no draw", name, drawn)
		actor.Invariant(len(t.Draws) <= maxUnackedDraws && len(t.Steps) <= maxOpenSteps, "trainer %s exceeds the ledger limits", name)
	}
}

func (t *trainerRecord) group(key wire.BodyKey) *groupRecord {
	s := t.Steps[key.Step]
	if s == nil || key.Group < 0 || key.Group >= len(s.Groups) {
		return nil
	}
	return s.Groups[key.Group]
}

// Weights implements control.WeightsSource. It returns the weight versions that
// trainers have published, sorted by pool.
func (l *Ledger) Weights() []wire.WeightTarget {
	l.mu.RLock()
	defer l.mu.RUnlock()
	targets := make([]wire.WeightTarget, 0, len(l.state.Pools))
	for _, name := range sortedKeys(l.state.Pools) {
		p := l.state.Pools[name]
		targets = append(targets, wire.WeightTarget{Pool: name, Version: p.Version, Fence: p.Fence, Trainer: p.Trainer})
	}
	return targets
}
