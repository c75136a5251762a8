package experiment

import (
	"container/list"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"merlinhall/routing"
	"merlinhall/wire"
)

// RoutingOptions describe the queueing model of RunRouting.
type RoutingOptions struct {
	Seed     uint64
	Policy   routing.Policy
	Load     float64 // offered work, relative to the capacity without cache hits
	Duration time.Duration
	// UnsmoothedReports uses the load of each report directly instead of smoothing it.
	UnsmoothedReports bool
}

// RoutingResult holds the metrics of one run.
type RoutingResult struct {
	Policy   routing.Policy
	Requests int
	P50, P99 time.Duration
	HitRatio float64 // share of prompt blocks found in an engine's cache
	// Smallest and largest share of the requests of a target, zone and entry,
	// relative to an equal share.
	TargetShare, ZoneShare, EntryShare [2]float64
}

// Parameters of the model: the pool of the Abay deployment with one entry per zone.
const (
	modelZones          = 4
	modelTargets        = 12
	modelSlots          = 8 // requests that an engine runs concurrently
	modelCacheBlocks    = 600
	modelApps           = 40
	systemPromptBlocks  = 12 // blocks of a system prompt
	userPromptBlocks    = 4  // blocks of the rest of a prompt
	samplesPerGroup     = 8  // samples that share a prompt
	prefillTimePerBlock = 20 * time.Millisecond
	meanDecodeTime      = 300 * time.Millisecond
	zoneDelay           = 500 * time.Microsecond
	reportPeriod        = time.Second
	reportDelay         = 50 * time.Millisecond
	reportLossRate      = 0.05
	slowEngine          = 5 // index of an engine that is slower than the others
	slowEngineFactor    = 2.0
	modelTargetLimit    = 64
	burstInterval       = 250 * time.Millisecond
)

// engineModel runs up to modelSlots requests concurrently and queues the others.
type engineModel struct {
	key, zone  string
	timeFactor float64 // multiplies prefill and decode times
	running    int
	queue      []*requestModel
	cache      map[uint64]*list.Element
	lru        *list.List // prefix hashes, most recently used first
	added      []uint64   // cache events since the last report
	evicted    []uint64
	served     int
}

// entryModel is one entry with its view of the targets.
type entryModel struct {
	zone          string
	views         []routing.Target
	requestSerial uint64
	sent          int
}

type requestModel struct {
	prefixes     []uint64
	started      time.Time
	decodeTime   time.Duration
	networkDelay time.Duration
	done         func()
}

type routingModel struct {
	options                   RoutingOptions
	events                    *eventQueue
	arrivals                  *rand.Rand // the same sequence for all policies
	choices                   *rand.Rand
	engines                   []*engineModel
	entries                   []*entryModel
	latencies                 []time.Duration
	cachedBlocks, totalBlocks int
}

// RunRouting simulates a routing policy with several entries that choose targets
// concurrently. Their load reports and cache events are delayed, and some are lost.
func RunRouting(o RoutingOptions) RoutingResult {
	m := &routingModel{options: o, events: newEventQueue(), arrivals: rand.New(rand.NewPCG(o.Seed, 1)), choices: rand.New(rand.NewPCG(o.Seed, 2))}
	m.build()
	m.events.after(reportPeriod, m.report)
	m.events.after(burstInterval, m.burst)
	m.events.run(epoch.Add(o.Duration))
	return m.result()
}

func (m *routingModel) build() {
	for i := range modelTargets {
		m.engines = append(m.engines, &engineModel{
			key: fmt.Sprintf("policy-lm-%d", i), zone: fmt.Sprintf("zone-%d", i%modelZones), cache: make(map[uint64]*list.Element), lru: list.New(), timeFactor: 1,
		})
	}
	m.engines[slowEngine].timeFactor = slowEngineFactor
	for i := range modelZones {
		e := &entryModel{zone: fmt.Sprintf("zone-%d", i)}
		for _, x := range m.engines {
			e.views = append(e.views, routing.Target{Key: x.key, Zone: x.zone, Limit: modelTargetLimit, Cache: routing.NewCache()})
		}
		m.entries = append(m.entries, e)
	}
}

// burst submits requests to all entries at the same time: single requests of
// applications and, for about one prompt in samplesPerGroup, the samples of a group.
func (m *routingModel) burst() {
	m.events.after(burstInterval, m.burst)
	work := prefillTimePerBlock*(systemPromptBlocks+userPromptBlocks) + meanDecodeTime
	perBurst := m.options.Load * modelTargets * modelSlots * burstInterval.Seconds() / work.Seconds()
	for _, e := range m.entries {
		for n := m.poisson(perBurst / modelZones); n > 0; {
			prompt := m.prompt()
			samples := 1
			if m.arrivals.IntN(samplesPerGroup) == 0 {
				samples = min(n, samplesPerGroup)
			}
			for range samples {
				m.submit(e, prompt)
			}
			n -= samples
		}
	}
}

// poisson returns a Poisson-distributed number.
func (m *routingModel) poisson(mean float64) int {
	n := 0
	for sum := m.arrivals.ExpFloat64(); sum < mean; sum += m.arrivals.ExpFloat64() {
		n++
	}
	return n
}

