package routing

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"merlinhall/config"
	"merlinhall/rendezvous"
)

func makeTargets(targets, zones int) []config.Target {
	out := make([]config.Target, targets)
	for i := range out {
		out[i] = config.Target{Name: fmt.Sprintf("lm-%d", i), Zone: fmt.Sprintf("zone-%d", i%zones)}
	}
	return out
}

func never(string) bool { return false }

// Guards against a subset that omits targets although the service is within the bound.
func TestSmallServiceKeepsAllTargets(t *testing.T) {
	is := is.New(t)
	is.Equal(len(Subset("e", makeTargets(12, 4), 12, never, never)), 12)
	is.Equal(Quotas([]int{12, 6}, 48, 4), []int{12, 6})
	is.Equal(Quotas([]int{260, 260, 2}, 48, 4), []int{23, 23, 2})
}

// Guards against a target that no entry links to, and against an entry without links to
// some zone: 370 entries choose among 2,600 targets, each of which follows one entry.
func TestEveryTargetIsCovered(t *testing.T) {
	is := is.New(t)
	targets := makeTargets(2600, 10)
	links := make(map[string]int)
	for e := range 370 {
		near := func(name string) bool { return rendezvous.Score("parent", name)%370 == uint64(e) }
		subset := Subset(fmt.Sprintf("entry-%d", e), targets, 48, near, never)
		is.Equal(len(subset), 48)
		zones := make(map[string]bool)
		for _, t := range subset {
			links[t.Name]++
			zones[t.Zone] = true
		}
		is.Equal(len(zones), 10)
	}
	most := 0
	for _, n := range links {
		most = max(most, n)
	}
	is.Equal(len(links), 2600)
	is.True(most < 40) // the mean is 6.8
	t.Logf("most links to one target: %d", most)
}

// Guards against a subset in which other targets are replaced too when one target is
// leaving.
func TestSubsetIsStable(t *testing.T) {
	is := is.New(t)
	targets := makeTargets(500, 5)
	before := Subset("e", targets, 40, never, never)
	gone := before[0].Name
	after := Subset("e", targets, 40, never, func(name string) bool { return name == gone })
	is.Equal(len(after), 40)
	kept := make(map[string]bool)
	for _, t := range after {
		kept[t.Name] = true
	}
	is.True(!kept[gone])
	changed := 0
	for _, t := range before {
		if !kept[t.Name] {
			changed++
		}
	}
	is.Equal(changed, 1)
}
