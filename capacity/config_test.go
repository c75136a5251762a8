package capacity

import (
	"bytes"
	"compress/flate"
	"fmt"
	"strings"
	"testing"

	"merlinhall/config"
)

// configText returns a configuration with that many engines in ten pools and zones.
func configText(targets int) []byte {
	var b strings.Builder
	for z := range 10 {
		fmt.Fprintf(&b, "[[zone]]\nname = \"zone-%d\"\nregion = \"region-%d\"\n", z, z%3)
	}
	for p := range 10 {
		fmt.Fprintf(&b, "[[pool]]\nname = \"pool-%d\"\n", p)
		for t := range targets / 10 {
			n := p*targets/10 + t
			fmt.Fprintf(&b, "[[pool.target]]\nname = \"pool-%d-%d\"\nzone = \"zone-%d\"\nagent = \"10.%d.%d.1:7000\"\naddress = \"10.%d.%d.1:8100\"\n", p, t, t%10, n/250, n%250, n/250, n%250)
		}
	}
	return []byte(b.String())
}

// BenchmarkConfiguration measures the size of a configuration and the time and
// memory that a process spends on a new one.
func BenchmarkConfiguration(b *testing.B) {
	for _, targets := range []int{130, 650, 2600} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			raw := configText(targets)
			before := memoryInUse()
			held, err := config.Parse("x", raw)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(memoryInUse()-before)/float64(targets), "B/target")
			b.ReportMetric(float64(len(raw)), "text-B")
			b.ReportMetric(float64(compressedSize(b, raw)), "packed-B")
			start := cpuTime()
			for range b.N {
				if _, err := config.Load(raw); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64((cpuTime()-start).Microseconds())/float64(b.N), "cpu-us/load")
			if held.Pool("pool-0") == nil {
				b.Fatal("pool is missing")
			}
		})
	}
}

// compressedSize returns the size of a snapshot of the text on its way to a process that
// has none.
func compressedSize(b *testing.B, raw []byte) int {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		b.Fatal(err)
	}
	_, _ = w.Write(raw)
	_ = w.Close()
	return out.Len()
}
