package batch

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

func quietRunner(engines ...*engine) *Runner {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &Runner{log: logrus.NewEntry(log), engines: engines}
}

// Pattern: an engine takes a version while it goes on with its runs; its report
// tells so some hundred milliseconds later.
func TestRunShowsThatALoadHasEnded(t *testing.T) {
	is := is.New(t)
	e := testEngine("a", 4, 4)
	e.born = 7
	e.load = &load{model: "m", version: 5, since: start, taken: true}
	r := quietRunner(e)
	now := start.Add(loadExpected)
	r.seeVersion(now, versionSeen{e, 6, "m", 5}) // a run of the engine's former start
	is.True(e.load != nil)
	r.seeVersion(now, versionSeen{e, 7, "m", 3}) // of before the load
	is.True(e.load != nil)
	is.Equal(e.versions["m"], uint64(4))
	r.seeVersion(now, versionSeen{e, 7, "m", 5})
	is.Equal(e.load, nil)
	is.Equal(e.versions["m"], uint64(5))
}

func TestOrderThatWasNotAnsweredIsNotTakenForEnded(t *testing.T) {
	is := is.New(t)
	e := testEngine("a", 4, 5)
	e.load = &load{model: "m", version: 5, since: start} // its order is under way
	quietRunner(e).endLoad(start, e)
	is.True(e.load != nil)
}

type versionField struct{ Protocol }

func (versionField) VersionField() string { return "version" }

func TestReaderTellsOfEachChangeOfTheVersion(t *testing.T) {
	is := is.New(t)
	var seen []uint64
	r := &run{began: time.Now(), changed: func(v uint64) { seen = append(seen, v) }}
	reader := textReader{p: versionField{}, next: 1, version: 4, end: &runEnd{run: r}}
	is.NoErr(reader.read(strings.NewReader("id: 1\ndata: a\n\nversion: 5\nid: 2\ndata: b\n\nversion: 5\nid: 3\ndata: c\n\n")))
	is.Equal(seen, []uint64{5})
	_, versions := r.take()
	is.Equal(versions, []uint64{4, 5})
}

// Guards against a step that is late without a line or a figure that says so.
func TestJobKnowsWhenItsWaitIsOver(t *testing.T) {
	is := is.New(t)
	j := testJob("k", start, 2, []int{900, 800}, []int{3000}, []int{1000})
	is.True(!j.listed(j.tasks["k-0-0"]))
	is.True(!j.listed(j.tasks["k-1-0"])) // one whole group
	is.True(j.listed(j.tasks["k-0-1"]))  // two
	is.True(!j.listed(j.tasks["k-2-0"]))
	is.Equal(len(j.tasks), 0)
}
