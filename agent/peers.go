package agent

import (
	"context"
	"net/http"
	"time"

	"merlinhall/link"
	"merlinhall/wire"
)

const (
	// peerIdleTimeout is the time after which an unused link to another agent is
	// closed.
	peerIdleTimeout = 30 * time.Second
	// maxPeerQueue is the maximum number of messages that wait for a link to be
	// established.
	maxPeerQueue = 32
)

// Events of the links to other agents.
type (
	peerUp struct {
		address string
		conn    *link.Conn
	}
	peerLost struct {
		address string
		conn    *link.Conn // nil if the link could not be established
	}
	peerMessage struct {
		address string
		m       wire.Message
	}
)

// peerLink is a link to another agent; conn is nil while it is being established.
type peerLink struct {
	conn     *link.Conn
	queued   []wire.Message
	lastUsed time.Time
}

// peers manages the links to other agents. Links are dialled on demand.
type peers struct {
	ctx    context.Context
	client *http.Client
	scheme string
	local  wire.Hello
	post   func(any) bool
	links  map[string]*peerLink
}

// send sends m to the agent at address, or queues it until the link is established.
// It returns false if neither is possible. A later failure of the link is reported
// by peerLost.
func (p *peers) send(address string, m wire.Message) bool {
	l := p.links[address]
	if l == nil {
		l = &peerLink{}
		p.links[address] = l
		go p.dial(address)
	}
	l.lastUsed = time.Now()
	if l.conn != nil {
		return l.conn.Send(m) == nil
	}
	if len(l.queued) >= maxPeerQueue {
		return false
	}
	l.queued = append(l.queued, m)
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

// up starts to use a new link and sends the queued messages. It closes the link if
// none is awaited for its address.
func (p *peers) up(m peerUp) {
	l := p.links[m.address]
	if l == nil || l.conn != nil {
		m.conn.Close(link.ErrClosed)
		return
	}
	l.conn = m.conn
	for _, w := range l.queued {
		_ = l.conn.Send(w)
	}
	l.queued = nil
}

// lost removes the link if it is still the one in use for its address, and reports
// whether it was.
func (p *peers) lost(m peerLost) bool {
	l := p.links[m.address]
	if l == nil || l.conn != m.conn {
		return false
	}
	delete(p.links, m.address)
	return true
}

// closeIdle closes the links that were not used for peerIdleTimeout.
func (p *peers) closeIdle(now time.Time) {
	for address, l := range p.links {
		if l.conn != nil && now.Sub(l.lastUsed) > peerIdleTimeout {
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

// peerEvents forwards the events of one link to another agent.
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
