package batch

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"merlinhall/carrier"
	"merlinhall/directory"
	"merlinhall/ledger"
	"merlinhall/upstream"
)

func quietRunner(engines ...*engine) *Runner {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &Runner{o: Options{Manifests: ledger.NewManifests(nil)}, log: logrus.NewEntry(log), engines: engines}
}

// An engine loads a version while its runs continue. Its report shows that some hundred
// milliseconds later.
func TestRunShowsThatALoadHasEnded(t *testing.T) {
	is := is.New(t)
	e := testEngine("a", 4, 4)
	e.startedMs = 7
	e.load = &load{model: "m", version: 5, orderedAt: start, accepted: true}
	r := quietRunner(e)
	now := start.Add(expectedLoadTime)
	r.handleVersionSeen(now, versionSeen{e, 6, "m", 5}) // a run from before the engine restarted
	is.True(e.load != nil)
	r.handleVersionSeen(now, versionSeen{e, 7, "m", 3}) // from before the load
	is.True(e.load != nil)
	is.Equal(e.versions["m"], uint64(4))
	r.handleVersionSeen(now, versionSeen{e, 7, "m", 5})
	is.Equal(e.load, nil)
	is.Equal(e.versions["m"], uint64(5))
}

// A second response to an earlier report shows an older version. Until something shows the
// right one, requests that expect the older one are refused; that must end by itself.
func TestOutdatedReportIsCorrected(t *testing.T) {
	for name, correct := range map[string]func(r *Runner, e *engine, now time.Time){
		"by a run": func(r *Runner, e *engine, now time.Time) {
			r.handleVersionSeen(now, versionSeen{e, e.startedMs, "m", 5})
		},
		"by another report": func(r *Runner, e *engine, now time.Time) {
			r.handleReportEnd(now, reportEnd{engine: e, report: Report{Versions: map[string]uint64{"m": 5}}})
		},
		"by an order": func(r *Runner, e *engine, now time.Time) {
			e.load = &load{model: "m", version: 5, orderedAt: now}
			r.handleOrderEnd(now, orderEnd{e, e.load, LoadUpToDate, 1})
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := testEngine("a", 4, 5)
			r := quietRunner(e)
			r.metrics = newMetrics(prometheus.NewRegistry())
			r.handleReportEnd(start, reportEnd{engine: e, report: Report{Versions: map[string]uint64{"m": 4}}})
			is.Equal(e.versions["m"], uint64(4))
			correct(r, e, start.Add(time.Second))
			is.Equal(e.versions["m"], uint64(5))
			is.Equal(e.load, nil)
		})
	}
}

// The answer "accepted" may be that to an earlier order, and an order without an answer may be
// lost. An engine that finishes its runs first would get no new ones until the load has timed
// out, 20 s later.
func TestLoadEndsIfTheEngineHasNotAcceptedItsOrder(t *testing.T) {
	answered := start.Add(100 * time.Millisecond)
	for _, c := range []struct {
		name      string
		requested time.Time
		report    Report
		ended     bool
	}{
		{"not accepted", answered.Add(reportMaxAge), Report{Orders: 4}, true},
		{"accepted", answered.Add(reportMaxAge), Report{Orders: 5}, false},
		{"busy", answered.Add(reportMaxAge), Report{Orders: 4, Busy: true}, false},
		{"as of the time before the answer", answered.Add(reportMaxAge - 1), Report{Orders: 4}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e := testEngine("a", 4, 4)
			e.load = &load{model: "m", version: 5, orderedAt: start, drainsRuns: true}
			r := quietRunner(e)
			r.metrics = newMetrics(prometheus.NewRegistry())
			r.handleOrderEnd(answered, orderEnd{e, e.load, LoadAccepted, 4})
			r.handleReportEnd(c.requested.Add(time.Millisecond), reportEnd{engine: e, requestedAt: c.requested, report: c.report})
			is.Equal(e.load == nil, c.ended)
		})
	}
}

func TestUnansweredOrderIsNotTakenForAFinishedLoad(t *testing.T) {
	is := is.New(t)
	e := testEngine("a", 4, 5)
	e.load = &load{model: "m", version: 5, orderedAt: start} // the order has no answer yet
	quietRunner(e).finishLoad(start, e)
	is.True(e.load != nil)
}

// Guards against a late step without a log line or metric that shows it.
func TestJobReportsWhenTheWantedGroupsAreComplete(t *testing.T) {
	is := is.New(t)
	j := testJob("k", start, 2, []int{900, 800}, []int{3000}, []int{1000})
	is.True(!j.markRecorded(j.tasks["k-0-0"]))
	is.True(!j.markRecorded(j.tasks["k-1-0"])) // one complete group
	is.True(j.markRecorded(j.tasks["k-0-1"]))  // two
	is.True(!j.markRecorded(j.tasks["k-2-0"]))
	is.Equal(len(j.tasks), 0)
}

func TestEngineEndsRunsOfOneVersionBeforeALoad(t *testing.T) {
	is := is.New(t)
	e := testEngine("a", 4, 4)
	j := testJob("k", start, 1, []int{600})
	r := quietRunner(e)
	r.jobs = []*job{j}
	task := j.tasks["k-0-0"]
	task.state, task.engine = taskRunning, "a"
	is.True(!r.runsSingleVersion(e, "m"))
	j.sub.SingleVersion = true
	is.True(r.runsSingleVersion(e, "m"))
	is.True(!r.runsSingleVersion(e, "other"))
	is.True(!r.runsSingleVersion(testEngine("b", 4, 4), "m"))
	e.load = &load{model: "m", version: 5, orderedAt: start, accepted: true, drainsRuns: true}
	r.finishLoad(start.Add(5*time.Second), e)
	is.True(e.load != nil) // its runs may take that long
}

