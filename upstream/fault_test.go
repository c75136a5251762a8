package upstream

import (
	"context"
	"fmt"
	"hash/crc32"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/netfault"
)

// bodyOf returns the body of the response to a request.
func bodyOf(id string) string {
	text := strings.Repeat(id+" ", 10+int(crc32.ChecksumIEEE([]byte(id))%60))
	return fmt.Sprintf("%s%08x", text, crc32.ChecksumIEEE([]byte(text)))
}

// responseTo returns a response by length or in chunks.
func responseTo(id string) string {
	body := bodyOf(id)
	if crc32.ChecksumIEEE([]byte(id))%2 == 0 {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	}
	half := len(body) / 2
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", id, half, body[:half], len(body)-half, body[half:])
}

// Guards against a response that is cut, doubled or delayed at any byte and taken for the
// whole one of a request, or for that of another request.
func TestResponsesWithFaultsAtAnyByte(t *testing.T) {
	for _, seed := range netfault.Seeds(t, "1-4") {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			server := netfault.StartServer(t, netfault.Plan{
				Seed: seed, For: 2 * time.Millisecond,
				Kinds: []netfault.Kind{
					netfault.None, netfault.None, netfault.Cut, netfault.Reset, netfault.Double,
					netfault.Delay, netfault.Copy, netfault.LateCopy, netfault.Stall,
				},
			}, func(r *http.Request) netfault.Answer {
				id := r.Header.Get("Id")
				return netfault.Answer{Bytes: []byte(responseTo(id)), Key: id}
			})
			pool, to := newTestPool(), Address{HostPort: server.Address, ID: "t"}
			var complete atomic.Int32
			var wg sync.WaitGroup
			for worker := range 8 {
				wg.Go(func() {
					for i := range 60 {
						id := fmt.Sprintf("r-%d-%d", worker, i)
						for try := 0; try < 4; try++ { // a repeated request has the same id
							ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
							_, body, err := pool.Do(ctx, to, post(id))
							cancel()
							if err != nil {
								continue
							}
							complete.Add(1)
							if string(body) != bodyOf(id) {
								t.Errorf("%s got %q", id, body)
							}
							break
						}
					}
				})
			}
			wg.Wait()
			is.True(complete.Load() > 300)
			is.Equal(len(server.Strikes()), 7) // a kind of fault did not occur
		})
	}
}
