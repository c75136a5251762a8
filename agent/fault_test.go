package agent

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/link"
	"merlinhall/netfault"
	"merlinhall/standin"
	"merlinhall/weights"
	"merlinhall/wire"
)

// fetcher fetches the bytes of a version from an agent.
type fetcher struct{ parts chan *wire.WeightPart }

func (f *fetcher) Up(*link.Conn)          {}
func (f *fetcher) Down(*link.Conn, error) {}
func (f *fetcher) Message(_ *link.Conn, m wire.Message) {
	if p, ok := m.(*wire.WeightPart); ok {
		f.parts <- p
	}
}

// servedWeights returns the bytes of a version that an agent serves, or nil if it says that
// it has none.
func servedWeights(t *testing.T, agent string, version uint64) []byte {
	t.Helper()
	is := is.New(t)
	f := &fetcher{parts: make(chan *wire.WeightPart, 16)}
	conn, err := link.Dial(t.Context(), link.NewHTTPClient(nil), "ws", agent, wire.Hello{Process: "reader", Roles: []wire.Role{wire.RoleAgent}}, f)
	is.NoErr(err)
	defer conn.Close(link.ErrClosed)
	var data []byte
	for {
		is.NoErr(conn.Send(&wire.WeightFetch{Pool: "policy-lm", Version: version, Offset: int64(len(data)), Length: weights.PartBytes}))
		select {
		case p := <-f.parts:
			if p.Unavailable {
				return nil
			}
			is.Equal(p.Offset, int64(len(data)))
			data = append(data, p.Data...)
			if int64(len(data)) >= p.Size {
				return data
			}
		case <-time.After(testWait):
			t.Fatalf("no part of version %d", version)
		}
	}
}

// Guards against weights that are served although they were cut or changed on their way
// from the store or from another agent, and against an agent that never gets them then.
func TestWeightsCutOnTheWay(t *testing.T) {
	for _, seed := range netfault.Seeds(t, "1-3") {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			p := &testPool{t: t, store: standin.NewStore(standin.StoreOptions{Size: 700_000}), swapTime: 10 * time.Millisecond}
			var proxies []*netfault.Proxy
			p.via = func(address string) string {
				proxy := netfault.StartProxy(t, address, netfault.Plan{
					Seed: seed<<8 + uint64(len(proxies)), First: 200, Bytes: 600_000, For: 10 * time.Microsecond,
					Kinds: []netfault.Kind{netfault.Cut, netfault.Reset, netfault.Flip, netfault.Double, netfault.Trickle, netfault.Stall},
				})
				proxies = append(proxies, proxy)
				return proxy.Address
			}
			p.start(6)
			for version := uint64(2); version <= 3; version++ {
				p.publish(version)
				time.AfterFunc(3*time.Second, func() {
					for _, proxy := range proxies {
						proxy.Heal()
						proxy.CloseConns()
					}
				})
				p.waitForVersion(version)
				for i, s := range p.linkServers {
					got := servedWeights(t, address(s), version)
					if !bytes.Equal(got, p.store.Weights("policy-lm", version)) {
						t.Errorf("agent %d serves %d wrong bytes of version %d", i, len(got), version)
					}
				}
			}
			is.True(netfault.Struck(proxies)) // no fault was tested
		})
	}
}
