package directory

import (
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"

	"merlinhall/wire"
)

var now = time.Unix(5000, 0)

func entries(ids ...string) []wire.TargetEntry {
	var out []wire.TargetEntry
	for _, id := range ids {
		out = append(out, wire.TargetEntry{ID: id, Service: "s", Address: id + ":1"})
	}
	return out
}

func ids(d *Directory) []string {
	out := []string{}
	for _, t := range d.View().Ready("s") {
		out = append(out, t.ID)
	}
	return out
}

func TestDrainingTargetsAreNotReady(t *testing.T) {
	is := is.New(t)
	d := New()
	list := entries("a", "b")
	list[0].Draining = true
	is.True(d.Replace(now, list))
	is.Equal(ids(d), []string{"b"})
	is.True(d.View().Target("a") != nil)
}

func TestUpdatesOfAnOlderTermOrSequenceAreIgnored(t *testing.T) {
	is := is.New(t)
	d := New()
	is.True(d.ApplyUpdate(now, &wire.TargetUpdate{Term: 2, Sequence: 5, Changed: true, Targets: entries("a")}))
	is.True(d.ApplyUpdate(now, &wire.TargetUpdate{Term: 1, Sequence: 9, Changed: true, Targets: entries("old")}))
	is.True(d.ApplyUpdate(now, &wire.TargetUpdate{Term: 2, Sequence: 4, Changed: true, Targets: entries("old")}))
	is.Equal(ids(d), []string{"a"})
	is.True(d.ApplyUpdate(now, &wire.TargetUpdate{Term: 3, Sequence: 1, Changed: true, Targets: entries("b")}))
	is.Equal(ids(d), []string{"b"})
}

func TestConfirmationOfAnUnknownListIsReported(t *testing.T) {
	is := is.New(t)
	d := New()
	is.True(!d.ApplyUpdate(now, &wire.TargetUpdate{Term: 1, Sequence: 1}))
	is.True(d.ApplyUpdate(now, &wire.TargetUpdate{Term: 1, Sequence: 1, Changed: true, Targets: entries("a")}))
	is.True(d.ApplyUpdate(now.Add(time.Second), &wire.TargetUpdate{Term: 1, Sequence: 1}))
	is.Equal(d.Age(now.Add(time.Second)), time.Duration(0))
	is.True(!d.ApplyUpdate(now.Add(time.Second), &wire.TargetUpdate{Term: 1, Sequence: 2}))
}

// A process that has lost contact with the leader reads the list itself. An older
// update must not replace that list.
func TestListReadByTheProcessReplacesAnOlderUpdate(t *testing.T) {
	is := is.New(t)
	d := New()
	d.ApplyUpdate(now, &wire.TargetUpdate{Term: 1, Sequence: 1, Changed: true, Targets: entries("a")})
	is.True(d.Replace(now.Add(2*time.Second), entries("b")))
	is.True(!d.Replace(now, entries("older")))
	is.Equal(ids(d), []string{"b"})
	// An update delayed in transit is older than the list that the process has read in
	// the meantime, and is ignored.
	is.True(d.ApplyUpdate(now.Add(2*time.Second), &wire.TargetUpdate{Term: 1, Sequence: 1, Changed: true, Targets: entries("a"), AgeMs: 2000}))
	is.Equal(ids(d), []string{"b"})
	is.True(d.ApplyUpdate(now.Add(3*time.Second), &wire.TargetUpdate{Term: 1, Sequence: 2, Changed: true, Targets: entries("c")}))
	is.Equal(ids(d), []string{"c"})
}

// Guards against a process that reads the list for good after it has read it once: its
// calls use up the platform's rate, and the leader's reads fail for it.
func TestLeaderConfirmsItsListAfterAnOwnRead(t *testing.T) {
	is := is.New(t)
	d := New()
	is.True(d.ApplyUpdate(now, &wire.TargetUpdate{Term: 2, Sequence: 3, Changed: true, Targets: entries("a")}))
	at := now.Add(2 * time.Second)
	is.True(d.Replace(at, entries("b")))
	// A confirmation of a read before the own one does not count.
	is.True(d.ApplyUpdate(at.Add(100*time.Millisecond), &wire.TargetUpdate{Term: 2, Sequence: 3, AgeMs: 300}))
	is.Equal(ids(d), []string{"b"})
	is.Equal(d.Age(at.Add(time.Second)), time.Second)
	at = at.Add(time.Second)
	is.True(d.ApplyUpdate(at, &wire.TargetUpdate{Term: 2, Sequence: 3, AgeMs: 300}))
	is.Equal(ids(d), []string{"a"})
	is.Equal(d.Age(at), 300*time.Millisecond)
	// What a former leader sent before remains outdated.
	is.True(d.Replace(at.Add(time.Second), entries("b")))
	is.True(d.ApplyUpdate(at.Add(2*time.Second), &wire.TargetUpdate{Term: 1, Sequence: 9, Changed: true, Targets: entries("old")}))
	is.Equal(ids(d), []string{"b"})
}

// Guards against a new view that is held back because the read of it took longer than the
// one before.
func TestLaterListOfTheSameLeaderIsShown(t *testing.T) {
	is := is.New(t)
	d := New()
	is.True(d.ApplyUpdate(now, &wire.TargetUpdate{Term: 2, Sequence: 3, Changed: true, Targets: entries("a")}))
	is.True(d.ApplyUpdate(now.Add(500*time.Millisecond), &wire.TargetUpdate{Term: 2, Sequence: 4, Changed: true, Targets: entries("b"), AgeMs: 900}))
	is.Equal(ids(d), []string{"b"})
	is.Equal(d.Age(now.Add(500*time.Millisecond)), 500*time.Millisecond)
}

