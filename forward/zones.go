package forward

import (
	"context"
	"errors"
	"slices"
	"time"

	"merlinhall/locality"
	"merlinhall/wire"
)

// Reasons for which a request is not sent to a ready target because of its zone.
const (
	reasonDraining = "draining"
	reasonTried    = "tried"
	reasonSoftware = "software"
	reasonLimit    = "limit"
	reasonSuspect  = "suspect"
	reasonQueue    = "queue" // a background request would wait there
	reasonZone     = "share of the zone"
)

// unusable returns why a target does not make its zone one to which the request may be sent, or
// "". The caller holds f.mu.
func (f *Forwarder) unusable(now time.Time, w wanted, t *wire.TargetEntry, limits map[string]bool, background bool) string {
	switch {
	case w.tried[t.ID]:
		return reasonTried
	case !w.allows(t):
		return reasonSoftware
	case limits[t.ID]:
		return reasonLimit
	case now.Before(f.state(t.ID).suspectUntil):
		return reasonSuspect
	case background && !f.state(t.ID).background.hasRoom(now):
		return reasonQueue
	}
	return ""
}

// usableZones returns the zones with a target to which the request may be sent, sorted. The
// caller holds f.mu.
func (f *Forwarder) usableZones(now time.Time, w wanted, limits map[string]bool, background bool) []string {
	var zones []string
	for _, t := range f.Directory.View().Ready(w.service) {
		if i, found := slices.BinarySearch(zones, t.Zone); !found && f.unusable(now, w, t, limits, background) == "" {
			zones = slices.Insert(zones, i, t.Zone)
		}
	}
	return zones
}

// zone returns the zone whose usable targets alone the request may be sent to, or "" if any
// target will do. The caller holds f.mu.
func (f *Forwarder) zone(now time.Time, w wanted, limits map[string]bool, background bool) string {
	if f.Locality == nil {
		return ""
	}
	return f.Locality.Pick(w.service, f.usableZones(now, w, limits, background), w.refused)
}

// outside reports whether a target is left out because the request goes to the given zone. The
// caller holds f.mu.
func (f *Forwarder) outside(now time.Time, zone string, w wanted, t *wire.TargetEntry, limits map[string]bool, background bool) bool {
	return zone != "" && (t.Zone != zone || f.unusable(now, w, t, limits, background) != "")
}

// arrived counts a request where it arises.
func (u *requestState) arrived() {
	if u.f.Locality == nil {
		return
	}
	worth := u.r.Route.Goal
	if !u.r.Background {
		worth = time.Duration(float64(worth) * maxWaitFraction)
	}
	u.f.Locality.Arrived(u.wanted().service, worth)
}

// noteZone counts the end of an attempt for the use of its zone. took is the time until its
// response was complete, or that of the header of a stream.
func (f *Forwarder) noteZone(ctx context.Context, r *Request, a *attempt, took time.Duration) {
	if f.Locality == nil {
		return
	}
	end := locality.Answered
	switch {
	case a.err != nil && (ctx.Err() != nil || errors.Is(a.err, errCallerLeft)):
		end = locality.GivenUp
	case a.err != nil, a.verdict != Answered:
		end = locality.Refused
	}
	if a.headerAfter > 0 {
		took = a.headerAfter
	}
	f.Locality.Ended(a.target, took, end, len(r.Body)+len(a.result.Body))
}

// Candidate is a target as Explain sees it.
type Candidate struct {
	Target      string  `json:"target"`
	Zone        string  `json:"zone"`
	Software    string  `json:"software"`
	Reason      string  `json:"reason,omitempty"` // why the request does not go there; empty if it may
	Cost        float64 `json:"cost"`             // without its random part
	Outstanding int     `json:"outstanding"`      // requests of this process
	LatencyMs   float64 `json:"latency_ms"`
	Speed       float64 `json:"speed,omitempty"` // measured, 0 if it is not used
	Places      int     `json:"places"`
}

// Explanation says where a request to a service would be sent now.
type Explanation struct {
	Service      string         `json:"service"`
	Weight       int            `json:"weight"`           // in the route
	Target       string         `json:"target,omitempty"` // empty if there is none
	NeedsGrant   bool           `json:"needs_grant,omitempty"`
	Candidates   []Candidate    `json:"candidates"`
	Locality     *locality.View `json:"locality,omitempty"` // nil if it is off
	TargetsAgeMs int64          `json:"targets_age_ms"`
}

// Explain returns where a first attempt of a caller's request to the service would be sent now. It
// changes and sends nothing. Choices between targets whose costs are close have a random part.
func (f *Forwarder) Explain(now time.Time, service string) Explanation {
	out := Explanation{Service: service, TargetsAgeMs: f.Directory.Age(now).Milliseconds()}
	w, limits := wanted{service: service}, f.Limits.Targets()
	f.mu.Lock()
	defer f.mu.Unlock()
	zone := ""
	if out.Locality = f.Locality.Explain(service, f.usableZones(now, w, limits, false)); out.Locality != nil {
		zone = out.Locality.Picked
	}
	c := f.cheapest(now, w, zone, limits, true, false, func() float64 { return 0.5 })
	if c.target != nil {
		out.Target, out.NeedsGrant = c.target.ID, c.needsGrant
	}
	view := f.Directory.View()
	for i := range view.Targets {
		t := &view.Targets[i]
		if t.Service != service {
			continue
		}
		s := f.state(t.ID)
		e := Candidate{
			Target: t.ID, Zone: t.Zone, Software: t.Software().String(), Reason: f.unusable(now, w, t, limits, false),
			Cost: f.cost(now, t, func() float64 { return 0.5 }), Outstanding: s.outstanding, LatencyMs: float64(s.latency) / float64(time.Millisecond), Speed: f.speedOf(now, t), Places: t.Slots,
		}
		switch {
		case t.Draining:
			e.Reason = reasonDraining
		case e.Reason == "" && f.outside(now, zone, w, t, limits, false):
			e.Reason = reasonZone
		}
		out.Candidates = append(out.Candidates, e)
	}
	return out
}
