package consensus

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// openGroup simulates a group with open membership on a lossless network.
type openGroup struct {
	now        time.Duration
	nodes      map[string]*Node
	down       map[string]bool
	stuck      map[string]bool // their log takes nothing in, but they answer
	entryBytes map[string]int  // sent to each
	nextID     uint64
	config     Config // of each replica, without its identity
	events     []groupEvent
}

// groupEvent is something that happens at a given time of a run.
type groupEvent struct {
	at time.Duration
	do func()
}

// at schedules do.
func (g *openGroup) at(when time.Duration, do func()) {
	g.events = append(g.events, groupEvent{when, do})
}

func newOpenGroup() *openGroup {
	return &openGroup{config: Config{OpenMembership: true}, nodes: make(map[string]*Node), down: make(map[string]bool), stuck: make(map[string]bool), entryBytes: make(map[string]int), nextID: 1}
}

// start adds a replica with an empty data directory.
func (g *openGroup) start(name string, seeds []string, joiner bool) *Node {
	var peers []string
	for _, s := range seeds {
		if s != name {
			peers = append(peers, s)
		}
	}
	c := g.config
	c.ID, c.Name, c.Peers, c.JoinOnly = g.nextID, name, peers, joiner
	c.Rand = rand.New(rand.NewPCG(g.nextID, 7))
	n := New(c, Recovered{}, g.now)
	g.nextID++
	g.nodes[name] = n
	g.down[name] = false
	return n
}

// doDue does what is scheduled for now or before.
func (g *openGroup) doDue() {
	due := g.events
	g.events = nil
	for _, e := range due {
		if e.at <= g.now {
			e.do()
		} else {
			g.events = append(g.events, e)
		}
	}
}

// run advances time by d.
func (g *openGroup) run(d time.Duration) {
	for end := g.now + d; g.now < end; g.now += 10 * time.Millisecond {
		g.doDue()
		for _, name := range g.names() {
			if !g.down[name] {
				g.nodes[name].Step(g.now, Tick{})
			}
		}
		for range 4 {
			g.deliver()
		}
	}
}

func (g *openGroup) deliver() {
	var out []Message
	for _, name := range g.names() {
		if g.down[name] {
			continue
		}
		n := g.nodes[name]
		for {
			o, ok := n.Take()
			if !ok {
				break
			}
			n.Persisted()
			out = append(out, o.Messages...)
		}
	}
	for i := range out {
		m := &out[i]
		for _, e := range m.Entries {
			g.entryBytes[m.ToName] += len(e.Data)
		}
		if g.stuck[m.ToName] && (len(m.Entries) > 0 || m.Kind == MsgSnapshot) {
			continue
		}
		if n := g.nodes[m.ToName]; n != nil && !g.down[m.ToName] {
			n.Step(g.now, Receive{m})
		}
	}
}

// names returns the names of all replicas in a fixed order, so that a run is determined
// by its seed.
func (g *openGroup) names() []string { return slices.Sorted(maps.Keys(g.nodes)) }

// leader returns the leader of the newest term among the replicas that run, or nil.
func (g *openGroup) leader() *Node {
	var leader *Node
	for _, name := range g.names() {
		n := g.nodes[name]
		if n.role == RoleLeader && !g.down[name] && (leader == nil || n.term > leader.term) {
			leader = n
		}
	}
	return leader
}

// voterNames returns the names of the leader's voters.
func (g *openGroup) voterNames() []string {
	var names []string
	for _, m := range g.leader().voters() {
		names = append(names, m.Name)
	}
	return names
}

var seedNames = []string{"a:1", "b:1", "c:1"}

func newBootstrappedGroup() *openGroup {
	g := newOpenGroup()
	for _, name := range seedNames {
		g.start(name, seedNames, false)
	}
	g.run(2 * time.Second)
	return g
}

func TestOpenGroupAdmitsUnconfiguredReplicas(t *testing.T) {
	is := is.New(t)
	g := newBootstrappedGroup()
	is.Equal(len(g.voterNames()), 3)
	g.start("d:1", seedNames, true)
	g.run(3 * time.Second)
	is.Equal(len(g.voterNames()), 3) // never an even number
	is.Equal(len(g.leader().members), 4)
	g.start("e:1", seedNames, true)
	g.run(4 * time.Second)
	is.Equal(len(g.voterNames()), 5)
	g.start("f:1", seedNames, true)
	g.run(3 * time.Second)
	is.Equal(len(g.leader().members), 5) // at most MaxVoters members are admitted
}

