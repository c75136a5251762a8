package daemon

import (
	"slices"
	"sync"

	"merlinhall/link"
	"merlinhall/wire"
)

// followerTargets tracks the targets whose agents receive cluster states from this entry.
type followerTargets struct {
	mu       sync.Mutex
	conns    map[*link.Conn]string
	onChange func(targets []string)
}

// Up implements link.Events.
func (n *followerTargets) Up(c *link.Conn) {
	target := c.Peer().Target
	if target == "" || !slices.Contains(c.Peer().Roles, wire.RoleAgent) {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[c] = target
	n.report()
}

// Message implements link.Events.
func (n *followerTargets) Message(*link.Conn, wire.Message) {}

// Down implements link.Events.
func (n *followerTargets) Down(c *link.Conn, _ error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.conns[c]; ok {
		delete(n.conns, c)
		n.report()
	}
}

func (n *followerTargets) report() {
	names := make([]string, 0, len(n.conns))
	for _, name := range n.conns {
		names = append(names, name)
	}
	slices.Sort(names)
	n.onChange(slices.Compact(names))
}
