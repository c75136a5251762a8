package entry

import (
	"context"
	"time"

	"merlinhall/config"
	"merlinhall/routing"
)

const (
	// maxLinks bounds the links to agents. An idle link costs 49 bytes a second and
	// 0.008% of a core at one end, so that 48 of them stay within the 4 KB/s and 1%
	// that a node may spend on control.
	maxLinks = 48
	// minLinksPerService keeps a choice for a small service beside large ones.
	minLinksPerService = 4
)

// nearMessage names the targets whose agents follow this entry.
type nearMessage map[string]bool

// SetNear tells the entry which targets' agents follow it. It keeps links to them
// even when it cannot keep one to every target.
func (e *Entry) SetNear(targets []string) {
	near := make(nearMessage, len(targets))
	for _, name := range targets {
		near[name] = true
	}
	e.offer(context.Background(), near)
}

func (d *dispatcher) onNear(now time.Time, near nearMessage) {
	d.near = near
	if d.view != nil {
		d.onWorld(now, d.view)
	}
}

// quotas returns the number of links for each service and pool.
func (d *dispatcher) quotas(c *config.Config) map[string]int {
	var names []string
	var counts []int
	for i := range c.Services {
		names = append(names, c.Services[i].Name)
		counts = append(counts, len(c.Services[i].Targets))
	}
	for i := range c.Pools {
		names = append(names, c.Pools[i].Name)
		counts = append(counts, len(c.Pools[i].Targets))
	}
	quotas := make(map[string]int, len(names))
	for i, n := range routing.Quotas(counts, maxLinks, minLinksPerService) {
		quotas[names[i]] = n
	}
	return quotas
}

func (d *dispatcher) subset(targets []config.Target, size int, leaving map[string]bool) []config.Target {
	near := func(name string) bool { return d.near[name] }
	avoid := func(name string) bool { return leaving[name] }
	return routing.Subset(d.entry.options.Name, targets, size, near, avoid)
}
