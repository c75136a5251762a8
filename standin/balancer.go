package standin

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	balancerPeriod  = 100 * time.Millisecond
	balancerTimeout = 500 * time.Millisecond
)

// balancer stands in for the platform's balancer: it chooses among the entries
// whose last readiness answer was good.
type balancer struct {
	client  *http.Client
	scheme  string
	entries []string
	ready   []string
	good    []atomic.Bool
}

func newBalancer(client *http.Client, scheme string, entries, ready []string) *balancer {
	b := &balancer{client: client, scheme: scheme, entries: entries, ready: ready, good: make([]atomic.Bool, len(entries))}
	for i := range b.good {
		b.good[i].Store(true)
	}
	return b
}

// watch asks for readiness until ctx ends.
func (b *balancer) watch(ctx context.Context) {
	for i := range b.ready {
		go b.watchOne(ctx, i)
	}
}

func (b *balancer) watchOne(ctx context.Context, i int) {
	for ctx.Err() == nil {
		b.good[i].Store(b.ask(ctx, b.ready[i]))
		select {
		case <-time.After(balancerPeriod):
		case <-ctx.Done():
		}
	}
}

func (b *balancer) ask(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, balancerTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, b.scheme+"://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := b.client.Do(r)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// choose returns a ready entry, or any when none is ready.
func (b *balancer) choose(random *rand.Rand) string {
	start := random.IntN(len(b.entries))
	for i := range b.entries {
		at := (start + i) % len(b.entries)
		if b.good[at].Load() {
			return b.entries[at]
		}
	}
	return b.entries[start]
}
