package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"merlinhall/directory"
	"merlinhall/ledger"
	"merlinhall/routes"
	"merlinhall/streams"
	"merlinhall/wire"
)

// rawTarget answers the first request on each connection with bytes and closes it.
func rawTarget(t *testing.T, id, version, response string) *target {
	s := startTarget(t, id, behaviour{runs: true, respond: func(w io.Writer, request string) {
		_, _ = io.WriteString(w, strings.ReplaceAll(response, "ID", request))
		_ = w.(net.Conn).Close()
	}})
	s.entry.Version = version
	return s
}

const streamHead = "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Type: events\r\n"

func chunked(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// order makes the targets be tried in the given order.
func (f *Forwarder) order(ids ...string) {
	for i, id := range ids {
		f.state(id).latency = time.Duration(i) * time.Hour
	}
}

// Guards against the error of a further target that reaches the caller in the middle of a
// stream, or that ends the stream as if it were complete.
func TestFurtherTargetsErrorIsNotPartOfTheStream(t *testing.T) {
	began := rawTarget(t, "a", "v1", streamHead+"Transfer-Encoding: chunked\r\n\r\n"+chunked(events(1, 3)))
	for name, response := range map[string]string{
		"500":                        "HTTP/1.1 500 X\r\nId: ID\r\nContent-Length: 5\r\n\r\nwrong",
		"503":                        "HTTP/1.1 503 X\r\nId: ID\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nfull",
		"404":                        "HTTP/1.1 404 X\r\nId: ID\r\nContent-Length: 4\r\n\r\nnone",
		"error as events":            "HTTP/1.1 500 X\r\nId: ID\r\nContent-Type: events\r\nContent-Length: 13\r\n\r\ndata: wrong\n\n",
		"error in chunks":            "HTTP/1.1 500 X\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked("wrong") + "0\r\n\r\n",
		"error without length":       "HTTP/1.1 500 X\r\nId: ID\r\n\r\nwrong",
		"error of HTTP/1.0":          "HTTP/1.0 500 X\r\nId: ID\r\n\r\nwrong",
		"error after informational":  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 500 X\r\nId: ID\r\nContent-Length: 5\r\n\r\nwrong",
		"informational only":         "HTTP/1.1 103 Early Hints\r\n\r\n",
		"body that is no stream":     "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 5\r\n\r\nwrong",
		"empty body":                 "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 0\r\n\r\n",
		"half a head":                "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Ty",
		"head without its end":       streamHead,
		"events from the first on":   streamHead + "Transfer-Encoding: chunked\r\n\r\n" + chunked(events(1, 6)) + "0\r\n\r\n",
		"events after a gap":         streamHead + "Transfer-Encoding: chunked\r\n\r\n" + chunked(events(5, 6)) + "0\r\n\r\n",
		"the last event again":       streamHead + "Transfer-Encoding: chunked\r\n\r\n" + chunked(events(3, 6)) + "0\r\n\r\n",
		"nothing":                    "",
		"events of another software": "",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			version := "v1"
			if name == "events of another software" {
				version, response = "v2", streamHead+"Transfer-Encoding: chunked\r\n\r\n"+chunked(events(4, 6))+"0\r\n\r\n"
			}
			wrong := rawTarget(t, "b", version, response)
			f := newForwarder(began, wrong)
			f.order("a", "b")
			var c collector
			result := f.Stream(t.Context(), request("r", true, time.Second, 5*time.Second), &c)
			is.Equal(result.Outcome, OutcomeCut)
			is.Equal(c.text, events(1, 3))

			sound, _ := streamTarget(t, "c", 6, 0, complete)
			f = newForwarder(began, wrong, sound)
			f.order("a", "b", "c")
			c = collector{}
			result = f.Stream(t.Context(), request("r", true, time.Second, 5*time.Second), &c)
			is.Equal(result.Outcome, OutcomeAnswered)
			is.Equal(c.text, events(1, 6))
		})
	}
}

