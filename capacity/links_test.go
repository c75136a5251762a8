package capacity

import (
	"fmt"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"merlinhall/link"
	"merlinhall/wire"
)

// idleWindow is the time over which idle costs are averaged. It covers three load
// reports in one direction and two heartbeats, 1.25 s apart, in the other.
const idleWindow = 3 * time.Second

// cpuTime returns the processor time that the process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memoryInUse returns the bytes of live heap and stacks.
func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// connCounter counts the open connections.
type connCounter struct{ up atomic.Int64 }

func (c *connCounter) Up(*link.Conn)                    { c.up.Add(1) }
func (c *connCounter) Message(*link.Conn, wire.Message) {}
func (c *connCounter) Down(*link.Conn, error)           { c.up.Add(-1) }

// BenchmarkIdleLink measures the cost of an idle link that carries one load report per
// second: memory and processor time at each end, and bytes per second in both
// directions.
func BenchmarkIdleLink(b *testing.B) {
	for _, links := range []int{50, 150, 450} {
		b.Run(fmt.Sprintf("links=%d", links), func(b *testing.B) {
			for range b.N {
				idleLinks(b, links)
			}
		})
	}
}

func idleLinks(b *testing.B, links int) {
	var server connCounter
	srv := httptest.NewServer(link.Accept(wire.Hello{Process: "agent"}, &server))
	defer srv.Close()
	before := memoryInUse()
	var conns []*link.Conn
	client := link.NewHTTPClient(nil)
	for range links {
		c, err := link.Dial(b.Context(), client, "ws", strings.TrimPrefix(srv.URL, "http://"), wire.Hello{Process: "entry"}, &connCounter{})
		if err != nil {
			b.Fatal(err)
		}
		conns = append(conns, c)
	}
	ends := float64(2 * links)
	b.ReportMetric(float64(memoryInUse()-before)/ends, "B/end")
	bytes0, cpu0 := traffic(conns), cpuTime()
	for range int(idleWindow / time.Second) {
		for _, c := range conns {
			_ = c.Send(&wire.Load{Target: "policy-lm-0000", Boot: "0123456789ab", Running: 8, Queued: 1, Version: 1000, FreeKV: 100000})
		}
		time.Sleep(time.Second)
	}
	b.ReportMetric(float64(traffic(conns)-bytes0)/float64(links)/idleWindow.Seconds(), "B/s/link")
	b.ReportMetric(100*(cpuTime()-cpu0).Seconds()/ends/idleWindow.Seconds(), "%core/end")
	for _, c := range conns {
		c.Close(link.ErrClosed)
	}
	for server.up.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// traffic returns the bytes sent and received on the connections.
func traffic(conns []*link.Conn) uint64 {
	var total uint64
	for _, c := range conns {
		sent, received := c.Bytes()
		total += sent + received
	}
	return total
}
