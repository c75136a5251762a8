package link

import "merlinhall/wire"

// Mux dispatches the messages on the links of a process to handlers by kind. Each
// handler receives every Up and Down. Handlers must be added before the first
// connection.
type Mux struct {
	handlers []Events
	byKind   [256]Events
}

// Handle registers handler for messages of the kinds.
func (m *Mux) Handle(handler Events, kinds ...wire.Kind) {
	m.handlers = append(m.handlers, handler)
	for _, k := range kinds {
		m.byKind[k] = handler
	}
}

// Up implements Events.
func (m *Mux) Up(c *Conn) {
	for _, h := range m.handlers {
		h.Up(c)
	}
}

// Message implements Events. It ignores a message without a handler, so that a
// newer process may send kinds that this one does not handle.
func (m *Mux) Message(c *Conn, msg wire.Message) {
	if h := m.byKind[msg.Kind()]; h != nil {
		h.Message(c, msg)
	}
}

// Down implements Events.
func (m *Mux) Down(c *Conn, reason error) {
	for _, h := range m.handlers {
		h.Down(c, reason)
	}
}
