package propagate

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/wire"
)

var epoch = time.Unix(1000, 0)

func noneBelow() []wire.VersionCount { return nil }

// newTestSubscriber returns a subscriber with the candidates a, b and c, in that order.
func newTestSubscriber(passive bool) *subscriber {
	ranked := []Candidate{{Name: "a"}, {Name: "b"}, {Name: "c", Control: true}}
	s := newSubscriber(ranked, passive, noneBelow, 0)
	s.start(epoch)
	return s
}

func subscriptions(st actions) (list []string) {
	for _, a := range st.send {
		if m, ok := a.message.(*wire.Subscribe); ok {
			list = append(list, fmt.Sprintf("%s %d %v", a.to, m.Index, m.Stop))
		}
	}
	return list
}

// Guards against a follower that moves to a parent with an older cluster state and
// returns to that state by a snapshot, a delta or a digest.
func TestParentWithOlderStateIsNotFollowedBack(t *testing.T) {
	is := is.New(t)
	s := newTestSubscriber(false)
	s.connected(epoch, "a")
	s.handleMessage(epoch, "a", testState(9, 3, "x = 3\n"))
	is.Equal(s.disconnected(epoch, "a").connectTo.Name, "b")
	is.Equal(subscriptions(s.connected(epoch, "b")), []string{"b 9 false"})
	older := testState(5, 2, "x = 2\n")
	is.Equal(s.handleMessage(epoch, "b", older).clusterState, nil)
	is.Equal(s.handleMessage(epoch, "b", MakeDelta(testState(4, 1, "x = 1\n"), older)).clusterState, nil)
	is.Equal(subscriptions(s.handleMessage(epoch, "b", &wire.Digest{Index: 5})), nil)
	is.Equal(s.heldIndex(), uint64(9))
	s.allowRollback = true
	is.Equal(panics(func() { s.handleMessage(epoch, "b", older) }), true) // without the check an invariant fails
}

func panics(f func()) (panicked bool) {
	defer func() { panicked = recover() != nil }()
	f()
	return false
}

// Guards against a parent that sends a newer cluster state with an older version: it
// must be rejected and must not cause a panic.
func TestNewerStateWithOlderVersionIsRejected(t *testing.T) {
	is := is.New(t)
	s := newTestSubscriber(false)
	s.connected(epoch, "a")
	first := testState(5, 2, "x = 2\n")
	first.Weights = []wire.WeightTarget{{Pool: "p", Version: 7}}
	s.handleMessage(epoch, "a", first)
	is.Equal(s.handleMessage(epoch, "a", testState(6, 1, "x = 1\n")).clusterState, nil)
	back := testState(7, 3, "x = 3\n")
	back.Weights = []wire.WeightTarget{{Pool: "p", Version: 6}}
	is.Equal(s.handleMessage(epoch, "a", back).clusterState, nil)
	is.Equal(s.refused, 2)
	is.Equal(s.heldIndex(), uint64(5))
}

// Guards against a corrupted delta or snapshot that is applied, or after which the
// child does not recover.
func TestDamagedMessageLeadsToASnapshot(t *testing.T) {
	is := is.New(t)
	s := newTestSubscriber(false)
	s.connected(epoch, "a")
	base, next := testState(5, 2, "x = 2\n"), testState(6, 3, "x = 3\n")
	s.handleMessage(epoch, "a", base)
	damaged := MakeDelta(base, next)
	damaged.Patch[0].Text = []byte("x = 4\n")
	now := epoch.Add(2 * resubscribePeriod)
	is.Equal(subscriptions(s.handleMessage(now, "a", damaged)), []string{"a 0 false"})
	wrong := *next
	wrong.ConfigText = []byte("x = 5\n")
	is.Equal(s.handleMessage(now, "a", &wrong).clusterState, nil)
	is.Equal(s.handleMessage(now, "a", &wire.Compressed{Data: []byte("no")}).clusterState, nil)
	is.Equal(s.handleMessage(now, "a", next).clusterState, next)
}

// Guards against a child that stays with a parent that sends no digests on a live
// link, or that has lost the leader itself. The child must fail over in time, and
// must not reconnect continuously when no other parent is better.
func TestSilentAndStaleParents(t *testing.T) {
	for _, stale := range []bool{false, true} {
		is := is.New(t)
		s := newTestSubscriber(false)
		s.connected(epoch, "a")
		s.handleMessage(epoch, "a", &wire.Digest{})
		moves := 0
		var firstMove time.Duration
		for at := time.Duration(0); at < 2*time.Minute; at += minCheckPeriod {
			now := epoch.Add(at)
			st := s.tick(now)
			if stale && st.connectTo == nil && at%digestPeriod == 0 {
				st = s.handleMessage(now, s.parentName(), &wire.Digest{Stale: true})
			}
			if st.connectTo != nil {
				if moves++; moves == 1 {
					firstMove = at
					is.Equal(st.connectTo.Name, "b")
				}
				s.connected(now, st.connectTo.Name)
			}
		}
		if stale {
			is.Equal(firstMove, time.Duration(0))
		}
		is.True(firstMove <= freshTimeout+minCheckPeriod)
		is.True(moves >= 5)
		is.True(moves <= 15)
		now := epoch.Add(2 * time.Minute)
		s.handleMessage(now, s.parentName(), &wire.Digest{})
		is.Equal(s.staleAfter, freshTimeout)
	}
}

