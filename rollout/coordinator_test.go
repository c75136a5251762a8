package rollout

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/wire"
)

// eventually waits until the condition holds.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatalf("not reached: %s", what)
}

type api struct {
	t *testing.T
	h http.Handler
}

func (a api) post(path, body string, answer any) int {
	a.t.Helper()
	r := httptest.NewRequest(http.MethodPost, "/v1/trainers/abay/"+path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer secret")
	w := httptest.NewRecorder()
	a.h.ServeHTTP(w, r)
	if answer != nil {
		if err := json.Unmarshal(w.Body.Bytes(), answer); err != nil {
			a.t.Fatalf("%s: %v", w.Body, err)
		}
	}
	return w.Code
}

const stepBody = `{"step":1,"prompts":["a","b"],"group_size":2,"sampling":{"max_tokens":4},"version":1}`

// newClusterWithCompleteGroups returns a cluster in which both groups of step 1 are
// complete and stored on every replica.
func newClusterWithCompleteGroups(t *testing.T) (*cluster, api) {
	c := newCluster(t, "c1", "c2", "c3")
	c.addEntry("e1", &fakeRunner{})
	c.lead("c1", true)
	a := api{t, TrainerHandler(c, nil)}
	if code := a.post("steps", stepBody, nil); code != http.StatusOK {
		t.Fatal(code)
	}
	eventually(t, "two complete groups on three replicas", func() bool {
		for _, name := range c.names {
			if len(c.replicas[name].ledger.DrawableBodies("abay", 0)) != 2 || len(c.replicas[name].coord.store.Keys()) != 2 {
				return false
			}
		}
		return true
	})
	return c, a
}

func (c *cluster) files(name string) []string {
	names, _ := filepath.Glob(filepath.Join(c.dirs[name], bodyDir, "*"+bodySuffix))
	return names
}

// Guards against a new leader that delivers groups whose bodies it lacks or has only
// damaged, and against bodies that are not deleted after the acknowledgement.
func TestNewLeaderRepairsBodies(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, a := newClusterWithCompleteGroups(t)
	for i, name := range c.files("c2") {
		if i == 0 {
			is.NoErr(os.WriteFile(name, []byte("torn"), 0o600))
			continue
		}
		is.NoErr(os.Remove(name))
	}
	c.lead("c2", true)
	var answer DrawResponse
	for len(answer.Groups) < 2 {
		id := map[int]string{0: "d1", 1: "d2"}[len(answer.Groups)]
		var part DrawResponse
		is.Equal(a.post("draws", `{"draw_id":"`+id+`","max_groups":1,"wait_ms":20000}`, &part), http.StatusOK)
		is.Equal(len(part.Groups), 1)
		is.Equal(len(part.Groups[0].Samples), 2)
		is.Equal(len(part.Groups[0].Samples[0].Tokens), 2)
		answer.Groups = append(answer.Groups, part.Groups...)
	}
	is.Equal(a.post("acks", `{"draw_id":"d1"}`, nil), http.StatusOK)
	is.Equal(a.post("acks", `{"draw_id":"d2"}`, nil), http.StatusOK)
	eventually(t, "no bodies", func() bool {
		return len(c.files("c1"))+len(c.files("c2"))+len(c.files("c3")) == 0
	})
}

// Guards against a group that stays complete without a body, and against a drawn
// group that is generated a second time.
func TestLostBodies(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, a := newClusterWithCompleteGroups(t)
	for _, r := range c.replicas {
		done := make(chan struct{})
		r.coord.enqueue(inspect{func() { r.coord.lossAfter = 0; close(done) }})
		<-done
	}
	var drawn DrawResponse
	is.Equal(a.post("draws", `{"draw_id":"d1","max_groups":1,"wait_ms":1000}`, &drawn), http.StatusOK)
	for _, r := range c.replicas {
		for _, key := range r.coord.store.Keys() {
			r.coord.store.Delete(key)
		}
	}
	l := c.replicas["c1"].ledger
	eventually(t, "the undrawn group is generated again", func() bool {
		return l.Status()["abay"].Counts.Lost == 1 && len(l.DrawableBodies("abay", 0)) == 1
	})
	var failure ErrorResponse
	is.Equal(a.post("draws", `{"draw_id":"d1","max_groups":1,"wait_ms":0}`, &failure), http.StatusServiceUnavailable)
	is.Equal(failure.Code, CodeUnavailable)
	is.Equal(l.Status()["abay"].Groups["drawn"], 1)
	var second DrawResponse
	is.Equal(a.post("draws", `{"draw_id":"d2","max_groups":1,"wait_ms":1000}`, &second), http.StatusOK)
	is.True(second.Groups[0].Group != drawn.Groups[0].Group)
}

// Guards against accepting bodies whose chunks arrive damaged or out of order.
func TestLargeBodies(t *testing.T) {
	is := is.New(t)
	var b bodies
	b.init()
	data := bytes.Repeat([]byte("0123456789abcdef"), 10)
	key := wire.BodyKey{Digest: digestOf(data)}
	now := time.Now()
	send := func(offset, size int, chunk []byte) bool {
		_, complete := b.assemble(now, key, offset, size, chunk)
		return complete
	}
	is.True(!send(0, 160, data[:100]))
	is.True(!send(101, 160, data[101:]))                                // a gap
	is.True(!send(100, 160, data[100:]))                                // without its start
	is.True(!send(0, 160, data[:100]) && send(100, 160, data[100:]))    // complete
	is.True(!send(0, 160, data[:100]) && !send(100, 160, data[99:159])) // wrong bytes
	is.True(!send(0, maxBodyBytes+1, data))
	is.Equal(len(b.assemblies), 0)
}

// Guards against wrong status codes or vague errors from the trainer API.
func TestTrainerAPIErrors(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "c1")
	c.addEntry("e1", &fakeRunner{hold: make(chan struct{})})
	a := api{t, TrainerHandler(c, func(token, trainer string) bool { return token == "secret" && trainer == "abay" })}
	var failure ErrorResponse
	is.Equal(a.post("steps", stepBody, &failure), http.StatusServiceUnavailable) // no leader
	is.Equal(failure.Code, CodeUnavailable)
	c.lead("c1", true)
	eventually(t, "c1 leads", c.replicas["c1"].coord.isLeading)
	is.Equal(a.post("steps", `{"stepp":1}`, &failure), http.StatusBadRequest)
	is.True(strings.Contains(failure.Error, "stepp"))
	is.Equal(a.post("steps", `{"step":1,"prompts":[],"group_size":2,"version":1}`, &failure), http.StatusBadRequest)
	is.True(strings.Contains(failure.Error, "prompts"))
	is.Equal(a.post("draws", `{"draw_id":"d","max_groups":1}`, &failure), http.StatusNotFound)
	is.Equal(a.post("steps", stepBody, nil), http.StatusOK)
	is.Equal(a.post("steps", stepBody, nil), http.StatusOK)
	is.Equal(a.post("draws", `{"draw_id":"","max_groups":1}`, &failure), http.StatusBadRequest)
	is.Equal(a.post("acks", `{"draw_id":"d"}`, &failure), http.StatusNotFound)
	is.Equal(a.post("weights", `{"pool":"x","version":2,"request_id":"r"}`, &failure), http.StatusBadRequest)
	var empty DrawResponse
	is.Equal(a.post("draws", `{"draw_id":"d","max_groups":1,"wait_ms":50}`, &empty), http.StatusOK)
	is.True(empty.Groups != nil && len(empty.Groups) == 0)

	for header, want := range map[string]int{"secret": http.StatusUnauthorized, "Bearer wrong": http.StatusUnauthorized, "": http.StatusUnauthorized, "Bearer secret": http.StatusOK} {
		r := httptest.NewRequest(http.MethodGet, "/v1/trainers/abay", nil)
		r.Header.Set("Authorization", header)
		w := httptest.NewRecorder()
		a.h.ServeHTTP(w, r)
		is.Equal(w.Code, want)
	}
}

// Guards against job limits of zero, with which a coordinator would silently plan no
// jobs.
func TestLimitsOfJobsAreChecked(t *testing.T) {
	is := is.New(t)
	_, err := NewCoordinator(CoordinatorOptions{DataDir: t.TempDir()})
	is.True(err != nil)
}
