package ledger

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/wire"
)

// testLog applies commands to a slice with increasing log indexes.
type testLog struct {
	t     *testing.T
	slice *Submissions
	index uint64
}

func newTestLog(t *testing.T) *testLog { return &testLog{t: t, slice: NewSubmissions()} }

func (l *testLog) apply(body []byte, err error) error {
	l.t.Helper()
	if err != nil {
		l.t.Fatal(err)
	}
	l.index++
	failure, _ := l.slice.Apply(l.index, 1, body).(error)
	return failure
}

func submission(id string, items int) *Submission {
	s := &Submission{ID: id, Model: "m"}
	for i := range items {
		s.Items = append(s.Items, Item{ID: fmt.Sprintf("%s-%d", id, i), Body: []byte{byte(i)}})
	}
	return s
}

func texts(t *testing.T, s *Submissions, id string) []string {
	t.Helper()
	page, _, _ := s.Page(id, 0, 1<<20)
	var out []string
	for _, r := range page.Results {
		text, err := Text(r.Parts)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, r.Item+"="+string(text))
	}
	return out
}

func TestResultsKeepTheirPositionAndContent(t *testing.T) {
	is := is.New(t)
	l := newTestLog(t)
	is.NoErr(l.apply(AcceptCommand(submission("s", 3))))
	is.NoErr(l.apply(RecordCommand("s", Result{Item: "s-1", Parts: [][]byte{Pack([]byte("one"))}})))
	is.NoErr(l.apply(RecordCommand("s", Result{Item: "s-1", Parts: [][]byte{Pack([]byte("again"))}}))) // duplicate
	is.NoErr(l.apply(RecordCommand("s", Result{Item: "foreign"})))
	is.NoErr(l.apply(RecordCommand("s", Result{Item: "s-0", Failed: true})))
	is.NoErr(l.apply(AcceptCommand(submission("s", 3)))) // duplicate
	is.Equal(texts(t, l.slice, "s"), []string{"s-1=one", "s-0="})
	page, changed, found := l.slice.Page("s", 1, 1<<20)
	is.True(found && changed != nil)
	is.Equal(page.Next, 2)
	is.Equal(page.Total, 3)
	_, _, found = l.slice.Page("other", 0, 1)
	is.True(!found)
}

func TestBodiesAreGivenUntilAResultOrTheEnd(t *testing.T) {
	is := is.New(t)
	l := newTestLog(t)
	is.NoErr(l.apply(AcceptCommand(submission("s", 3))))
	body, found, _ := l.slice.Body("s", "s-2")
	is.True(found)
	is.Equal(body, []byte{2})
	is.NoErr(l.apply(RecordCommand("s", Result{Item: "s-2"})))
	_, found, known := l.slice.Body("s", "s-2")
	is.True(!found && known)
	is.NoErr(l.apply(EndCommand("s")))
	_, found, known = l.slice.Body("s", "s-0")
	is.True(!found && known)
	is.NoErr(l.apply(RecordCommand("s", Result{Item: "s-0"}))) // late result of a run that was in progress
	is.Equal(len(texts(t, l.slice, "s")), 1)
	is.Equal(len(l.slice.Open()), 0)
}

func TestResultContinuesThePartialText(t *testing.T) {
	is := is.New(t)
	l := newTestLog(t)
	is.NoErr(l.apply(AcceptCommand(submission("s", 2))))
	part := func(from int, text string, events int) []byte {
		b, err := ProgressCommand("s", []Progress{{Item: "s-0", EventsBefore: from, Events: events, Parts: [][]byte{Pack([]byte(text))}, Versions: []uint64{3}}})
		is.NoErr(err)
		return b
	}
	is.NoErr(l.apply(part(0, "a\nb", 2), nil))
	is.NoErr(l.apply(part(2, "c", 1), nil))
	is.NoErr(l.apply(part(7, "out of place", 1), nil))
	p, ok := l.slice.Partial("s-0")
	is.True(ok)
	is.Equal(p.Events, 3)
	result := Result{Item: "s-0", PartialEvents: 2, Parts: [][]byte{Pack([]byte("x"))}, Versions: []uint64{3}}
	is.True(errors.Is(l.apply(RecordCommand("s", result)), ErrTextMissing)) // a leader with an older state
	result.PartialEvents = 3
	is.NoErr(l.apply(RecordCommand("s", result)))
	is.Equal(texts(t, l.slice, "s"), []string{"s-0=a\nb\nc\nx"})
	_, ok = l.slice.Partial("s-0")
	is.True(!ok)
}

