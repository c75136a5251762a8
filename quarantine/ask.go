package quarantine

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"merlinhall/upstream"
)

var errAnswers = eris.New("quarantine: the leader answered another number of wants")

const (
	// askTimeout bounds a question to the leader. It is above a few round trips.
	askTimeout = 300 * time.Millisecond
	// noAnswerRetry is the Retry-After value of requests for which the leader was not reached,
	// the duration of an election.
	noAnswerRetry = 700 * time.Millisecond
	// noAnswerPause is how long a leader that did not answer is not asked again. It doubles
	// with each failure in a row, up to maxNoAnswerPause.
	noAnswerPause    = 100 * time.Millisecond
	maxNoAnswerPause = 500 * time.Millisecond
	// aloneDelay is added to the pause of a suspect that a process tries without the leader.
	// A leader is elected well within it.
	aloneDelay = 10 * time.Second
	// maxWaiting bounds the requests that wait for the leader's answer.
	maxWaiting = 1024
	// tellArrivals is how often the leader is told that a request that is held back still
	// arrives, so that nobody forgets it.
	tellArrivals = forgetAfter / 6
	// expireInterval is the time between two looks for records whose time is over.
	expireInterval = 10 * time.Second
	// retrySpread is the share by which Retry-After values differ at random.
	retrySpread = 0.25
)

// askFunc asks the control leader.
type askFunc func(ctx context.Context, in *Ask, out *Answers) error

// waiter is a request that waits for the leader's answer.
type waiter struct {
	want   Want
	answer chan Answer
}

// Permit is the leave to send a suspect once. Ended must be called with the run.
type Permit struct {
	key     Key
	strikes int
	trial   bool // the leader waits for its end
}

// Decision is what is done with a request.
type Decision struct {
	Send       bool
	Permit     *Permit // set if the request is suspect
	Strikes    int
	RetryAfter time.Duration // set if it must not be sent
}

// Acquire returns whether a request may be sent. While one like it is being tried it waits for
// the outcome, no longer than patience.
func (k *Keeper) Acquire(ctx context.Context, r *upstream.Request, account string, left, patience time.Duration) Decision {
	key, suspect := k.Suspect(r, account)
	if !suspect {
		return Decision{Send: true}
	}
	d := k.acquire(ctx, key, left, k.o.Clock()+patience)
	decision := "held"
	switch {
	case d.Send && d.Permit == nil:
		decision = "free"
	case d.Send && !d.Permit.trial:
		decision = "alone"
	case d.Send:
		decision = "tried"
	default:
		d.RetryAfter = time.Duration(float64(d.RetryAfter) * (1 + retrySpread*rand.Float64()))
	}
	k.decisions.WithLabelValues(decision).Inc()
	if k.lines.Allow(time.Now()) {
		k.o.Log.WithFields(logrus.Fields{"key": key.String(), "request": r.ID, "decision": decision, "strikes": d.Strikes, "retry_after_ms": d.RetryAfter.Milliseconds()}).Info("request under whose like targets ended")
	}
	return d
}

func (k *Keeper) acquire(ctx context.Context, key Key, left time.Duration, until time.Duration) Decision {
	for {
		k.mu.Lock()
		d, decided := k.decideHere(key)
		changed := k.changed
		k.mu.Unlock()
		if decided {
			return d
		}
		a, ok := k.question(ctx, key, left)
		d, busy := k.decideBy(key, a, ok, k.o.Clock() >= until)
		if !busy {
			return d
		}
		select {
		case <-changed:
		case <-time.After(askAgain):
		case <-ctx.Done():
			return d
		}
	}
}

// decideBy decides by the leader's answer, or without one if ok is false. busy is set if the
// request may wait for another one with the key that is being tried. After one end it goes on
// all the same when it has waited enough: the process that tries the other may be cut off.
func (k *Keeper) decideBy(key Key, a Answer, ok, waited bool) (d Decision, busy bool) {
	switch {
	case !ok:
		return k.decideAlone(key), false
	case a.Verdict == Free:
		k.answeredElsewhere(key)
		return Decision{Send: true}, false
	case a.Verdict == Try:
		return Decision{Send: true, Permit: &Permit{key: key, strikes: a.Strikes, trial: true}, Strikes: a.Strikes}, false
	}
	d = Decision{Strikes: a.Strikes, RetryAfter: a.RetryAfter}
	if a.Verdict == Busy && waited && a.Strikes < suspectStrikes {
		return Decision{Send: true, Permit: &Permit{key: key, strikes: a.Strikes}, Strikes: a.Strikes}, false
	}
	return d, a.Verdict == Busy && !waited
}

// decideHere decides by what this process knows, or returns false if the leader must be asked.
// The caller holds k.mu.
func (k *Keeper) decideHere(key Key) (Decision, bool) {
	r := k.table.records[key]
	if r == nil || r.strikes() == 0 {
		return Decision{Send: true}, true
	}
	now := k.o.Clock()
	r.arrivedAt = now
	if now-r.toldAt > tellArrivals {
		r.toldAt = now
		k.untold[key] = true
		k.wakeUp()
	}
	at, ok := r.tryAt()
	switch {
	case !ok:
		return Decision{Strikes: r.strikes(), RetryAfter: heldRetry}, true
	case now < at:
		return Decision{Strikes: r.strikes(), RetryAfter: at - now}, true
	}
	return Decision{}, false
}