func TestListenersAreCalledOnChangesOnly(t *testing.T) {
	is := is.New(t)
	d := New()
	calls := 0
	d.OnChange(func(*View) { calls++ })
	d.Replace(now, entries("a"))
	d.Replace(now.Add(time.Second), entries("a"))
	d.Replace(now.Add(2*time.Second), entries("b"))
	is.Equal(calls, 2)
}

// A release, or targets that are emptied while the list is slow: the target's own word
// counts from the response on, and ends with its run.
func TestTargetThatSaysItIsLeavingGetsNoWork(t *testing.T) {
	is := is.New(t)
	d := New()
	list := entries("a", "b")
	list[0].StartedMs = 7
	d.Replace(now, list)
	changes := 0
	d.OnChange(func(*View) { changes++ })
	is.True(d.MarkLeaving(now, "a"))
	is.True(!d.MarkLeaving(now, "a"))
	is.True(!d.MarkLeaving(now, "unknown"))
	is.Equal(ids(d), []string{"b"})
	is.True(!d.View().Accepts("a"))
	is.True(d.View().Accepts("b"))
	is.Equal(changes, 1)
	is.True(!d.Replace(now.Add(time.Second), list)) // the list still calls it ready
	is.Equal(ids(d), []string{"b"})
	is.True(d.ApplyUpdate(now.Add(2*time.Second), &wire.TargetUpdate{Term: 3, Sequence: 1, Changed: true, Targets: list}))
	is.Equal(ids(d), []string{"b"})
	again := entries("a", "b")
	again[0].StartedMs = 9 // it has started again under its id
	d.Replace(now.Add(3*time.Second), again)
	is.Equal(ids(d), []string{"a", "b"})
	is.True(d.View().Accepts("a"))
}

// Guards against work that is sent by a list that is so old that a target may have been
// leaving for longer than it serves, and against a loss of the list that stops the service.
func TestOldViewIsNotUsedWhileTheListIsServed(t *testing.T) {
	type use struct{ callers, background bool }
	for name, c := range map[string]struct {
		read error
		want use
	}{
		"not read yet":  {nil, use{true, false}},
		"over the rate": {eris.Wrap(ErrOverRate, "read"), use{false, false}},
		"not served":    {errors.New("refused"), use{true, true}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := New()
			d.SetMaxAge(2 * time.Second)
			d.Replace(now, entries("a"))
			d.noteRead(c.read)
			usable := func(age time.Duration) use { return use{d.Usable(now.Add(age), false), d.Usable(now.Add(age), true)} }
			is.Equal(usable(2*time.Second), use{true, true})
			is.Equal(usable(2*time.Second+1), c.want)
			d.noteRead(nil)
			d.ApplyUpdate(now.Add(3*time.Second), &wire.TargetUpdate{Term: 1, Sequence: 1, Changed: true, Targets: entries("a")})
			is.Equal(usable(4*time.Second), use{true, true})
		})
	}
}

// Random orders of responses, lists, updates and restarts: a target that said that it is
// leaving is never ready in the same run, and one that never said so always is.
func TestLeavingTargetsInRandomOrders(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		d := New()
		started := map[string]int64{"a": 1, "b": 1, "c": 1}
		said := make(map[string]bool)
		at, sequence := now, uint64(0)
		list := func() []wire.TargetEntry {
			out := entries("a", "b", "c")
			for i := range out {
				out[i].StartedMs = started[out[i].ID]
			}
			return out
		}
		d.Replace(at, list())
		for range 40 {
			id := string(rune('a' + rng.IntN(3)))
			at = at.Add(time.Duration(rng.IntN(4000)-500) * time.Millisecond) // the clock may be set back
			switch rng.IntN(5) {
			case 0:
				d.MarkLeaving(at, id)
				said[id] = true
			case 1:
				d.Replace(at, list())
			case 2:
				sequence++
				d.ApplyUpdate(at, &wire.TargetUpdate{Term: 1 + sequence/5, Sequence: sequence, Changed: true, Targets: list()})
			case 3:
				started[id]++
				said[id] = false
				d = newerView(d, &at, list())
			default:
				short := slices.DeleteFunc(list(), func(e wire.TargetEntry) bool { return e.ID == id })
				d.Replace(at, short)
				d = newerView(d, &at, list())
			}
			for _, e := range d.View().Targets {
				is.Equal(d.View().Accepts(e.ID), !said[e.ID])
			}
		}
	}
}

// newerView replaces the view by a list that is newer than any before.
func newerView(d *Directory, at *time.Time, list []wire.TargetEntry) *Directory {
	*at = at.Add(5 * time.Second)
	d.Replace(*at, list)
	return d
}

// Guards against an entry without a time of start, as of another writer, that ends the memory of
// what a target has said itself: that it is leaving.
func TestEntryWithoutAStartDoesNotEndALeaving(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	entry := wire.TargetEntry{ID: "a", Service: "s", Address: "a:1", Version: "v1", StartedMs: 7}
	d := New()
	d.Replace(now, []wire.TargetEntry{entry})
	is.True(d.MarkLeaving(now, "a"))
	without := entry
	without.StartedMs = 0
	d.Replace(now.Add(time.Second), []wire.TargetEntry{without})
	is.True(d.View().Target("a").Draining)
	d.Replace(now.Add(2*time.Second), []wire.TargetEntry{entry})
	is.True(d.View().Target("a").Draining)
	entry.StartedMs = 8
	d.Replace(now.Add(3*time.Second), []wire.TargetEntry{entry})
	is.True(!d.View().Target("a").Draining) // it has started again
}
