package rollout

import (
	"cmp"
	"slices"
	"time"
)

// Policies selects the scheduling and straggler policies.
type Policies struct {
	// NearestGroup prefers samples of the group that is missing the fewest.
	NearestGroup bool
	// PredictLength starts groups whose finished samples were long first, so that
	// long samples do not start last.
	PredictLength bool
	// CancelTooOld cancels samples that are predicted to end below the staleness
	// bound and restarts them on the current weights.
	CancelTooOld bool
	// Spares is the number of samples generated beyond the group size. The first
	// to finish form the group, which biases it towards short samples.
	Spares int
	// FreshStart keeps samples that start shortly after a publication away from
	// engines whose weight swap is not done; they would be stale from their first
	// token. It lowers the mean staleness and raises the idle time a little.
	FreshStart bool
	// SecondCopy runs a second copy of a straggler on another entry (speculative
	// execution).
	SecondCopy bool
}

// DefaultPolicies returns the policies that cost no tokens. In the rollout
// experiment a second copy wastes 7% of the tokens and saves no time, because
// the engines are equally fast.
func DefaultPolicies() Policies {
	return Policies{NearestGroup: true, PredictLength: true, CancelTooOld: true, FreshStart: true}
}

// AllPolicies enables all policies except Spares, which bias a group towards short
// samples.
func AllPolicies() Policies {
	return Policies{NearestGroup: true, PredictLength: true, CancelTooOld: true, FreshStart: true, SecondCopy: true}
}

const (
	// historySize is the number of recent finished samples that predictions use.
	historySize = 256
	// minHistorySize is the number of finished samples that a prediction needs.
	minHistorySize = 16
	// stragglerQuantile is the quantile of the run times from which the limit for
	// stragglers is computed.
	stragglerQuantile = 0.95
	// freshWindow is the time after a publication for which FreshStart applies. A
	// pool completes its weight swap within 17 s. Later samples may start on any
	// engine within the staleness bound, so a failed weight swap does not block
	// them.
	freshWindow = 20 * time.Second
	// stragglerFactor times the quantile is the run time at which a sample gets a
	// second copy.
	stragglerFactor = 1.25
)

// DurationHistory is a ring buffer of the run times of a trainer's last samples.
type DurationHistory struct {
	durations []time.Duration
	next      int
}

// Add records the run time of a finished sample.
func (h *DurationHistory) Add(d time.Duration) {
	if len(h.durations) < historySize {
		h.durations = append(h.durations, d)
		return
	}
	h.durations[h.next] = d
	h.next = (h.next + 1) % historySize
}

// Remaining predicts the remaining run time of a sample that has run for elapsed:
// the mean over the recorded samples that ran longer. When none did, it returns
// elapsed, which suits heavy-tailed lengths. ok is false when there are too few
// samples.
func (h *DurationHistory) Remaining(elapsed time.Duration) (remaining time.Duration, ok bool) {
	if len(h.durations) < minHistorySize {
		return 0, false
	}
	var sum time.Duration
	longer := 0
	for _, d := range h.durations {
		if d > elapsed {
			sum += d - elapsed
			longer++
		}
	}
	if longer == 0 {
		return elapsed, true
	}
	return sum / time.Duration(longer), true
}

// StragglerLimit returns the run time above which a sample counts as a straggler.
func (h *DurationHistory) StragglerLimit() (time.Duration, bool) {
	if len(h.durations) < minHistorySize {
		return 0, false
	}
	sorted := slices.Clone(h.durations)
	slices.Sort(sorted)
	quantile := sorted[int(stragglerQuantile*float64(len(sorted)-1))]
	return time.Duration(stragglerFactor * float64(quantile)), true
}

// VersionProgress describes how fast a trainer publishes versions. CancelTooOld
// predicts from it when a sample becomes too old.
type VersionProgress struct {
	Version  uint64        // trainer version now
	Bound    uint64        // staleness bound
	Advanced time.Time     // when Version was reached
	Interval time.Duration // mean time between versions, 0 when unknown
}

// TooOldAt predicts when a sample whose oldest token is from version oldest
// falls below the bound. ok is false when that cannot be predicted.
func (p VersionProgress) TooOldAt(oldest uint64) (at time.Time, ok bool) {
	if oldest < oldestAllowed(p.Version, p.Bound) {
		return p.Advanced, true
	}
	if p.Interval == 0 {
		return time.Time{}, false
	}
	left := oldest + p.Bound + 1 - p.Version
	return p.Advanced.Add(time.Duration(left) * p.Interval), true
}

// ShouldCancel reports whether a sample that started at start on version oldest
// is cancelled and restarted at version current. A sample is cancelled when
// it is already too old, or when it is predicted to end too late and a restart is
// predicted to end in time.
func ShouldCancel(now, start time.Time, oldest, current uint64, progress VersionProgress, h *DurationHistory) bool {
	if oldest < oldestAllowed(progress.Version, progress.Bound) {
		return true
	}
	if current <= oldest {
		return false
	}
	limit, ok := progress.TooOldAt(oldest)
	if !ok {
		return false
	}
	remaining, ok := h.Remaining(now.Sub(start))
	if !ok || !now.Add(remaining).After(limit) {
		return false
	}
	restartDuration, _ := h.Remaining(0)
	restartLimit, ok := progress.TooOldAt(current)
	return ok && !now.Add(max(restartDuration, now.Sub(start)+remaining)).After(restartLimit)
}

// GroupRank orders groups for the next sample; the lowest rank goes first.
type GroupRank struct {
	Step    uint64
	Missing int     // samples without a result
	Length  float64 // mean tokens of the finished samples, 0 when none
	Group   int
}

// compare returns a negative number when a goes before b under the policies. A
// lower step always goes first, so that no step starves.
func (a GroupRank) compare(b GroupRank, p Policies) int {
	if c := cmp.Compare(a.Step, b.Step); c != 0 {
		return c
	}
	if c := cmp.Compare(b.Length, a.Length); c != 0 && p.PredictLength {
		return c
	}
	if c := cmp.Compare(a.Missing, b.Missing); c != 0 && p.NearestGroup {
		return c
	}
	return cmp.Compare(a.Group, b.Group)
}
