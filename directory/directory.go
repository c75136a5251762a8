// Package directory holds a process's view of the targets: their addresses, which of
// them are leaving, and the age of the view.
package directory

import (
	"errors"
	"reflect"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"merlinhall/upstream"
	"merlinhall/wire"
)

// View is an immutable snapshot of the target list.
type View struct {
	Targets   []wire.TargetEntry
	byService map[string][]*wire.TargetEntry // ready targets
	byID      map[string]*wire.TargetEntry
}

// Ready returns the targets of a service that accept requests.
func (v *View) Ready(service string) []*wire.TargetEntry { return v.byService[service] }

// Target returns the target with the given id, or nil.
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

// Accepts reports whether new work may go to the target: it is listed and is not leaving.
func (v *View) Accepts(id string) bool {
	t := v.byID[id]
	return t != nil && !t.Draining
}

// Address returns the address and identity of t for its connections.
func Address(t *wire.TargetEntry) upstream.Address {
	return upstream.Address{HostPort: t.Address, ID: t.ID}
}

// Directory holds the latest view of a process. It is safe for concurrent use.
type Directory struct {
	view        atomic.Pointer[View]
	confirmedAt atomic.Pointer[time.Time] // nil before the first list; set with mu held
	lastRead    atomic.Int32              // readEnd of the last read of this process itself
	readLag     atomic.Int64              // time in ns that recent reads took until this process had them
	heardAt     atomic.Pointer[time.Time] // when the last list, or its confirmation, arrived; nil before the first
	maxAge      time.Duration             // of a view by which work is sent; 0 for no bound

	mu        sync.Mutex
	readAt    time.Time // start of the last read of this process itself
	led       ledList
	leaving   map[string]leavingTarget // by id
	history   history
	listeners []func(*View)
}

// ledList is the last list that a control leader sent.
type ledList struct {
	term     uint64
	sequence uint64
	targets  []wire.TargetEntry
	inView   bool // the view shows it
}

// New returns a directory without targets.
func New() *Directory {
	d := &Directory{leaving: make(map[string]leavingTarget)}
	d.view.Store(newView(nil))
	return d
}

// SetMaxAge sets the age from which work is no longer sent by the view, see Usable. It must be
// called before the directory is used.
func (d *Directory) SetMaxAge(age time.Duration) { d.maxAge = age }

// readEnd is how a read of the list ended.
type readEnd int32

const (
	readOK      readEnd = iota // or there was none
	readRefused                // over the platform's rate
	readFailed                 // the platform does not serve the list
)

func (d *Directory) noteRead(err error) {
	end := readOK
	switch {
	case errors.Is(err, ErrOverRate):
		end = readRefused
	case err != nil:
		end = readFailed
	}
	d.lastRead.Store(int32(end))
}

// Usable reports whether work may be sent to the targets of the view. A view older than
// SetMaxAge may show a target as ready that has been leaving for longer than it serves. It
// is used all the same if this process could not read the list, so that a loss of the list
// does not stop the service, but not if the list is served and only read too often. Work in
// the background can wait, so it also waits for the process's own read.
func (d *Directory) Usable(now time.Time, background bool) bool {
	if d.maxAge == 0 || d.Age(now) <= d.maxAge {
		return true
	}
	switch readEnd(d.lastRead.Load()) {
	case readRefused:
		return false
	case readFailed:
		return true
	}
	return !background
}

// NoteRefusal notes that a read of this process that has not ended was refused for the
// platform's rate.
func (d *Directory) NoteRefusal() { d.lastRead.Store(int32(readRefused)) }

// lagDecay is the share of the difference by which the lag falls with a faster read.
const lagDecay = 0.25

// noteHeard takes how old the list of a read is now that this process has it.
func (d *Directory) noteHeard(now time.Time, lag time.Duration) {
	d.heardAt.Store(&now)
	d.lastRead.Store(int32(readOK))
	before := d.lag()
	if lag < before {
		lag = before - time.Duration(lagDecay*float64(before-lag))
	}
	d.readLag.Store(int64(lag))
}

// lag returns how old the lists of recent reads were when this process had them.
func (d *Directory) lag() time.Duration { return time.Duration(d.readLag.Load()) }

// silence returns the time since this process last heard of a read of the list, its own or
// another's, or one hour before the first.
func (d *Directory) silence(now time.Time) time.Duration {
	at := d.heardAt.Load()
	if at == nil {
		return time.Hour
	}
	return now.Sub(*at)
}

// View returns the latest view.
func (d *Directory) View() *View { return d.view.Load() }

// OnChange calls f after each change of the view, from the goroutine that made it.
func (d *Directory) OnChange(f func(*View)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listeners = append(d.listeners, f)
}

// Age returns the time since the view was last confirmed. Until the first list has been
// received it returns one hour. It may be called by functions passed to OnChange.
func (d *Directory) Age(now time.Time) time.Duration {
	at := d.confirmedAt.Load()
	if at == nil {
		return time.Hour
	}
	return now.Sub(*at)
}

// confirmedAfter reports whether the view was confirmed after the given time. The caller holds
// d.mu.
func (d *Directory) confirmedAfter(at time.Time) bool {
	last := d.confirmedAt.Load()
	return last != nil && at.Before(*last)
}