func TestOpenGroupReplacesAHostByOneAtAnotherAddress(t *testing.T) {
	is := is.New(t)
	g := newBootstrappedGroup()
	g.start("d:1", seedNames, true)
	g.run(3 * time.Second)
	g.down["c:1"] = true
	g.start("e:1", seedNames, true)
	g.run(20 * time.Second)
	names := g.voterNames()
	is.Equal(len(names), 3)
	for _, name := range names {
		is.True(name != "c:1") // has not answered for longer than MemberTimeout
	}
}

func TestRemovedUnreachableVoterRejoins(t *testing.T) {
	is := is.New(t)
	g := newBootstrappedGroup()
	g.start("d:1", seedNames, true)
	g.start("e:1", seedNames, true)
	g.run(5 * time.Second)
	is.Equal(len(g.voterNames()), 5)
	g.down["d:1"] = true
	g.run(15 * time.Second)
	is.Equal(len(g.voterNames()), 3) // four would be an even number
	g.down["d:1"] = false
	g.run(5 * time.Second)
	is.Equal(len(g.voterNames()), 5)
}

func TestExcludedReplicaLeavesAndStaysAway(t *testing.T) {
	is := is.New(t)
	g := newBootstrappedGroup()
	g.start("d:1", seedNames, true)
	g.run(3 * time.Second)
	for _, n := range g.nodes {
		n.Step(g.now, SetPeers{Names: seedNames, Excluded: []string{"a:1"}})
	}
	g.run(5 * time.Second)
	names := g.voterNames()
	is.Equal(len(names), 3)
	for _, name := range names {
		is.True(name != "a:1")
	}
}

// A host is to be emptied while the group has as many members as it may have, and all of
// them are needed: a host outside takes its place first.
func TestExcludedVoterIsReplacedFromOutsideAFullGroup(t *testing.T) {
	is := is.New(t)
	g := newOpenGroup()
	g.config.MinVoters, g.config.MaxVoters = 3, 3
	for _, name := range seedNames {
		g.start(name, seedNames, false)
	}
	g.run(2 * time.Second)
	g.start("d:1", seedNames, true)
	g.run(3 * time.Second)
	is.Equal(g.voterNames(), seedNames)
	for _, n := range g.nodes {
		n.Step(g.now, SetPeers{Names: append([]string{"d:1"}, seedNames...), Excluded: []string{"a:1"}})
	}
	g.run(5 * time.Second)
	is.Equal(slices.Sorted(slices.Values(g.voterNames())), []string{"b:1", "c:1", "d:1"})
}

// Guards against learners that answer and never catch up, such as on a failing disk, and
// keep out the host that could take the place of a lost voter.
func TestLearnerThatDoesNotCatchUpLeavesItsRoom(t *testing.T) {
	is := is.New(t)
	g := newOpenGroup()
	g.config.MinVoters, g.config.MaxVoters = 3, 3
	for _, name := range seedNames {
		g.start(name, seedNames, false)
	}
	g.run(2 * time.Second)
	lost := g.voterNames()[0]
	if lost == g.leader().cfg.Name {
		lost = g.voterNames()[1]
	}
	g.down[lost] = true
	g.stuck["d:1"] = true
	g.start("d:1", seedNames, true)
	g.run(3 * time.Second)
	is.Equal(len(g.leader().members), 4) // d is a learner
	g.start("e:1", seedNames, true)
	g.run(5 * time.Second)
	is.True(slices.Contains(g.voterNames(), "e:1"))
	is.True(!slices.Contains(g.voterNames(), lost))
	g.stuck["d:1"] = false
	g.run(3 * time.Second)
	is.Equal(len(g.voterNames()), 3) // d has caught up and is not needed
	// Any number of them is not taken in.
	for _, name := range []string{"f:1", "g:1", "h:1", "i:1", "j:1"} {
		g.stuck[name] = true
		g.start(name, seedNames, true)
	}
	g.run(20 * time.Second)
	is.True(len(g.leader().members) <= 2*g.config.MaxVoters)
	is.Equal(len(g.voterNames()), 3)
}

