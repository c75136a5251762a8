package agent

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"runtime"
	"syscall"
	"testing"
	"time"

	"merlinhall/actor"
	"merlinhall/wire"
)

// scriptedEngine answers every completion with n tokens without delay.
func scriptedEngine(n int) http.Handler {
	var body bytes.Buffer
	for i := range n {
		fmt.Fprintf(&body, "data: {\"token\":\"t%06d \",\"index\":%d,\"version\":1}\n\n", i%1000000, i)
	}
	fmt.Fprintf(&body, "data: {\"done\":true,\"index\":%d,\"tokens\":%d}\n\n", n, n)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/state" {
			_, _ = w.Write([]byte(`{"version":1}`))
			return
		}
		_, _ = w.Write(body.Bytes())
	})
}

// BenchmarkRelayedToken measures the complete path of a token from the engine's
// stream through the agent and a link to the entry, with client and engine in the
// same process. The engine sends as fast as the agent reads, so that chunks hold
// many tokens.
func BenchmarkRelayedToken(b *testing.B) {
	for _, length := range []int{200, 2000, 20_000} {
		b.Run(fmt.Sprintf("tokens=%d", length), func(b *testing.B) { benchRelay(b, length) })
	}
}

func benchRelay(b *testing.B, batch int) {
	s := startTestAgent(b, KindEngine, scriptedEngine(batch), nil)
	s.publishState("5s", 0)
	c := s.dial()
	b.ReportAllocs()
	cpu := cpuTime()
	b.ResetTimer()
	for i := 0; i < b.N; i += batch {
		id := fmt.Sprint("g", i)
		r := generation(id, "p", batch)
		r.Deadline = time.Now().Add(10 * time.Minute).UnixMilli()
		c.send(r)
		c.answer(id)
	}
	b.StopTimer()
	done := (b.N + batch - 1) / batch * batch
	b.ReportMetric(float64(done)/(cpuTime()-cpu).Seconds(), "tokens/cpu-s")
}

// BenchmarkRelayedSingleToken measures parsing, request table and encoding, without
// sockets, for one token per chunk, as a slow engine sends them.
func BenchmarkRelayedSingleToken(b *testing.B) {
	data := []byte(`{"token":"t123456 ","index":7,"version":1}`)
	tb := newTable("boot", TableSize, 1024, &routeCheck{hasConfig: true, placement: svcPlace()})
	tb.Run(0, 1, &wire.Run{ID: "entry-1/1234", Service: "svc", Deadline: 50_000, Credit: Window})
	var bytes int
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		ev, err := parseTokenEvent(data)
		if err != nil {
			b.Fatal(err)
		}
		c := &wire.Chunk{Tokens: []wire.Token{{Text: ev.Token, Version: ev.Version}}}
		for _, o := range tb.AddChunk(1, "entry-1/1234", c) {
			frame, err := wire.Encode(o.message)
			if err != nil {
				b.Fatal(err)
			}
			bytes += len(frame)
		}
		tb.Credit(1, &wire.Credit{ID: "entry-1/1234", Confirmed: uint64(i) + 1, Limit: uint64(i) + 1 + Window})
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "wire-B/token")
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// BenchmarkIdleAgent measures the memory of an agent without requests or links,
// excluding the actor system of its process.
func BenchmarkIdleAgent(b *testing.B) {
	for _, n := range []int{5, 20, 60} {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) { benchIdle(b, n) })
	}
}

func benchIdle(b *testing.B, n int) {
	first := true // later iterations free memory of earlier ones
	for b.Loop() {
		system := actor.NewSystem() // a process has one, of about 3 MiB, which all agents share
		before := heap()
		var agents []*Agent
		for i := range n {
			a, err := Start(Options{
				Local: wire.Hello{Process: "a", Boot: "b", Target: fmt.Sprint("t", i)}, Kind: KindEngine,
				Address: "127.0.0.1:1", System: system,
				Barrier: func(context.Context) (uint64, uint64, error) { return 0, 0, context.Canceled },
			})
			if err != nil {
				b.Fatal(err)
			}
			agents = append(agents, a)
		}
		if first {
			b.ReportMetric(float64(heap()-before)/float64(n)/1024, "KiB/agent")
		}
		first = false
		for _, a := range agents {
			a.Stop()
		}
	}
}

// BenchmarkTableEntry measures the memory of a finished id in a full table.
func BenchmarkTableEntry(b *testing.B) {
	for _, size := range []int{TableSize / 16, TableSize / 4, TableSize} {
		b.Run(fmt.Sprintf("ids=%d", size), func(b *testing.B) { benchTable(b, size) })
	}
}

func benchTable(b *testing.B, size int) {
	for b.Loop() {
		before := heap()
		tb := newTable("boot", size, size, &routeCheck{hasConfig: true, placement: svcPlace()})
		for i := range size {
			id := fmt.Sprintf("entry-01-boot-4f3a/%d", i)
			tb.Run(0, 1, &wire.Run{ID: id, Service: "svc", Deadline: 60_000})
			tb.AddChunk(0, id, &wire.Chunk{End: wire.EndComplete})
			tb.Credit(0, &wire.Credit{ID: id, Confirmed: 1})
		}
		b.ReportMetric(float64(heap()-before)/float64(size), "B/entry")
		if tb.retained != size {
			b.Fatal("table is not full")
		}
	}
}

// cpuTime returns the CPU time used by the process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
