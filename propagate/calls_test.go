package propagate

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/wire"
)

// callPeer is a connection that keeps the calls sent over it.
type callPeer struct{ sent chan *wire.Call }

func newCallPeer() *callPeer { return &callPeer{make(chan *wire.Call, 8)} }

func (p *callPeer) Peer() wire.Hello       { return wire.Hello{Process: "control"} }
func (p *callPeer) SendFrame([]byte) error { return nil }
func (p *callPeer) Close(error)            {}

func (p *callPeer) Send(m wire.Message) error {
	p.sent <- m.(*wire.Call)
	return nil
}

// startCall makes a call and returns its id and a channel with the body of its reply.
func startCall(t *testing.T, c *Calls, to *callPeer) (id string, body chan string) {
	t.Helper()
	body = make(chan string, 1)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	go func() {
		reply, err := c.Do(ctx, to, &wire.Call{Method: "m"})
		if err != nil {
			body <- err.Error()
			return
		}
		body <- string(reply.Outcome) + " " + string(reply.Body)
	}()
	return (<-to.sent).ID, body
}

func okReply(id, body string) *wire.Reply {
	return &wire.Reply{ID: id, Outcome: wire.CallOK, Body: []byte(body)}
}

// A reply answers the call with its id, once, whatever else comes with the ids of calls that
// have ended.
func TestRepeatedAndLateRepliesAnswerNoOtherCall(t *testing.T) {
	is := is.New(t)
	c, peer, next := NewCalls(), newCallPeer(), newCallPeer()
	first, firstBody := startCall(t, c, peer)
	c.Answer(peer, okReply(first, "1"))
	is.Equal(<-firstBody, "ok 1")

	second, secondBody := startCall(t, c, peer)
	is.True(second != first)
	c.Answer(peer, okReply(first, "1")) // a second copy
	c.Lost(peer)
	is.Equal(<-secondBody, "unknown ")

	third, thirdBody := startCall(t, c, next) // over the next connection
	is.True(third != second)
	c.Answer(peer, okReply(second, "2")) // late, over the lost one
	c.Answer(next, okReply(second, "2"))
	c.Answer(next, okReply(third, "3"))
	is.Equal(<-thirdBody, "ok 3")
	is.Equal(len(c.pending), 0)
}

// Another process, or this one before its restart, may use the same id for another call.
func TestReplyOverAnotherConnectionIsNoAnswer(t *testing.T) {
	is := is.New(t)
	c, peer, other := NewCalls(), newCallPeer(), newCallPeer()
	id, body := startCall(t, c, peer)
	c.Answer(other, okReply(id, "another call's"))
	c.Answer(peer, okReply(id, "its own"))
	is.Equal(<-body, "ok its own")
}
