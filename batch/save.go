package batch

import (
	"context"
	"time"

	"merlinhall/ledger"
)

const (
	// saveInterval is how often the texts of running items are given to the ledger.
	// A new leader generates again what was added since.
	saveInterval = time.Second
	// minSaveEvents is the number of events from which that is worth an entry; most
	// texts are complete before.
	minSaveEvents = 15
)

// saveEnd is the end of a proposal of texts.
type saveEnd struct {
	tasks []*task
	parts []ledger.Progress
	err   error
}

// saveDueTexts gives the ledger what it lacks of the texts of running items. The
// results of these items then carry only what came after.
func (r *Runner) saveDueTexts(now time.Time, running []*task) {
	if now.Sub(r.savedAt) < saveInterval {
		return
	}
	r.saveGrownTexts(now, running, minSaveEvents)
}

// saveGrownTexts gives the ledger the texts that have grown by least events or more.
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
		r.log.WithField("submission", j.sub.ID).Errorf("texts cannot be encoded: %v", err)
		return
	}
	r.pendingSaves++
	lead := r.ctx
	go func() {
		ctx, cancel := context.WithTimeout(lead, proposeTimeout)
		defer cancel()
		s.err = r.o.Propose(ctx, body)
		r.deliver(lead, *s)
	}()
}

// handleSaveEnd takes what the ledger holds now. After a failed proposal it may hold
// more than known; the next part then brings the whole text.
func (r *Runner) handleSaveEnd(m saveEnd) {
	r.pendingSaves = max(0, r.pendingSaves-1) // one of a former leadership may have been lost
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
		r.log.WithField("items", len(m.tasks)).Infof("texts are not kept: %v", m.err)
	}
}

// flushMessage asks for all texts to be kept; done is closed when they are.
type flushMessage struct{ done chan struct{} }

// KeepTexts gives the ledger all texts of running items before the leadership ends,
// so that the next leader generates nothing of them again. It returns when they
// are kept or cannot be, or when ctx ends.
func (r *Runner) KeepTexts(ctx context.Context) {
	m := flushMessage{make(chan struct{})}
	if err := r.actor.Offer(m); err != nil {
		r.log.Infof("texts are not kept before the stop: %v", err)
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

// finishFlush tells those who wait for texts when no proposal of them is open.
func (r *Runner) finishFlush() {
	if r.pendingSaves > 0 {
		return
	}
	for _, done := range r.flushWaiters {
		close(done)
	}
	r.flushWaiters = nil
}
