package consensus

import (
	"fmt"
	"testing"
	"time"
)

// overlap plays a voter that stands still for a while and another one that loses its disk
// meanwhile, in a group of four hosts that bears the loss of one disk. It returns an error
// if what was committed before does not come again.
func overlap(still, wiped string, after time.Duration) error {
	g := newOpenGroup()
	g.config.ReplaceAfter = 1275 * time.Millisecond
	names := append([]string(nil), seedHosts...)
	for _, name := range names {
		g.start(name, seedHosts, false)
	}
	g.start("host-04", seedHosts, true)
	g.run(8 * time.Second)
	leader := g.leader()
	leader.Step(g.now, Propose{Key: 1, Data: []byte("x")})
	committed := leader.log.last()
	g.run(200 * time.Millisecond)
	if leader.commit < committed || len(g.voterNames()) != 3 {
		return fmt.Errorf("entry %d is not committed by %v", committed, g.voterNames())
	}
	others := make([]string, 0, 2)
	for _, name := range g.voterNames() {
		if name != leader.cfg.Name {
			others = append(others, name)
		}
	}
	host := map[string]string{"leader": leader.cfg.Name, "voter": others[0], "other voter": others[1]}
	g.down[host[still]] = true
	g.at(g.now+3200*time.Millisecond, func() { g.down[host[still]] = false })
	g.run(after)
	g.down[host[wiped]] = true
	g.at(g.now+2*time.Second, func() { g.start(host[wiped], seedHosts, true) })
	g.run(17 * time.Second)
	leader = g.leader()
	if leader == nil {
		return fmt.Errorf("the group has no leader")
	}
	leader.Step(g.now, Propose{Key: 2, Data: []byte("y")})
	last := leader.log.last()
	g.run(200 * time.Millisecond)
	if leader.commit < last || last <= committed {
		return fmt.Errorf("entry %d is not committed, commit index %d, before %d", last, leader.commit, committed)
	}
	return nil
}

// Guards against a voter that is removed while the voter that its removal needs is lost with
// its disk: the group had no leader ever again, though only one disk was lost.
func TestVoterStandsStillWhileAnotherLosesItsDisk(t *testing.T) {
	for _, c := range [][2]string{{"voter", "other voter"}, {"voter", "leader"}, {"leader", "voter"}} {
		for after := time.Duration(0); after <= 3*time.Second; after += 20 * time.Millisecond {
			if err := overlap(c[0], c[1], after); err != nil {
				t.Errorf("the %s stands still, the %s loses its disk %v later: %v", c[0], c[1], after, err)
			}
		}
	}
}
