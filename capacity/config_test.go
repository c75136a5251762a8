package capacity

import (
	"bytes"
	"compress/flate"
	"fmt"
	"strings"
	"testing"

	"merlinhall/config"
)

// configText returns a configuration with the given number of engines, spread over ten
// pools and ten zones.
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

// BenchmarkConfiguration measures the size of a configuration, the memory of a parsed
// one and the processor time to load it.
func BenchmarkConfiguration(b *testing.B) {
	for _, targets := range []int{130, 650, 2600} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			raw := configText(targets)
			before := memoryInUse()
			parsed, err := config.Parse("x", raw)
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
			if parsed.Pool("pool-0") == nil {
				b.Fatal("pool is missing")
			}
		})
	}
}

// compressedSize returns the compressed size of a configuration snapshot, as it is sent
// to a process that has no configuration yet.
func compressedSize(b *testing.B, raw []byte) int {
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.DefaultCompression)
	if err != nil {
		b.Fatal(err)
	}
	_, _ = w.Write(raw)
	_ = w.Close()
	return compressed.Len()
}
