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

// window is the time over which idle costs are averaged: six heartbeats.
const window = 3 * time.Second

func cpu() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heap returns the bytes of live heap and stacks.
func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// counter counts the connections that are up.
type counter struct{ up atomic.Int64 }

func (c *counter) Up(*link.Conn)                    { c.up.Add(1) }
func (c *counter) Message(*link.Conn, wire.Message) {}
func (c *counter) Down(*link.Conn, error)           { c.up.Add(-1) }

// BenchmarkIdleLink measures what one idle link costs one end a second, with an
// agent's load report each second.
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
	var server counter
	srv := httptest.NewServer(link.Accept(wire.Hello{Process: "agent"}, &server))
	defer srv.Close()
	before := heap()
	var conns []*link.Conn
	client := link.NewHTTPClient(nil)
	for range links {
		c, err := link.Dial(b.Context(), client, "ws", strings.TrimPrefix(srv.URL, "http://"), wire.Hello{Process: "entry"}, &counter{})
		if err != nil {
			b.Fatal(err)
		}
		conns = append(conns, c)
	}
	ends := float64(2 * links)
	b.ReportMetric(float64(heap()-before)/ends, "B/end")
	bytes0, cpu0 := traffic(conns), cpu()
	for range int(window / time.Second) {
		for _, c := range conns {
			_ = c.Send(&wire.Load{Target: "policy-lm-0000", Boot: "0123456789ab", Running: 8, Queued: 1, Version: 1000, FreeKV: 100000})
		}
		time.Sleep(time.Second)
	}
	b.ReportMetric(float64(traffic(conns)-bytes0)/float64(links)/window.Seconds(), "B/s/link")
	b.ReportMetric(100*(cpu()-cpu0).Seconds()/ends/window.Seconds(), "%core/end")
	for _, c := range conns {
		c.Close(link.ErrClosed)
	}
	for server.up.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
}

func traffic(conns []*link.Conn) uint64 {
	var total uint64
	for _, c := range conns {
		sent, received := c.Bytes()
		total += sent + received
	}
	return total
}
