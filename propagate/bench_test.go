package propagate

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"merlinhall/actor"
	"merlinhall/config"
	"merlinhall/link"
	"merlinhall/wire"
)

const (
	agentsPerNode = 7 // 2,600 replicas on 370 nodes
	// changesPerSecond is 3,100 changes of the configuration a day and 6 trainers
	// that publish weights every 7 min.
	changesPerSecond = 3100.0/86400 + 6.0/420
	idleWindow       = 5 * time.Second
)

// fullText returns a configuration text with the given number of targets.
func fullText(targets int) []byte {
	var b bytes.Buffer
	for i := range targets {
		if i%130 == 0 {
			fmt.Fprintf(&b, "\n[[pool]]\nname = \"pool-%d\"\ndeadline = \"30s\"\nmax_in_flight = 64\n", i/130)
		}
		fmt.Fprintf(&b, "\n[[pool.target]]\nname = \"engine-%d\"\nzone = \"zone-%d\"\nagent = \"10.1.%d.%d:7100\"\naddress = \"10.1.%d.%d:8000\"\nchecks_fence = true\nrole = \"both\"\n",
			i, i%10, i/250, i%250, i/250, i%250)
	}
	return b.Bytes()
}

// editedText returns text with one number changed.
func editedText(text []byte, n int) []byte {
	return bytes.Replace(text, []byte("max_in_flight = 64"), fmt.Appendf(nil, "max_in_flight = %d", 100+n), 1)
}

// countingConn counts the bytes of a TCP connection, including the WebSocket framing
// but not the TCP and IP headers.
type countingConn struct {
	net.Conn
	bytes  *atomic.Int64
	writes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	c.writes.Add(1)
	return n, err
}

type countingListener struct {
	net.Listener
	bytes, writes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c, l.bytes, l.writes}, nil
}

// fleet is three control replicas and a number of nodes, each with an entry and
// agentsPerNode agents.
type fleet struct {
	// system is shared, because each takes a few MB and the benchmark runs many
	// processes; in production every process has its own.
	system        *actor.System
	bytes, writes atomic.Int64 // at both ends of all links of the nodes
	controls      []*Parent
	followers     []*Follower
	stops         []func()
}

func newFleet(nodes int) *fleet {
	f := &fleet{system: actor.NewSystem()}
	var controls []Candidate
	for i := range 3 {
		name := fmt.Sprintf("c%d", i)
		parent := NewParent(ParentOptions{System: f.system})
		f.controls = append(f.controls, parent)
		// The control replicas' ends are not counted, since they run on dedicated hosts.
		controls = append(controls, Candidate{Name: name, Address: f.serve(name, parent, false), Control: true})
	}
	for n := range nodes {
		entry := fmt.Sprintf("e%d", n)
		parent := NewParent(ParentOptions{System: f.system})
		up := Candidate{Name: entry, Address: f.serve(entry, parent, true)}
		f.follow(entry, controls, parent, false)
		for a := range agentsPerNode {
			f.follow(fmt.Sprintf("a%d-%d", n, a), []Candidate{up}, nil, true)
		}
	}
	return f
}

func (f *fleet) serve(name string, parent *Parent, count bool) string {
	mux := new(link.Mux)
	mux.Handle(parent, ParentKinds...)
	server := httptest.NewUnstartedServer(link.Accept(wire.Hello{Process: name}, mux))
	if count {
		server.Listener = countingListener{server.Listener, &f.bytes, &f.writes}
	}
	server.Start()
	f.stops = append(f.stops, func() { server.CloseClientConnections(); server.Close(); parent.Stop() })
	return strings.TrimPrefix(server.URL, "http://")
}

