// Package targetcapacity estimates how fast the targets of a service are relative to each other,
// from the times that their work took. It is a pure state machine: the time is a parameter, and
// there is no I/O.
package targetcapacity

import (
	"cmp"
	"maps"
	"math"
	"math/bits"
	"slices"
	"time"
)

const (
	// MinSpread is the ratio of the speeds of the 90th and the 10th percentile of the targets
	// below which all speeds count as 1.
	MinSpread = 1.5
	// MaxAge is the time without samples after which a target counts as unknown. Its speed moves
	// towards 1 during the second half of it.
	MaxAge = 10 * time.Second

	// bucketTime is the time from the first sample of a bucket from which the next one begins
	// another. A pause of 100 ms touches two buckets at most, less than half of recentBuckets, so
	// that it does not move their median. A target that is sampled each 150 ms and has become
	// slower fills stepBuckets within 0.75 s.
	bucketTime    = 125 * time.Millisecond
	recentBuckets = 5
	stepBuckets   = 4
	// minBuckets is the number of buckets with samples from which the speed of a target is known:
	// fewer could lie in one pause.
	minBuckets = 3
	// levelGain is the weight of a median in the level of a target. Ten buckets are 1.5 s at a sample each 150 ms.
	levelGain = 0.1
	// minStep is the least change, as a natural logarithm, that the level follows at once if the
	// last stepBuckets all show it: a factor of 1.6. With three of five, two pauses in a row counted
	// as slowness; with five, a slower engine was known only after 1.06 s. The change must also
	// exceed stepDeviations mean deviations, since the medians of work of very different sizes vary
	// that much by chance.
	minStep        = 0.47
	stepDeviations = 3.0
	// deviationGain is the weight of a median in the mean deviation.
	deviationGain = 0.05
	// classGain is the weight of a sample in the mean of its class once it has classSamples of
	// them.
	classGain    = 0.005
	classSamples = 200
	// maxClasses bounds the classes. Samples of further ones share one.
	maxClasses = 64
	// maxSpeed and its inverse bound speeds, so that a wrong sample has a bounded effect.
	maxSpeed = 4.0
	// minTargets is the number of targets with a known speed from which they are compared.
	minTargets = 3
	// rankInterval and, for each target, rankTargetInterval are the least time between two rankings
	// of the targets, which sort them: 230 ms at 2,600, so that this takes below 1% of a core.
	rankInterval       = 100 * time.Millisecond
	rankTargetInterval = 50 * time.Microsecond
)

// Sample is the time that a piece of work took on a target.
type Sample struct {
	// Target is the target's id, and Start tells two starts of it apart, 0 if unknown.
	Target string
	Start  int64
	// Kind is the kind of work: samples of different kinds are not compared with each other.
	Kind string
	// Load is the number of pieces of work that the target had at that time.
	Load int
	At   time.Time
	Took time.Duration
}

// class has the work of which the same time is expected on equal targets.
type class struct {
	kind string
	load int // the number of bits of the load
}

// baseline is the mean of the logarithms of the times of a class, less the levels of the targets
// that they were taken on.
type baseline struct {
	mean    float64
	samples int
}

// target has the estimate for one target. Times are natural logarithms relative to the baseline of
// their class.
type target struct {
	start   int64
	samples int
	at      time.Time // of the last sample

	began  time.Time // of the open bucket, which has count samples
	sum    float64
	count  int
	recent []float64 // means of the last buckets

	buckets   int // that were closed
	level     float64
	deviation float64 // mean absolute difference of the median from the level
}

// Service estimates the speeds of the targets of one service. The zero value is ready for use. It
// is not safe for concurrent use.
type Service struct {
	targets  map[string]*target
	classes  map[class]*baseline
	rankedAt time.Time
	ranking  Ranking
}

