package directory

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/wire"
)

// Guards against streams that go on at a software version although another one was in service
// within their lifetime, or may have been while the list was not read.
func TestSoleSoftwareIsKnownFromAllReadings(t *testing.T) {
	is := is.New(t)
	start, at := time.Now(), time.Duration(0)
	target := func(id, version string, draining bool) wire.TargetEntry {
		return wire.TargetEntry{ID: id, Service: "s", Address: id, Version: version, Draining: draining}
	}
	d := New()
	read := func(until time.Duration, targets ...wire.TargetEntry) {
		for ; at < until; at += time.Second {
			d.Replace(start.Add(at), targets)
		}
	}
	sole := func() string {
		software, ok := d.Sole(start.Add(at), "s", 30*time.Second)
		if !ok {
			return ""
		}
		return software.Version
	}
	is.Equal(sole(), "")
	read(30*time.Second, target("a", "v1", false))
	is.Equal(sole(), "v1")
	read(40*time.Second, target("a", "v1", false), target("b", "v1", false))
	is.Equal(sole(), "v1")
	read(50*time.Second, target("a", "v1", true), target("b", "v2", false))
	is.Equal(sole(), "")
	read(70*time.Second, target("b", "v2", false))
	is.Equal(sole(), "") // callers may still have streams of the former version
	read(81*time.Second, target("b", "v2", false))
	is.Equal(sole(), "v2")
	at += 2 * maxListGap
	is.Equal(sole(), "") // nobody has read the list
	read(at+10*time.Second, target("b", "v2", false))
	is.Equal(sole(), "")
	read(at+21*time.Second, target("b", "v2", false))
	is.Equal(sole(), "v2")
	read(at+60*time.Second, target("b", "", false), target("c", "", false))
	is.Equal(sole(), "") // unknown versions differ
	_, ok := d.Sole(start.Add(at), "other", 0)
	is.True(!ok)
}

// Guards against a history that has gaps where the list comes from other processes.
func TestSoleSoftwareIsKnownFromConfirmations(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	d := New()
	targets := []wire.TargetEntry{{ID: "a", Service: "s", Address: "a", Version: "v1"}}
	for n := range 40 {
		d.ApplyUpdate(start.Add(time.Duration(n)*time.Second), &wire.TargetUpdate{Term: 1, Sequence: 1, Changed: n == 0, Targets: targets})
	}
	software, ok := d.Sole(start.Add(40*time.Second), "s", 30*time.Second)
	is.True(ok)
	is.Equal(software, targets[0].Software())
}

// Guards against a software that is named although it is not the only one that streams can have
// begun at: a control leader took any software that the list showed alone.
func TestSoftwareIsNamedOnlyIfItIsTheSoleOne(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	d := New()
	d.Replace(start, []wire.TargetEntry{{ID: "a", Service: "s", Address: "a", Version: "v1"}})
	d.Replace(start.Add(time.Second), []wire.TargetEntry{{ID: "b", Service: "s", Address: "b", Version: "v2"}})
	software, ok := d.Sole(start.Add(time.Second), "s", 30*time.Second)
	is.True(!ok)
	is.Equal(software, wire.Software{})
}
