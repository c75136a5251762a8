package replica

import (
	"sync"

	"github.com/rotisserie/eris"

	"merlinhall/link"
	"merlinhall/wire"
)

var errNoConnection = eris.New("replica: no connection to the peer")

// peers holds the open connections to control processes by process name, newest last.
type peers struct {
	mu    sync.Mutex
	conns map[string][]*link.Conn
}

func newPeers() *peers { return &peers{conns: make(map[string][]*link.Conn)} }

func (p *peers) add(c *link.Conn) {
	if !isControl(c) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	name := c.Peer().Process
	p.conns[name] = append(p.conns[name], c)
}

func (p *peers) remove(c *link.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	name := c.Peer().Process
	var rest []*link.Conn
	for _, open := range p.conns[name] {
		if open != c {
			rest = append(rest, open)
		}
	}
	p.conns[name] = rest
}

// send sends m on the newest connection, because the peer may no longer answer on an older one.
func (p *peers) send(name string, m wire.Message) error {
	p.mu.Lock()
	open := p.conns[name]
	var c *link.Conn
	if len(open) > 0 {
		c = open[len(open)-1]
	}
	p.mu.Unlock()
	if c == nil {
		return errNoConnection
	}
	return c.Send(m)
}

func isControl(c *link.Conn) bool {
	for _, role := range c.Peer().Roles {
		if role == wire.RoleControl {
			return true
		}
	}
	return false
}