// Add adds a sample. The samples of a former start of the target are discarded, and so is a sample
// of a former start.
func (s *Service) Add(m Sample) {
	if m.Took <= 0 {
		return
	}
	if s.targets == nil {
		s.targets, s.classes = make(map[string]*target), make(map[class]*baseline)
	}
	t := s.targets[m.Target]
	switch {
	case t != nil && m.Start != 0 && m.Start < t.start:
		return
	case t == nil, m.Start != 0 && t.start != 0 && m.Start != t.start, m.At.Sub(t.at) > MaxAge:
		t = &target{start: m.Start}
		s.targets[m.Target] = t
	}
	t.start = max(t.start, m.Start)
	t.advance(m.At)
	b := s.baseline(class{m.Kind, bits.Len(uint(max(0, m.Load)))})
	log := math.Log(float64(m.Took))
	if b.samples == 0 {
		b.mean = log - t.level
	}
	t.add(m.At, log-b.mean)
	b.samples++
	b.mean += max(classGain, 1/float64(min(b.samples, classSamples))) * (log - t.level - b.mean)
}

func (s *Service) baseline(c class) *baseline {
	b := s.classes[c]
	if b == nil {
		if len(s.classes) >= maxClasses {
			c = class{}
			b = s.classes[c]
		}
		if b == nil {
			b = &baseline{}
			s.classes[c] = b
		}
	}
	return b
}

// add adds a sample to the open bucket. Late samples count as those of the open bucket.
func (t *target) add(at time.Time, relative float64) {
	if t.count == 0 {
		t.began = at
	}
	t.sum += relative
	t.count++
	t.samples++
	if at.After(t.at) {
		t.at = at
	}
}

// advance closes the open bucket if its time is over.
func (t *target) advance(now time.Time) {
	if t.count == 0 || now.Sub(t.began) < bucketTime {
		return
	}
	t.recent = append(t.recent, t.sum/float64(t.count))
	if len(t.recent) > recentBuckets {
		t.recent = slices.Delete(t.recent, 0, 1)
	}
	t.sum, t.count = 0, 0
	t.buckets++
	m := median(t.recent)
	if t.buckets <= recentBuckets {
		t.level = m // too few for a mean
		return
	}
	difference := m - t.level
	if t.stepped() {
		t.level = m
	} else {
		t.level += max(levelGain, 1/float64(t.buckets)) * difference
	}
	// A step counts as no more than minStep, so that it does not hide the next one.
	t.deviation += deviationGain * (min(math.Abs(difference), minStep) - t.deviation)
}

// stepped reports whether the last buckets all differ from the level by a step in one direction.
func (t *target) stepped() bool {
	step, last := max(minStep, stepDeviations*t.deviation), t.recent[len(t.recent)-stepBuckets:]
	return slices.Min(last)-t.level > step || t.level-slices.Max(last) > step
}

func sorted(list []float64) []float64 {
	out := slices.Clone(list)
	slices.Sort(out)
	return out
}

func median(list []float64) float64 {
	sorted := sorted(list)
	n := len(sorted)
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}

// confidence returns how much the estimate counts: 1 up to half of MaxAge after the last sample,
// then less, and 0 if the target is unknown.
func (t *target) confidence(now time.Time) float64 {
	if t.buckets < minBuckets {
		return 0
	}
	return min(1, max(0, 2*(1-now.Sub(t.at).Seconds()/MaxAge.Seconds())))
}

// Speed is what is known of the speed of a target.
type Speed struct {
	// Speed is relative to the median of the service: the work of a target with 2 takes half as
	// long.
	Speed   float64
	Samples int
	Age     time.Duration // since the last sample
}

// Ranking has the speeds of the targets that are known.
type Ranking struct {
	Targets map[string]Speed
	// Spread is the ratio of the 90th to the 10th percentile of the speeds, 1 while too few are
	// known.
	Spread float64
}

// InForce reports whether the targets differ by so much that their speeds count.
func (r *Ranking) InForce() bool { return r.Spread >= MinSpread }

// SpeedOf returns the speed of a target that counts: 1 if it is unknown or the targets do not
// differ enough.
func (r *Ranking) SpeedOf(id string) float64 {
	if !r.InForce() {
		return 1
	}
	if s, ok := r.Targets[id]; ok {
		return s.Speed
	}
	return 1
}

