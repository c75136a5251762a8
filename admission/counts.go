package admission

import (
	"cmp"
	"slices"
	"time"
)

const (
	// countSlot and countSlots say how requests are counted: in slots that add up to 5 s, so
	// that a report holds totals and a lost one is replaced by the next.
	countSlot  = 500 * time.Millisecond
	countSlots = 10
	// peakSlots is the number of slots of which the most requests in flight count.
	peakSlots = 2
	// reportedAccounts is the number of accounts in a report.
	reportedAccounts = 16
)

// counts are what a process counts of one service.
type counts struct {
	slots [countSlots]countsSlot
}

type countsSlot struct {
	number                 int64
	requests, answered     [classes]int
	queued, refused        int
	retries, retriesWanted int
	peak                   int // requests in flight
	accounts               map[string]int
}

func (s *countsSlot) account(name string) {
	if name == "" {
		return
	}
	if s.accounts == nil {
		s.accounts = make(map[string]int)
	}
	if _, ok := s.accounts[name]; ok || len(s.accounts) < maxAccounts {
		s.accounts[name]++
	}
}

func slotNumber(now time.Time) int64 { return now.UnixNano() / int64(countSlot) }

func (c *counts) slot(now time.Time) *countsSlot {
	n := slotNumber(now)
	s := &c.slots[n%countSlots]
	if s.number != n {
		*s = countsSlot{number: n}
	}
	return s
}

// peak returns the most requests that were in flight in the last peakSlots slots.
func (c *counts) peak(now time.Time) int {
	peak := 0
	for i := range c.slots {
		if s := &c.slots[i]; s.number > slotNumber(now)-peakSlots {
			peak = max(peak, s.peak)
		}
	}
	return peak
}

// rates returns how many requests of a class were answered in the best second, and how many a
// second have arrived.
func (c *counts) rates(now time.Time, class Class) (answered, wanted float64) {
	most, sum := 0, 0
	for i := range c.slots {
		if s := &c.slots[i]; s.number > slotNumber(now)-countSlots {
			most = max(most, s.answered[class])
			sum += s.requests[class]
		}
	}
	return float64(most) / countSlot.Seconds(), float64(sum) / (countSlots * countSlot).Seconds()
}

func (c *counts) total(now time.Time) countsSlot {
	total := countsSlot{accounts: make(map[string]int)}
	for i := range c.slots {
		s := &c.slots[i]
		if s.number <= slotNumber(now)-countSlots {
			continue
		}
		for class := range classes {
			total.requests[class] += s.requests[class]
		}
		total.queued += s.queued
		total.refused += s.refused
		total.retries += s.retries
		total.retriesWanted += s.retriesWanted
		for name, n := range s.accounts {
			total.accounts[name] += n
		}
	}
	return total
}

// largest returns the accounts with the most requests.
func (s *countsSlot) largest() []AccountCount {
	out := make([]AccountCount, 0, len(s.accounts))
	for name, n := range s.accounts {
		out = append(out, AccountCount{name, n})
	}
	slices.SortFunc(out, func(a, b AccountCount) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Account, b.Account))
	})
	return out[:min(len(out), reportedAccounts)]
}