// Guards against children that stay with a control replica after the entries have
// recovered, which would leave the control replicas serving the whole fleet.
func TestChildReturnsToItsFirstChoice(t *testing.T) {
	is := is.New(t)
	s := newTestSubscriber(false)
	s.disconnected(epoch, "a")
	is.Equal(s.disconnected(epoch, "b").connectTo.Name, "c")
	s.connected(epoch, "c")
	var st actions
	at := epoch
	for ; st.connectTo == nil && at.Sub(epoch) < 2*controlFailbackDelay; at = at.Add(minCheckPeriod) {
		s.handleMessage(at, "c", &wire.Digest{})
		st = s.tick(at)
	}
	is.True(st.connectTo != nil)
	is.Equal(st.connectTo.Name, "a")
	is.True(at.Sub(epoch) > controlFailbackDelay)
}

// Guards against an entry that is subscribed to two control replicas at once.
func TestEntrySubscribesToOneParent(t *testing.T) {
	is := is.New(t)
	s := newTestSubscriber(true)
	is.Equal(subscriptions(s.connected(epoch, "b")), []string{"b 0 false"})
	is.Equal(subscriptions(s.connected(epoch, "a")), nil)
	is.Equal(subscriptions(s.tick(epoch.Add(freshTimeout+1))), []string{"b 0 true", "a 0 false"})
	is.Equal(subscriptions(s.handleMessage(epoch, "b", &wire.Digest{})), []string{"b 0 true"})
	is.Equal(subscriptions(s.disconnected(epoch, "a")), []string{"b 0 false"})
	s.disconnected(epoch, "b")
	is.Equal(s.parentName(), "")
}

// Guards against a process that reconnects after hundreds of changes and is sent each
// of them, and against a small change that is sent as the complete text.
func TestReturnAfterHundredsOfChanges(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	text := fullText(2600)
	pub := newPublisher[int]()
	pub.subscribe(1, &wire.Subscribe{})
	follower := newTestSubscriber(false)
	follower.connected(epoch, "a")
	sent := 0
	for i := range 200 {
		next := testState(uint64(i+1), uint64(i+1), string(editedText(text, i)))
		for _, out := range pub.publish(next) {
			if i > 0 {
				sent += len(out.frame)
			}
			m, err := wire.Decode(out.frame)
			is.NoErr(err)
			follower.handleMessage(epoch, "a", m)
		}
	}
	is.Equal(follower.heldIndex(), uint64(200))
	is.True(sent < 200*512) // deltas and digests
	late := pub.subscribe(2, &wire.Subscribe{Index: 3})
	is.Equal(len(late), 2) // a snapshot and a digest
	is.True(len(late[0].frame) < len(text)/4)
	back := newTestSubscriber(false)
	back.connected(epoch, "a")
	m, err := wire.Decode(late[0].frame)
	is.NoErr(err)
	is.Equal(back.handleMessage(epoch, "a", m).clusterState.Index, uint64(200))
	t.Logf("text %d bytes, snapshot %d bytes, %d bytes for each change", len(text), len(late[0].frame), sent/199)
}

// Guards against a ranking that loads one parent more than others, ignores zones, or
// moves all children of a lost parent to the same one.
func TestRank(t *testing.T) {
	is := is.New(t)
	var candidates []Candidate
	for i := range 8 {
		candidates = append(candidates, Candidate{Name: fmt.Sprintf("entry-%d", i), Zone: fmt.Sprintf("z%d", i%2)})
	}
	candidates = append(candidates, Candidate{Name: "control", Zone: "z0", Control: true})
	load := make(map[string]int)
	second := make(map[string]int)
	for i := range 4000 {
		ranked := Rank(fmt.Sprintf("agent-%d", i), "z0", candidates)
		is.Equal(ranked[0].Zone, "z0")
		is.Equal(ranked[len(ranked)-1].Name, "control")
		load[ranked[0].Name]++
		if ranked[0].Name == "entry-0" {
			second[ranked[1].Name]++
		}
	}
	is.Equal(len(load), 4)
	is.Equal(len(second), 3)
	for _, n := range load {
		is.True(n > 800 && n < 1200)
	}
}
