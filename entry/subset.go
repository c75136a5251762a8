package entry

import (
	"context"
	"time"

	"merlinhall/config"
	"merlinhall/routing"
)

const (
	// maxLinks is the number of links to agents that an entry keeps. An idle link
	// costs 49 bytes/s and 0.008% of a core at one end, so that 48 links stay within
	// the budget of 4 KB/s and 1% of a core for control traffic of one host.
	maxLinks = 48
	// minLinksPerService keeps a choice of targets for small services when large ones
	// compete for links.
	minLinksPerService = 4
)

// followersMessage holds the names of the targets whose agents follow this entry,
// that is, receive cluster states from it.
type followersMessage map[string]bool

// SetFollowers sets the names of the targets whose agents receive cluster states from this
// entry. The entry prefers links to them when it cannot keep one to every target.
func (e *Entry) SetFollowers(targets []string) {
	followers := make(followersMessage, len(targets))
	for _, name := range targets {
		followers[name] = true
	}
	e.offer(context.Background(), followers)
}

func (d *dispatcher) onFollowers(now time.Time, followers followersMessage) {
	d.followers = followers
	if d.view != nil {
		d.onClusterState(now, d.view)
	}
}

// quotas returns the number of links to keep for each service and pool.
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
	near := func(name string) bool { return d.followers[name] }
	avoid := func(name string) bool { return leaving[name] }
	return routing.Subset(d.entry.options.Name, targets, size, near, avoid)
}
