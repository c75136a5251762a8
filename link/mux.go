package link

import "merlinhall/wire"

// Mux passes the messages of one process's links to the parts that handle them.
// Every part sees each Up and Down. Parts are added before the first connection.
type Mux struct {
	parts  []Events
	byKind [256]Events
}

// Handle gives messages of the kinds to part.
func (m *Mux) Handle(part Events, kinds ...wire.Kind) {
	m.parts = append(m.parts, part)
	for _, k := range kinds {
		m.byKind[k] = part
	}
}

// Up implements Events.
func (m *Mux) Up(c *Conn) {
	for _, p := range m.parts {
		p.Up(c)
	}
}

// Message implements Events. A message that no part handles is ignored, so that
// a newer process may send kinds that this one does not know the use of.
func (m *Mux) Message(c *Conn, msg wire.Message) {
	if p := m.byKind[msg.Kind()]; p != nil {
		p.Message(c, msg)
	}
}

// Down implements Events.
func (m *Mux) Down(c *Conn, reason error) {
	for _, p := range m.parts {
		p.Down(c, reason)
	}
}
