package locality

import (
	"fmt"
	"testing"
	"time"

	"merlinhall/wire"
)

// Measures what reports cost the leader and a process at several sizes of the deployment, with
// four services and four zones (ten at 370 processes). Guards against state or messages that
// exceed the bounds of docs/design/demands.md.
func BenchmarkReports(b *testing.B) {
	for _, size := range []struct{ processes, zones int }{{24, 4}, {100, 4}, {370, 10}} {
		b.Run(fmt.Sprint("processes=", size.processes), func(b *testing.B) {
			places := make(map[string]float64)
			for z := range size.zones {
				places[fmt.Sprint("zone-", z)] = 200
			}
			l := Leader{Costs: testCosts, Places: func(string) map[string]float64 { return places }}
			l.Lead(0, 1)
			reports := make([]*Report, size.processes)
			for i := range reports {
				r := &Report{Process: fmt.Sprint("entry-", i), Zone: fmt.Sprint("zone-", i%size.zones)}
				for s := range 4 {
					service := ServiceReport{Service: fmt.Sprint("service-", s), Arrivals: 30.25, Bytes: 2000.5, Worth: 75}
					for z := range size.zones {
						service.Zones = append(service.Zones, ZoneReport{Zone: fmt.Sprint("zone-", z), Outstanding: 0.123, Answered: 3.25})
					}
					r.Services = append(r.Services, service)
				}
				reports[i] = r
			}
			now, bytes, n := learnTime, 0, 0
			var interval time.Duration
			for _, r := range reports {
				l.Handle(0, r)
			}
			for b.Loop() {
				in := reports[n%len(reports)]
				out := l.Handle(now, in)
				interval = pause(in, out)
				now += interval / time.Duration(len(reports))
				if n++; n == 1 {
					a, _ := wire.Marshal(in)
					c, _ := wire.Marshal(out)
					bytes = len(a) + len(c)
				}
			}
			perReport := float64(b.Elapsed()) / float64(b.N)
			b.ReportMetric(100*perReport*float64(size.processes)/float64(interval), "%core")
			b.ReportMetric(float64(bytes)/interval.Seconds(), "B/s/process")
			b.ReportMetric(interval.Seconds(), "s/interval")
		})
	}
}
