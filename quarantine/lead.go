package quarantine

// Lead tells whether this process leads, and in which term.
func (k *Keeper) Lead(leading bool, term uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.term = 0
	if leading {
		k.term = term
		k.judge.lead(k.o.Clock())
	}
}

// Handle answers the question of a process. The caller has made sure that this process leads
// in the given term. It returns false if Lead has not said so yet.
func (k *Keeper) Handle(term uint64, in *Ask) (*Answers, bool) {
	k.mu.Lock()
	if term != k.term || term == 0 {
		k.mu.Unlock()
		return nil, false
	}
	now := k.o.Clock()
	changed := k.learn(in.Records)
	for _, key := range changed {
		k.logChange(now, key)
	}
	for _, b := range in.Released {
		if key, ok := keyOfBytes(b); ok {
			k.judge.release(in.Process, key)
		}
	}
	k.judge.expire(now)
	out := &Answers{Term: k.term}
	for _, w := range in.Wants[:min(len(in.Wants), maxWaiting)] {
		out.Answers = append(out.Answers, k.judge.decide(now, in.Process, w))
	}
	tell := k.toTell(now, changed)
	k.mu.Unlock()
	tell()
	return out, true
}
