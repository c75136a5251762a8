package batch

import (
	"context"
	"time"

	"merlinhall/ledger"
)

const (
	// saveInterval is how often the partial texts of running items are saved in the
	// ledger. A new leader has to generate again what was added since.
	saveInterval = time.Second
	// minSaveEvents is the number of new events from which a text is saved. A save is an
	// entry in the replicated log, and most texts are complete with fewer events.
	minSaveEvents = 15
)

// saveEnd is a proposal of partial texts and, once it has ended, its error.
type saveEnd struct {
	tasks []*task
	parts []ledger.Progress
	err   error
}

// saveDueTexts saves, once per saveInterval, the texts of running items that have at least
// minSaveEvents new events. The result of an item then contains only the events after the
// saved ones.
func (r *Runner) saveDueTexts(now time.Time, running []*task) {
	if now.Sub(r.savedAt) < saveInterval {
		return
	}
	r.saveGrownTexts(now, running, minSaveEvents)
}

// saveGrownTexts takes the new events of the running tasks and saves the texts that have
// at least the given number of unsaved events and no save in progress.
func (r *Runner) saveGrownTexts(now time.Time, running []*task, least int) {
	r.savedAt = now
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
		r.log.WithField("submission", j.sub.ID).Errorf("cannot encode partial texts: %v", err)
		return
	}
	r.pendingSaves++
	leadCtx := r.ctx
	go func() {
		ctx, cancel := context.WithTimeout(leadCtx, proposeTimeout)
		defer cancel()
		s.err = r.o.Propose(ctx, body)
		r.deliver(leadCtx, *s)
	}()
}

// handleSaveEnd marks the proposed parts as saved. After a failed proposal it is unknown
// what the ledger has of the texts, so the next one contains the complete text.
func (r *Runner) handleSaveEnd(m saveEnd) {
	r.pendingSaves = max(0, r.pendingSaves-1) // the outcome of a save from an earlier term may arrive after the count was reset
	r.finishFlush()
	for i, t := range m.tasks {
		t.saving = false
		if m.err == nil {
			t.text.markSaved(&m.parts[i])
			continue
		}
		t.text.inLedger = false
	}
	if m.err != nil {
		r.log.WithField("items", len(m.tasks)).Infof("cannot save partial texts: %v", m.err)
	}
}

// flushMessage requests that all partial texts are saved. done is closed when no save is in
// progress any more.
type flushMessage struct{ done chan struct{} }

// FlushTexts saves the partial texts of all running items before the leadership ends, so
// that the next leader need not generate them again. If a save of a text is already in
// progress, later events of that text are not saved. It returns when all saves have ended,
// successfully or not, or when ctx ends.
func (r *Runner) FlushTexts(ctx context.Context) {
	m := flushMessage{make(chan struct{})}
	if err := r.actor.Offer(m); err != nil {
		r.log.Infof("cannot save partial texts before the leadership ends: %v", err)
		return
	}
	select {
	case <-m.done:
	case <-ctx.Done():
	}
}

func (r *Runner) handleFlush(now time.Time, m flushMessage) {
	if r.leading {
		r.saveGrownTexts(now, r.running(), 1)
	}
	r.flushWaiters = append(r.flushWaiters, m.done)
	r.finishFlush()
}

// finishFlush closes the channels of all flushes once no proposal of partial texts is in
// progress.
func (r *Runner) finishFlush() {
	if r.pendingSaves > 0 {
		return
	}
	for _, done := range r.flushWaiters {
		close(done)
	}
	r.flushWaiters = nil
}
