package replica

import (
	"context"
	"fmt"
	"hash/crc32"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/actor"
	"merlinhall/consensus"
	"merlinhall/link"
	"merlinhall/netfault"
	"merlinhall/observe"
	"merlinhall/wire"
)

// faultyGroup is three replicas whose links lead through proxies.
type faultyGroup struct {
	*cluster
	dialers map[string][]*link.Dialer
	servers map[string]*httptest.Server
	proxies []*netfault.Proxy
	events  map[string]*currentRun
}

// currentRun passes the events of links to the current run of a replica.
type currentRun struct {
	g    *faultyGroup
	name string
}

func (s *currentRun) current() *Replica {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	return s.g.replicas[s.name]
}

func (s *currentRun) Up(c *link.Conn) {
	if r := s.current(); r != nil {
		r.Up(c)
	}
}

func (s *currentRun) Message(c *link.Conn, m wire.Message) {
	if r := s.current(); r != nil {
		r.Message(c, m)
	}
}

func (s *currentRun) Down(c *link.Conn, reason error) {
	if r := s.current(); r != nil {
		r.Down(c, reason)
	}
}

func startFaultyGroup(t *testing.T, seed uint64) *faultyGroup {
	g := &faultyGroup{
		cluster: &cluster{t: t, names: []string{"a", "b", "c"}, dirs: map[string]string{}, replicas: map[string]*Replica{}, recorders: map[string]*recorder{}, isolated: map[string]bool{}},
		dialers: map[string][]*link.Dialer{}, servers: map[string]*httptest.Server{}, events: map[string]*currentRun{},
	}
	for _, name := range g.names {
		g.dirs[name] = t.TempDir()
		g.events[name] = &currentRun{g, name}
		g.run(name)
		g.servers[name] = httptest.NewServer(link.Accept(helloOf(name), g.events[name]))
	}
	t.Cleanup(func() {
		for _, name := range g.names {
			g.disconnect(name)
			g.stop(name)
			g.servers[name].CloseClientConnections()
			g.servers[name].Close()
		}
	})
	for i, from := range g.names {
		for j, to := range g.names {
			if from == to {
				continue
			}
			p := netfault.StartProxy(t, strings.TrimPrefix(g.servers[to].URL, "http://"), netfault.Plan{
				Seed: seed<<8 + uint64(4*i+j), First: 1000, Bytes: 60_000, For: 50 * time.Microsecond,
				Kinds: []netfault.Kind{netfault.Cut, netfault.Reset, netfault.Trickle, netfault.Flip, netfault.Double, netfault.Delay, netfault.Stall},
			})
			g.proxies = append(g.proxies, p)
			g.connect(from, p.Address)
		}
	}
	return g
}

func helloOf(name string) wire.Hello {
	return wire.Hello{Process: name, Roles: []wire.Role{wire.RoleControl}}
}

func (g *faultyGroup) connect(from, address string) {
	g.dialers[from] = append(g.dialers[from], link.StartDialer(link.NewHTTPClient(nil), "ws", address, helloOf(from), g.events[from]))
}

func (g *faultyGroup) disconnect(name string) {
	for _, d := range g.dialers[name] {
		d.Stop()
	}
}

// run starts a replica that takes a snapshot each few entries and sends it in small parts.
func (g *faultyGroup) run(name string) {
	rec := &recorder{}
	r, err := Start(Options{
		Name: name, Peers: slices.DeleteFunc(slices.Clone(g.names), func(n string) bool { return n == name }),
		DataDir: g.dirs[name], Machine: rec, Observer: observe.New("fatal"), System: actor.NewSystem(),
		SnapshotEvery: 20, SnapshotKeep: 5, Config: consensus.Config{SnapshotChunk: 4 << 10},
	})
	if err != nil {
		g.t.Fatal(err)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.replicas[name], g.recorders[name] = r, rec
}

// checkedCommand returns a command of which no part and no changed copy is valid.
func checkedCommand(i int) string {
	body := fmt.Sprintf("%06d%s", i, strings.Repeat("merlinhall ", 60))
	return fmt.Sprintf("%s%08x", body, crc32.ChecksumIEEE([]byte(body)))
}

// Guards against an entry or a snapshot that is applied after it was cut or changed on its
// way between replicas, and against a replica that does not recover from that.
func TestLogAndSnapshotsCutOnTheWay(t *testing.T) {
	for _, seed := range netfault.Seeds(t, "1-3,11,15") {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			g := startFaultyGroup(t, seed)
			acknowledged := make(map[string]bool)
			propose := func(from, to int) {
				for i := from; i < to; i++ {
					for _, name := range g.names {
						ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
						_, _, err := g.replicas[name].Propose(ctx, []byte(checkedCommand(i)))
						cancel()
						if err == nil {
							acknowledged[checkedCommand(i)] = true
							break
						}
					}
				}
			}
			g.eventually("founded", func() bool {
				propose(0, 1)
				return len(acknowledged) == 1
			})
			propose(1, 120)
			g.stop("c") // its disk is lost, so it needs a snapshot
			g.dirs["c"] = t.TempDir()
			g.run("c")
			propose(120, 180)
			for _, p := range g.proxies {
				p.Heal()
				p.CloseConns()
			}
			g.eventually("one list of commands on three replicas", func() bool {
				propose(180, 181)
				a, b, c := g.recorders["a"].list(), g.recorders["b"].list(), g.recorders["c"].list()
				return acknowledged[checkedCommand(180)] && slices.Equal(a, b) && slices.Equal(b, c)
			})
			list := g.recorders["c"].list()
			for _, command := range list {
				delete(acknowledged, command)
				var i int
				_, err := fmt.Sscanf(command[:6], "%d", &i)
				is.NoErr(err)
				is.True(command == checkedCommand(i)) // a command was changed
			}
			is.Equal(len(acknowledged), 0) // acknowledged commands that are lost
			for _, name := range g.names {
				is.Equal(g.replicas[name].Status().Failed, "")
			}
			is.True(netfault.Struck(g.proxies)) // no fault was tested
		})
	}
}
