package hub

// dials is the set of links that a process keeps to control processes.
type dials struct {
	dial func(address string) (stop func())
	open map[string]func()
}

func newDials(dial func(address string) (stop func())) *dials {
	return &dials{dial: dial, open: make(map[string]func())}
}

// keep opens links to the addresses and ends those to others. self is left out.
func (d *dials) keep(addresses []string, self string) {
	wanted := make(map[string]bool)
	for _, a := range addresses {
		if a == self {
			continue
		}
		wanted[a] = true
		if d.open[a] == nil {
			d.open[a] = d.dial(a)
		}
	}
	for a, stop := range d.open {
		if !wanted[a] {
			stop()
			delete(d.open, a)
		}
	}
}
