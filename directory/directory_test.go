package directory

import (
	"testing"
	"time"

	"github.com/matryer/is"

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
