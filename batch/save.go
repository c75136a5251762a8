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
	// minSaveEvents is the number of new events that justifies a log entry. Most texts are
	// complete before they reach it.
	minSaveEvents = 15
)

// saveEnd is the outcome of a proposal of partial texts.
type saveEnd struct {
	tasks []*task
	parts []ledger.Progress
	err   error
}

// saveDueTexts saves the new part of the texts of running items at each saveInterval. The
// results of these items then contain only what came later.
func (r *Runner) saveDueTexts(now time.Time, running []*task) {
	if now.Sub(r.savedAt) < saveInterval {
		return
	}
	r.saveGrownTexts(now, running, minSaveEvents)
}

// saveGrownTexts saves the texts that have at least the given number of new events.
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

// handleSaveEnd notes what the ledger has of the texts now. After a failed proposal this
// is unknown, so the next one contains the complete text.
func (r *Runner) handleSaveEnd(m saveEnd) {
	r.pendingSaves = max(0, r.pendingSaves-1) // an outcome from an earlier term of leadership may have been lost
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

// flushMessage requests that all partial texts are saved; done is closed afterwards.
type flushMessage struct{ done chan struct{} }

// FlushTexts saves the partial texts of all running items before the leadership ends, so
// that the next leader need not generate them again. It returns when they are saved or
// cannot be, or when ctx ends.
func (r *Runner) FlushTexts(ctx context.Context) {
	m := flushMessage{make(chan struct{})}
	if err := r.actor.Offer(m); err != nil {
		r.log.Infof("cannot save partial texts before the stop: %v", err)
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
