package hub

import (
	"context"
	"fmt"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"merlinhall/ledger"
	"merlinhall/link"
	"merlinhall/netfault"
	"merlinhall/wire"
)

// resultsLeader answers requests for pages of one submission.
type resultsLeader struct{ results []ledger.Result }

func (l *resultsLeader) Up(*link.Conn)          {}
func (l *resultsLeader) Down(*link.Conn, error) {}
func (l *resultsLeader) Message(conn *link.Conn, m wire.Message) {
	call, ok := m.(*wire.Call)
	if !ok {
		return
	}
	var in pageRequest
	reply := &wire.Reply{ID: call.ID, Outcome: wire.CallRejected}
	if wire.Unmarshal(call.Body, &in) == nil {
		next := min(in.After+50, len(l.results))
		out := &pageReply{Found: in.ID == "lot", Page: ledger.Page{Total: len(l.results), Next: next, Results: l.results[in.After:next]}}
		reply.Body, _ = wire.Marshal(out)
		reply.Outcome = wire.CallOK
	}
	_ = conn.Send(reply)
}

// Guards against a page of results that is cut or changed between entry and leader and
// taken for a whole one, or for a submission that does not exist.
func TestPagesCutOnTheWay(t *testing.T) {
	for _, seed := range netfault.Seeds(t, "1-3") {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			leader := &resultsLeader{}
			for i := range 600 {
				text := wire.Deflate([]byte(strings.Repeat(fmt.Sprintf("event %d\n", i), 40)))
				leader.results = append(leader.results, ledger.Result{Item: fmt.Sprint(i), Parts: [][]byte{text}, Versions: []uint64{uint64(i)}, Score: fmt.Sprint("s", i)})
			}
			hello := wire.Hello{Process: "control", Roles: []wire.Role{wire.RoleControl}}
			srv := httptest.NewServer(link.Accept(hello, leader))
			t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
			proxy := netfault.StartProxy(t, strings.TrimPrefix(srv.URL, "http://"), netfault.Plan{
				Seed: seed, First: 400, Bytes: 20_000, Answers: true, For: 50 * time.Millisecond,
				Kinds: []netfault.Kind{netfault.Cut, netfault.Reset, netfault.Flip, netfault.Double, netfault.Delay},
			})
			log := logrus.New()
			log.SetLevel(logrus.PanicLevel)
			c := NewClient(ClientOptions{Log: logrus.NewEntry(log)})
			d := link.StartDialer(link.NewHTTPClient(nil), "ws", proxy.Address, wire.Hello{Process: "entry"}, c)
			t.Cleanup(func() { d.Stop(); c.calls.Stop() })
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			var got []ledger.Result
			for range 2 {
				got = nil
				for len(got) < len(leader.results) {
					page, found, err := c.Page(ctx, Caller{}, "lot", len(got), 0, 1<<20)
					is.NoErr(err)
					is.True(found)
					is.Equal(page.Total, len(leader.results))
					got = append(got, page.Results...)
					is.Equal(page.Next, len(got))
				}
				is.True(reflect.DeepEqual(got, leader.results)) // a page was changed
			}
			is.True(len(proxy.Strikes()) > 0) // no fault was tested
		})
	}
}
