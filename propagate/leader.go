package propagate

import (
	"context"
	"sync"
)

// Leader is what a process knows of the control leader. The zero value knows none.
type Leader struct {
	mu      sync.Mutex
	process string
	changed chan struct{} // closed when process changes; nil until it is waited for
}

// Process returns the leader, or "".
func (l *Leader) Process() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.process
}

// Set notes the leader, or "" if none is known.
func (l *Leader) Set(process string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if process == l.process {
		return
	}
	l.process = process
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

func (l *Leader) get() (process string, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	return l.process, l.changed
}

// UntilOther returns a context that also ends when the leader changes to another process
// than the given one, or to none. A call to a former leader can so go to the next one at
// once. A change to the given process does not end it, because the caller may know of it
// before l does.
func (l *Leader) UntilOther(ctx context.Context, process string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	_, changed := l.get()
	go func() {
		defer cancel()
		for {
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
			var leader string
			if leader, changed = l.get(); leader != process {
				return
			}
		}
	}()
	return ctx, cancel
}
