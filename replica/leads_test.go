package replica

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/actor"
	"merlinhall/boottime"
	"merlinhall/consensus"
)

// The lease is confirmed, then the disk takes long or the host is suspended until the lease
// has ended and another replica may lead. Guards against an order of the former leader that
// leaves with the old fencing token.
func TestLeadsEndsWithTheLease(t *testing.T) {
	for name, c := range map[string]struct {
		left time.Duration // of the lease when the confirmation is answered
		ok   bool
	}{
		"held":  {time.Hour, true},
		"ended": {-time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := &Replica{start: boottime.Now() - time.Hour}
			leads := func(end time.Duration) {
				r.status.Store(&Status{Status: consensus.Status{Role: consensus.RoleLeader, Term: 3, Ready: true, LeaseEnd: end}})
			}
			leads(r.now() + time.Minute)
			r.actor = actor.NewSystem().Start("replica", 8, actor.HandlerFunc(func(msg any) {
				leads(r.now() + c.left)
				msg.(readCall).done(3, 7, nil)
			}))
			defer r.actor.Stop()
			term, err := r.Leads(t.Context())
			is.Equal(err == nil, c.ok)
			if c.ok {
				is.Equal(term, uint64(3))
			}
		})
	}
}
