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

func rejectf(code Code, format string, args ...any) Outcome {
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
	if detail := validateOpenStep(c); detail != "" {
		return Outcome{Code: CodeInvalid, Detail: detail}
	}
	if _, ok := l.rules(c.Trainer); !ok {
		return rejectf(CodeNotFound, "trainer %q is not in the configuration", c.Trainer)
	}
	t := l.state.Trainers[c.Trainer]
	if t == nil {
		t = newTrainerRecord()
		l.state.Trainers[c.Trainer] = t
	}
	fp := fingerprint(c)
	if known, ok := t.stepFingerprint(c.Step); ok {
		if known != fp {
			return rejectf(CodeConflict, "step %d of trainer %q was opened with other parameters", c.Step, c.Trainer)
		}
		return Outcome{Code: CodeOK, Version: t.Version}
	}
	if t.Opened && c.Step <= t.LastStep {
		return rejectf(CodeConflict, "step %d of trainer %q is not above its last step %d", c.Step, c.Trainer, t.LastStep)
	}
	if len(t.Steps) >= maxOpenSteps {
		return rejectf(CodeLimit, "trainer %q has %d open steps; acknowledge the samples of one first", c.Trainer, len(t.Steps))
	}
	if t.Opened && c.Version != t.Version {
		return rejectf(CodeConflict, "step %d names version %d but trainer %q is at version %d", c.Step, c.Version, c.Trainer, t.Version)
	}
	t.Opened = true
	t.LastStep = c.Step
	t.Version = c.Version
	t.Steps[c.Step] = newStepRecord(c, fp)
	return Outcome{Code: CodeOK, Version: t.Version}
}

func validateOpenStep(c *OpenStep) string {
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

func newStepRecord(c *OpenStep, fp string) *stepRecord {
	s := &stepRecord{Fingerprint: fp, GroupSize: c.GroupSize, Sampling: c.Sampling}
	for _, p := range c.Prompts {
		s.Groups = append(s.Groups, &groupRecord{Prompt: p})
	}
	return s
}

func (t *trainerRecord) stepFingerprint(step uint64) (string, bool) {
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
		return rejectf(CodeNotFound, "trainer %q has no steps", c.Key.Trainer)
	}
	g := t.group(c.Key)
	stale := g == nil || g.State != GroupPending || g.Round != c.Key.Round
	if stale && (g == nil || !l.skipExactlyOnce) {
		if g != nil && g.Commit != nil && g.Commit.Key == c.Key {
			return Outcome{Code: CodeOK, Version: t.Version}
		}
		t.Counts.Repeated++
		t.Counts.Wasted += uint64(c.Tokens + c.Wasted)
		return rejectf(CodeRepeated, "group %d of step %d already has a result", c.Key.Group, c.Key.Step)
	}
	if c.Samples != t.Steps[c.Key.Step].GroupSize {
		return rejectf(CodeInvalid, "group %d has %d samples, its step needs %d", c.Key.Group, c.Samples, t.Steps[c.Key.Step].GroupSize)
	}
	t.Counts.Wasted += uint64(c.Wasted)
	g.State = GroupComplete
	g.Commit = c
	g.CommitIndex = index
	if l.isTooOld(c.Key.Trainer, t, g) {
		t.regenerate(g)
		t.Counts.TooOld++
		return rejectf(CodeTooOld, "group %d of step %d is from version %d", c.Key.Group, c.Key.Step, c.Oldest)
	}
	return Outcome{Code: CodeOK, Version: t.Version}
}

func (l *Ledger) isTooOld(trainer string, t *trainerRecord, g *groupRecord) bool {
	rules, ok := l.rules(trainer)
	if l.skipStaleness {
		return false
	}
	return !ok || g.Commit.Oldest < oldestAllowed(t.Version, rules.Bound)
}

// regenerate resets a complete group to pending, so that it is generated again.
func (t *trainerRecord) regenerate(g *groupRecord) {
	t.Counts.Wasted += uint64(g.Commit.Tokens)
	g.State = GroupPending
	g.Round++
	g.Commit = nil
	g.CommitIndex = 0
}

// regenerateTooOld regenerates all complete groups below the staleness bound.
func (l *Ledger) regenerateTooOld(trainer string, t *trainerRecord) {
	if _, ok := l.rules(trainer); !ok {
		return
	}
	for _, step := range sortedKeys(t.Steps) {
		for _, g := range t.Steps[step].Groups {
			if g.State == GroupComplete && l.isTooOld(trainer, t, g) {
				t.regenerate(g)
				t.Counts.TooOld++
			}
		}
	}
}

