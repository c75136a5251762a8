package forward

import (
	"context"
	"math"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"merlinhall/directory"
	"merlinhall/targetcapacity"
	"merlinhall/wire"
)

// speedExponent is the power of a target's speed by which its cost is divided. With 1, requests are
// slower than with the former cost, as many go to slow targets. With 3, the fast targets have less
// left for bursts. docs/design/capacity.md has the figures.
const speedExponent = 1.5

// speedShowInterval is how often the metric of the speeds is renewed, and how often a log line may
// say that they are in force.
const speedShowInterval = time.Second

// speeds are the speeds of the targets as far as this process has measured them.
type speeds struct {
	measured targetcapacity.Services
	shownAt  time.Time
	inForce  map[string]bool // services whose speeds were in force at shownAt
	spread   *prometheus.GaugeVec
}

// newSpreadMetric returns the gauge for speeds.spread.
func newSpreadMetric() *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "merlinhall_forward_speed_spread", Help: "Ratio of the 90th to the 10th percentile of the speeds of a service's targets, as measured by this process.",
	}, []string{"service"})
}

// speedOf returns the speed of a target, or 0 if speeds are not used. The caller holds f.mu.
func (f *Forwarder) speedOf(now time.Time, t *wire.TargetEntry) float64 {
	if !f.MeasuredCapacity {
		return 0
	}
	if r := f.speeds.measured.Service(t.Service).Rank(now); r.InForce() {
		return r.SpeedOf(t.ID)
	}
	return 0
}

// waitingCost estimates the time of a request on a target with the given outstanding requests of
// this process and recent latency. speed is 0 if it is not used. a and b are random numbers below 1.
//
// Without speeds, the random part differs by at most 1, so that of targets with different latencies
// only the fastest are chosen until they have outstanding requests. With speeds it is a sum of two
// exponential ones, so that each target gets requests, the faster ones more.
func waitingCost(outstanding int, latency time.Duration, speed, a, b float64) float64 {
	if speed == 0 {
		return (float64(outstanding) + 0.5 + a) * (latency.Seconds() + unmeasuredTime.Seconds())
	}
	random := -(math.Log(1-a) + math.Log(1-b)) / 2
	return (float64(outstanding) + random) * (latency.Seconds()*speed + unmeasuredTime.Seconds()) / math.Pow(speed, speedExponent)
}

// loadOf returns the number of outstanding requests of this process on a target.
func (f *Forwarder) loadOf(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state(id).outstanding
}

// measureSpeed adds the response time of an attempt. Error responses are left out, as they may come
// without the work. An attempt that was cancelled took at least its time.
func (f *Forwarder) measureSpeed(ctx context.Context, r *Request, a *attempt, took time.Duration) {
	if !f.MeasuredCapacity {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case a.err == nil && a.verdict == Answered && a.result.Status < http.StatusBadRequest:
	case a.err != nil && ctx.Err() == context.Canceled && took > f.state(a.target.ID).latency:
	default:
		return
	}
	now := time.Now()
	f.speeds.measured.Service(a.target.Service).Add(targetcapacity.Sample{
		Target: a.target.ID, Start: a.target.StartedMs, Kind: r.Route.Name, Load: a.load, At: now, Took: took,
	})
	f.showSpeeds(now)
}

// showSpeeds renews the metric and logs which services are chosen from by speed. The caller holds
// f.mu.
func (f *Forwarder) showSpeeds(now time.Time) {
	s := &f.speeds
	if now.Sub(s.shownAt) < speedShowInterval {
		return
	}
	if s.inForce == nil {
		s.inForce = make(map[string]bool)
	}
	s.shownAt = now
	for _, one := range s.measured.Dump(now) {
		if s.spread != nil {
			s.spread.WithLabelValues(one.Service).Set(one.Spread)
		}
		if one.InForce == s.inForce[one.Service] {
			continue
		}
		s.inForce[one.Service] = one.InForce
		if f.Log != nil && len(one.Targets) > 0 {
			f.Log.WithFields(logrus.Fields{
				"service": one.Service, "in_force": one.InForce, "spread": one.Spread, "targets": len(one.Targets),
				"slowest": one.Targets[0], "fastest": one.Targets[len(one.Targets)-1],
			}).Info("use of measured speeds of targets changes")
		}
	}
}

// retainSpeeds forgets the speeds of targets that are not in v. The caller holds f.mu.
func (f *Forwarder) retainSpeeds(v *directory.View) {
	f.speeds.measured.Retain(func(service, id string) bool {
		t := v.Target(id)
		return t != nil && t.Service == service
	})
}

// Speeds returns the speeds of the targets for the dump.
func (f *Forwarder) Speeds() any {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.speeds.measured.Dump(time.Now())
}
