package control

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// doAdmin sends a request to a replica's administration API and returns the status
// code and the decoded body.
func doAdmin(t *testing.T, c *Control, method, uri, body string) (int, map[string]any) {
	t.Helper()
	w := httptest.NewRecorder()
	r := httptest.NewRequest(method, uri, strings.NewReader(body))
	c.AdminHandler().ServeHTTP(w, r)
	var out map[string]any
	if err := json.Unmarshal(w.Body.Bytes(), &out); err != nil {
		t.Fatalf("%s %s: status %d, body %q: %v", method, uri, w.Code, w.Body.String(), err)
	}
	return w.Code, out
}

// Guards against a follower that serves requests from its own state instead of
// forwarding them to the leader.
func TestConfigThroughAFollower(t *testing.T) {
	is := is.New(t)
	c := newFakeCluster(t, "c1", "c2", "c3")
	code, out := doAdmin(t, c.replicas["c2"].control, "POST", "/v1/config?base=0&request_id=r1&author=abay", string(smallConfig(2, "one")))
	is.Equal(code, http.StatusOK)
	is.Equal(out["version"], 1.0)
	code, out = doAdmin(t, c.replicas["c3"].control, "GET", "/v1/config", "")
	is.Equal(code, http.StatusOK)
	is.Equal(out["text"], string(smallConfig(2, "one")))
	is.Equal(out["author"], "abay")
}

// Guards against stale reads from a lagging follower, and from a leader that has not
// yet applied all committed entries.
func TestReadsAreConfirmed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newFakeCluster(t, "c1", "c2")
	lagging := c.replicas["c2"]
	doAdmin(t, lagging.control, "POST", configURI(0, "r1", "abay"), string(smallConfig(1, "one")))
	lagging.paused = true
	doAdmin(t, lagging.control, "POST", configURI(1, "r2", "abay"), string(smallConfig(1, "two")))
	_, out := doAdmin(t, lagging.control, "GET", "/v1/config", "")
	is.Equal(out["version"], 2.0)
	is.Equal(lagging.machine.ClusterState().ConfigVersion, uint64(1))
	c.elect("c2")
	code, out := doAdmin(t, lagging.control, "GET", "/v1/config", "")
	is.Equal(code, http.StatusGatewayTimeout)
	is.Equal(out["outcome"], "unknown")
}