// follow starts a follower. Without dial, as for an entry, it keeps links to all
// candidates.
func (f *fleet) follow(name string, candidates []Candidate, downstream *Parent, dial bool) {
	client := &http.Client{Transport: &http.Transport{DialContext: func(_ context.Context, network, address string) (net.Conn, error) {
		c, err := net.Dial(network, address)
		if err != nil {
			return nil, err
		}
		return countingConn{c, &f.bytes, &f.writes}, nil
	}}}
	hello := wire.Hello{Process: name}
	o := FollowOptions{System: f.system, Local: hello, Candidates: candidates, Downstream: downstream, Dial: dial, Client: client, Scheme: "ws"}
	follower := Follow(o)
	f.followers = append(f.followers, follower)
	f.stops = append(f.stops, follower.Stop)
	if dial {
		return
	}
	mux := new(link.Mux)
	mux.Handle(follower, FollowerKinds...)
	for _, c := range candidates {
		d := link.StartDialer(client, "ws", c.Address, hello, mux)
		f.stops = append(f.stops, d.Stop)
	}
}

func (f *fleet) publish(w *wire.ClusterState) {
	for _, c := range f.controls {
		c.Publish(w)
	}
}

func (f *fleet) waitFor(index uint64) {
	for _, follower := range f.followers {
		for w := follower.ClusterState(); w == nil || w.Index < index; w = follower.ClusterState() {
			time.Sleep(time.Millisecond)
		}
	}
}

func (f *fleet) stop() {
	for i := len(f.stops) - 1; i >= 0; i-- {
		f.stops[i]()
	}
}

func cpuSeconds() float64 {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return float64(u.Utime.Nano()+u.Stime.Nano()) / 1e9
}

// BenchmarkNodeCost reports the traffic and CPU time that propagation costs a node
// with one entry and seven agents, at the change rate of changesPerSecond and with a
// configuration of 2,600 targets. One iteration is one change that reaches every
// process. Run with -benchtime 20x.
func BenchmarkNodeCost(b *testing.B) {
	for _, nodes := range []int{10, 40, 120, 370} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) { benchNodes(b, nodes) })
	}
}

func benchNodes(b *testing.B, nodes int) {
	f := newFleet(nodes)
	defer f.stop()
	text := fullText(2600)
	w := &wire.ClusterState{Index: 1, Term: 1, ConfigVersion: 1, ConfigText: text, ConfigDigest: config.Digest(text)}
	f.publish(w)
	f.waitFor(1)
	time.Sleep(2 * time.Second)

	bytes0, writes0, cpu0 := f.bytes.Load(), f.writes.Load(), cpuSeconds()
	time.Sleep(idleWindow)
	perSecond := func(total float64) float64 { return total / float64(nodes) / idleWindow.Seconds() }
	idleBytes := perSecond(float64(f.bytes.Load() - bytes0))
	idleWrites := perSecond(float64(f.writes.Load() - writes0))
	idleCPU := perSecond(cpuSeconds() - cpu0)

	bytes1, cpu1 := f.bytes.Load(), cpuSeconds()
	start := time.Now()
	for i := range b.N {
		next := *w
		next.Index = uint64(2 + i)
		next.ConfigVersion = uint64(2 + i)
		next.ConfigText = editedText(text, i)
		next.ConfigDigest = config.Digest(next.ConfigText)
		f.publish(&next)
		f.waitFor(next.Index)
	}
	took := time.Since(start).Seconds()
	perChange := func(total float64) float64 { return total / float64(nodes) / float64(b.N) }
	changeBytes := perChange(float64(f.bytes.Load()-bytes1)) - idleBytes*took/float64(b.N)
	changeCPU := perChange(cpuSeconds()-cpu1) - idleCPU*took/float64(b.N)
	b.ReportMetric(idleBytes, "idle-B/s/node")
	b.ReportMetric(100*idleCPU, "idle-%core/node")
	b.ReportMetric(1e6*changeCPU, "us-cpu/change/node")
	b.ReportMetric(idleWrites, "idle-frames/s/node")
	b.ReportMetric(changeBytes, "B/change/node")
	b.ReportMetric(idleBytes+changeBytes*changesPerSecond, "B/s/node")
	b.ReportMetric(100*(idleCPU+changeCPU*changesPerSecond), "%core/node")
	b.ReportMetric(1000*took/float64(b.N), "ms-to-all")
}
