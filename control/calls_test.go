package control

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/wire"
)

// callTestTimeout only bounds a failing test.
const callTestTimeout = time.Minute

// Guards against a call that waits for a leader that is frozen until its timeout, although
// another replica leads.
func TestForwardedCallEndsWhenAnotherReplicaLeads(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newFakeCluster(t, "c1", "c2", "c3")
	started := make(chan struct{})
	c.replicas["c1"].control.HandleCall("hang", func(ctx context.Context, _ []byte) ([]byte, error) {
		close(started)
		<-ctx.Done()
		return nil, ctx.Err()
	})
	go func() {
		<-started
		c.elect("c3")
	}()
	ctx, cancel := context.WithTimeout(context.Background(), callTestTimeout)
	defer cancel()
	reply := c.replicas["c2"].control.Call(ctx, &wire.Call{Method: "hang"})
	is.NoErr(ctx.Err())
	is.Equal(reply.Outcome, wire.CallUnknown)
}

// Guards against a replica that is cut off and keeps calls until their timeout, so that
// their senders do not try another one.
func TestReplicaWithoutALeaderForLongRejectsCalls(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newFakeCluster(t, "c1", "c2")
	c.elect("")
	cutOff := c.replicas["c2"].control
	cutOff.pollLeader()
	cutOff.mu.Lock()
	cutOff.leaderAt = time.Now().Add(-leaderlessLimit)
	cutOff.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), callTestTimeout)
	defer cancel()
	reply := cutOff.Call(ctx, &wire.Call{Method: "barrier"})
	is.NoErr(ctx.Err())
	is.Equal(reply.Outcome, wire.CallNoLeader)
}