// Guards against a target that stops within the head of its answer and closes, whose answer
// reaches the caller as a whole one with an empty or short body.
func TestAnswerThatEndsWithinItsHeadIsNone(t *testing.T) {
	for name, whole := range map[string]string{
		"length":              "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 4\r\n\r\ngood",
		"chunks":              "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked("good") + "0\r\n\r\n",
		"none":                "HTTP/1.1 200 OK\r\nId: r\r\n\r\ngood",
		"HTTP/1.0":            "HTTP/1.0 200 OK\r\nId: r\r\n\r\ngood",
		"events":              "HTTP/1.1 200 OK\r\nId: r\r\nContent-Type: events\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(events(1, 1)) + "0\r\n\r\n",
		"after informational": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 4\r\n\r\ngood",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			named := strings.Index(whole, "Id: r")
			head := named + strings.Index(whole[named:], "\r\n\r\n") + len("\r\n\r\n")
			var sent int
			var mu sync.Mutex
			s := startTarget(t, "a", behaviour{runs: true, respond: func(w io.Writer, _ string) {
				mu.Lock()
				defer mu.Unlock()
				_, _ = io.WriteString(w, whole[:sent])
				_ = w.(net.Conn).Close()
			}})
			for n := range head {
				mu.Lock()
				sent = n
				mu.Unlock()
				if result := newForwarder(s).Do(t.Context(), request("r", false, time.Second, 2*time.Second)); result.Outcome == OutcomeAnswered {
					t.Errorf("answered with status %d and %q after %q", result.Status, result.Body, whole[:n])
				}
				var c collector
				if result := newForwarder(s).Stream(t.Context(), request("r", false, time.Second, 2*time.Second), &c); result.Outcome == OutcomeAnswered || c.status != 0 {
					t.Errorf("stream answered with status %d and %q after %q", c.status, c.text, whole[:n])
				}
			}
			mu.Lock()
			sent = len(whole)
			mu.Unlock()
			var c collector
			if result := newForwarder(s).Stream(t.Context(), request("r", false, time.Second, 2*time.Second), &c); result.Outcome != OutcomeAnswered {
				t.Errorf("the whole answer ended as %s", result.Outcome)
			}
		})
	}
}

// streamLeader is a control leader that records streams.
type streamLeader struct {
	records   *ledger.Streams
	directory *directory.Directory // of the leader; nil if it knows no targets
	fails     func(in *streams.Ask) bool
}

// follow has the forwarder's keeper ask the leader.
func (l *streamLeader) follow(t *testing.T, f *Forwarder) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f.Streams = streams.NewKeeper(streams.Options{Log: logrus.NewEntry(log)})
	leader := streams.NewLeader(streams.LeaderOptions{
		Ledger: l.records, MemoryBytes: 1 << 20, Log: logrus.NewEntry(log),
		Directory: l.directory, LongestLimit: func() time.Duration { return 5 * time.Second },
		Propose: func(_ context.Context, body []byte) error { _ = l.records.Apply(1, 1, body); return nil },
	})
	f.Streams.Follow(func(ctx context.Context, in *streams.Ask, out *streams.Answers) error {
		if l.fails != nil && l.fails(in) {
			return errors.New("no leader")
		}
		*out = *leader.Handle(ctx, in)
		return nil
	})
	go f.Streams.Run(t.Context())
}

func newStreamLeader() *streamLeader { return &streamLeader{records: ledger.NewStreams()} }

// takeUp returns the request that goes on with a stream after its third event.
func takeUp(began, id string) *Request {
	r := request(id, true, time.Second, 5*time.Second)
	r.TakeUp = &TakeUp{Attempt: began, After: "3"}
	r.Header = append(r.Header, wire.Header{Name: "After", Value: "3"})
	return r
}