// Replace stores a list that this process itself read at the time readAt. A list
// older than the view is ignored. Replace reports whether the view changed.
func (d *Directory) Replace(readAt time.Time, targets []wire.TargetEntry) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.replace(readAt, readAt, targets)
}

func (d *Directory) replace(now, readAt time.Time, targets []wire.TargetEntry) bool {
	if d.confirmedAfter(readAt) {
		return false
	}
	d.confirmedAt.Store(&readAt)
	d.readAt = readAt
	changed := d.store(now, targets)
	d.history.read(readAt, d.changedTargets(changed))
	d.led.inView = reflect.DeepEqual(d.view.Load().Targets, d.led.targets)
	return changed
}

// Relay returns an update with the view for other processes, from one that has read the
// list in the leader's place. It has no term. If the view is the last list of a leader, the
// update confirms that list.
func (d *Directory) Relay(now time.Time) *wire.TargetUpdate {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := &wire.TargetUpdate{AgeMs: ageMs(d.Age(now))}
	if d.led.inView && d.led.term > 0 {
		u.Term, u.Sequence = d.led.term, d.led.sequence
		return u
	}
	u.Changed, u.Targets = true, d.view.Load().Targets
	return u
}

func ageMs(age time.Duration) uint32 {
	return uint32(min(max(0, age), time.Hour).Milliseconds())
}

// Update returns an update of the given term and sequence from a process that leads, with
// the view's age and, if it has changed, the targets.
func (d *Directory) Update(now time.Time, term, sequence uint64, changed bool, targets []wire.TargetEntry) *wire.TargetUpdate {
	u := &wire.TargetUpdate{Term: term, Sequence: sequence, Changed: changed, AgeMs: ageMs(d.Age(now))}
	if changed {
		u.Targets = targets
	}
	return u
}

// ApplyUpdate applies an update from a control leader, or the list that another process has
// read in the leader's place. It ignores one of an older term or list. It returns false if
// the update refers to a list that this process doesn't have. The leader's list replaces one
// that this process read itself as soon as the leader has read it later, so that the
// leader's confirmations count again.
func (d *Directory) ApplyUpdate(now time.Time, u *wire.TargetUpdate) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	readAt := now.Add(-time.Duration(u.AgeMs) * time.Millisecond)
	switch {
	case u.Term == 0:
		if u.Changed {
			if !d.confirmedAfter(readAt) {
				d.noteHeard(now, now.Sub(readAt))
			}
			d.replace(now, readAt, u.Targets)
		}
		return true
	case u.Term < d.led.term, u.Term == d.led.term && u.Sequence < d.led.sequence:
		return true
	case u.Changed:
		d.led = ledList{term: u.Term, sequence: u.Sequence, targets: u.Targets}
	case u.Term != d.led.term || u.Sequence != d.led.sequence:
		return false
	}
	if readAt.Before(d.readAt) {
		return true
	}
	if !d.confirmedAfter(readAt) {
		d.noteHeard(now, now.Sub(readAt))
		d.confirmedAt.Store(&readAt)
	}
	changed := false
	if !d.led.inView {
		d.led.inView = true
		changed = d.store(now, d.led.targets)
	}
	d.history.read(readAt, d.changedTargets(changed))
	return true
}

// changedTargets returns the targets of the view if it has changed. The caller holds d.mu.
func (d *Directory) changedTargets(changed bool) []wire.TargetEntry {
	if !changed {
		return nil
	}
	return d.view.Load().Targets
}

// leavingMemory is how long a leaving target is remembered after it was last listed. The
// list may omit a target for a moment.
const leavingMemory = 30 * time.Second

// leavingTarget is a target that said itself that it is leaving. The list shows that later.
type leavingTarget struct {
	startedMs int64     // identifies the run of the target that is leaving
	listedAt  time.Time // when the list last contained it
}

// MarkLeaving notes that a target itself said that it is leaving. From now on it counts as
// draining, whatever the list says, until it starts again. It reports whether that was new.
// A target that is not listed gets no work and is not marked.
func (d *Directory) MarkLeaving(now time.Time, id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.view.Load().byID[id]
	if t == nil {
		return false
	}
	if m, ok := d.leaving[id]; ok && m.startedMs == t.StartedMs {
		return false
	}
	d.leaving[id] = leavingTarget{startedMs: t.StartedMs, listedAt: now}
	if !t.Draining {
		d.store(now, d.view.Load().Targets)
	}
	return true
}

// withLeaving returns the targets with those that said that they are leaving marked as
// draining.
func (d *Directory) withLeaving(now time.Time, targets []wire.TargetEntry) []wire.TargetEntry {
	if len(d.leaving) == 0 {
		return targets
	}
	out := slices.Clone(targets)
	for i := range out {
		m, ok := d.leaving[out[i].ID]
		switch {
		case !ok:
		case out[i].StartedMs != 0 && m.startedMs != out[i].StartedMs: // it has started again
			delete(d.leaving, out[i].ID)
		default:
			m.listedAt = now
			d.leaving[out[i].ID] = m
			out[i].Draining = true
		}
	}
	for id, m := range d.leaving {
		if now.Sub(m.listedAt) > leavingMemory {
			delete(d.leaving, id)
		}
	}
	return out
}

func (d *Directory) store(now time.Time, targets []wire.TargetEntry) bool {
	targets = d.withLeaving(now, targets)
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
