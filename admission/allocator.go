package admission

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// reportInterval is the least time between two reports of a process.
	reportInterval = 500 * time.Millisecond
	// maxReportInterval leaves an answer time to be replaced before it expires.
	maxReportInterval = 1500 * time.Millisecond
	// maxReportsPerSecond bounds what the leader is sent by all processes.
	maxReportsPerSecond = 250
	// settleTime is how long a new leader divides nothing: each process has reported within
	// reportInterval, plus the time of a question.
	settleTime = 700 * time.Millisecond
	// reportTime is how long a report holds. Then its process counts as lost.
	reportTime = 2 * time.Second
	// planTime is how long a division holds. With 370 processes it is asked for 250 times a second.
	planTime = 100 * time.Millisecond
	// lostTime is how long a lost process is remembered. It may have stood still, and then uses
	// what it held until its next answer.
	lostTime = 10 * time.Minute
	// contendedShare is the share of refused requests from which a service is short of places.
	contendedShare = 0.01
	// overMargin is how far an account must exceed its fair share to be limited by the leader.
	// Below that it is enough that processes serve their accounts in turn; the list of accounts
	// is bounded, and those on it alone would be refused.
	overMargin = 1.5
	// minShare is the least number of places of a process. With any number above 0 it may have one
	// request in flight.
	minShare = 0.25
	// maxReportedServices and maxProcesses bound what the leader holds.
	maxReportedServices = 256
	maxProcesses        = 4096
)

// Allocator is the leader's part of shared admission: it divides the retries and the places of
// each service among the processes that report. It reads no clock and is not safe for concurrent
// use.
//
// Invariant: places move between processes and are not made. What a process gives up is free once
// it has confirmed that, and what a process gets is free no longer from the answer on. An answer
// that a process has not applied by its next report is undone. So the sum of the places that the
// processes hold changes by their own adaptation only.
type Allocator struct {
	startedAt time.Time
	sequence  uint64
	reports   map[string]*report
	services  map[string]*serviceBook
}

// report is the last report of a process.
type report struct {
	run      string
	hint     int // of the number of processes
	at       time.Time
	lost     bool // it no longer reports, and what it held is free
	services map[string]*holding
}

// holding is what a process holds of a service.
type holding struct {
	demand ServiceDemand
	// sequence and change are those of the last answer: the places that the process was to get
	// (positive) or to give up (negative).
	sequence uint64
	change   float64
}

// serviceBook is what the leader keeps of a service.
type serviceBook struct {
	free float64 // places that no process holds
	plan *plan   // nil before the first
}

// NewAllocator returns an allocator of a process that does not lead.
func NewAllocator() *Allocator {
	a := &Allocator{}
	a.Lead(time.Time{})
	return a
}

// Lead begins anew for a process that has become leader.
func (a *Allocator) Lead(now time.Time) {
	a.startedAt = now
	// Numbers of different leaders differ, so that a process does not confirm an answer of the
	// former one.
	a.sequence = uint64(max(0, now.UnixNano()))
	a.reports, a.services = make(map[string]*report), make(map[string]*serviceBook)
}

// Answer takes a report and returns the process's part.
func (a *Allocator) Answer(now time.Time, in *Demand) *Shares {
	a.expire(now)
	a.take(now, in)
	processes := a.alive()
	settled := now.Sub(a.startedAt) >= settleTime
	if !settled {
		for _, r := range a.reports {
			processes = max(processes, r.hint)
		}
	}
	out := &Shares{Processes: processes, Interval: intervalOf(processes)}
	own := a.reports[in.Process]
	if own == nil {
		return out
	}
	for _, service := range slices.Sorted(maps.Keys(own.services)) {
		h := own.services[service]
		if !settled {
			out.Services = append(out.Services, ServiceShare{Service: service, Retries: budgetOf(h.demand) + baseRetries/float64(processes)})
			continue
		}
		out.Services = append(out.Services, a.divide(now, service, h))
	}
	return out
}

// intervalOf returns the time between the reports of each process.
func intervalOf(processes int) time.Duration {
	perProcess := time.Duration(float64(processes) / maxReportsPerSecond * float64(time.Second))
	return min(max(reportInterval, perProcess), maxReportInterval)
}

// expire frees the places of processes that no longer report. They may be back.
func (a *Allocator) expire(now time.Time) {
	for name, r := range a.reports {
		if now.Sub(r.at) >= reportTime {
			a.free(r)
			r.lost = true
		}
		if now.Sub(r.at) >= lostTime {
			delete(a.reports, name)
		}
	}
}

// free frees all places of a process, unless that was done before.
func (a *Allocator) free(r *report) {
	if r.lost {
		return
	}
	for service, h := range r.services {
		a.settle(service, h, false)
		a.book(service).free += h.demand.Places
	}
}

// alive returns the number of processes that are not lost.
func (a *Allocator) alive() int {
	n := 0
	for _, r := range a.reports {
		if !r.lost {
			n++
		}
	}
	return n
}