func TestEntriesSentToUnresponsiveLearnerAreBounded(t *testing.T) {
	is := is.New(t)
	g := newBootstrappedGroup()
	g.start("d:1", seedNames, true)
	for len(g.leader().members) == 3 {
		g.run(10 * time.Millisecond)
	}
	g.down["d:1"] = true // before it has answered anything
	g.entryBytes["d:1"] = 0
	for i := range 64 {
		g.leader().Step(g.now, Propose{Key: uint64(i), Data: make([]byte, 32<<10)})
		g.run(50 * time.Millisecond)
	}
	is.True(g.entryBytes["d:1"] <= 9<<20) // about the in-flight limit; heartbeats must not resend entries
}

// A voter sleeps and a learner holds the whole log.
func TestCaughtUpLearnerTakesThePlaceOfASilentVoter(t *testing.T) {
	is := is.New(t)
	g := newBootstrappedGroup()
	g.start("d:1", seedNames, true)
	g.run(3 * time.Second)
	silent := g.voterNames()[0]
	if silent == g.leader().cfg.Name {
		silent = g.voterNames()[1]
	}
	g.down[silent] = true
	g.run(defaultReplaceAfter + time.Second)
	is.True(!slices.Contains(g.voterNames(), silent))
	is.Equal(len(g.voterNames()), 3)
	g.down[silent] = false
	g.run(5 * time.Second)
	is.Equal(len(g.leader().members), 4) // it is a learner now
	is.Equal(len(g.voterNames()), 3)
}

func TestSilentVoterWithoutASuccessorStays(t *testing.T) {
	is := is.New(t)
	g := newBootstrappedGroup()
	g.down["c:1"] = true
	g.run(30 * time.Second)
	is.True(slices.Contains(g.voterNames(), "c:1"))
}

// Guards against losing the leader when a partition separates two of the four hosts
// for seconds. With an even number of voters, neither half would have a majority.
func TestCutIntoHalvesLeavesALeader(t *testing.T) {
	is := is.New(t)
	g := newBootstrappedGroup()
	g.start("d:1", seedNames, true)
	g.run(3 * time.Second)
	voters := g.voterNames()
	is.Equal(len(voters), 3)
	for _, name := range []string{"d:1", voters[0]} {
		g.down[name] = true
	}
	g.run(3 * time.Second)
	is.True(g.leader() != nil)
}

// Guards against a learner that is removed as silent before it can have answered, when its leader
// has led for longer than MemberTimeout: it asks again only after learnerRejoinDelay, so a
// replacement did not count for seconds.
func TestNewLearnerIsNotSilent(t *testing.T) {
	is := is.New(t)
	g := newBootstrappedGroup()
	g.run(defaultMemberTimeout + time.Second)
	leader := g.leader()
	leader.Step(g.now, Change{Key: 1, Kind: AddLearner, Member: Member{ID: 99, Name: "slow:1"}})
	g.run(2 * time.Second)
	is.True(leader.isMember(99)) // it has not answered yet
	g.run(defaultMemberTimeout)
	is.True(!leader.isMember(99))
}

// Guards against a voter that was removed while it stood still and never joins again: by its own
// membership the leader that has taken its place is no voter, so it sends that one nothing.
func TestRemovedVoterFindsALeaderThatWasALearner(t *testing.T) {
	is := is.New(t)
	g := newBootstrappedGroup()
	all := append(slices.Clone(seedNames), "d:1")
	g.start("d:1", all, true)
	g.run(3 * time.Second)
	removed := "a:1"
	if g.leader().cfg.Name == removed {
		removed = "b:1"
	}
	g.down[removed] = true
	g.run(4 * time.Second) // d takes its place
	is.True(!slices.Contains(g.voterNames(), removed))
	successor := g.nodes["d:1"]
	successor.Step(g.now, Receive{&Message{Kind: MsgHandover, Group: successor.group, From: g.leader().cfg.ID, To: successor.cfg.ID, Term: successor.term}})
	g.run(500 * time.Millisecond)
	is.Equal(g.leader().cfg.Name, "d:1")
	g.down[removed] = false
	g.nodes[removed].Step(g.now, SetPeers{Names: all})
	g.run(learnerRejoinDelay + 3*time.Second)
	is.Equal(g.leader().cfg.Name, "d:1")
	is.True(g.leader().isMember(g.nodes[removed].cfg.ID))
}
