package consensus

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// depart stops a host as planned: it hands over the leadership and asks to be replaced until it
// is told the outcome, and then it is down. It returns the time that this took.
func (g *openGroup) depart(name string) (Departure, time.Duration) {
	n, began := g.nodes[name], g.now
	n.Step(g.now, Handover{})
	for g.now < began+2*time.Second && n.departure == DepartureOpen {
		n.Step(g.now, Depart{})
		g.run(20 * time.Millisecond)
	}
	g.down[name] = true
	return n.departure, g.now - began
}

// restart starts a host that is down again, with its disk.
func (g *openGroup) restart(name string) {
	old := g.nodes[name]
	c := g.config
	c.ID, c.Name, c.Peers, c.JoinOnly, c.Rand = old.cfg.ID, name, seedHosts, true, old.cfg.Rand
	g.nodes[name] = New(c, Recovered{
		Group: old.group, State: HardState{old.term, old.vote}, Base: old.log.base, Entries: old.log.entries, Snapshot: old.log.snapshot,
	}, g.now)
	g.down[name] = false
}

func newGroupOfFour() *openGroup {
	g := newOpenGroup()
	g.config.ReplaceAfter = 1175 * time.Millisecond
	for _, name := range seedHosts {
		g.start(name, seedHosts, false)
	}
	g.start("host-04", seedHosts, true)
	g.run(8 * time.Second)
	return g
}

// commits returns an error unless the group commits another entry.
func (g *openGroup) commits() error {
	leader := g.leader()
	if leader == nil {
		return fmt.Errorf("the group has no leader")
	}
	before := leader.commit
	leader.Step(g.now, Propose{Key: 1, Data: []byte("x")})
	last := leader.log.last()
	g.run(200 * time.Millisecond)
	if leader.commit < last || last <= before {
		return fmt.Errorf("entry %d is not committed, commit index %d", last, leader.commit)
	}
	return nil
}

// Guards against a host that is stopped as planned and stays a voter: until it had been silent
// for ReplaceAfter, the loss of one disk was the loss of all that was committed.
func TestPlannedStopLeavesAMajorityBesideALoss(t *testing.T) {
	for _, stopped := range seedHosts {
		for after := time.Duration(0); after < 1500*time.Millisecond; after += 50 * time.Millisecond {
			g := newGroupOfFour()
			if err := g.commits(); err != nil {
				t.Fatal(err)
			}
			departure, took := g.depart(stopped)
			if departure != DepartureDone || took > 200*time.Millisecond {
				t.Fatalf("%s: departure is %q after %v", stopped, departure, took)
			}
			g.run(after)
			wiped := g.voterNames()[0]
			g.down[wiped] = true
			g.at(g.now+2*time.Second, func() { g.start(wiped, seedHosts, true) })
			g.run(14 * time.Second)
			if err := g.commits(); err != nil {
				t.Errorf("%s stops, %s loses its disk %v later: %v", stopped, wiped, after, err)
			}
		}
	}
}

// Guards against a disk that is lost while a host is being replaced.
func TestDiskIsLostDuringAPlannedStop(t *testing.T) {
	for _, stopped := range seedHosts {
		for _, wiped := range seedHosts {
			for after := time.Duration(0); after < 200*time.Millisecond && wiped != stopped; after += 10 * time.Millisecond {
				g := newGroupOfFour()
				g.at(g.now+after, func() { g.down[wiped] = true })
				g.at(g.now+after+2*time.Second, func() { g.start(wiped, seedHosts, true) })
				if departure, _ := g.depart(stopped); departure != DepartureDone {
					g.restart(stopped) // with its disk: it could not be replaced in time
				}
				g.run(14 * time.Second)
				if err := g.commits(); err != nil {
					t.Errorf("%s stops, %s loses its disk %v later: %v", stopped, wiped, after, err)
				}
			}
		}
	}
}

// Guards against a stop that waits for a replacement that there is not.
func TestPlannedStopWithoutALearnerEndsAtOnce(t *testing.T) {
	is := is.New(t)
	g := newBootstrappedGroup()
	departure, took := g.depart(g.voterNames()[0])
	is.Equal(departure, DepartureRefused)
	is.True(took < 1500*time.Millisecond) // an election and one round
	is.NoErr(g.commits())
}

// Guards against a host that stops without a replacement because the learner lacks an entry at
// the moment at which it is asked for, as it does most of the time under load.
func TestPlannedStopWaitsForALearnerThatIsBehind(t *testing.T) {
	for _, stopped := range seedHosts {
		is := is.New(t)
		g := newGroupOfFour()
		g.stuck["host-04"] = true
		is.NoErr(g.commits())
		g.at(g.now+300*time.Millisecond, func() { g.stuck["host-04"] = false })
		departure, took := g.depart(stopped)
		is.Equal(departure, DepartureDone)
		is.True(took < time.Second)
		is.NoErr(g.commits())
	}
}

// Guards against hosts that are restarted one after the other and do not come back as members,
// or a group that has fewer voters than before.
func TestHostsThatAreRestartedInTurnAreVotersAgain(t *testing.T) {
	is := is.New(t)
	g := newGroupOfFour()
	for range 3 {
		for _, name := range g.names() {
			g.depart(name)
			g.run(500 * time.Millisecond)
			is.NoErr(g.commits())
			g.restart(name)
			g.run(4 * time.Second)
			is.NoErr(g.commits())
		}
	}
	is.Equal(len(g.leader().members), 4)
	is.Equal(len(g.voterNames()), 3)
}

// Guards against a group that cannot elect a leader while all its processes are being stopped.
func TestAllHostsAreStoppedAtOnce(t *testing.T) {
	is := is.New(t)
	g := newGroupOfFour()
	for range 50 {
		for _, name := range g.names() {
			n := g.nodes[name]
			if n.role == RoleLeader {
				n.Step(g.now, Handover{})
			}
			n.Step(g.now, Depart{})
		}
		g.run(20 * time.Millisecond)
	}
	for _, name := range g.names() {
		g.down[name] = true
	}
	g.run(time.Second)
	for _, name := range g.names() {
		g.restart(name)
	}
	g.run(8 * time.Second)
	is.NoErr(g.commits())
	is.Equal(len(g.voterNames()), 3)
}
