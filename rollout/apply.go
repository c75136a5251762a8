package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"merlinhall/wire"
)

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

func refuse(code Code, format string, args ...any) Outcome {
	return Outcome{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// oldestAllowed returns the oldest weight version that a trainer at version
// accepts under the staleness bound.
func oldestAllowed(version, bound uint64) uint64 {
	if version < bound {
		return 0
	}
	return version - bound
}

func (l *Ledger) openStep(c *OpenStep) Outcome {
	if detail := checkOpenStep(c); detail != "" {
		return Outcome{Code: CodeInvalid, Detail: detail}
	}
	if _, ok := l.rules(c.Trainer); !ok {
		return refuse(CodeNotFound, "trainer %q is not in the configuration", c.Trainer)
	}
	t := l.state.Trainers[c.Trainer]
	if t == nil {
		t = newTrainerBook()
		l.state.Trainers[c.Trainer] = t
	}
	mark := fingerprint(c)
	if known, ok := t.stepFingerprint(c.Step); ok {
		if known != mark {
			return refuse(CodeConflict, "step %d of trainer %q was opened with other parameters", c.Step, c.Trainer)
		}
		return Outcome{Code: CodeOK, Version: t.Version}
	}
	if t.Opened && c.Step <= t.LastStep {
		return refuse(CodeConflict, "step %d of trainer %q is not above its last step %d", c.Step, c.Trainer, t.LastStep)
	}
	if len(t.Steps) >= maxOpenSteps {
		return refuse(CodeLimit, "trainer %q has %d open steps; acknowledge the samples of one first", c.Trainer, len(t.Steps))
	}
	if t.Opened && c.Version != t.Version {
		return refuse(CodeConflict, "step %d names version %d but trainer %q is at version %d", c.Step, c.Version, c.Trainer, t.Version)
	}
	t.Opened = true
	t.LastStep = c.Step
	t.Version = c.Version
	t.Steps[c.Step] = newStepBook(c, mark)
	return Outcome{Code: CodeOK, Version: t.Version}
}

func checkOpenStep(c *OpenStep) string {
	bytes := 0
	for _, p := range c.Prompts {
		bytes += len(p)
	}
	switch {
	case c.Trainer == "" || len(c.Trainer) > maxIDBytes:
		return fmt.Sprintf("the trainer name must have 1 to %d bytes", maxIDBytes)
	case len(c.Prompts) == 0 || len(c.Prompts) > maxGroups:
		return fmt.Sprintf("a step needs 1 to %d prompts, got %d", maxGroups, len(c.Prompts))
	case c.GroupSize < 1 || c.GroupSize > maxGroupSize:
		return fmt.Sprintf("group_size must be 1 to %d, got %d", maxGroupSize, c.GroupSize)
	case c.Sampling.MaxTokens < 1:
		return fmt.Sprintf("sampling.max_tokens must be positive, got %d", c.Sampling.MaxTokens)
	case c.Version == 0:
		return "version must be positive; 0 marks tokens that cannot be attributed"
	case bytes > maxStepBytes:
		return fmt.Sprintf("the prompts of a step have %d bytes, the limit is %d", bytes, maxStepBytes)
	}
	return ""
}

func newStepBook(c *OpenStep, mark string) *stepBook {
	s := &stepBook{Fingerprint: mark, GroupSize: c.GroupSize, Sampling: c.Sampling}
	for _, p := range c.Prompts {
		s.Groups = append(s.Groups, &groupBook{Prompt: p})
	}
	return s
}

func (t *trainerBook) stepFingerprint(step uint64) (string, bool) {
	if s := t.Steps[step]; s != nil {
		return s.Fingerprint, true
	}
	for _, d := range t.Done {
		if d.Step == step {
			return d.Fingerprint, true
		}
	}
	return "", false
}

func (l *Ledger) commitGroup(index uint64, c *CommitGroup) Outcome {
	t := l.state.Trainers[c.Key.Trainer]
	if t == nil {
		return refuse(CodeNotFound, "trainer %q has no steps", c.Key.Trainer)
	}
	g := t.group(c.Key)
	stale := g == nil || g.State != GroupPending || g.Round != c.Key.Round
	if stale && (g == nil || !l.skipExactlyOnce) {
		if g != nil && g.Commit != nil && g.Commit.Key == c.Key {
			return Outcome{Code: CodeOK, Version: t.Version}
		}
		t.Counts.Repeated++
		t.Counts.Wasted += uint64(c.Tokens + c.Wasted)
		return refuse(CodeRepeated, "group %d of step %d already has a result", c.Key.Group, c.Key.Step)
	}
	if c.Samples != t.Steps[c.Key.Step].GroupSize {
		return refuse(CodeInvalid, "group %d has %d samples, its step needs %d", c.Key.Group, c.Samples, t.Steps[c.Key.Step].GroupSize)
	}
	t.Counts.Wasted += uint64(c.Wasted)
	g.State = GroupWhole
	g.Commit = c
	g.Order = index
	if l.tooOld(c.Key.Trainer, t, g) {
		t.regenerate(g)
		t.Counts.TooOld++
		return refuse(CodeTooOld, "group %d of step %d is from version %d", c.Key.Group, c.Key.Step, c.Oldest)
	}
	return Outcome{Code: CodeOK, Version: t.Version}
}

func (l *Ledger) tooOld(trainer string, t *trainerBook, g *groupBook) bool {
	rules, ok := l.rules(trainer)
	if l.skipStaleness {
		return false
	}
	return !ok || g.Commit.Oldest < oldestAllowed(t.Version, rules.Bound)
}

// regenerate sends a whole group back to generation.
func (t *trainerBook) regenerate(g *groupBook) {
	t.Counts.Wasted += uint64(g.Commit.Tokens)
	g.State = GroupPending
	g.Round++
	g.Commit = nil
	g.Order = 0
}

// dropTooOld sends all whole groups below the staleness bound back to
// generation.
func (l *Ledger) dropTooOld(trainer string, t *trainerBook) {
	if _, ok := l.rules(trainer); !ok {
		return
	}
	for _, step := range sortedKeys(t.Steps) {
		for _, g := range t.Steps[step].Groups {
			if g.State == GroupWhole && l.tooOld(trainer, t, g) {
				t.regenerate(g)
				t.Counts.TooOld++
			}
		}
	}
}

func (l *Ledger) draw(c *Draw) Outcome {
	if c.ID == "" || len(c.ID) > maxIDBytes {
		return refuse(CodeInvalid, "draw_id must have 1 to %d bytes", maxIDBytes)
	}
	if c.MaxGroups < 1 || c.MaxGroups > maxDrawGroups {
		return refuse(CodeInvalid, "max_groups must be 1 to %d, got %d", maxDrawGroups, c.MaxGroups)
	}
	t := l.state.Trainers[c.Trainer]
	if t == nil {
		return refuse(CodeNotFound, "trainer %q has no steps", c.Trainer)
	}
	if outcome, known := t.knownDraw(c); known {
		return outcome
	}
	if _, ok := l.rules(c.Trainer); !ok {
		return refuse(CodeNotFound, "trainer %q is not in the configuration", c.Trainer)
	}
	if len(t.Draws) >= maxUnacked {
		return refuse(CodeLimit, "trainer %q has %d unacknowledged draws", c.Trainer, len(t.Draws))
	}
	l.dropTooOld(c.Trainer, t)
	d := &drawBook{Fingerprint: drawFingerprint(c), Version: t.Version}
	for _, key := range t.drawable(c.Avoid, c.UpToStep) {
		if len(d.Groups) == c.MaxGroups {
			break
		}
		g := t.group(key)
		if !l.skipExactlyOnce {
			g.State = GroupDrawn
		}
		d.Groups = append(d.Groups, DrawnGroup{Key: key, Size: g.Commit.Size, Oldest: g.Commit.Oldest})
		t.Counts.Delivered += uint64(g.Commit.Tokens)
		t.Counts.Staleness += t.Version - min(g.Commit.Oldest, t.Version)
	}
	if len(d.Groups) == 0 {
		return Outcome{Code: CodeEmpty, Version: t.Version}
	}
	t.Draws[c.ID] = d
	t.Counts.Drawn += uint64(len(d.Groups))
	return Outcome{Code: CodeOK, Groups: d.Groups, Version: d.Version}
}

func drawFingerprint(c *Draw) string {
	return fingerprint([]uint64{uint64(c.MaxGroups), c.UpToStep})
}

// knownDraw answers a draw id that is already in use.
func (t *trainerBook) knownDraw(c *Draw) (Outcome, bool) {
	mark := drawFingerprint(c)
	if d := t.Draws[c.ID]; d != nil {
		if d.Fingerprint != mark {
			return refuse(CodeConflict, "draw %q was made with other parameters", c.ID), true
		}
		return Outcome{Code: CodeOK, Groups: d.Groups, Version: d.Version}, true
	}
	for _, a := range t.Acked {
		if a.ID == c.ID {
			return refuse(CodeConflict, "draw %q is already acknowledged", c.ID), true
		}
	}
	return Outcome{}, false
}

// drawable returns the bodies of the whole groups up to a step, lowest step first
// and then in order of their commits. upTo 0 means all steps.
func (t *trainerBook) drawable(avoid []wire.BodyKey, upTo uint64) []wire.BodyKey {
	type candidate struct {
		key   wire.BodyKey
		order uint64
	}
	var found []candidate
	for _, step := range sortedKeys(t.Steps) {
		if upTo != 0 && step > upTo {
			break
		}
		for _, g := range t.Steps[step].Groups {
			if g.State == GroupWhole && !slices.Contains(avoid, g.Commit.Key) {
				found = append(found, candidate{g.Commit.Key, g.Order})
			}
		}
	}
	slices.SortStableFunc(found, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.key.Step, b.key.Step), cmp.Compare(a.order, b.order))
	})
	keys := make([]wire.BodyKey, len(found))
	for i, c := range found {
		keys[i] = c.key
	}
	return keys
}