// A text waits for an engine with its version while the engines load newer ones.
func TestTextStartsAgainWhenNoEngineHasItsVersion(t *testing.T) {
	is := is.New(t)
	e := testEngine("a", 4, 5)
	j := testJob("k", start, 1, []int{600})
	j.sub.SingleVersion = true
	task := j.tasks["k-0-0"]
	task.text = text{Text: carrier.Text{Events: 1, Versions: []uint64{4}}}
	other := testEngine("b", 4, 4)
	task.text.Software = testSoftware
	r := quietRunner(e, other)
	r.metrics = newMetrics(prometheus.NewRegistry())
	r.dropUnservableText(task)
	is.Equal(task.text.length(), 1) // one engine can still continue it
	other.versions["m"] = 5
	r.dropUnservableText(task)
	is.Equal(task.text.length(), 0)
	is.True(e.canServe(task))
}

// orderProtocol answers reports and records the orders sent.
type orderProtocol struct {
	Protocol
	sent []LoadOrder
}

func (*orderProtocol) Report(context.Context, upstream.Address) (Report, error) {
	return Report{Orders: 4}, nil
}

func (p *orderProtocol) Load(_ context.Context, _ upstream.Address, o LoadOrder) LoadAnswer {
	p.sent = append(p.sent, o)
	return LoadAccepted
}

// answeringProtocol answers orders in turn with answers, and calls ordered at each.
type answeringProtocol struct {
	orderProtocol
	answers []LoadAnswer
	ordered func()
}

func (p *answeringProtocol) Load(ctx context.Context, to upstream.Address, o LoadOrder) LoadAnswer {
	p.orderProtocol.Load(ctx, to, o)
	p.ordered()
	return p.answers[len(p.sent)-1]
}

// An answer that may be a second copy of an earlier one must neither end the duty of this
// process nor show that an engine has a version.
func TestOrderIsRepeatedIfItsAnswerMayBeThatToAnEarlierCall(t *testing.T) {
	for _, c := range []struct {
		name    string
		answers []LoadAnswer
		term    uint64 // after the first answer
		answer  LoadAnswer
		sent    int
	}{
		{"certain", []LoadAnswer{LoadSuperseded}, 3, LoadSuperseded, 1},
		{"superseded", []LoadAnswer{LoadUnconfirmed, LoadSuperseded}, 3, LoadSuperseded, 2},
		{"up to date", []LoadAnswer{LoadUnconfirmed, LoadUpToDate}, 3, LoadUpToDate, 2},
		{"accepted now", []LoadAnswer{LoadUnconfirmed, LoadAccepted}, 3, LoadAccepted, 2},
		{"accepted before", []LoadAnswer{LoadUnconfirmed, LoadBusy}, 3, LoadUnknown, 2},
		{"no answer", []LoadAnswer{LoadUnconfirmed, LoadUnknown}, 3, LoadUnknown, 2},
		{"no longer leads", []LoadAnswer{LoadUnconfirmed}, 4, LoadUnknown, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			term := uint64(3)
			p := &answeringProtocol{answers: c.answers, ordered: func() { term = c.term }}
			r := quietRunner()
			r.o.Protocol = p
			r.o.Leads = func(context.Context) (uint64, error) { return term, nil }
			answer, _ := r.orderLoad(context.Background(), upstream.Address{}, LoadOrder{Fence: 3})
			is.Equal(answer, c.answer)
			is.Equal(len(p.sent), c.sent)
			for i, o := range p.sent {
				is.Equal(o.Confirm, i > 0)
				is.Equal(o.Orders, uint64(4)) // the engine accepts one of them at most
			}
		})
	}
}

// A leader is suspended while it waits for an engine's report. When it goes on, another one
// has sent orders with a higher fencing token.
func TestOrderIsNotSentAfterTheLeadershipHasEnded(t *testing.T) {
	for _, c := range []struct {
		name   string
		term   uint64
		err    error
		answer LoadAnswer
		sent   int
	}{
		{"leads", 3, nil, LoadAccepted, 1},
		{"does not lead", 0, errors.New("no leader is known"), LoadNotSent, 0},
		{"leads again in a newer term", 5, nil, LoadNotSent, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := &orderProtocol{}
			r := quietRunner()
			r.o.Protocol = p
			r.o.Leads = func(context.Context) (uint64, error) { return c.term, c.err }
			answer, orders := r.orderLoad(context.Background(), upstream.Address{}, LoadOrder{Fence: 3})
			is.Equal(answer, c.answer)
			is.Equal(orders, uint64(4))
			is.Equal(len(p.sent), c.sent)
			for _, o := range p.sent {
				is.Equal(o.Orders, uint64(4))
			}
		})
	}
}

// Guards against runs that are begun by a list in which an engine has been leaving for long.
func TestNothingIsBegunByAnOldList(t *testing.T) {
	is := is.New(t)
	r := quietRunner(testEngine("a", 4, 1))
	r.o.Directory, r.o.Submissions = directory.New(), ledger.NewSubmissions()
	r.o.Directory.SetMaxAge(time.Second)
	r.o.Directory.Replace(start, nil)
	j := testJob("k", start, 1, []int{600})
	r.queue = *pending(j)
	r.startPending(start.Add(time.Second + 1))
	is.Equal(j.order[0].group.engine, "") // nothing was planned
	r.startPending(start.Add(time.Second))
	is.Equal(j.order[0].group.engine, "a")
}
