package ledger

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// A host with little memory holds two minutes of results: encoding a snapshot must not
// need the memory for all of them again.
func TestSnapshotIsMadeOfSmallParts(t *testing.T) {
	is := is.New(t)
	log := newTestLog(t)
	const jobs, text = 40, 100 << 10
	for i := range jobs {
		id := fmt.Sprint("s", i)
		_ = log.apply(AcceptCommand(submission(id, 2)))
		_ = log.apply(RecordCommand(id, Result{Item: id + "-0", Parts: [][]byte{make([]byte, text)}}))
	}
	total, largest := 0, 0
	is.NoErr(log.slice.Freeze()(func(b []byte) error {
		total, largest = total+len(b), max(largest, len(b))
		return nil
	}))
	is.True(total > jobs*text)
	is.True(largest < 2*text)
}
