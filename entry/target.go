package entry

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"merlinhall/config"
	"merlinhall/link"
	"merlinhall/wire"
)

// errOverrun closes a link whose messages the dispatcher cannot take.
var errOverrun = eris.New("entry: mailbox is full")

// handOverLimit bounds the wait for room in the mailbox; it is below
// link.SilenceLimit, which a handler of link events must not reach.
const handOverLimit = time.Second

// target is a target of the configuration and the link to its agent. Only the
// dispatcher uses it.
type target struct {
	key     string
	config  config.Target
	dialer  *link.Dialer
	conn    *link.Conn // nil while the link is down
	boot    string     // boot id of the agent, kept while the link is down
	load    wire.Load
	removed bool // not in the current configuration
	leaving bool // by the current world
	flights map[*flight]struct{}
	cancels []abandon // attempts to cancel when the link is back
}

// maxCancels bounds the cancellations kept for an agent that cannot be reached;
// the agent cancels the others by their deadline.
const maxCancels = 1024

func targetKey(t config.Target) string { return t.Name + "@" + t.Agent }

func (t *target) usable() bool {
	return t.conn != nil && !t.removed && !t.leaving && !t.load.Leaving && !t.load.Down
}

// targetEvents passes the events of a target's link to the dispatcher.
type targetEvents struct {
	entry *Entry
	key   string
}

// Up implements link.Events.
func (t *targetEvents) Up(c *link.Conn) {
	t.entry.offer(context.Background(), upMessage{t.key, c})
}

// Message implements link.Events. A full mailbox holds back this link; when it
// stays full the link is closed, and requests attach again without a loss.
func (t *targetEvents) Message(c *link.Conn, m wire.Message) {
	ctx, cancel := context.WithTimeout(context.Background(), handOverLimit)
	defer cancel()
	if !t.entry.offer(ctx, peerMessage{t.key, c, m}) {
		c.Close(errOverrun)
	}
}

// Down implements link.Events.
func (t *targetEvents) Down(c *link.Conn, reason error) {
	t.entry.offer(context.Background(), downMessage{t.key, c, reason})
}
