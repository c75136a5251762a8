package daemon

import (
	"sync"

	"merlinhall/wire"
)

// clusterStateRelay passes cluster states to a receiver. Until the receiver is set it
// keeps the newest one.
type clusterStateRelay struct {
	mu       sync.Mutex
	receiver func(*wire.ClusterState)
	pending  *wire.ClusterState
}

func (r *clusterStateRelay) receive(w *wire.ClusterState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.receiver == nil {
		r.pending = w
		return
	}
	r.receiver(w)
}

func (r *clusterStateRelay) setReceiver(receiver func(*wire.ClusterState)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.receiver = receiver
	if r.pending != nil {
		receiver(r.pending)
		r.pending = nil
	}
}