func (l *Ledger) ack(c *Ack) Outcome {
	t := l.state.Trainers[c.Trainer]
	if t == nil {
		return refuse(CodeNotFound, "trainer %q has no steps", c.Trainer)
	}
	for _, a := range t.Acked {
		if a.ID == c.ID {
			return Outcome{Code: CodeOK, Version: t.Version}
		}
	}
	d := t.Draws[c.ID]
	if d == nil {
		return refuse(CodeNotFound, "trainer %q has no draw %q", c.Trainer, c.ID)
	}
	for _, g := range d.Groups {
		t.release(g.Key)
	}
	delete(t.Draws, c.ID)
	t.Acked = appendBounded(t.Acked, ackedDraw{ID: c.ID, Fingerprint: d.Fingerprint}, keptAckedDraws)
	t.Counts.Acked += uint64(len(d.Groups))
	return Outcome{Code: CodeOK, Version: t.Version}
}

// release marks a group acknowledged and forgets its step when it was the last.
func (t *trainerBook) release(key wire.BodyKey) {
	s, g := t.Steps[key.Step], t.group(key)
	if s == nil || g == nil {
		return
	}
	*g = groupBook{State: GroupAcked, Round: g.Round}
	s.Acked++
	if s.Acked == len(s.Groups) {
		delete(t.Steps, key.Step)
		t.Done = appendBounded(t.Done, doneStep{Step: key.Step, Fingerprint: s.Fingerprint}, keptSteps)
	}
}

