// Package directory holds a process's view of the targets: where they are, which
// are leaving, and how old that knowledge is.
package directory

import (
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"merlinhall/upstream"
	"merlinhall/wire"
)

// View is one reading of the list of targets. It is immutable.
type View struct {
	Targets   []wire.TargetEntry
	byService map[string][]*wire.TargetEntry // ready targets
	byID      map[string]*wire.TargetEntry
}

// Ready returns the targets of a service that take work.
func (v *View) Ready(service string) []*wire.TargetEntry { return v.byService[service] }

// Target returns the target of that id, or nil.
func (v *View) Target(id string) *wire.TargetEntry { return v.byID[id] }

func newView(targets []wire.TargetEntry) *View {
	v := &View{
		Targets:   targets,
		byService: make(map[string][]*wire.TargetEntry),
		byID:      make(map[string]*wire.TargetEntry),
	}
	for i := range targets {
		t := &targets[i]
		v.byID[t.ID] = t
		if !t.Draining {
			v.byService[t.Service] = append(v.byService[t.Service], t)
		}
	}
	return v
}

// Address returns where connections to t go.
func Address(t *wire.TargetEntry) upstream.Address {
	return upstream.Address{HostPort: t.Address, ID: t.ID}
}

// Directory holds the newest view of a process.
type Directory struct {
	view atomic.Pointer[View]

	mu        sync.Mutex
	heard     time.Time
	term      uint64
	sequence  uint64
	listeners []func(*View)
}

// New returns a directory without targets.
func New() *Directory {
	d := &Directory{}
	d.view.Store(newView(nil))
	return d
}

// View returns the newest view.
func (d *Directory) View() *View { return d.view.Load() }

// OnChange calls f after each change of the view, from the goroutine that made it.
func (d *Directory) OnChange(f func(*View)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listeners = append(d.listeners, f)
}

// Age returns the time since the view was last confirmed. It is very large before
// the first reading.
func (d *Directory) Age(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.heard.IsZero() {
		return time.Hour
	}
	return now.Sub(d.heard)
}

// Replace takes a reading that this process made itself at the time read. It
// reports whether the view changed.
func (d *Directory) Replace(read time.Time, targets []wire.TargetEntry) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if read.Before(d.heard) {
		return false
	}
	d.heard = read
	// The next update of a control leader must carry the list.
	d.term, d.sequence = 0, 0
	return d.store(targets)
}

// Take takes an update of a control leader. An update of an older term or reading
// is ignored. It reports whether the update could be used: one that refers to a
// list that this process lacks cannot.
func (d *Directory) Take(now time.Time, u *wire.TargetUpdate) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	read := now.Add(-time.Duration(u.AgeMs) * time.Millisecond)
	if u.Term < d.term || read.Before(d.heard) && d.term == 0 {
		return true
	}
	if !u.Changed {
		if u.Term != d.term || u.Sequence != d.sequence {
			return false
		}
		d.heard = read
		return true
	}
	if u.Term == d.term && u.Sequence < d.sequence {
		return true
	}
	d.heard, d.term, d.sequence = read, u.Term, u.Sequence
	d.store(u.Targets)
	return true
}

func (d *Directory) store(targets []wire.TargetEntry) bool {
	if reflect.DeepEqual(d.view.Load().Targets, targets) {
		return false
	}
	v := newView(targets)
	d.view.Store(v)
	for _, f := range d.listeners {
		f(v)
	}
	return true
}
