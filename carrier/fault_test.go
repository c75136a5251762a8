package carrier

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/forward"
	"merlinhall/netfault"
	"merlinhall/upstream"
	"merlinhall/wire"
)

// plainEngine names no weight versions.
type plainEngine struct{ versionField }

func (plainEngine) Version(http.Header) uint64 { return 0 }

func (plainEngine) Verdict(int, http.Header) forward.Verdict { return forward.Answered }

const textEvents = 30

// textOf returns the events of an item after the one with a number.
func textOf(item string, after int) []string {
	var out []string
	for n := after + 1; n <= textEvents; n++ {
		out = append(out, fmt.Sprintf("%s part %d", item, n))
	}
	return out
}

// Guards against a text that is cut, doubled or delayed at any byte and taken for whole, and
// against one whose parts of several runs do not continue each other.
func TestTextsWithFaultsAtAnyByte(t *testing.T) {
	for _, seed := range netfault.Seeds(t, "1-4") {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			server := netfault.StartServer(t, netfault.Plan{
				Seed: seed, For: time.Millisecond,
				Kinds: []netfault.Kind{
					netfault.None, netfault.Cut, netfault.Reset, netfault.Double, netfault.Delay,
					netfault.Copy, netfault.LateCopy, netfault.Stall,
				},
			}, func(r *http.Request) netfault.Answer {
				id := r.Header.Get("Id")
				after, _ := strconv.Atoi(r.Header.Get("After"))
				var b strings.Builder
				_, _ = fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n", id)
				for i, event := range textOf(id, after) {
					text := fmt.Sprintf("id: %d\ndata: %s\n\n", after+1+i, event)
					_, _ = fmt.Fprintf(&b, "%x\r\n%s\r\n", len(text), text)
				}
				b.WriteString("0\r\n\r\n")
				return netfault.Answer{Bytes: []byte(b.String()), Key: fmt.Sprint(id, " ", after)}
			})
			pool := upstream.NewPool(func(h http.Header) string { return h.Get("Id") })
			to := upstream.Address{HostPort: server.Address, ID: "e"}
			for i := range 60 {
				id := fmt.Sprint("item-", i)
				var text recordedText
				outcome := Broken
				for run := 0; run < 100 && outcome != Complete; run++ {
					ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
					request := &upstream.Request{
						ID: id, Method: http.MethodPost, URI: "/x", Host: "h", Body: []byte("b"),
						Header: []wire.Header{{Name: "Id", Value: id}, {Name: "After", Value: fmt.Sprint(len(text.events))}},
					}
					outcome = generate(ctx, pool, plainEngine{}, to, request, &text, len(text.events)+1, VersionRule{}).Outcome
					cancel()
					is.True(slices.Equal(text.events, textOf(id, 0)[:len(text.events)])) // an event was changed, lost or doubled
				}
				is.Equal(outcome, Complete)
				is.Equal(len(text.events), textEvents) // part of a text was taken for the whole
			}
			is.Equal(len(server.Strikes()), 7) // a kind of fault did not occur
		})
	}
}