func (a *Allocator) book(service string) *serviceBook {
	b := a.services[service]
	if b == nil {
		b = &serviceBook{}
		a.services[service] = b
	}
	return b
}

// settle enters the last answer in the book: whether the process has applied it or not.
func (a *Allocator) settle(service string, h *holding, applied bool) {
	switch {
	case h.change > 0 && !applied:
		a.book(service).free += h.change
	case h.change < 0 && applied:
		a.book(service).free -= h.change
	}
	h.change = 0
}

// take replaces the report of a process.
func (a *Allocator) take(now time.Time, in *Demand) {
	r := a.reports[in.Process]
	if r == nil {
		if len(a.reports) >= maxProcesses {
			return
		}
		r = &report{run: in.Run, services: make(map[string]*holding)}
		a.reports[in.Process] = r
	}
	if r.run != in.Run {
		a.free(r) // the process has started again and holds nothing of what its former run held
		r.run, r.services = in.Run, make(map[string]*holding)
	}
	back := r.lost
	r.at, r.hint, r.lost = now, in.Processes, false
	former := r.services
	r.services = make(map[string]*holding, len(in.Services))
	for _, d := range in.Services[:min(len(in.Services), maxReportedServices)] {
		if r.services[d.Service] != nil {
			continue // named twice
		}
		h := former[d.Service]
		if h == nil {
			h = &holding{}
		}
		a.settle(d.Service, h, h.sequence != 0 && h.sequence == d.Applied)
		h.demand = valid(d)
		if back && former[d.Service] != nil {
			a.book(d.Service).free -= h.demand.Places // it was free while the process was lost
		}
		r.services[d.Service] = h
	}
	for service, h := range former {
		// A process that reports a service no longer has no limit there any more: it runs what it
		// used to, and frees nothing.
		if r.services[service] == nil {
			a.settle(service, h, false)
		}
	}
	maps.DeleteFunc(a.services, func(service string, _ *serviceBook) bool { return !a.reported(service) })
}

func (a *Allocator) reported(service string) bool {
	for _, r := range a.reports {
		if r.services[service] != nil {
			return true
		}
	}
	return false
}

// maxCount bounds the numbers of a report, whatever a process sends.
const maxCount = 1 << 24

// valid returns d with numbers that can be added.
func valid(d ServiceDemand) ServiceDemand {
	for _, n := range []*int{&d.Requests, &d.Background, &d.Queued, &d.Refused, &d.Retries, &d.RetriesWanted, &d.NumAccounts} {
		*n = min(max(0, *n), maxCount)
	}
	for _, x := range []*float64{&d.Places, &d.Seconds, &d.BackgroundSeconds} {
		if !(*x >= 0 && *x <= maxCount) { // also false for NaN
			*x = 0
		}
	}
	d.NumAccounts = min(d.NumAccounts, maxAccounts)
	d.Accounts = slices.Clone(d.Accounts[:min(len(d.Accounts), reportedAccounts)])
	for i := range d.Accounts {
		d.Accounts[i].Requests = min(max(0, d.Accounts[i].Requests), d.Requests)
	}
	return d
}

// budgetOf returns the retries in budgetWindow that the requests of a process allow.
func budgetOf(d ServiceDemand) float64 {
	return retryShare * inWindow(d.Requests+d.Background)
}

// inWindow converts a count of a report to budgetWindow.
func inWindow(n int) float64 {
	return float64(n) * float64(budgetWindow) / float64(countSlots*countSlot)
}

// divide returns the part of one process of a service.
func (a *Allocator) divide(now time.Time, service string, own *holding) ServiceShare {
	book := a.book(service)
	if book.plan == nil || now.Sub(book.plan.at) >= planTime {
		book.plan = a.newPlan(now, service)
	}
	p := book.plan
	out := ServiceShare{Service: service, Retries: min(inWindow(own.demand.RetriesWanted), p.retryBound) + p.retriesLeft}
	if own.demand.Places == 0 || p.forCallers+p.forBackground == 0 {
		return out // the process has no limit, or nobody needs places
	}
	out.Over = p.over
	out.Places = a.move(service, own, p.need(own.demand))
	out.Sequence = own.sequence
	return out
}

// plan is how a service is divided among the processes that report. It holds for planTime, since
// it takes all reports into account.
type plan struct {
	at time.Time
	// Each process gets the retries that it wants up to retryBound, and retriesLeft more.
	retryBound, retriesLeft float64
	// forCallers and forBackground are the places for each place that the admitted requests would
	// take.
	forCallers, forBackground float64
	over                      []AccountShare
	fraction                  map[string]float64 // by the accounts of over
}

