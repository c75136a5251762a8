package rollout

import "merlinhall/wire"

// View is a copy of the ledger state that the planner needs.
type View struct {
	Revision uint64
	Trainers []TrainerView
}

// TrainerView is one trainer of a View.
type TrainerView struct {
	Name    string
	Version uint64
	Bound   uint64
	Pools   []string
	Steps   []StepView // ascending
}

// StepView is one open step.
type StepView struct {
	Step      uint64
	GroupSize int
	Sampling  Sampling
	Groups    []GroupView
}

// GroupView is one group of an open step. Key is set once the group is complete.
type GroupView struct {
	Group  int
	Prompt string
	State  GroupState
	Round  uint32
	Key    wire.BodyKey
	Size   int
}

// View returns a copy of the state that the planner needs. Trainers that are no
// longer in the configuration are omitted.
func (l *Ledger) View() View {
	l.mu.RLock()
	defer l.mu.RUnlock()
	v := View{Revision: l.state.Revision}
	for _, name := range sortedKeys(l.state.Trainers) {
		rules, ok := l.rules(name)
		if !ok {
			continue
		}
		t := l.state.Trainers[name]
		tv := TrainerView{Name: name, Version: t.Version, Bound: rules.Bound, Pools: rules.Pools}
		for _, step := range sortedKeys(t.Steps) {
			tv.Steps = append(tv.Steps, t.Steps[step].view(step))
		}
		v.Trainers = append(v.Trainers, tv)
	}
	return v
}

func (s *stepRecord) view(step uint64) StepView {
	v := StepView{Step: step, GroupSize: s.GroupSize, Sampling: s.Sampling, Groups: make([]GroupView, len(s.Groups))}
	for i, g := range s.Groups {
		v.Groups[i] = GroupView{Group: i, Prompt: g.Prompt, State: g.State, Round: g.Round}
		if g.Commit != nil {
			v.Groups[i].Key = g.Commit.Key
			v.Groups[i].Size = g.Commit.Size
		}
	}
	return v
}

// DrawableBodies returns the keys of the trainer's groups that a draw up to a step could
// return now. upTo 0 means all steps.
func (l *Ledger) DrawableBodies(trainer string, upTo uint64) []wire.BodyKey {
	l.mu.RLock()
	defer l.mu.RUnlock()
	t := l.state.Trainers[trainer]
	if t == nil {
		return nil
	}
	return t.drawable(nil, upTo)
}

// DrawnGroups returns the groups of an unacknowledged draw.
func (l *Ledger) DrawnGroups(trainer, draw string) ([]DrawnGroup, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	t := l.state.Trainers[trainer]
	if t == nil || t.Draws[draw] == nil {
		return nil, false
	}
	return t.Draws[draw].Groups, true
}

// KnowsDraw reports whether a draw id is in use or was acknowledged.
func (l *Ledger) KnowsDraw(trainer, draw string) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	t := l.state.Trainers[trainer]
	if t == nil {
		return false
	}
	if t.Draws[draw] != nil {
		return true
	}
	for _, a := range t.Acked {
		if a.ID == draw {
			return true
		}
	}
	return false
}

// BodyUse tells whether the ledger needs a body.
type BodyUse uint8

// Uses of a body.
const (
	BodyUnused  BodyUse = iota // may be deleted
	BodyPending                // a commit of it may still follow
	BodyNeeded                 // its group is complete or drawn
)

// UseOf reports whether the ledger needs the body, or may need it later.
func (l *Ledger) UseOf(key wire.BodyKey) BodyUse {
	l.mu.RLock()
	defer l.mu.RUnlock()
	t := l.state.Trainers[key.Trainer]
	if t == nil {
		return BodyPending
	}
	g := t.group(key)
	switch {
	case g == nil && key.Step > t.LastStep:
		return BodyPending
	case g == nil:
		return BodyUnused
	case g.Commit != nil && g.Commit.Key == key:
		return BodyNeeded
	case g.State == GroupPending && key.Round >= g.Round, key.Round > g.Round:
		return BodyPending
	}
	return BodyUnused
}

// Revision returns the log index of the last ledger command.
func (l *Ledger) Revision() uint64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.state.Revision
}

// TrainerStatus is the state of one trainer.
type TrainerStatus struct {
	Version uint64            `cbor:"1,keyasint" json:"version"`
	Steps   []uint64          `cbor:"2,keyasint" json:"open_steps"`
	Groups  map[string]int    `cbor:"3,keyasint" json:"groups"`
	Draws   []string          `cbor:"4,keyasint" json:"unacknowledged_draws"`
	Counts  Counts            `cbor:"5,keyasint" json:"counts"`
	Pools   map[string]uint64 `cbor:"6,keyasint" json:"pool_versions"`
}

// poolVersions returns the versions published to the pools of a trainer.
func (l *Ledger) poolVersions(trainer string) map[string]uint64 {
	versions := map[string]uint64{}
	rules, _ := l.rules(trainer)
	for _, pool := range rules.Pools {
		if p := l.state.Pools[pool]; p != nil {
			versions[pool] = p.Version
		}
	}
	return versions
}

// Status returns the state of all trainers by name.
func (l *Ledger) Status() map[string]TrainerStatus {
	l.mu.RLock()
	defer l.mu.RUnlock()
	names := [...]string{"pending", "whole", "drawn", "acknowledged"}
	status := make(map[string]TrainerStatus, len(l.state.Trainers))
	for name, t := range l.state.Trainers {
		s := TrainerStatus{Version: t.Version, Steps: sortedKeys(t.Steps), Groups: map[string]int{}, Draws: sortedKeys(t.Draws), Counts: t.Counts, Pools: l.poolVersions(name)}
		for _, step := range t.Steps {
			for _, g := range step.Groups {
				s.Groups[names[g.State]]++
			}
		}
		status[name] = s
	}
	return status
}
