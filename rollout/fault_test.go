package rollout

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/link"
	"merlinhall/netfault"
)

// connectOverLinks returns a function that connects two replicas by links through proxies.
func connectOverLinks(t *testing.T, plan netfault.Plan, proxies *[]*netfault.Proxy) func(a, b *replica) {
	servers := map[*replica]*httptest.Server{}
	address := func(r *replica) string {
		if servers[r] == nil {
			s := httptest.NewServer(link.Accept(r.hello, r.coord))
			t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
			servers[r] = s
		}
		return strings.TrimPrefix(servers[r].URL, "http://")
	}
	dial := func(from, to *replica) {
		plan := plan
		plan.Seed = plan.Seed<<8 + uint64(len(*proxies))
		p := netfault.StartProxy(t, address(to), plan)
		*proxies = append(*proxies, p)
		d := link.StartDialer(link.NewHTTPClient(nil), "ws", p.Address, from.hello, from.coord)
		t.Cleanup(d.Stop)
	}
	return func(a, b *replica) {
		dial(a, b)
		dial(b, a)
	}
}

// drawAll draws the groups of step 1 one by one and returns how often each text occurs
// among the second tokens of their samples.
func drawAll(t *testing.T, a api, groups int) map[string]int {
	t.Helper()
	texts := map[string]int{}
	for i := range groups {
		var part DrawResponse
		code := 0
		eventually(t, fmt.Sprintf("group %d is drawn", i), func() bool {
			part = DrawResponse{}
			code = a.post("draws", fmt.Sprintf(`{"draw_id":"d%d","max_groups":1,"wait_ms":500}`, i), &part)
			return code == http.StatusOK && len(part.Groups) == 1
		})
		for _, s := range part.Groups[0].Samples {
			texts[s.Tokens[1]]++
		}
	}
	return texts
}

// Guards against a body that is stored or delivered although it was cut or changed between
// replicas, and against a group that is never complete then.
func TestBodiesCutOnTheWay(t *testing.T) {
	for _, seed := range netfault.Seeds(t, "1-3") {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var proxies []*netfault.Proxy
			plan := netfault.Plan{
				Seed: seed, First: 1000, Bytes: 4 << 20, For: time.Microsecond,
				Kinds: []netfault.Kind{netfault.Cut, netfault.Reset, netfault.Flip, netfault.Double, netfault.Stall},
			}
			c := newClusterWith(t, connectOverLinks(t, plan, &proxies), "c1", "c2", "c3")
			text := strings.Repeat("merlinhall ", 100_000)
			c.addEntry("e1", &fakeRunner{text: text})
			c.lead("c1", true)
			a := api{t, TrainerHandler(c, nil)}
			is.Equal(a.post("steps", stepBody, nil), http.StatusOK)
			eventually(t, "two complete groups", func() bool {
				return len(c.replicas["c1"].ledger.DrawableBodies("abay", 0)) == 2
			})
			is.NoErr(c.replicas["c1"].coord.store.Err())
			for _, key := range c.replicas["c1"].coord.store.Keys() {
				c.replicas["c1"].coord.store.Delete(key) // the leader fetches them from the others
			}
			is.Equal(drawAll(t, a, 2), map[string]int{text: 4})
			eventually(t, "whole bodies on three replicas", func() bool {
				for _, name := range c.names {
					store := c.replicas[name].coord.store
					whole := 0
					for _, key := range store.Keys() {
						if data, err := store.Get(key); err == nil && digestOf(data) == key.Digest {
							whole++
						}
					}
					if whole != 2 {
						return false
					}
				}
				return true
			})
			is.True(netfault.Struck(proxies)) // no fault was tested
		})
	}
}

// Guards against a body that is larger than the send queue of a link and is therefore never
// stored on a majority, or never fetched.
func TestBodyLargerThanTheSendQueue(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var proxies []*netfault.Proxy
	c := newClusterWith(t, connectOverLinks(t, netfault.Plan{Kinds: []netfault.Kind{netfault.None}, Bytes: 1}, &proxies), "c1", "c2", "c3")
	text := strings.Repeat("merlinhall ", 600_000)
	c.addEntry("e1", &fakeRunner{text: text})
	c.lead("c1", true)
	a := api{t, TrainerHandler(c, nil)}
	is.Equal(a.post("steps", `{"step":1,"prompts":["a"],"group_size":2,"sampling":{"max_tokens":4},"version":1}`, nil), http.StatusOK)
	eventually(t, "a complete group", func() bool { return len(c.replicas["c1"].ledger.DrawableBodies("abay", 0)) == 1 })
	for _, key := range c.replicas["c1"].coord.store.Keys() {
		c.replicas["c1"].coord.store.Delete(key)
	}
	is.Equal(drawAll(t, a, 1), map[string]int{text: 2})
}
