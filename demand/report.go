package demand

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"merlinhall/admission"
)

// Run adapts limits and reports to the leader until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	if k == nil {
		return
	}
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			k.Report(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// Report reports the demand of the last 5 s if it is due, and takes the leader's answer.
func (k *Keeper) Report(ctx context.Context) {
	now := k.o.Clock()
	in := &admission.Demand{Process: k.o.Process, Run: k.o.Run, Processes: k.processes, Services: k.demands(now)}
	k.mu.Lock()
	ask := k.ask
	k.mu.Unlock()
	// A report without services follows the last one with some: its limits have ended, and the
	// leader must not take the process for lost.
	if ask == nil || now.Before(k.nextReport) || len(in.Services) == 0 && !k.reported {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var out admission.Shares
	if err := ask(ctx, in, &out); err != nil {
		k.reports.WithLabelValues("no").Inc()
		if k.lines.Allow(now) {
			k.o.Log.WithField("services", len(in.Services)).Infof("no answer of the leader to the demand: %v", err)
		}
		return
	}
	k.reports.WithLabelValues("yes").Inc()
	k.reported = len(in.Services) > 0
	k.processes = min(max(0, out.Processes), maxProcesses)
	interval := min(max(out.Interval, time.Duration(len(in.Services))*perService), maxInterval)
	k.nextReport = now.Add(interval - tick/4) // ticks come a little early or late
	k.apply(now, &out)
}

const (
	// maxInterval and maxProcesses bound what an answer says.
	maxInterval  = 1500 * time.Millisecond
	maxProcesses = 1 << 16
)

// all returns all services in the order of their names.
func (k *Keeper) all() []*service {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := slices.Collect(maps.Values(k.services))
	slices.SortFunc(out, func(a, b *service) int { return cmp.Compare(a.name, b.name) })
	return out
}

// demands steps all services and returns what is to be reported of them.
func (k *Keeper) demands(now time.Time) []admission.ServiceDemand {
	var out []admission.ServiceDemand
	for _, s := range k.all() {
		s.mu.Lock()
		s.step(now)
		d, due := s.c.Demand(now)
		state := s.c.State(now)
		changed := s.limited != state.Limited
		s.limited = state.Limited
		s.mu.Unlock()
		if d.Service = s.name; due {
			out = append(out, d)
		}
		k.places.WithLabelValues(s.name).Set(state.Limit)
		k.waiting.WithLabelValues(s.name).Set(float64(state.Waiting[0] + state.Waiting[1]))
		if changed {
			k.o.Log.WithFields(logrus.Fields{
				"service": s.name, "limited": state.Limited, "places": state.Limit, "running": state.Running, "response_ms": state.ResponseMs, "requests": state.Requests,
			}).Info("limit on requests in flight has begun or ended")
		}
	}
	if len(out) > maxServices {
		trouble := func(d admission.ServiceDemand) int { return d.Queued + d.Refused + d.RetriesWanted }
		slices.SortStableFunc(out, func(a, b admission.ServiceDemand) int { return cmp.Compare(trouble(b), trouble(a)) })
		out = out[:maxServices]
	}
	return out
}

// apply takes the answer to a report that was sent at the given time.
func (k *Keeper) apply(askedAt time.Time, out *admission.Shares) {
	for _, share := range out.Services {
		k.mu.Lock()
		s := k.services[share.Service]
		k.mu.Unlock()
		if s == nil {
			continue
		}
		s.mu.Lock()
		s.c.Apply(askedAt, k.processes, share)
		s.step(k.o.Clock())
		s.mu.Unlock()
	}
}

// Lead tells whether this process leads, and in which term.
func (k *Keeper) Lead(leading bool, term uint64) {
	k.leadMu.Lock()
	defer k.leadMu.Unlock()
	k.term = 0
	if leading {
		k.term = term
		k.allocator.Lead(k.o.Clock())
	}
}

// leaderLogInterval is the least time between two log lines of the leader.
const leaderLogInterval = time.Second

// Handle answers the report of a process. The caller has made sure that this process leads in the
// given term. It returns false if Lead has not said so yet.
func (k *Keeper) Handle(term uint64, in *admission.Demand) (*admission.Shares, bool) {
	k.leadMu.Lock()
	defer k.leadMu.Unlock()
	if term != k.term || term == 0 {
		return nil, false
	}
	now := k.o.Clock()
	out := k.allocator.Answer(now, in)
	if len(out.Services) > 0 && now.Sub(k.loggedAt) >= leaderLogInterval {
		k.loggedAt = now
		k.o.Log.WithFields(logrus.Fields{
			"process": in.Process, "demand": in.Services, "shares": out.Services, "processes": out.Processes, "term": term,
		}).Info("demand of a process is answered")
	}
	return out, true
}