func appendBounded[T any](list []T, v T, limit int) []T {
	list = append(list, v)
	if len(list) > limit {
		list = slices.Clone(list[len(list)-limit:])
	}
	return list
}

func (l *Ledger) publish(fence wire.Fence, c *Publish) Outcome {
	rules, ok := l.rules(c.Trainer)
	if !ok {
		return refuse(CodeNotFound, "trainer %q is not in the configuration", c.Trainer)
	}
	if !slices.Contains(rules.Pools, c.Pool) {
		return refuse(CodeInvalid, "trainer %q does not use pool %q", c.Trainer, c.Pool)
	}
	if c.Version == 0 {
		return refuse(CodeInvalid, "version must be positive; 0 marks tokens that cannot be attributed")
	}
	if c.RequestID == "" || len(c.RequestID) > maxIDBytes {
		return refuse(CodeInvalid, "request_id must have 1 to %d bytes", maxIDBytes)
	}
	t := l.state.Trainers[c.Trainer]
	if t == nil {
		t = newTrainerBook()
		l.state.Trainers[c.Trainer] = t
	}
	for _, name := range sortedKeys(t.Published) {
		last := t.Published[name]
		if last == *c {
			return Outcome{Code: CodeOK, Version: t.Version}
		}
		if last.RequestID == c.RequestID {
			return refuse(CodeConflict, "request %q published version %d to pool %q", c.RequestID, last.Version, last.Pool)
		}
	}
	if c.Version < t.Version {
		return refuse(CodeConflict, "version %d is below version %d of trainer %q", c.Version, t.Version, c.Trainer)
	}
	pool := l.state.Pools[c.Pool]
	if pool != nil && c.Version <= pool.Version {
		return refuse(CodeConflict, "pool %q already has version %d, published by trainer %q", c.Pool, pool.Version, pool.Trainer)
	}
	if c.Version > t.Version && len(t.Draws) > 0 && !l.skipUnacked {
		return refuse(CodeConflict, "draw %q of trainer %q is not acknowledged", sortedKeys(t.Draws)[0], c.Trainer)
	}
	t.Opened = true
	t.Version = c.Version
	t.Published[c.Pool] = *c
	l.state.Pools[c.Pool] = &poolBook{Version: c.Version, Trainer: c.Trainer, Fence: fence}
	l.dropTooOld(c.Trainer, t)
	return Outcome{Code: CodeOK, Version: t.Version}
}

func (l *Ledger) loseGroup(c *LoseGroup) Outcome {
	t := l.state.Trainers[c.Key.Trainer]
	if t == nil {
		return refuse(CodeNotFound, "trainer %q has no steps", c.Key.Trainer)
	}
	g := t.group(c.Key)
	if g == nil || g.Commit == nil || g.Commit.Key != c.Key {
		return refuse(CodeRepeated, "group %d of step %d has another body", c.Key.Group, c.Key.Step)
	}
	if g.State != GroupWhole && !l.skipDrawnLoss {
		return refuse(CodeConflict, "group %d of step %d has been drawn", c.Key.Group, c.Key.Step)
	}
	t.regenerate(g)
	t.Counts.Lost++
	return Outcome{Code: CodeOK, Version: t.Version}
}
