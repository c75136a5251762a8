package rollout

// Shares divides generation between trainers by weighted tokens. Each trainer
// has a virtual time that advances by tokens/weight; the trainer with the least
// virtual time goes first. A trainer that had nothing to do starts at the least
// virtual time of the others, so it neither saves up a claim nor waits for ever.
type Shares struct {
	time   map[string]float64
	active map[string]bool
}

// NewShares returns empty shares.
func NewShares() *Shares {
	return &Shares{time: map[string]float64{}, active: map[string]bool{}}
}

// SetActive tells which trainers have work.
func (s *Shares) SetActive(active map[string]bool) {
	floor, any := 0.0, false
	for name := range active {
		if s.active[name] && (!any || s.time[name] < floor) {
			floor, any = s.time[name], true
		}
	}
	for name := range active {
		if !s.active[name] {
			s.time[name] = max(s.time[name], floor)
		}
	}
	for name := range s.time {
		if !active[name] && s.time[name] < floor {
			delete(s.time, name)
		}
	}
	s.active = active
}

// Charge adds tokens to a trainer's use. Negative tokens correct an estimate.
func (s *Shares) Charge(trainer string, tokens int, weight float64) {
	if weight <= 0 {
		weight = 1
	}
	s.time[trainer] += float64(tokens) / weight
}

// Order returns the names sorted by virtual time.
func (s *Shares) Order(names []string) []string {
	order := append([]string(nil), names...)
	for i := 1; i < len(order); i++ {
		for j := i; j > 0 && s.less(order[j], order[j-1]); j-- {
			order[j], order[j-1] = order[j-1], order[j]
		}
	}
	return order
}

func (s *Shares) less(a, b string) bool {
	if s.time[a] != s.time[b] {
		return s.time[a] < s.time[b]
	}
	return a < b
}
