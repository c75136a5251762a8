package standin

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	readinessPollPeriod  = 100 * time.Millisecond
	readinessPollTimeout = 500 * time.Millisecond
)

// loadBalancer stands in for the platform's load balancer: it chooses among the entries
// whose last readiness check succeeded.
type loadBalancer struct {
	client         *http.Client
	scheme         string
	entries        []string
	readyAddresses []string
	healthy        []atomic.Bool
}

func newLoadBalancer(client *http.Client, scheme string, entries, ready []string) *loadBalancer {
	b := &loadBalancer{client: client, scheme: scheme, entries: entries, readyAddresses: ready, healthy: make([]atomic.Bool, len(entries))}
	for i := range b.healthy {
		b.healthy[i].Store(true)
	}
	return b
}

// poll starts checking the readiness of each entry until ctx is done.
func (b *loadBalancer) poll(ctx context.Context) {
	for i := range b.readyAddresses {
		go b.pollEntry(ctx, i)
	}
}

func (b *loadBalancer) pollEntry(ctx context.Context, i int) {
	for ctx.Err() == nil {
		b.healthy[i].Store(b.checkReady(ctx, b.readyAddresses[i]))
		select {
		case <-time.After(readinessPollPeriod):
		case <-ctx.Done():
		}
	}
}

func (b *loadBalancer) checkReady(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, readinessPollTimeout)
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

// choose returns a random ready entry, or a random entry if none is ready.
func (b *loadBalancer) choose(random *rand.Rand) string {
	start := random.IntN(len(b.entries))
	for i := range b.entries {
		at := (start + i) % len(b.entries)
		if b.healthy[at].Load() {
			return b.entries[at]
		}
	}
	return b.entries[start]
}
