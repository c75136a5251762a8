package daemon

import (
	"sync"

	"merlinhall/wire"
)

// worldRelay holds worlds back until the part that takes them has started.
type worldRelay struct {
	mu     sync.Mutex
	target func(*wire.World)
	held   *wire.World
}

func (r *worldRelay) take(w *wire.World) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.target == nil {
		r.held = w
		return
	}
	r.target(w)
}

func (r *worldRelay) passTo(target func(*wire.World)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
	if r.held != nil {
		target(r.held)
		r.held = nil
	}
}
