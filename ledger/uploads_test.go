package ledger

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

type uploadCommands struct {
	t     *testing.T
	u     *Uploads
	index uint64
}

func (c *uploadCommands) apply(body []byte, err error) any {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
	c.index++
	return c.u.Apply(c.index, 1, body)
}

func (c *uploadCommands) part(upload string, index int, items ...string) {
	c.t.Helper()
	p := &UploadPart{Upload: upload, Index: index, Bytes: 100}
	for _, id := range items {
		p.Items = append(p.Items, Item{ID: id, Group: "g", Body: []byte("body of " + id)})
	}
	if result := c.apply(UploadPartCommand(p)); result != nil {
		c.t.Fatal(result)
	}
}

func (c *uploadCommands) end(upload, submission string, parts int) error {
	c.t.Helper()
	err, _ := c.apply(UploadEndCommand(&UploadEnd{Upload: upload, Parts: parts, Submission: &Submission{ID: submission, Host: "h", WantedGroups: 1}})).(error)
	return err
}

func itemIDs(s *Submissions, id string) (ids []string) {
	for _, o := range s.Open() {
		if o.Submission.ID == id {
			for _, item := range o.Submission.Items {
				ids = append(ids, item.ID)
			}
		}
	}
	return ids
}

// Guards against a submission that is accepted without some of its items, in another order or
// twice, whatever becomes of its parts on the way.
func TestUploadIsAcceptedWholeOrNotAtAll(t *testing.T) {
	is := is.New(t)
	s := NewSubmissions()
	var accepted []string
	s.OnChange(func(c SubmissionChange) {
		if c.Accepted != nil {
			accepted = append(accepted, c.Accepted.ID)
		}
	})
	c := &uploadCommands{t: t, u: NewUploads(s)}
	is.True(c.u.Unused())
	c.part("u", 1, "c", "d")
	is.Equal(c.u.Next("u"), 0)
	is.Equal(c.u.Next("none"), 0)
	is.True(errors.Is(c.end("u", "s", 2), ErrUploadIncomplete))
	is.True(errors.Is(c.end("none", "s", 0), ErrUploadIncomplete))
	is.Equal(len(accepted), 0)
	c.part("v", 0, "x") // of the same submission by another entry
	c.part("u", 0, "a", "b")
	c.part("u", 0, "a", "b") // repeated
	is.Equal(c.u.Next("u"), 2)
	is.True(errors.Is(c.end("u", "s", 3), ErrUploadIncomplete))
	is.NoErr(c.end("u", "s", 2))
	is.Equal(itemIDs(s, "s"), []string{"a", "b", "c", "d"})
	is.NoErr(c.end("u", "s", 2)) // repeated
	is.NoErr(c.end("v", "s", 1))
	is.Equal(accepted, []string{"s"})
	is.Equal(itemIDs(s, "s"), []string{"a", "b", "c", "d"})
	body, found, _ := s.Body("s", "c")
	is.True(found)
	is.Equal(string(body), "body of c")
	begun, others := c.u.Reserved("u")
	is.True(!begun)
	is.Equal(others, 0)
	is.True(c.apply([]byte{0xff}, nil) != nil)
}

// Guards against an upload that a snapshot or another leader loses, and against parts that are kept
// for ever.
func TestUploadOutlivesASnapshotUntilItIsDropped(t *testing.T) {
	is := is.New(t)
	before := &uploadCommands{t: t, u: NewUploads(NewSubmissions())}
	before.part("u", 0, "a")
	before.part("u", 1, "b")
	before.part("w", 0, "z")
	snapshot, err := before.u.Snapshot()
	is.NoErr(err)
	submissions := NewSubmissions()
	after := &uploadCommands{t: t, u: NewUploads(submissions)}
	is.NoErr(after.u.Restore(snapshot))
	again, err := after.u.Snapshot()
	is.NoErr(err)
	is.Equal(again, snapshot)
	for _, u := range []*Uploads{before.u, after.u} {
		begun, others := u.Reserved("u")
		is.True(begun)
		is.Equal(others, 100)
		begun, others = u.Reserved("x")
		is.True(!begun)
		is.Equal(others, 200)
	}
	is.Equal(after.u.Idle(time.Now(), time.Minute), nil)
	is.Equal(after.u.Idle(time.Now().Add(time.Minute), time.Minute), []string{"u", "w"})
	is.Equal(after.apply(UploadDropCommand([]string{"w"})), nil)
	after.part("u", 2, "c")
	is.NoErr(after.end("u", "s", 3))
	is.Equal(itemIDs(submissions, "s"), []string{"a", "b", "c"})
	is.True(errors.Is(after.end("w", "t", 1), ErrUploadIncomplete))
	begun, others := after.u.Reserved("w")
	is.True(!begun)
	is.Equal(others, 0)
}

// Guards against an item that passes the check of its size and does not fit into its command.
func TestItemIsNoLargerThanItsSize(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{0, 23, 24, 255, 256, 65535, 65536, 1 << 20} {
		text := string(make([]byte, n))
		item := Item{ID: "i", Path: "/p", Body: []byte(text), Tokens: 1 << 60, Group: text, Length: 1 << 60, Reward: &Reward{ID: "r", Host: "h", Path: text, Body: []byte(text)}}
		body, err := UploadPartCommand(&UploadPart{Items: []Item{item}})
		is.NoErr(err)
		is.True(len(body) <= item.Size())
	}
}
