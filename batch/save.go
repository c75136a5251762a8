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
	r.keepTexts(now, running, saveLeast)
}

// keepTexts gives the ledger the texts that have grown by least events or more.
func (r *Runner) keepTexts(now time.Time, running []*task, least int) {
	r.saved = now
	byJob := make(map[*job]*saveEnd)
	for _, t := range running {
		t.text.add(t.run.take())
		if t.saving || len(t.text.events) < least {
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
	r.saves++
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
	r.saves = max(0, r.saves-1) // one of a former leadership may have been lost
	r.endKeeping()
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

// keepMessage asks for all texts to be kept; done is closed when they are.
type keepMessage struct{ done chan struct{} }

// KeepTexts gives the ledger all texts of running items before the leadership ends,
// so that the next leader generates nothing of them again. It returns when they
// are kept or cannot be, or when ctx ends.
func (r *Runner) KeepTexts(ctx context.Context) {
	m := keepMessage{make(chan struct{})}
	if err := r.duty.Offer(m); err != nil {
		r.log.Infof("texts are not kept before the stop: %v", err)
		return
	}
	select {
	case <-m.done:
	case <-ctx.Done():
	}
}

func (r *Runner) keepAll(now time.Time, m keepMessage) {
	if r.leading {
		r.keepTexts(now, r.running(), 1)
	}
	r.keeping = append(r.keeping, m.done)
	r.endKeeping()
}

// endKeeping tells those who wait for texts when no proposal of them is open.
func (r *Runner) endKeeping() {
	if r.saves > 0 {
		return
	}
	for _, done := range r.keeping {
		close(done)
	}
	r.keeping = nil
}