// Rank returns the speeds at the time now. The result is not to be changed; it may be that of a
// moment before, see rankInterval.
func (s *Service) Rank(now time.Time) *Ranking {
	if s.ranking.Targets == nil || now.Sub(s.rankedAt) >= rankInterval+time.Duration(len(s.targets))*rankTargetInterval {
		s.rankedAt, s.ranking = now, s.rank(now)
	}
	return &s.ranking
}

func (s *Service) rank(now time.Time) Ranking {
	out := Ranking{Targets: make(map[string]Speed, len(s.targets)), Spread: 1}
	levels := make([]float64, 0, len(s.targets))
	for _, t := range s.targets {
		t.advance(now)
		if t.confidence(now) > 0 {
			levels = append(levels, t.level)
		}
	}
	if len(levels) == 0 {
		return out
	}
	middle := median(levels)
	speeds := make([]float64, 0, len(levels))
	for id, t := range s.targets {
		confidence := t.confidence(now)
		if confidence == 0 {
			continue
		}
		speed := min(maxSpeed, max(1/maxSpeed, math.Exp(confidence*(middle-t.level))))
		out.Targets[id] = Speed{speed, t.samples, now.Sub(t.at)}
		speeds = append(speeds, speed)
	}
	out.Spread = Spread(speeds)
	return out
}

// Spread returns the ratio of the 90th to the 10th percentile of speeds, 1 if there are fewer than
// three.
func Spread(speeds []float64) float64 {
	if len(speeds) < minTargets {
		return 1
	}
	list := sorted(speeds)
	return percentile(list, 0.9) / percentile(list, 0.1)
}

func percentile(sorted []float64, p float64) float64 {
	at := p * float64(len(sorted)-1)
	i := min(int(at), len(sorted)-2)
	return sorted[i] + (at-float64(i))*(sorted[i+1]-sorted[i])
}

// Retain forgets the targets for which keep returns false.
func (s *Service) Retain(keep func(id string) bool) {
	maps.DeleteFunc(s.targets, func(id string, _ *target) bool { return !keep(id) })
	s.rankedAt = time.Time{}
}

// Services has the estimates of several services. The zero value is ready for use. It is not safe
// for concurrent use.
type Services struct{ byName map[string]*Service }

// Service returns the estimate for a service.
func (s *Services) Service(name string) *Service {
	if s.byName == nil {
		s.byName = make(map[string]*Service)
	}
	if s.byName[name] == nil {
		s.byName[name] = &Service{}
	}
	return s.byName[name]
}

// Retain forgets the targets for which keep returns false, and the services that have none left.
func (s *Services) Retain(keep func(service, id string) bool) {
	maps.DeleteFunc(s.byName, func(name string, one *Service) bool {
		one.Retain(func(id string) bool { return keep(name, id) })
		return len(one.targets) == 0
	})
}

// Row is a line of the dump.
type Row struct {
	Target  string  `json:"target"`
	Speed   float64 `json:"speed"`
	Samples int     `json:"samples"`
	AgeMs   int64   `json:"age_ms"`
}

// State is what the dump shows of a service.
type State struct {
	Service string  `json:"service"`
	Spread  float64 `json:"spread"`
	InForce bool    `json:"in_force"`
	Targets []Row   `json:"targets"`
}

// Dump returns the state of all services, sorted by name, with the slowest targets first.
func (s *Services) Dump(now time.Time) []State {
	out := make([]State, 0, len(s.byName))
	for _, name := range slices.Sorted(maps.Keys(s.byName)) {
		r := s.byName[name].Rank(now)
		one := State{Service: name, Spread: r.Spread, InForce: r.InForce(), Targets: make([]Row, 0, len(r.Targets))}
		for id, t := range r.Targets {
			one.Targets = append(one.Targets, Row{id, math.Round(t.Speed*100) / 100, t.Samples, t.Age.Milliseconds()})
		}
		slices.SortFunc(one.Targets, func(a, b Row) int {
			return cmp.Or(cmp.Compare(a.Speed, b.Speed), cmp.Compare(a.Target, b.Target))
		})
		out = append(out, one)
	}
	return out
}
