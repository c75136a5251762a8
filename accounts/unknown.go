package accounts

import (
	"sync"
	"time"
)

const (
	// unknownKeyMemory is how long a key that nobody has is refused without asking again.
	unknownKeyMemory = 2 * time.Second
	// maxUnknownKeys bounds the keys that are remembered. A flood of random keys does not
	// use more memory; the rate of questions is bounded elsewhere.
	maxUnknownKeys = 1024
)

// UnknownKeys remembers keys that the newest registry did not have, so that they are
// refused at once. It is safe for concurrent use.
type UnknownKeys struct {
	mu    sync.Mutex
	until map[Digest]time.Time
}

// Add notes that nobody had the key at the time now.
func (u *UnknownKeys) Add(now time.Time, key string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.until == nil || len(u.until) >= maxUnknownKeys {
		u.until = make(map[Digest]time.Time)
	}
	u.until[DigestOf(key)] = now.Add(unknownKeyMemory)
}

// Has reports whether the key was added within unknownKeyMemory.
func (u *UnknownKeys) Has(now time.Time, key string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return now.Before(u.until[DigestOf(key)])
}
