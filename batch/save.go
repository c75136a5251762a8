package batch

import (
	"context"
	"time"

	"merlinhall/ledger"
)

const (
	// savePeriod is how often the texts of running items are given to the ledger.
	// A new leader generates again what was added since.
	savePeriod = time.Second
	// saveLeast is the number of events from which that is worth an entry; most
	// texts are complete before.
	saveLeast = 15
)

// saveEnd is the end of a proposal of texts.
type saveEnd struct {
	tasks []*task
	parts []ledger.Progress
	err   error
}

// saveTexts gives the ledger what it lacks of the texts of running items. The
// results of these items then carry only what came after.
func (r *Runner) saveTexts(now time.Time, running []*task) {
	if now.Sub(r.saved) < savePeriod {
		return
	}
	r.saved = now
	byJob := make(map[*job]*saveEnd)
	for _, t := range running {
		t.text.add(t.run.take())
		if t.saving || len(t.text.events) < saveLeast {
			continue
		}
		s := byJob[t.job]
		if s == nil {
			s = &saveEnd{}
			byJob[t.job] = s
		}
		t.saving = true
		s.tasks = append(s.tasks, t)
		s.parts = append(s.parts, t.text.progress(t.item.ID))
	}
	for j, s := range byJob {
		r.save(j, s)
	}
}

func (r *Runner) save(j *job, s *saveEnd) {
	body, err := ledger.ProgressCommand(j.sub.ID, s.parts)
	if err != nil {
		r.log.WithField("submission", j.sub.ID).Errorf("texts cannot be encoded: %v", err)
		return
	}
	lead := r.ctx
	go func() {
		ctx, cancel := context.WithTimeout(lead, proposeLimit)
		defer cancel()
		s.err = r.o.Propose(ctx, body)
		r.deliver(lead, *s)
	}()
}

// endSave takes what the ledger holds now. After a failed proposal it may hold
// more than known; the next part then brings the whole text.
func (r *Runner) endSave(m saveEnd) {
	for i, t := range m.tasks {
		t.saving = false
		if m.err == nil {
			t.text.noteHeld(&m.parts[i])
			continue
		}
		t.text.held = false
	}
	if m.err != nil {
		r.log.WithField("items", len(m.tasks)).Infof("texts are not kept: %v", m.err)
	}
}
