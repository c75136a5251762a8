package ratelimit

import (
	"fmt"
	"testing"

	"merlinhall/wire"
)

// BenchmarkAnswer is the leader's work for a question of one of 300 processes about a service
// whose targets all have limits.
func BenchmarkAnswer(b *testing.B) {
	for _, targets := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint("targets=", targets), func(b *testing.B) {
			s := newSimulation(1, 300, targets, 1, false)
			s.lead(1, nil)
			for _, t := range s.targets {
				s.leader.Learn([]wire.TargetLimit{{Target: t.id, Limited: true, PerSecond: 5}})
			}
			b.ResetTimer()
			for i := range b.N {
				s.now += 1_000_000
				s.leader.Handle(s.term, &Ask{Process: s.procs[i%300].keeper.o.Process, Wants: []Want{{Service: simService, Only: true}}})
			}
		})
	}
}