func (l *Ledger) draw(c *Draw) Outcome {
	if c.ID == "" || len(c.ID) > maxIDBytes {
		return rejectf(CodeInvalid, "draw_id must have 1 to %d bytes", maxIDBytes)
	}
	if c.MaxGroups < 1 || c.MaxGroups > maxDrawGroups {
		return rejectf(CodeInvalid, "max_groups must be 1 to %d, got %d", maxDrawGroups, c.MaxGroups)
	}
	t := l.state.Trainers[c.Trainer]
	if t == nil {
		return rejectf(CodeNotFound, "trainer %q has no steps", c.Trainer)
	}
	if outcome, known := t.repeatedDraw(c); known {
		return outcome
	}
	if _, ok := l.rules(c.Trainer); !ok {
		return rejectf(CodeNotFound, "trainer %q is not in the configuration", c.Trainer)
	}
	if len(t.Draws) >= maxUnackedDraws {
		return rejectf(CodeLimit, "trainer %q has %d unacknowledged draws", c.Trainer, len(t.Draws))
	}
	l.regenerateTooOld(c.Trainer, t)
	d := &drawRecord{Fingerprint: drawFingerprint(c), Version: t.Version}
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

// repeatedDraw returns the outcome for a draw id that was used before.
func (t *trainerRecord) repeatedDraw(c *Draw) (Outcome, bool) {
	fp := drawFingerprint(c)
	if d := t.Draws[c.ID]; d != nil {
		if d.Fingerprint != fp {
			return rejectf(CodeConflict, "draw %q was made with other parameters", c.ID), true
		}
		return Outcome{Code: CodeOK, Groups: d.Groups, Version: d.Version}, true
	}
	for _, a := range t.Acked {
		if a.ID == c.ID {
			return rejectf(CodeConflict, "draw %q is already acknowledged", c.ID), true
		}
	}
	return Outcome{}, false
}

// drawable returns the body keys of the complete groups up to a step, lowest step
// first and then in commit order. upTo 0 means all steps.
func (t *trainerRecord) drawable(avoid []wire.BodyKey, upTo uint64) []wire.BodyKey {
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
			if g.State == GroupComplete && !slices.Contains(avoid, g.Commit.Key) {
				found = append(found, candidate{g.Commit.Key, g.CommitIndex})
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
		return rejectf(CodeNotFound, "trainer %q has no steps", c.Trainer)
	}
	for _, a := range t.Acked {
		if a.ID == c.ID {
			return Outcome{Code: CodeOK, Version: t.Version}
		}
	}
	d := t.Draws[c.ID]
	if d == nil {
		return rejectf(CodeNotFound, "trainer %q has no draw %q", c.Trainer, c.ID)
	}
	for _, g := range d.Groups {
		t.acknowledgeGroup(g.Key)
	}
	delete(t.Draws, c.ID)
	t.Acked = appendBounded(t.Acked, ackedDraw{ID: c.ID, Fingerprint: d.Fingerprint}, maxAckedDraws)
	t.Counts.Acked += uint64(len(d.Groups))
	return Outcome{Code: CodeOK, Version: t.Version}
}

// acknowledgeGroup marks a group acknowledged and closes its step if it was the last.
func (t *trainerRecord) acknowledgeGroup(key wire.BodyKey) {
	s, g := t.Steps[key.Step], t.group(key)
	if s == nil || g == nil {
		return
	}
	*g = groupRecord{State: GroupAcked, Round: g.Round}
	s.Acked++
	if s.Acked == len(s.Groups) {
		delete(t.Steps, key.Step)
		t.Done = appendBounded(t.Done, doneStep{Step: key.Step, Fingerprint: s.Fingerprint}, maxDoneSteps)
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
		return rejectf(CodeNotFound, "trainer %q is not in the configuration", c.Trainer)
	}
	if !slices.Contains(rules.Pools, c.Pool) {
		return rejectf(CodeInvalid, "trainer %q does not use pool %q", c.Trainer, c.Pool)
	}
	if c.Version == 0 {
		return rejectf(CodeInvalid, "version must be positive; 0 marks tokens that cannot be attributed")
	}
	if c.RequestID == "" || len(c.RequestID) > maxIDBytes {
		return rejectf(CodeInvalid, "request_id must have 1 to %d bytes", maxIDBytes)
	}
	t := l.state.Trainers[c.Trainer]
	if t == nil {
		t = newTrainerRecord()
		l.state.Trainers[c.Trainer] = t
	}
	for _, name := range sortedKeys(t.Published) {
		last := t.Published[name]
		if last == *c {
			return Outcome{Code: CodeOK, Version: t.Version}
		}
		if last.RequestID == c.RequestID {
			return rejectf(CodeConflict, "request %q published version %d to pool %q", c.RequestID, last.Version, last.Pool)
		}
	}
	if c.Version < t.Version {
		return rejectf(CodeConflict, "version %d is below version %d of trainer %q", c.Version, t.Version, c.Trainer)
	}
	pool := l.state.Pools[c.Pool]
	if pool != nil && c.Version <= pool.Version {
		return rejectf(CodeConflict, "pool %q already has version %d, published by trainer %q", c.Pool, pool.Version, pool.Trainer)
	}
	if c.Version > t.Version && len(t.Draws) > 0 && !l.skipUnackedDraws {
		return rejectf(CodeConflict, "draw %q of trainer %q is not acknowledged", sortedKeys(t.Draws)[0], c.Trainer)
	}
	t.Opened = true
	t.Version = c.Version
	t.Published[c.Pool] = *c
	l.state.Pools[c.Pool] = &poolRecord{Version: c.Version, Trainer: c.Trainer, Fence: fence}
	l.regenerateTooOld(c.Trainer, t)
	return Outcome{Code: CodeOK, Version: t.Version}
}

func (l *Ledger) reportLostBody(c *ReportLostBody) Outcome {
	t := l.state.Trainers[c.Key.Trainer]
	if t == nil {
		return rejectf(CodeNotFound, "trainer %q has no steps", c.Key.Trainer)
	}
	g := t.group(c.Key)
	if g == nil || g.Commit == nil || g.Commit.Key != c.Key {
		return rejectf(CodeRepeated, "group %d of step %d has another body", c.Key.Group, c.Key.Step)
	}
	if g.State != GroupComplete && !l.skipDrawnLoss {
		return rejectf(CodeConflict, "group %d of step %d has been drawn", c.Key.Group, c.Key.Step)
	}
	t.regenerate(g)
	t.Counts.Lost++
	return Outcome{Code: CodeOK, Version: t.Version}
}