func (a *Allocator) newPlan(now time.Time, service string) *plan {
	var holdings []*holding
	for _, name := range slices.Sorted(maps.Keys(a.reports)) { // sums of floats depend on the order
		if h := a.reports[name].services[service]; h != nil && !a.reports[name].lost {
			holdings = append(holdings, h)
		}
	}
	p := &plan{at: now, fraction: make(map[string]float64)}
	budget, wants := float64(baseRetries), make([]float64, 0, len(holdings))
	for _, h := range holdings {
		budget += budgetOf(h.demand)
		wants = append(wants, inWindow(h.demand.RetriesWanted))
	}
	p.retryBound, p.retriesLeft = waterFill(wants, budget)
	p.retriesLeft /= float64(max(1, len(holdings)))
	p.dividePlaces(slices.DeleteFunc(holdings, func(h *holding) bool { return h.demand.Places == 0 }), a.book(service).free)
	return p
}

// dividePlaces divides the places of the processes that have a limit, and those that are free.
// Callers come first, but for backgroundShare.
func (p *plan) dividePlaces(holdings []*holding, free float64) {
	total, requests, refused := free, 0, 0
	var callers, background float64 // places that all requests would take
	for _, h := range holdings {
		d := h.demand
		total += d.Places + max(0, h.change)
		requests += d.Requests + d.Background
		refused += d.Refused
		callers += places(float64(d.Requests), d.Seconds)
		background += places(float64(d.Background), d.BackgroundSeconds)
	}
	total = max(0, total)
	forBackground := min(background, max(total*backgroundShare, total-callers))
	forCallers := total - forBackground
	if float64(refused) > contendedShare*float64(requests) && callers > forCallers {
		p.over = overFairShare(holdings, forCallers/callers)
		for _, o := range p.over {
			p.fraction[o.Account] = o.Admitted
		}
	}
	admitted := 0.0
	for _, h := range holdings {
		admitted += places(p.admitted(h.demand), h.demand.Seconds)
	}
	if admitted > 0 {
		p.forCallers = forCallers / admitted
	}
	if background > 0 {
		p.forBackground = forBackground / background
	}
}

// need returns the places that a process is to hold.
func (p *plan) need(d ServiceDemand) float64 {
	return p.forCallers*places(p.admitted(d), d.Seconds) + p.forBackground*places(float64(d.Background), d.BackgroundSeconds)
}

// admitted returns the requests of callers without those over the fair share of their account.
func (p *plan) admitted(d ServiceDemand) float64 {
	out := float64(d.Requests)
	for _, c := range d.Accounts {
		if f, ok := p.fraction[c.Account]; ok {
			out -= (1 - f) * float64(c.Requests)
		}
	}
	return max(0, out)
}

// waterFill returns the bound up to which wants can be met with an amount, and what is left if all
// are met. It changes wants.
func waterFill(wants []float64, amount float64) (bound, left float64) {
	slices.Sort(wants)
	for i, w := range wants {
		if w*float64(len(wants)-i) >= amount {
			return amount / float64(len(wants)-i), 0
		}
		amount -= w
		bound = w
	}
	return bound, amount
}

// unknownSeconds is the duration of requests of a process that has measured none.
const unknownSeconds = 0.05

// places returns how many places a number of requests in 5 s takes.
func places(requests, seconds float64) float64 {
	if seconds == 0 {
		seconds = unknownSeconds
	}
	return requests * seconds / (countSlots * countSlot).Seconds()
}

// overFairShare returns the accounts that certainly want more than their fair share if only a part
// of all requests can be served. Processes report their largest accounts only. What is not reported
// by account counts as spread evenly over all of them.
func overFairShare(holdings []*holding, served float64) []AccountShare {
	byAccount, rest, accounts := make(map[string]int), 0, 0
	for _, h := range holdings {
		rest += h.demand.Requests
		accounts = max(accounts, h.demand.NumAccounts)
		for _, c := range h.demand.Accounts {
			byAccount[c.Account] += c.Requests
			rest -= c.Requests
		}
	}
	if len(byAccount) == 0 {
		return nil
	}
	accounts = max(accounts, len(byAccount))
	each := float64(max(0, rest)) / float64(accounts)
	wants, all := make([]float64, accounts), 0.0
	for i, n := range slices.Sorted(maps.Values(byAccount)) {
		wants[i] = float64(n)
	}
	for i := range wants {
		wants[i] += each
		all += wants[i]
	}
	bound, left := waterFill(wants, served*all)
	if left > 0 {
		return nil
	}
	var out []AccountShare
	for account, n := range byAccount {
		if float64(n) > overMargin*bound {
			out = append(out, AccountShare{account, bound / (float64(n) + each)})
		}
	}
	slices.SortFunc(out, func(a, b AccountShare) int {
		return cmp.Or(cmp.Compare(a.Admitted, b.Admitted), cmp.Compare(a.Account, b.Account))
	})
	return out[:min(len(out), reportedAccounts)]
}

// move returns the places of a process that is to hold need, as far as there are free ones.
func (a *Allocator) move(service string, own *holding, need float64) float64 {
	book := a.book(service)
	change := max(need, minShare) - own.demand.Places
	if change > 0 {
		change = min(change, max(0, book.free))
		book.free -= change
	}
	a.sequence++
	own.sequence, own.change = a.sequence, change
	return own.demand.Places + change
}
