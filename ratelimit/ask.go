package ratelimit

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

var errAnswers = eris.New("ratelimit: the leader answered another number of wants")

const (
	// askTimeout bounds a question to the leader. It is above a few round trips.
	askTimeout = 300 * time.Millisecond
	// noAnswerRetry is the Retry-After value of requests for which the leader was not reached,
	// the duration of an election, and noAnswerPause how long it is not asked again.
	noAnswerRetry = 700 * time.Millisecond
	noAnswerPause = 100 * time.Millisecond
	// maxWaiting bounds the requests that wait for the leader's answer.
	maxWaiting = 1024
)

// askFunc asks the control leader.
type askFunc func(ctx context.Context, in *Ask, out *Answers) error

// lineKey names the requests that wait for grants together.
type lineKey struct {
	service  string
	priority int
}

// pause is the time in which they are denied grants without asking the leader.
type pause struct {
	until   time.Duration
	retryAt time.Duration
}

// waiter is a request that waits for the leader's answer.
type waiter struct {
	want   Want
	answer chan Answer
}

// Grant is the permission to send one request to a target.
type Grant struct {
	Target  string // empty if the request is denied
	expires time.Duration
	// RetryAfter is when there is room for a denied request.
	RetryAfter time.Duration
}

// Acquire returns a grant for a request once it may be sent, or a denial. It waits no longer
// than the want's patience and a question to the leader.
func (k *Keeper) Acquire(ctx context.Context, w Want) Grant {
	g := k.acquire(ctx, w)
	if g.Target == "" {
		k.grants.WithLabelValues("denied").Inc()
		return g
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.noteGranted(g.Target, 1)
	return g
}

func (k *Keeper) acquire(ctx context.Context, w Want) Grant {
	askedAt := k.o.Clock()
	waiter := &waiter{want: w, answer: make(chan Answer, 1)}
	if denied, ok := k.enqueue(askedAt, waiter); !ok {
		return denied
	}
	var a Answer
	select {
	case a = <-waiter.answer:
	case <-ctx.Done():
		return Grant{RetryAfter: noAnswerRetry}
	}
	g := grantOf(askedAt, a)
	if a.Delay > 0 {
		select {
		case <-time.After(a.Delay):
		case <-ctx.Done():
			return Grant{RetryAfter: noAnswerRetry}
		}
	}
	return g.at(k.o.Clock())
}

// grantOf returns the grant that the leader's answer to a question means. The turn comes Delay
// after the leader answered, which was after the question.
func grantOf(askedAt time.Duration, a Answer) Grant {
	if a.Target == "" {
		return Grant{RetryAfter: a.RetryAfter}
	}
	return Grant{Target: a.Target, expires: askedAt + a.Delay + grantTime}
}

// at returns the grant if it may still be used, or a denial: the process may have stood still
// since its turn.
func (g Grant) at(now time.Duration) Grant {
	if g.Target != "" && now > g.expires {
		return Grant{RetryAfter: minAskAgain}
	}
	return g
}

// enqueue has the leader asked for a request, or denies it at once.
func (k *Keeper) enqueue(now time.Duration, w *waiter) (denied Grant, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	l := lineKey{w.want.Service, w.want.Priority}
	if p, paused := k.pauses[l]; paused && now < p.until {
		// Requests that are denied together don't come back together.
		after := max(p.retryAt-now, p.until-now)
		return Grant{RetryAfter: min(maxRetryAfter, time.Duration(float64(after)*(1+rand.Float64())))}, false
	}
	if k.ask == nil || len(k.waiting) >= maxWaiting {
		return Grant{RetryAfter: noAnswerRetry}, false
	}
	k.waiting = append(k.waiting, w)
	k.wakeUp()
	return Grant{}, true
}

func (k *Keeper) wakeUp() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Run asks the leader for what the process needs, one question at a time, until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	for {
		select {
		case <-k.wake:
		case <-ctx.Done():
			return
		}
		if !k.askOnce(ctx) {
			select {
			case <-time.After(noAnswerPause):
				k.wakeUp()
			case <-ctx.Done():
				return
			}
		}
	}
}

// askOnce asks the leader for all that is due and reports whether it answered.
func (k *Keeper) askOnce(ctx context.Context) bool {
	in, waiting, ask := k.nextAsk()
	if ask == nil || len(in.Limits) == 0 && len(in.Wants) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var out Answers
	err := ask(ctx, in, &out)
	k.settle(in, waiting, &out, err)
	return err == nil
}

// settle takes the leader's answers to a question, or the error that there are none.
func (k *Keeper) settle(in *Ask, waiting []*waiter, out *Answers, err error) {
	if err == nil && len(out.Answers) != len(waiting) {
		err = errAnswers
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.o.Clock()
	if err != nil {
		k.o.Log.WithFields(logrus.Fields{"wants": len(in.Wants), "limits": len(in.Limits)}).Infof("no grants from the leader: %v", err)
		for _, m := range in.Limits {
			k.untold[m.Target] = true
		}
	}
	if err == nil && out.Term != k.toldTerm {
		k.toldTerm = out.Term
		k.tellAll()
	}
	for i, w := range waiting {
		a := Answer{RetryAfter: noAnswerRetry, AskAgain: noAnswerPause}
		if err == nil {
			a = out.Answers[i]
		}
		l := lineKey{w.want.Service, w.want.Priority}
		if a.Target == "" {
			k.pauses[l] = pause{until: now + min(a.AskAgain, maxRetryAfter), retryAt: now + min(a.RetryAfter, maxRetryAfter)}
		} else {
			delete(k.pauses, l)
		}
		w.answer <- a
	}
}

// nextAsk returns the next question to the leader and who waits for its answers.
func (k *Keeper) nextAsk() (*Ask, []*waiter, askFunc) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ask == nil {
		return nil, nil, nil
	}
	now := k.o.Clock()
	in := &Ask{Process: k.o.Process}
	for target := range k.untold {
		if r, ok := k.book.Reading(target); ok {
			in.Limits = append(in.Limits, r.message(now))
		}
	}
	clear(k.untold)
	waiting := k.waiting
	k.waiting = nil
	for _, w := range waiting {
		in.Wants = append(in.Wants, w.want)
	}
	return in, waiting, k.ask
}

// tellAll has all limits told to a new leader. The caller holds k.mu.
func (k *Keeper) tellAll() {
	for _, r := range k.book.Readings() {
		k.untold[r.Target] = true
	}
	if len(k.untold) > 0 {
		k.wakeUp()
	}
}