// Guards against a stream that its caller takes up at another process and that goes on at
// another software version, at another service, or although nothing is known of it.
func TestStreamIsTakenUpAtItsSoftwareOnly(t *testing.T) {
	leader := newStreamLeader()
	old, runsOld := streamTarget(t, "old", 6, 0, complete)
	next, runsNext := streamTarget(t, "new", 6, 0, complete)
	next.entry.Version = "v2"
	first := newForwarder(old)
	leader.follow(t, first)
	left := collector{limit: 1}
	first.Stream(t.Context(), request("r", true, time.Second, 5*time.Second), &left)

	t.Run("at another process", func(t *testing.T) {
		is := is.New(t)
		f := newForwarder(old, next)
		leader.follow(t, f)
		f.order("new", "old")
		before := runsNext.Load()
		var c collector
		is.Equal(f.Stream(t.Context(), takeUp("r", "r2"), &c).Outcome, OutcomeAnswered)
		is.Equal(c.text, events(4, 6))
		c = collector{}
		is.Equal(f.Stream(t.Context(), takeUp("r", "r3"), &c).Outcome, OutcomeAnswered) // the first attempt counts each time
		is.Equal(runsNext.Load(), before)
	})
	for name, c := range map[string]struct {
		targets []*target
		request func() *Request
		reason  string
	}{
		"its software has left": {[]*target{next}, func() *Request { return takeUp("r", "x") }, reasonNoSoftware},
		"unknown attempt":       {[]*target{old, next}, func() *Request { return takeUp("other", "x") }, reasonNoRecord},
		"no attempt":            {[]*target{old, next}, func() *Request { return takeUp("", "x") }, reasonNoAttempt},
		"attempt without event": {[]*target{old, next}, func() *Request { return takeUp("r2", "x") }, reasonNoRecord},
		"of another account":    {[]*target{old, next}, func() *Request { r := takeUp("r", "x"); r.Account = "a"; return r }, reasonNoRecord},
		"with another path":     {[]*target{old, next}, func() *Request { r := takeUp("r", "x"); r.URI = "/other"; return r }, reasonNoRecord},
		"with another body":     {[]*target{old, next}, func() *Request { r := takeUp("r", "x"); r.Body = []byte("other"); return r }, reasonNoRecord},
		"its service is not left": {[]*target{old, next}, func() *Request {
			r := takeUp("r", "x")
			r.Route.Shares = []routes.Share{{Service: "t", Weight: 1}}
			return r
		}, reasonOtherRoute},
		"its service has no share": {[]*target{old, next}, func() *Request {
			r := takeUp("r", "x")
			r.Route.Shares = []routes.Share{{Service: "s", Weight: 0}, {Service: "t", Weight: 1}}
			return r
		}, reasonOtherRoute},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newForwarder(c.targets...)
			leader.follow(t, f)
			before, began := runsOld.Load()+runsNext.Load(), time.Now()
			var out collector
			result := f.Stream(t.Context(), c.request(), &out)
			is.Equal(result.Outcome, OutcomeNotRun)
			is.Equal(result.Reason, c.reason)
			is.True(result.RetryAfter > 0)
			is.True(time.Since(began) < 500*time.Millisecond)
			is.Equal(runsOld.Load()+runsNext.Load(), before)
		})
	}
}

// Guards against a caller that waits until its deadline for a leader that does not answer, and
// against a stream that goes on meanwhile at any software.
func TestStreamIsNotTakenUpWithoutALeader(t *testing.T) {
	is := is.New(t)
	leader := newStreamLeader()
	leader.fails = func(*streams.Ask) bool { return true }
	old, runs := streamTarget(t, "old", 6, 0, complete)
	f := newForwarder(old)
	leader.follow(t, f)
	began := time.Now()
	var c collector
	result := f.Stream(t.Context(), takeUp("r", "r2"), &c)
	is.Equal(result.Outcome, OutcomeNotRun)
	is.Equal(result.Reason, reasonNoAnswer)
	is.True(time.Since(began) < 2*time.Second)
	is.Equal(runs.Load(), int32(0))

	c = collector{}
	is.Equal(f.Stream(t.Context(), request("new", true, time.Second, 5*time.Second), &c).Outcome, OutcomeAnswered)
	is.Equal(c.text, events(1, 6)) // streams begin all the same
	c = collector{}
	is.Equal(f.Stream(t.Context(), takeUp("new", "again"), &c).Outcome, OutcomeAnswered)
	is.Equal(c.text, events(4, 6)) // and go on at the process where they began
}

// Guards against a stream that begins at a second software version while the first one may be
// recorded, so that another process would go on there.
func TestStreamDoesNotBeginBeforeAnEarlierRecordIsReplaced(t *testing.T) {
	for _, replaced := range []bool{false, true} {
		t.Run(fmt.Sprint("replaced ", replaced), func(t *testing.T) {
			is := is.New(t)
			leader := newStreamLeader()
			leader.fails = func(in *streams.Ask) bool {
				return !replaced && slices.ContainsFunc(in.Begun, func(b ledger.StreamBeginning) bool { return b.Software.Version == "v2" })
			}
			broken := startTarget(t, "a", behaviour{runs: true, respond: func(w io.Writer, _ string) {
				time.Sleep(50 * time.Millisecond) // the record is made meanwhile
				_ = w.(net.Conn).Close()
			}})
			sound, _ := streamTarget(t, "b", 6, 20*time.Millisecond, complete)
			sound.entry.Version = "v2"
			f := newForwarder(broken, sound)
			leader.follow(t, f)
			f.order("a", "b")
			r := request("r", true, time.Second, 5*time.Second)
			var c collector
			result := f.Stream(t.Context(), r, &c)
			software, known := leader.records.Find(ledger.StreamKey(streams.KeyOf("r", &r.Request, "")))
			is.True(known)
			if replaced {
				is.Equal(result.Outcome, OutcomeAnswered)
				is.Equal(software.Version, "v2")
				return
			}
			is.Equal(result.Outcome, OutcomeUnknown) // it may have run
			is.Equal(c.text, "")
			is.Equal(software.Version, "v1")
		})
	}
}

