package admission

import (
	"math/rand/v2"
	"time"
)

const (
	// budgetWindow is the period over which the numbers of retries and requests are
	// compared. Both are counted in budgetSlots slots of one second each.
	budgetWindow = 10 * time.Second
	budgetSlots  = 10
	// baseRetries is the number of retries per window allowed in addition to the
	// share, so that a service with few requests can retry at all.
	baseRetries = 10
	// backoffBase is the longest delay before the first retry, and backoffMax the
	// longest before any retry.
	backoffBase = 20 * time.Millisecond
	backoffMax  = 2 * time.Second
)

// RetryBudget limits retries to a share of the requests within budgetWindow. When
// many targets fail at once, this bounds the load that retries add to the rest.
type RetryBudget struct {
	share float64
	base  int
	slots [budgetSlots]budgetSlot
}

type budgetSlot struct {
	second            int64
	requests, retries int
}

// NewRetryBudget returns a budget that allows share retries per request.
func NewRetryBudget(share float64) *RetryBudget { return &RetryBudget{share: share, base: baseRetries} }

// SetShare sets the number of retries allowed per request.
func (b *RetryBudget) SetShare(share float64) { b.share = share }

// RecordRequest counts a new request.
func (b *RetryBudget) RecordRequest(now time.Time) { b.slot(now).requests++ }

// AllowRetry reports whether one more retry is within the budget and counts it if so.
func (b *RetryBudget) AllowRetry(now time.Time) bool {
	requests, _ := b.sum(now)
	return b.AllowWithin(now, b.share*float64(requests)+float64(b.base))
}

// AllowWithin is AllowRetry for a given number of retries within budgetWindow.
func (b *RetryBudget) AllowWithin(now time.Time, most float64) bool {
	slot := b.slot(now)
	if _, retries := b.sum(now); float64(retries+1) > most {
		return false
	}
	slot.retries++
	return true
}

// ReturnRetry takes back a retry that was allowed and not made.
func (b *RetryBudget) ReturnRetry(now time.Time) {
	slot := b.slot(now)
	slot.retries = max(0, slot.retries-1)
}

// Counts returns the requests and retries within budgetWindow.
func (b *RetryBudget) Counts(now time.Time) (requests, retries int) { return b.sum(now) }

func (b *RetryBudget) slot(now time.Time) *budgetSlot {
	second := now.Unix()
	s := &b.slots[second%budgetSlots]
	if s.second != second {
		*s = budgetSlot{second: second}
	}
	return s
}

func (b *RetryBudget) sum(now time.Time) (requests, retries int) {
	oldest := now.Add(-budgetWindow).Unix()
	for _, s := range b.slots {
		if s.second > oldest {
			requests += s.requests
			retries += s.retries
		}
	}
	return requests, retries
}

// Backoff returns the delay before retry n, counted from 0. It grows exponentially,
// with jitter over the upper half of the delay so that requests that failed together
// are not retried together.
func Backoff(n int, rng *rand.Rand) time.Duration {
	full := min(backoffBase<<min(n, 10), backoffMax)
	return full/2 + time.Duration(rng.Int64N(int64(full/2)+1))
}
