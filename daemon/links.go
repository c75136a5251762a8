package daemon

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"merlinhall/control"
	"merlinhall/link"
	"merlinhall/propagate"
	"merlinhall/replica"
	"merlinhall/wire"
)

// peerLinks tracks the connection that this process dialled to each peer. It refuses those
// of control processes that do not understand the level in force.
type peerLinks struct {
	inForce func() uint32
	log     *logrus.Entry
	mu      sync.Mutex
	conns   map[string]*link.Conn
	seen    seenLevels
	refused map[string]time.Time // when the refusal of a process was logged last
}

// refusalLogInterval bounds the lines for a refused process, which keeps dialling.
const refusalLogInterval = 10 * time.Second

func newPeerLinks(machine *control.StateMachine, log *logrus.Entry) *peerLinks {
	p := &peerLinks{inForce: machine.Level, log: log, conns: make(map[string]*link.Conn), seen: make(seenLevels), refused: make(map[string]time.Time)}
	machine.OnLevel(func(level uint32) { go p.closeOlder(level) })
	return p
}

func (p *peerLinks) get(name string) (propagate.Peer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.conns[name]
	return c, ok
}

// levels returns the levels of the given members and of the other control processes.
func (p *peerLinks) levels(members []string) []control.ProcessLevel {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.seen.list(time.Now(), members)
}

func isControl(c *link.Conn) bool { return slices.Contains(c.Peer().Roles, wire.RoleControl) }

// errLevel ends the links of a control process that is too old to take part: it would apply
// the log without the commands that it does not know.
var errLevel = eris.New("daemon: the process does not understand the level in force")

// refuse ends a link of a control process that does not understand a level, and reports
// whether it did.
func (p *peerLinks) refuse(c *link.Conn, level uint32) bool {
	if !isControl(c) || c.Peer().Level >= level {
		return false
	}
	process := c.Peer().Process
	p.mu.Lock()
	logged := time.Since(p.refused[process]) < refusalLogInterval
	if !logged {
		p.refused[process] = time.Now()
	}
	p.mu.Unlock()
	if !logged {
		p.log.WithFields(logrus.Fields{"process": process, "level": c.Peer().Level, "in_force": level}).Warn("control process is refused: its version is older than the level in force")
	}
	c.Close(errLevel)
	return true
}

func (p *peerLinks) closeOlder(level uint32) {
	p.mu.Lock()
	conns := slices.Collect(maps.Values(p.conns))
	p.mu.Unlock()
	for _, c := range conns {
		p.refuse(c, level)
	}
}

// Up implements link.Events.
func (p *peerLinks) Up(c *link.Conn) {
	if p.refuse(c, p.inForce()) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c.Peer().Process] = c
	if isControl(c) {
		p.seen.up(c.Peer().Process, c.Peer().Level)
	}
}

// Message implements link.Events.
func (p *peerLinks) Message(*link.Conn, wire.Message) {}

// Down implements link.Events.
func (p *peerLinks) Down(c *link.Conn, _ error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[c.Peer().Process] == c {
		delete(p.conns, c.Peer().Process)
		p.seen.down(time.Now(), c.Peer().Process)
	}
}

// messagesOnly passes on messages but not the start and end of connections.
type messagesOnly struct{ link.Events }

// Up implements link.Events.
func (messagesOnly) Up(*link.Conn) {}

// Down implements link.Events.
func (messagesOnly) Down(*link.Conn, error) {}

// otherMembers returns the names of the members of a replica's group but its own.
func otherMembers(r *replica.Replica, own string) []string {
	var names []string
	for _, m := range r.Status().Members {
		if m.Name != own {
			names = append(names, m.Name)
		}
	}
	return names
}
