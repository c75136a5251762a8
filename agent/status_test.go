package agent

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/loopback"
	"merlinhall/wire"
)

// Guards against a target in trouble whose response has a status that HTTP does not have: its body
// was passed on as a complete answer.
func TestStatusThatHTTPDoesNotHaveIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "700", "999"} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			server := loopback.ServeEndless(t, "HTTP/1.1 "+status+" X\r\nContent-Length: 5\r\n\r\n", "bytes")
			idle := func() time.Duration { return time.Minute }
			service := &serviceTarget{address: server.Address, transport: newTransport(), idleTimeout: idle, onSilent: func() {}}
			var passed []*wire.Chunk
			s := newSink("r", func(m any) bool { passed = append(passed, m.(*wire.Chunk)); return true })
			last := service.run(t.Context(), &wire.Run{ID: "r", Method: http.MethodGet, Path: "/"}, s)
			is.Equal(last.End, wire.EndUnknown) // it may have run
			is.Equal(last.Status, 0)
			is.Equal(len(last.Data), 0)
			is.Equal(len(passed), 0)
			is.True(server.Next(t).Closed)
			engine := &engineTarget{address: server.Address, transport: newTransport(), idleTimeout: idle, onSilent: func() {}, versions: &versionTracker{}}
			last = engine.run(t.Context(), &wire.Run{ID: "e", Generation: &wire.Generation{Prompt: "p", MaxTokens: 1}}, s)
			is.Equal(last.End, wire.EndUnknown)
			is.Equal(last.Status, 0)
			is.Equal(engine.load(t.Context(), 1, wire.Fence{}), orderUnknown)
		})
	}
}