// Guards against a snapshot that lacks state: two replicas apply the same random commands,
// and one of them is restored from snapshots in between.
func TestReplicaRestoredFromASnapshotStaysIdentical(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	a, b := newTestLog(t), newTestLog(t)
	for i := range 400 {
		sub := fmt.Sprint("s", rng.IntN(5))
		item := fmt.Sprintf("%s-%d", sub, rng.IntN(6))
		var body []byte
		var err error
		switch rng.IntN(6) {
		case 0:
			body, err = AcceptCommand(submission(sub, 6))
		case 1, 2:
			body, err = RecordCommand(sub, Result{Item: item, PartialEvents: rng.IntN(3), Parts: [][]byte{Pack([]byte(item))}})
		case 3, 4:
			body, err = ProgressCommand(sub, []Progress{{Item: item, EventsBefore: rng.IntN(3), Events: 1, Parts: [][]byte{Pack([]byte("p"))}}})
		default:
			body, err = EndCommand(sub)
			if rng.IntN(3) == 0 {
				body, err = ForgetCommand([]string{sub})
			}
		}
		first, second := a.apply(body, err), b.apply(body, err)
		is.Equal(first == nil, second == nil)
		if i%37 == 0 {
			snapshot, err := b.slice.Snapshot()
			is.NoErr(err)
			b.slice = NewSubmissions()
			is.NoErr(b.slice.Restore(snapshot))
		}
		for s := range 5 {
			id := fmt.Sprint("s", s)
			is.Equal(texts(t, a.slice, id), texts(t, b.slice, id))
		}
		x, err := a.slice.Snapshot()
		is.NoErr(err)
		y, err := b.slice.Snapshot()
		is.NoErr(err)
		is.True(bytes.Equal(x, y))
	}
}

func TestReadersAreWokenByResults(t *testing.T) {
	is := is.New(t)
	l := newTestLog(t)
	is.NoErr(l.apply(AcceptCommand(submission("s", 1))))
	_, changed, _ := l.slice.Page("s", 0, 1<<20)
	is.NoErr(l.apply(RecordCommand("s", Result{Item: "s-0"})))
	select {
	case <-changed:
	case <-time.After(time.Second):
		t.Fatal("the reader was not notified of the result")
	}
	_, changed, _ = l.slice.Page("s", 1, 1<<20)
	is.True(changed == nil) // nothing more can come
}

func TestPagesAreBoundedButNeverEmpty(t *testing.T) {
	is := is.New(t)
	l := newTestLog(t)
	is.NoErr(l.apply(AcceptCommand(submission("s", 3))))
	for i := range 3 {
		is.NoErr(l.apply(RecordCommand("s", Result{Item: fmt.Sprint("s-", i), Parts: [][]byte{make([]byte, 1000)}})))
	}
	page, _, _ := l.slice.Page("s", 0, 10)
	is.Equal(page.Next, 1)
	page, _, _ = l.slice.Page("s", 1, 10)
	is.Equal(page.Next, 2)
}

// A save whose outcome is unknown commits late, when the item has begun again and has the
// same number of events: parts of different texts are never joined.
func TestPartsOfDifferentTextsAreNotJoined(t *testing.T) {
	is := is.New(t)
	l := newTestLog(t)
	is.NoErr(l.apply(AcceptCommand(submission("s", 1))))
	save := func(lineage uint64, before int, text string) {
		is.NoErr(l.apply(ProgressCommand("s", []Progress{{Item: "s-0", Lineage: lineage, EventsBefore: before, Events: 1, Parts: [][]byte{Pack([]byte(text))}}})))
	}
	save(1, 0, "first")
	save(2, 1, "of another text")
	p, _ := l.slice.Partial("s-0")
	is.Equal(p.Events, 1)
	result := Result{Item: "s-0", PartialEvents: 1, Lineage: 2, Parts: [][]byte{Pack([]byte("rest"))}}
	var missing *MissingTextError
	is.True(errors.As(l.apply(RecordCommand("s", result)), &missing))
	is.Equal(missing.Items, []string{"s-0"})
	result.Lineage = 1
	is.NoErr(l.apply(RecordCommand("s", result)))
	is.Equal(texts(t, l.slice, "s"), []string{"s-0=first\nrest"})
}

// One entry of the log has results of many items; one that can't be recorded stops no other.
func TestAdditionsToSeveralSubmissions(t *testing.T) {
	is := is.New(t)
	l := newTestLog(t)
	is.NoErr(l.apply(AcceptCommand(submission("a", 2))))
	is.NoErr(l.apply(AcceptCommand(submission("b", 1))))
	text := [][]byte{Pack([]byte("x"))}
	err := l.apply(AddCommand([]Addition{
		{Submission: "a", Results: []Result{{Item: "a-0", Parts: text}, {Item: "a-1", PartialEvents: 3, Parts: text}}},
		{Submission: "unknown", Results: []Result{{Item: "c"}}},
		{Submission: "b", Results: []Result{{Item: "b-0", Parts: text}}},
	}))
	is.True(errors.Is(err, ErrTextMissing))
	is.Equal(texts(t, l.slice, "a"), []string{"a-0=x"})
	is.Equal(texts(t, l.slice, "b"), []string{"b-0=x"})
}

// A log that was written before additions to several submissions can be read.
func TestCommandsOfEarlierVersionsAreApplied(t *testing.T) {
	is := is.New(t)
	l := newTestLog(t)
	is.NoErr(l.apply(AcceptCommand(submission("s", 1))))
	is.NoErr(l.apply(wire.Marshal(&submissionsCommand{ForSubmission: "s", Results: []Result{{Item: "s-0", Parts: [][]byte{Pack([]byte("x"))}}}})))
	is.Equal(texts(t, l.slice, "s"), []string{"s-0=x"})
}
