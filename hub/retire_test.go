package hub

import (
	"testing"

	"github.com/matryer/is"

	"merlinhall/consensus"
)

// Guards against a retirement that is called completed while the host is still a member of the
// group, so that it is taken away with its disk: the leader had started anew and had no link to
// it yet, or its removal was not committed.
func TestRetirementIsCompletedOnlyWhenTheHostIsNoMember(t *testing.T) {
	members := []consensus.Member{{ID: 1, Name: "a:1"}, {ID: 3, Name: "b:1"}, {ID: 5, Name: "c:1", Learner: true}}
	hosts := map[string]string{"a:1": "host-a", "b:1": "host-b", "c:1": "host-c", "d:1": "host-d"}
	without := map[string]string{"a:1": "host-a", "c:1": "host-c"}
	for name, c := range map[string]struct {
		host     string
		commit   uint64
		hosts    map[string]string
		complete bool
	}{
		"no member":                        {"host-d", 7, hosts, true},
		"unknown host, all members known":  {"host-x", 7, hosts, true},
		"voter":                            {"host-b", 7, hosts, false},
		"learner":                          {"host-c", 7, hosts, false},
		"removal not committed":            {"host-d", 6, hosts, false},
		"host of a member not known":       {"host-b", 7, without, false},
		"host of another member not known": {"host-d", 7, without, false},
		"no host known":                    {"host-b", 7, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			group := &consensus.Status{Members: members, MemberIndex: 7, Commit: c.commit}
			is.New(t).Equal(holdsNoMember(c.host, group, c.hosts), c.complete)
		})
	}
}