// Guards against streams whose ids leave numbers out that count as broken when they go on.
func TestEventsFollowEachOther(t *testing.T) {
	for _, c := range []struct {
		event, last string
		gaps, ok    bool
	}{
		{"4", "3", false, true}, {"5", "3", false, false}, {"5", "3", true, true}, {"3", "3", true, false}, {"2", "3", true, false},
		{"b", "a", false, true}, {"a", "a", true, false}, {"4", "a", false, true},
	} {
		t.Run(fmt.Sprint(c), func(t *testing.T) { is.New(t).Equal(follows(c.event, c.last, c.gaps), c.ok) })
	}
}

// keepReading has the list of targets shown as it is, for the last 40 s and until the test ends.
func keepReading(t *testing.T, f *Forwarder, targets ...wire.TargetEntry) {
	const history = 40 // seconds
	for n := range history {
		f.Directory.Replace(time.Now().Add(time.Duration(n-history)*time.Second), targets)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for ctx.Err() == nil {
			f.Directory.Replace(time.Now(), targets)
			time.Sleep(20 * time.Millisecond)
		}
	}()
	t.Cleanup(func() { cancel(); <-ended })
}

// Guards against a stream that goes on at another software version at a process that was cut
// off from the others, or stood still, while targets of the version that began it joined: its
// list shows a single version, as of a time before.
func TestOutdatedListDoesNotShowASoleSoftware(t *testing.T) {
	const age, lag = 3 * time.Second, 400 * time.Millisecond
	for _, c := range []struct {
		name      string
		fails     bool          // no leader can be asked
		joinsSeen time.Duration // time after the take-up at which the list shows the other version, 0 for never
	}{
		{"no reading, no leader", true, 0},
		{"no reading, no record", false, 0},
		{"a reading shows the other version, no leader", true, lag / 2},
		{"a reading shows the other version, no record", false, lag / 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			former, runs := streamTarget(t, "former", 6, 0, complete)
			f := newForwarder(former)
			f.ListLag, f.Directory = lag, directory.New()
			leader := newStreamLeader()
			leader.directory = f.Directory // its list is as outdated
			leader.fails = func(*streams.Ask) bool { return c.fails }
			leader.follow(t, f)
			for n := range 40 {
				f.Directory.Replace(time.Now().Add(time.Duration(n-39)*time.Second-age), []wire.TargetEntry{former.entry})
			}
			joined := wire.TargetEntry{ID: "joined", Service: former.entry.Service, Version: "v2", Address: "127.0.0.1:1"}
			if c.joinsSeen > 0 {
				f.Directory.Replace(time.Now(), []wire.TargetEntry{former.entry}) // lags
				time.AfterFunc(c.joinsSeen, func() { f.Directory.Replace(time.Now(), []wire.TargetEntry{former.entry, joined}) })
			}
			var out collector
			is.Equal(f.Stream(t.Context(), takeUp("r", "r2"), &out).Outcome, OutcomeNotRun)
			is.Equal(runs.Load(), int32(0))
		})
	}
}

// Guards against streams that cannot go on for want of a record or of a leader although the
// service has had a single software version for longer than streams last.
func TestStreamOfASoleSoftwareGoesOnWithoutARecord(t *testing.T) {
	is := is.New(t)
	leader := newStreamLeader()
	leader.fails = func(*streams.Ask) bool { return true }
	a, _ := streamTarget(t, "a", 6, 0, complete)
	f := newForwarder(a)
	f.Directory = directory.New()
	leader.follow(t, f)
	keepReading(t, f, a.entry)
	for _, attempt := range []string{"r", ""} {
		var c collector
		began := time.Now()
		is.Equal(f.Stream(t.Context(), takeUp(attempt, "r2"), &c).Outcome, OutcomeAnswered)
		is.Equal(c.text, events(4, 6))
		is.True(time.Since(began) < directory.MaxSoleAge+500*time.Millisecond) // it does not wait for a leader
	}
	b, _ := streamTarget(t, "b", 6, 0, complete)
	b.entry.Version = "v2"
	f.Directory.Replace(time.Now(), []wire.TargetEntry{a.entry, b.entry})
	var c collector
	is.Equal(f.Stream(t.Context(), takeUp("r", "r3"), &c).Outcome, OutcomeNotRun)
}
