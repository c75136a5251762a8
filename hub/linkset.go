package hub

// linkSet is the set of links that a process maintains to control processes.
type linkSet struct {
	dial  func(address string) (stop func())
	stops map[string]func()
}

func newLinkSet(dial func(address string) (stop func())) *linkSet {
	return &linkSet{dial: dial, stops: make(map[string]func())}
}

// update opens missing links to the addresses, except to self, and closes links to
// other addresses.
func (s *linkSet) update(addresses []string, self string) {
	wanted := make(map[string]bool)
	for _, a := range addresses {
		if a == self {
			continue
		}
		wanted[a] = true
		if s.stops[a] == nil {
			s.stops[a] = s.dial(a)
		}
	}
	for a, stop := range s.stops {
		if !wanted[a] {
			stop()
			delete(s.stops, a)
		}
	}
}
