package ratelimit

// Lead tells whether this process leads, and in which term.
func (k *Keeper) Lead(leading bool, term uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.term = 0
	if leading {
		k.term = term
		k.allocator.lead(k.o.Clock())
	}
}

// Handle answers the question of a process. The caller has made sure that this process leads
// in the given term. It returns false if Lead has not said so yet: the turns of the former
// leader may not have ended.
func (k *Keeper) Handle(term uint64, in *Ask) (*Answers, bool) {
	k.mu.Lock()
	if term != k.term || term == 0 {
		k.mu.Unlock()
		return nil, false
	}
	changed, tell := k.learn(in.Limits), k.onChange
	out := k.answerAll(in)
	k.mu.Unlock()
	if len(changed) > 0 {
		tell(changed)
	}
	return out, true
}

// answerAll answers the wants of a question. The caller holds k.mu.
func (k *Keeper) answerAll(in *Ask) *Answers {
	now, view := k.o.Clock(), k.o.Directory.View()
	out := &Answers{Term: k.term}
	for _, w := range in.Wants[:min(len(in.Wants), maxWaiting)] {
		ready := make([]string, 0, len(view.Ready(w.Service)))
		for _, t := range view.Ready(w.Service) {
			ready = append(ready, t.ID)
		}
		out.Answers = append(out.Answers, k.allocator.answer(now, in.Process, w, ready))
	}
	return out
}

// Allowance returns the limit of a target in requests a second, and how many this process,
// which leads, may send it now. It returns false if the target has no limit.
func (k *Keeper) Allowance(target string) (perSecond float64, n int, limited bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	perSecond, n, limited = k.allocator.allowance(k.o.Clock(), target)
	if k.term == 0 {
		n = 0
	}
	return perSecond, n, limited
}

// Take grants this process, which leads, n requests to a target if the first may be sent now.
func (k *Keeper) Take(target string, n int) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, _, limited := k.book.Limit(target); !limited {
		return true
	}
	if k.term == 0 || !k.allocator.take(k.o.Clock(), target, n) {
		return false
	}
	k.noteGranted(target, n)
	return true
}

// noteGranted counts grants of this process. The caller holds k.mu.
func (k *Keeper) noteGranted(target string, n int) {
	k.grants.WithLabelValues("granted").Add(float64(n))
	for range n {
		k.tally(k.granted, target).Add(k.o.Clock(), Use{})
	}
}
