package batch

import (
	"math"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"merlinhall/carrier"
	"merlinhall/wire"
)

const (
	// maxCarrierWeight and its inverse bound the weight of a carrier by its share of a core, and
	// minLateWeight that by its late reports: a share may be wrong, and runs are mostly waiting.
	maxCarrierWeight = 4.0
	minLateWeight    = 0.25
	// expectedReportGap is the longest time between two reports of a carrier that is on time: its
	// interval, one of its ticks and one of the leader's.
	expectedReportGap = 350 * time.Millisecond
	// lateTolerance is how much later than those of other carriers reports may be without effect.
	lateTolerance = 100 * time.Millisecond
	// lateHalf is the lateness beyond that by which a carrier gets half as many runs.
	lateHalf = 200 * time.Millisecond
	// lateMemory is the time in which a lateness falls to 37% after reports are on time again.
	lateMemory = 3 * time.Second
	// weightLogRatio is the least change of a weight that is logged, and weightLogInterval the
	// least time between two lines for a carrier.
	weightLogRatio    = 1.25
	weightLogInterval = 5 * time.Second
)

// carrierWeight is how many runs a carrier gets compared with others.
type carrierWeight struct {
	share    float64       // of a core, 0 if it is not known
	late     time.Duration // lateness of its reports, as of lateAt
	lateAt   time.Time
	weight   float64 // 0 stands for 1
	logged   float64 // weight of the last log line
	loggedAt time.Time
}

// load returns the number of runs of the carrier relative to its weight. With a weight of 1 it is
// the number of runs.
func (c *carrierView) load() float64 {
	if c.weight.weight == 0 {
		return float64(len(c.runs))
	}
	return float64(len(c.runs)+1)/c.weight.weight - 1
}

// noteReport notes that a report has come the given time after the one before.
func (w *carrierWeight) noteReport(now time.Time, gap time.Duration) {
	w.late, w.lateAt = max(w.lateness(now), gap-expectedReportGap), now
}

// lateness returns the lateness that counts now.
func (w *carrierWeight) lateness(now time.Time) time.Duration {
	return time.Duration(float64(w.late) * math.Exp(-now.Sub(w.lateAt).Seconds()/lateMemory.Seconds()))
}

// weighCarriers sets the weights of the carriers: in proportion to their shares of a core, where one
// that states none counts as the median, and less for those whose reports come later than those of
// the median carrier. If this process itself is late in reading them, all are equally late.
func weighCarriers(now time.Time, carriers []*carrierView) {
	var shares, late []float64
	lateOf := func(c *carrierView) time.Duration {
		return max(c.weight.lateness(now), now.Sub(c.reportedAt)-expectedReportGap, 0)
	}
	for _, c := range carriers {
		if c.weight.share > 0 {
			shares = append(shares, c.weight.share)
		}
		if !c.local && c.synced {
			late = append(late, lateOf(c).Seconds())
		}
	}
	medianShare, medianLate := medianOf(shares), medianOf(late)
	for _, c := range carriers {
		w := &c.weight
		w.weight = 1
		if w.share > 0 {
			w.weight = min(maxCarrierWeight, max(1/maxCarrierWeight, w.share/medianShare))
		}
		if excess := lateOf(c).Seconds() - medianLate - lateTolerance.Seconds(); excess > 0 {
			w.weight *= max(minLateWeight, 1/(1+excess/lateHalf.Seconds()))
		}
	}
}

// medianOf returns the lower median, or 0 for an empty list.
func medianOf(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(list))
	return sorted[(len(sorted)-1)/2]
}

// shareOf returns the share of a core that the process at the other end of a link states, 0 if it
// states none.
func shareOf(l carrier.Sender) float64 {
	if peer, ok := l.(interface{ Peer() wire.Hello }); ok {
		return peer.Peer().CPUShare
	}
	return 0
}

// updateWeights updates the weights of the carriers and logs large changes.
func (r *Runner) updateWeights(now time.Time) {
	if !r.o.MeasuredCapacity {
		return
	}
	for _, c := range r.carriers {
		c.weight.share = shareOf(c.link)
		if c.local {
			c.weight.share = r.o.CPUShare
		}
	}
	weighCarriers(now, r.carriers)
	for _, c := range r.carriers {
		w := &c.weight
		before := w.logged
		if before == 0 {
			before = 1
		}
		if max(w.weight/before, before/w.weight) < weightLogRatio || now.Sub(w.loggedAt) < weightLogInterval {
			continue
		}
		r.log.WithFields(logrus.Fields{
			"carrier": c.process, "weight": w.weight, "before": before, "cpu_share": w.share,
			"late_ms": w.lateness(now).Milliseconds(), "silent_ms": now.Sub(c.reportedAt).Milliseconds(),
		}).Info("share of the runs that a carrier gets changes")
		w.logged, w.loggedAt = w.weight, now
	}
}

// carrierRow is a carrier in the dump.
type carrierRow struct {
	Process  string  `json:"process"`
	Runs     int     `json:"runs"`
	Weight   float64 `json:"weight"`
	CPUShare float64 `json:"cpu_share,omitempty"`
	LateMs   int64   `json:"late_ms"`
}

func (r *Runner) carrierRows(now time.Time) []carrierRow {
	rows := make([]carrierRow, 0, len(r.carriers))
	for _, c := range r.carriers {
		rows = append(rows, carrierRow{c.process, len(c.runs), c.weight.weight, c.weight.share, c.weight.lateness(now).Milliseconds()})
	}
	return rows
}

// showWeights renews the metric of the weights.
func (r *Runner) showWeights() {
	shown := make(map[string]bool, len(r.carriers))
	for _, c := range r.carriers {
		shown[c.process] = true
		r.metrics.weights.WithLabelValues(c.process).Set(c.weight.weight)
	}
	for process := range r.weightsShown {
		if !shown[process] {
			r.metrics.weights.DeleteLabelValues(process)
		}
	}
	r.weightsShown = shown
}
