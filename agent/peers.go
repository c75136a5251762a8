package agent

import (
	"context"
	"net/http"
	"time"

	"merlinhall/link"
	"merlinhall/wire"
)

const (
	// peerIdle is the time after which an unused link to another agent is closed.
	peerIdle = 30 * time.Second
	// peerQueue bounds the messages that wait for a link to be established.
	peerQueue = 32
)

// Messages about links to other agents.
type (
	peerUp struct {
		address string
		conn    *link.Conn
	}
	peerLost struct {
		address string
		conn    *link.Conn // nil when the link could not be established
	}
	peerMessage struct {
		address string
		m       wire.Message
	}
)

// peerLink is a link to another agent, or the attempt to establish one.
type peerLink struct {
	conn    *link.Conn
	waiting []wire.Message
	used    time.Time
}

// peers holds the links to other agents. A link is dialled when it is needed.
type peers struct {
	ctx    context.Context
	client *http.Client
	scheme string
	local  wire.Hello
	post   func(any) bool
	links  map[string]*peerLink
}

// send sends m to the agent at address and reports whether it may arrive. A link
// that fails later is reported by peerLost.
func (p *peers) send(address string, m wire.Message) bool {
	l := p.links[address]
	if l == nil {
		l = &peerLink{}
		p.links[address] = l
		go p.dial(address)
	}
	l.used = time.Now()
	if l.conn != nil {
		return l.conn.Send(m) == nil
	}
	if len(l.waiting) >= peerQueue {
		return false
	}
	l.waiting = append(l.waiting, m)
	return true
}

func (p *peers) dial(address string) {
	conn, err := link.Dial(p.ctx, p.client, p.scheme, address, p.local, &peerEvents{address, p.post})
	if err != nil {
		p.post(peerLost{address: address})
		return
	}
	if !p.post(peerUp{address, conn}) {
		conn.Close(link.ErrClosed)
	}
}

// up takes a new link into use.
func (p *peers) up(m peerUp) {
	l := p.links[m.address]
	if l == nil || l.conn != nil {
		m.conn.Close(link.ErrClosed)
		return
	}
	l.conn = m.conn
	for _, w := range l.waiting {
		_ = l.conn.Send(w)
	}
	l.waiting = nil
}

// lost forgets a link, and reports whether it was in use.
func (p *peers) lost(m peerLost) bool {
	l := p.links[m.address]
	if l == nil || l.conn != m.conn {
		return false
	}
	delete(p.links, m.address)
	return true
}

// closeIdle closes links that have not been used for a while.
func (p *peers) closeIdle(now time.Time) {
	for address, l := range p.links {
		if l.conn != nil && now.Sub(l.used) > peerIdle {
			delete(p.links, address)
			l.conn.Close(link.ErrClosed)
		}
	}
}

func (p *peers) closeAll() {
	for _, l := range p.links {
		if l.conn != nil {
			l.conn.Close(link.ErrClosed)
		}
	}
}

// peerEvents are the events of one link to another agent.
type peerEvents struct {
	address string
	post    func(any) bool
}

// Up implements link.Events. The dialling goroutine reports the link.
func (e *peerEvents) Up(*link.Conn) {}

// Message implements link.Events.
func (e *peerEvents) Message(_ *link.Conn, m wire.Message) { e.post(peerMessage{e.address, m}) }

// Down implements link.Events.
func (e *peerEvents) Down(c *link.Conn, _ error) { e.post(peerLost{e.address, c}) }
