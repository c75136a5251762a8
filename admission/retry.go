package admission

import (
	"math/rand/v2"
	"time"
)

const (
	// budgetWindow is the time over which retries are compared to requests.
	budgetWindow = 10 * time.Second
	budgetSlots  = 10
	// budgetFloor is the number of retries per window that is always allowed, so
	// that a quiet service can retry at all.
	budgetFloor = 10
	// backoffBase and backoffMax bound the delay before a retry.
	backoffBase = 20 * time.Millisecond
	backoffMax  = 2 * time.Second
)

// Budget bounds retries to a share of the requests of the last ten seconds. When
// many targets fail at once, retries then add a bounded load to the rest.
type Budget struct {
	share float64
	floor int
	slots [budgetSlots]budgetSlot
}

type budgetSlot struct {
	second            int64
	requests, retries int
}

// NewBudget returns a budget of share retries per request.
func NewBudget(share float64) *Budget { return &Budget{share: share, floor: budgetFloor} }

// SetShare changes the share.
func (b *Budget) SetShare(share float64) { b.share = share }

// Request notes a new request.
func (b *Budget) Request(now time.Time) { b.slot(now).requests++ }

// Retry reports whether one more retry is within the budget and, if so, counts it.
func (b *Budget) Retry(now time.Time) bool {
	slot := b.slot(now)
	requests, retries := b.sum(now)
	if float64(retries+1) > b.share*float64(requests)+float64(b.floor) {
		return false
	}
	slot.retries++
	return true
}

// Counts returns the requests and retries of the last ten seconds.
func (b *Budget) Counts(now time.Time) (requests, retries int) { return b.sum(now) }

func (b *Budget) slot(now time.Time) *budgetSlot {
	second := now.Unix()
	s := &b.slots[second%budgetSlots]
	if s.second != second {
		*s = budgetSlot{second: second}
	}
	return s
}

func (b *Budget) sum(now time.Time) (requests, retries int) {
	oldest := now.Add(-budgetWindow).Unix()
	for _, s := range b.slots {
		if s.second > oldest {
			requests += s.requests
			retries += s.retries
		}
	}
	return requests, retries
}

// Backoff returns the delay before retry number n (from 0): exponential, with a
// jitter over the upper half so that requests that failed together spread out.
func Backoff(n int, rng *rand.Rand) time.Duration {
	full := min(backoffBase<<min(n, 10), backoffMax)
	return full/2 + time.Duration(rng.Int64N(int64(full/2)+1))
}
