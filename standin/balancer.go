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
	entries []string
	ready   []string
	good    []atomic.Bool
}

func newBalancer(entries, ready []string) *balancer {
	b := &balancer{entries: entries, ready: ready, good: make([]atomic.Bool, len(entries))}
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
	client := &http.Client{Timeout: balancerTimeout}
	for ctx.Err() == nil {
		resp, err := client.Get("http://" + b.ready[i] + "/readyz")
		b.good[i].Store(err == nil && resp.StatusCode == http.StatusOK)
		if err == nil {
			_ = resp.Body.Close()
		}
		select {
		case <-time.After(balancerPeriod):
		case <-ctx.Done():
		}
	}
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
