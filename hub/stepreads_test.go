package hub

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"merlinhall/ledger"
	"merlinhall/link"
	"merlinhall/observe"
	"merlinhall/wire"
)

// Guards against a read that returns the few results available so far, after which the trainer
// pauses while its step becomes complete, and against reads that wait for nothing or for longer
// than their client or the step allows.
func TestReadWaitsForItsStep(t *testing.T) {
	now := time.Unix(1000, 0)
	in := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	waiting := stepRead{
		Standing: ledger.Standing{Wanted: 24, Complete: 23, Results: 3, Next: 13, Due: in(5000)},
		open:     true, after: 10, newest: 10, deadline: in(800),
	}
	for name, c := range map[string]struct {
		change func(r *stepRead)
		end    readEnd
		until  time.Time
	}{
		"step is not complete":                  {func(*stepRead) {}, "", in(800)},
		"step is due earlier":                   {func(r *stepRead) { r.Due = in(300) }, "", in(300)},
		"step is due":                           {func(r *stepRead) { r.Due = now }, readDue, time.Time{}},
		"due time is not known":                 {func(r *stepRead) { r.Due = time.Time{} }, readDue, time.Time{}},
		"step is complete":                      {func(r *stepRead) { r.Complete = 24 }, readComplete, time.Time{}},
		"groups of an earlier step are missing": {func(r *stepRead) { r.Complete, r.Awaited = 24, 1 }, "", in(800)},
		"no number of groups":                   {func(r *stepRead) { r.Wanted = 0 }, readNoNumber, time.Time{}},
		"earlier position":                      {func(r *stepRead) { r.after = 9 }, readEarlier, time.Time{}},
		"page is full":                          {func(r *stepRead) { r.Full = true }, readFull, time.Time{}},
		"all results are there":                 {func(r *stepRead) { r.Complete, r.open = 24, false }, readComplete, time.Time{}},
		"submission is closed":                  {func(r *stepRead) { r.open = false }, readClosed, time.Time{}},
		"process stops":                         {func(r *stepRead) { r.stopping = true }, readStopping, time.Time{}},
		"wait has passed":                       {func(r *stepRead) { r.deadline = now }, readWaited, time.Time{}},
		"no results":                            {func(r *stepRead) { r.Results = 0 }, "", in(800)},
		"no results after due":                  {func(r *stepRead) { r.Results, r.Due = 0, now }, "", in(800)},
		"no results, is complete":               {func(r *stepRead) { r.Results, r.Complete = 0, 24 }, "", in(800)},
		"no results, stops":                     {func(r *stepRead) { r.Results, r.stopping = 0, true }, "", in(800)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := waiting
			c.change(&r)
			end, until := r.decide(now)
			is.Equal(end, c.end)
			is.Equal(until, c.until)
		})
	}
}

// Guards against a read that misses a change: the group that completes the step, the end of the
// leadership, of the submission and of the call.
func TestReadEndsWithTheChangeThatItWaitsFor(t *testing.T) {
	for end, do := range map[readEnd]func(s *ledger.Submissions, stop, cancel func()){
		readComplete:  func(s *ledger.Submissions, _, _ func()) { recordResult(s, 1) },
		readStopping:  func(_ *ledger.Submissions, stop, _ func()) { stop() },
		readClosed:    func(s *ledger.Submissions, _, _ func()) { s.Apply(9, 1, must(ledger.EndCommand("s"))) },
		readCancelled: func(_ *ledger.Submissions, _, cancel func()) { cancel() },
		readWaited:    func(*ledger.Submissions, func(), func()) {},
	} {
		t.Run(string(end), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				subs := ledger.NewSubmissions()
				subs.Apply(1, 1, must(ledger.AcceptCommand(&ledger.Submission{
					ID: "s", WantedGroups: 2, Due: 8 * time.Second, Items: []ledger.Item{{ID: "s-0", Group: "a"}, {ID: "s-1", Group: "b"}, {ID: "s-2", Group: "c"}},
				})))
				reads := NewStepReads(observe.New("error"))
				leadership, stop := context.WithCancel(t.Context())
				ctx, cancel := context.WithCancel(t.Context())
				defer stop()
				defer cancel()
				time.AfterFunc(100*time.Millisecond, func() { recordResult(subs, 0) })
				time.AfterFunc(200*time.Millisecond, func() { do(subs, stop, cancel) })
				began, want := time.Now(), 200*time.Millisecond
				if end == readWaited {
					want = time.Second
				}
				is.Equal(reads.wait(ctx, leadership.Done(), subs, &pageRequest{ID: "s", Wait: time.Second, Limit: 1 << 20}), ctx.Err())
				is.Equal(time.Since(began), want)
				is.Equal(testutil.ToFloat64(reads.ends.WithLabelValues("yes", string(end))), 1.0)
			})
		})
	}
}

func must(b []byte, err error) []byte {
	if err != nil {
		panic(err)
	}
	return b
}

func recordResult(s *ledger.Submissions, item int) {
	s.Apply(2, 1, must(ledger.RecordCommand("s", ledger.Result{Item: fmt.Sprint("s-", item)})))
}

// changingLeader loses the leadership during the first call.
type changingLeader struct {
	noEvents
	waits chan time.Duration
}

func (l *changingLeader) Message(conn *link.Conn, m wire.Message) {
	call, in := m.(*wire.Call), pageRequest{}
	reply := &wire.Reply{ID: call.ID, Outcome: wire.CallNoLeader}
	if _ = wire.Unmarshal(call.Body, &in); len(l.waits) > 0 {
		reply.Outcome, reply.Body = wire.CallOK, must(wire.Marshal(&pageReply{Found: true}))
	}
	l.waits <- in.Wait
	_ = conn.Send(reply)
}

// Guards against a read that waits for its whole time again after a change of leader, longer than
// its client.
func TestRepeatedReadWaitsForTheRestOfItsTime(t *testing.T) {
	is := is.New(t)
	leader := &changingLeader{waits: make(chan time.Duration, 2)}
	srv := httptest.NewServer(link.Accept(wire.Hello{Process: "control", Roles: []wire.Role{wire.RoleControl}}, leader))
	t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	c := NewClient(ClientOptions{Log: observe.New("panic").Logger("hub"), StepReads: true})
	d := link.StartDialer(link.NewHTTPClient(nil), "ws", strings.TrimPrefix(srv.URL, "http://"), wire.Hello{Process: "entry"}, c)
	t.Cleanup(func() { d.Stop(); c.calls.Stop() })
	_, found, err := c.Page(t.Context(), Caller{}, "s", 0, time.Minute, 1)
	is.NoErr(err)
	is.True(found)
	first := <-leader.waits
	is.True(<-leader.waits <= first-retryDelay)
}
