package agent

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"merlinhall/wire"
)

// Guards against a load that goes on after its order is taken for failed, so that the versions
// from before it are still trusted: 502 and 504 do not say what the engine did.
func TestOrderWithoutAnOutcomeIsUnknown(t *testing.T) {
	for _, status := range []int{http.StatusBadGateway, http.StatusGatewayTimeout} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			is := is.New(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
			defer s.Close()
			e := &engineTarget{address: strings.TrimPrefix(s.URL, "http://"), transport: http.DefaultTransport}
			is.Equal(e.load(context.Background(), 4, wire.Fence{}), orderUnknown)
		})
	}
}
