package forward

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"merlinhall/directory"
	"merlinhall/locality"
	"merlinhall/wire"
)

// zonedForwarder returns a forwarder that chooses zones, with targets in its own zone z and in y.
func zonedForwarder(own, other []*target) *Forwarder {
	for _, t := range other {
		t.entry.Zone = "y"
	}
	f := newForwarder(append(own, other...)...)
	f.Locality = locality.NewKeeper(locality.Options{Process: "p", Zone: "z", Directory: f.Directory, Costs: locality.Costs{RoundTrip: time.Millisecond}, Log: logrus.NewEntry(logrus.New())})
	return f
}

// Guards against requests that leave a zone with free capacity because a target of another zone
// has an idle connection or fewer outstanding requests.
func TestRequestsStayInAZoneWithRoom(t *testing.T) {
	is := is.New(t)
	near, far := startTarget(t, "near", ok), startTarget(t, "far", ok)
	f := zonedForwarder([]*target{near}, []*target{far})
	f.state("near").outstanding = 5
	for i := range 10 {
		result := f.Do(context.Background(), request(fmt.Sprint("r", i), false, time.Second, time.Second))
		is.Equal(result.Target, "near")
	}
	e := f.Explain(time.Now(), "s")
	is.Equal(e.Target, "near")
	is.Equal(e.Candidates[1].Reason, reasonZone)
	is.Equal(e.Locality.Picked, "z")
}

// Guards against hedges that leave a zone with free capacity.
func TestHedgeStaysInAZoneWithRoom(t *testing.T) {
	is := is.New(t)
	silent, near, far := startTarget(t, "silent", hang), startTarget(t, "near", ok), startTarget(t, "far", ok)
	f := zonedForwarder([]*target{silent, near}, []*target{far})
	f.state("near").outstanding = 5 // so that the first attempt goes to the silent one
	result := f.Do(context.Background(), request("r", true, 60*time.Millisecond, 2*time.Second))
	is.Equal(result.Target, "near")
	is.Equal(silent.count("r"), 1)
	is.Equal(far.count("r"), 0)
}

// Guards against a target that is suspect, limited, draining, tried or of other software and gets
// a request because of its zone, and against requests that wait in a zone without a usable target.
func TestAllLeavesAZoneWithoutAUsableTarget(t *testing.T) {
	now := time.Now()
	for reason, change := range map[string]func(f *Forwarder, w *wanted, list []wire.TargetEntry){
		reasonSuspect:  func(f *Forwarder, _ *wanted, _ []wire.TargetEntry) { f.state("near").suspectUntil = now.Add(time.Hour) },
		reasonTried:    func(_ *Forwarder, w *wanted, _ []wire.TargetEntry) { w.tried = map[string]bool{"near": true} },
		reasonSoftware: func(_ *Forwarder, w *wanted, list []wire.TargetEntry) { w.software = list[1].Software() },
		reasonQueue: func(f *Forwarder, _ *wanted, _ []wire.TargetEntry) {
			f.state("near").background.pauseUntil = now.Add(time.Hour)
		},
		reasonDraining: func(_ *Forwarder, _ *wanted, list []wire.TargetEntry) { list[0].Draining = true },
		reasonLimit:    nil,
	} {
		t.Run(reason, func(t *testing.T) {
			is := is.New(t)
			f := zonedForwarder(nil, nil)
			list := []wire.TargetEntry{{ID: "near", Service: "s", Zone: "z", Version: "v1"}, {ID: "far", Service: "s", Zone: "y", Version: "v2"}}
			w, limits := wanted{service: "s"}, map[string]bool{}
			if change != nil {
				change(f, &w, list)
			} else {
				limits["near"] = true
			}
			f.Directory = directory.New()
			f.Directory.Replace(now, list)
			for range 20 {
				zone := f.zone(now, w, limits, true)
				is.Equal(zone, "y")
				is.Equal(f.cheapest(now, w, zone, limits, true, true, func() float64 { return 0 }).target.ID, "far")
			}
		})
	}
}

// Guards against a request that a target of its zone has refused and that stays there although
// the others are full too.
func TestRefusedRequestGoesToAnyZone(t *testing.T) {
	is := is.New(t)
	near, far := startTarget(t, "near", full), startTarget(t, "far", ok)
	f := zonedForwarder([]*target{near}, []*target{far})
	result := f.Do(context.Background(), request("r", false, time.Second, time.Second))
	is.Equal(result.Target, "far")
	is.Equal(result.Attempts, 2)
}
