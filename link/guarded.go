package link

import (
	"fmt"

	"github.com/sirupsen/logrus"

	"merlinhall/wire"
)

// A Runner runs work and returns an error if it ended unexpectedly, as *observe.Guard does.
type Runner interface {
	Run(fields logrus.Fields, work func()) error
}

type guarded struct {
	Events
	runner Runner
}

// Guarded returns events that end the link of a message whose handler ends unexpectedly. The
// peer dials again, and both start anew from what each has.
func Guarded(events Events, runner Runner) Events { return guarded{events, runner} }

// Message implements Events.
func (g guarded) Message(c *Conn, m wire.Message) {
	fields := logrus.Fields{"peer": c.Peer().Process, "message": fmt.Sprintf("%T", m)}
	if err := g.runner.Run(fields, func() { g.Events.Message(c, m) }); err != nil {
		c.Close(err)
	}
}