// prompt returns the prefix hashes of a prompt: the system prompt of an application,
// picked with a Zipf-like skew, followed by a unique part.
func (m *routingModel) prompt() []uint64 {
	app := int(float64(modelApps) * m.arrivals.Float64() * m.arrivals.Float64())
	system := strings.Repeat(fmt.Sprintf("%0128d", app), systemPromptBlocks)
	user := strings.Repeat(fmt.Sprintf("%0128x", m.arrivals.Uint64()), userPromptBlocks)
	return routing.PrefixHashes(system + user)
}

func (m *routingModel) submit(e *entryModel, prefixes []uint64) {
	for i := range e.views {
		e.views[i].Cache.Advance(m.events.now)
	}
	decode := time.Duration(m.arrivals.ExpFloat64() * float64(meanDecodeTime))
	e.requestSerial++
	c := routing.Choose(routing.Request{
		Zone: e.zone, Prefixes: prefixes, Policy: m.options.Policy, ZoneCost: routing.DefaultZoneCost, Sequence: e.requestSerial,
	}, e.views, m.choices)
	if c.Index < 0 {
		return // all targets are at their limit; admission control is not part of this model
	}
	view, x := &e.views[c.Index], m.engines[c.Index]
	view.InFlight++
	view.Cache.Expect(m.events.now, prefixes)
	e.sent++
	x.served++
	r := &requestModel{prefixes: prefixes, started: m.events.now, decodeTime: decode}
	if x.zone != e.zone {
		r.networkDelay = zoneDelay
	}
	r.done = func() {
		view.InFlight--
		m.latencies = append(m.latencies, m.events.now.Sub(r.started))
	}
	m.events.after(r.networkDelay, func() { m.arrive(x, r) })
}

func (m *routingModel) arrive(x *engineModel, r *requestModel) {
	if x.running >= modelSlots {
		x.queue = append(x.queue, r)
		return
	}
	m.start(x, r)
}

func (m *routingModel) start(x *engineModel, r *requestModel) {
	x.running++
	hit := x.lookupAndCache(r.prefixes)
	m.cachedBlocks += hit
	m.totalBlocks += len(r.prefixes)
	took := time.Duration(x.timeFactor * float64(prefillTimePerBlock*time.Duration(len(r.prefixes)-hit)+r.decodeTime))
	m.events.after(took, func() {
		x.running--
		if len(x.queue) > 0 {
			next := x.queue[0]
			x.queue = x.queue[1:]
			m.start(x, next)
		}
		m.events.after(r.networkDelay, r.done)
	})
}

// lookupAndCache returns how many leading blocks were cached. It then caches all
// blocks and evicts the least recently used ones.
func (x *engineModel) lookupAndCache(prefixes []uint64) int {
	hit := 0
	for i, h := range prefixes {
		if block, ok := x.cache[h]; ok {
			x.lru.MoveToFront(block)
			if hit == i {
				hit++
			}
			continue
		}
		x.cache[h] = x.lru.PushFront(h)
		x.added = append(x.added, h)
	}
	for len(x.cache) > modelCacheBlocks {
		oldest := x.lru.Remove(x.lru.Back()).(uint64)
		delete(x.cache, oldest)
		x.evicted = append(x.evicted, oldest)
	}
	return hit
}

// report sends the load of each engine to each entry with a delay, and drops some of
// the reports.
func (m *routingModel) report() {
	m.events.after(reportPeriod, m.report)
	for i, x := range m.engines {
		load := &wire.Load{Running: x.running, Queued: len(x.queue), CachedPrefixes: x.added, EvictedPrefixes: x.evicted}
		x.added, x.evicted = nil, nil
		for _, e := range m.entries {
			own := e.views[i].InFlight
			if m.choices.Float64() < reportLossRate {
				continue
			}
			m.events.after(reportDelay, func() {
				v := &e.views[i]
				others := load.Running + load.Queued - own
				v.OtherEntriesLoad = routing.SmoothOtherEntriesLoad(v.OtherEntriesLoad, others)
				if m.options.UnsmoothedReports {
					v.OtherEntriesLoad = float64(max(0, others))
				}
				v.Cache.ApplyLoadReport(m.events.now, load)
			})
		}
	}
}

func (m *routingModel) result() RoutingResult {
	slices.Sort(m.latencies)
	r := RoutingResult{Policy: m.options.Policy, Requests: len(m.latencies)}
	if r.Requests == 0 {
		return r
	}
	r.P50 = m.latencies[r.Requests/2]
	r.P99 = m.latencies[r.Requests*99/100]
	r.HitRatio = float64(m.cachedBlocks) / float64(m.totalBlocks)
	zones := make(map[string]int)
	var targets, entries, byZone []int
	for _, x := range m.engines {
		targets = append(targets, x.served)
		zones[x.zone] += x.served
	}
	for _, e := range m.entries {
		entries = append(entries, e.sent)
		byZone = append(byZone, zones[e.zone])
	}
	r.TargetShare, r.ZoneShare, r.EntryShare = relativeExtremes(targets), relativeExtremes(byZone), relativeExtremes(entries)
	return r
}

// relativeExtremes returns the minimum and the maximum relative to the mean.
func relativeExtremes(values []int) [2]float64 {
	sum := 0
	for _, v := range values {
		sum += v
	}
	mean := max(1e-9, float64(sum)/float64(len(values)))
	return [2]float64{float64(slices.Min(values)) / mean, float64(slices.Max(values)) / mean}
}
