package quarantine

import "time"

const (
	// trialMargin is added to the time that a request has left until its trial counts as over
	// without a report.
	trialMargin = time.Second
	// maxTrial bounds the time of a trial whose process does not report.
	maxTrial = 30 * time.Second
	// newLeaderPause is the time from the begin of a leadership in which no suspect is tried:
	// one that the former leader let through may still be under way.
	newLeaderPause = 2 * time.Second
	// askAgain is how long a request whose like is being tried waits until it asks again.
	askAgain = 50 * time.Millisecond
	// heldRetry is the Retry-After value of a request that is not tried again by itself.
	heldRetry = 10 * time.Minute
)

// trial is a request that the leader has let through and that has not been reported.
type trial struct {
	process string
	until   time.Duration
}

// judge decides which requests are tried. It is the leader's part and a pure state machine.
type judge struct {
	table  *table
	trials map[Key]trial
	since  time.Duration // begin of the leadership
}

func (j *judge) lead(now time.Duration) {
	j.trials = make(map[Key]trial)
	j.since = now
}

// decide answers a process that wants to send a request now. One request with a key is tried
// at a time, so that each costs one target at most.
func (j *judge) decide(now time.Duration, process string, w Want) Answer {
	k, ok := keyOfBytes(w.Key)
	if !ok {
		return Answer{Verdict: Held, RetryAfter: heldRetry}
	}
	r := j.table.records[k]
	if r == nil || r.strikes() == 0 {
		return Answer{Verdict: Free}
	}
	r.arrivedAt = now
	at, ok := r.tryAt()
	if !ok {
		return Answer{Verdict: Held, RetryAfter: heldRetry, Strikes: r.strikes()}
	}
	if r.strikes() >= suspectStrikes {
		at = max(at, j.since+newLeaderPause)
	}
	if now < at {
		return Answer{Verdict: Held, RetryAfter: at - now, Strikes: r.strikes()}
	}
	if t, busy := j.trials[k]; busy && now < t.until {
		return Answer{Verdict: Busy, RetryAfter: askAgain, Strikes: r.strikes()}
	}
	j.trials[k] = trial{process: process, until: now + min(max(0, w.Left), maxTrial) + trialMargin}
	return Answer{Verdict: Try, Strikes: r.strikes()}
}

// release ends the trial of a process.
func (j *judge) release(process string, k Key) {
	if j.trials[k].process == process {
		delete(j.trials, k)
	}
}

func (j *judge) expire(now time.Duration) {
	for k, t := range j.trials {
		if now >= t.until {
			delete(j.trials, k)
		}
	}
}
