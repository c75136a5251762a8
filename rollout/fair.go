package rollout

// FairScheduler divides generation between trainers by weighted fair queueing. Each
// trainer has a virtual time that advances by tokens/weight; the trainer with the
// lowest virtual time goes first. A trainer that becomes active starts at no less
// than the lowest virtual time of the active ones, so it accumulates no credit while
// idle and does not starve.
type FairScheduler struct {
	virtualTime map[string]float64
	active      map[string]bool
}

// NewFairScheduler returns a scheduler without trainers.
func NewFairScheduler() *FairScheduler {
	return &FairScheduler{virtualTime: map[string]float64{}, active: map[string]bool{}}
}

// SetActive sets which trainers have waiting samples.
func (s *FairScheduler) SetActive(active map[string]bool) {
	floor, any := 0.0, false
	for name := range active {
		if s.active[name] && (!any || s.virtualTime[name] < floor) {
			floor, any = s.virtualTime[name], true
		}
	}
	for name := range active {
		if !s.active[name] {
			s.virtualTime[name] = max(s.virtualTime[name], floor)
		}
	}
	for name := range s.virtualTime {
		if !active[name] && s.virtualTime[name] < floor {
			delete(s.virtualTime, name)
		}
	}
	s.active = active
}

// Charge charges tokens to a trainer. A negative number corrects an estimate.
func (s *FairScheduler) Charge(trainer string, tokens int, weight float64) {
	if weight <= 0 {
		weight = 1
	}
	s.virtualTime[trainer] += float64(tokens) / weight
}

// Order returns the names sorted by virtual time, lowest first.
func (s *FairScheduler) Order(names []string) []string {
	order := append([]string(nil), names...)
	for i := 1; i < len(order); i++ {
		for j := i; j > 0 && s.less(order[j], order[j-1]); j-- {
			order[j], order[j-1] = order[j-1], order[j]
		}
	}
	return order
}

func (s *FairScheduler) less(a, b string) bool {
	if s.virtualTime[a] != s.virtualTime[b] {
		return s.virtualTime[a] < s.virtualTime[b]
	}
	return a < b
}