// decideAlone decides without the leader. After one end a request goes on as any other;
// a suspect is tried later than a leader would let it.
func (k *Keeper) decideAlone(key Key) Decision {
	k.mu.Lock()
	defer k.mu.Unlock()
	r := k.table.records[key]
	if r == nil || r.strikes() == 0 {
		return Decision{Send: true}
	}
	now, strikes := k.o.Clock(), r.strikes()
	permit := &Permit{key: key, strikes: strikes}
	if strikes < suspectStrikes {
		return Decision{Send: true, Permit: permit, Strikes: strikes}
	}
	at, ok := r.tryAt()
	if last, tried := k.alone[key]; tried {
		at = max(at, last)
	}
	if !ok || now < at+aloneDelay {
		return Decision{Strikes: strikes, RetryAfter: noAnswerRetry}
	}
	k.alone[key] = now
	return Decision{Send: true, Permit: permit, Strikes: strikes}
}

// answeredElsewhere takes the leader's word that a request has been answered.
func (k *Keeper) answeredElsewhere(key Key) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.table.answer(k.o.Clock(), key) {
		k.noteChanges([]Key{key})
	}
}

// Release gives back a permit: its request was not sent, or its run is over.
func (k *Keeper) Release(p *Permit) {
	if p == nil || !p.trial {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.released = append(k.released, p.key.bytes())
	k.wakeUp()
}

// question asks the leader for leave to send a request. It returns false if there is no
// answer.
func (k *Keeper) question(ctx context.Context, key Key, left time.Duration) (Answer, bool) {
	w := &waiter{want: Want{Key: key.bytes(), Left: left}, answer: make(chan Answer, 1)}
	k.mu.Lock()
	if k.ask == nil || k.paused || len(k.waiting) >= maxWaiting {
		k.mu.Unlock()
		return Answer{}, false
	}
	k.waiting = append(k.waiting, w)
	if k.table.strikes(key) > 0 {
		k.untold[key] = true // the leader may not know what this process has just seen
	}
	k.wakeUp()
	k.mu.Unlock()
	select {
	case a, ok := <-w.answer:
		return a, ok
	case <-ctx.Done():
		return Answer{}, false
	}
}

func (k *Keeper) wakeUp() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Run tells and asks the leader, one question at a time, until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	defer k.store.close()
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	pause := noAnswerPause
	for {
		select {
		case <-k.wake:
		case <-ticker.C:
			k.expire()
		case <-ctx.Done():
			return
		}
		if k.askOnce(ctx) {
			pause = noAnswerPause
			continue
		}
		select {
		case <-time.After(pause):
			k.resume()
		case <-ctx.Done():
			return
		}
		pause = min(2*pause, maxNoAnswerPause)
	}
}

// resume lets questions to the leader go on after a pause.
func (k *Keeper) resume() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.paused = false
	k.wakeUp()
}

// askOnce asks the leader for all that is due and reports whether it answered.
func (k *Keeper) askOnce(ctx context.Context) bool {
	in, waiting, ask := k.nextAsk()
	if ask == nil || len(in.Records) == 0 && len(in.Wants) == 0 && len(in.Released) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var out Answers
	err := ask(ctx, in, &out)
	if err == nil && len(out.Answers) != len(waiting) {
		err = errAnswers
	}
	k.settle(in, waiting, &out, err)
	return err == nil
}

// nextAsk returns the next question to the leader and who waits for its answers.
func (k *Keeper) nextAsk() (*Ask, []*waiter, askFunc) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ask == nil {
		return nil, nil, nil
	}
	now := k.o.Clock()
	in := &Ask{Process: k.o.Process, Released: k.released}
	for key := range k.untold {
		if r := k.table.records[key]; r != nil {
			in.Records = append(in.Records, r.message(now, key))
		}
	}
	clear(k.untold)
	waiting := k.waiting
	k.waiting, k.released = nil, nil
	for _, w := range waiting {
		in.Wants = append(in.Wants, w.want)
	}
	return in, waiting, k.ask
}

// settle takes the leader's answers to a question, or the error that there are none.
func (k *Keeper) settle(in *Ask, waiting []*waiter, out *Answers, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		k.o.Log.WithFields(logrus.Fields{"wants": len(in.Wants), "records": len(in.Records)}).Infof("no answer of the leader on suspect requests: %v", err)
		for i := range in.Records {
			if key, ok := keyOfBytes(in.Records[i].Key); ok {
				k.untold[key] = true
			}
		}
		k.released = append(k.released, in.Released...)
		k.paused = true // requests that come meanwhile do not wait for the next question
		for _, w := range append(waiting, k.waiting...) {
			close(w.answer)
		}
		k.waiting = nil
		return
	}
	for i, w := range waiting {
		w.answer <- out.Answers[i]
	}
	if out.Term != k.toldTerm {
		k.toldTerm = out.Term
		k.tell(func(Key, *record) bool { return true })
	}
}
