package propagate

import (
	"context"
	"testing"

	"github.com/matryer/is"
)

// The leader freezes while calls wait for it. They must end as soon as the next one is
// known, and only then.
func TestCallsToAFormerLeaderEnd(t *testing.T) {
	is := is.New(t)
	l := &Leader{}
	l.Set("a")
	toLeader, stop := l.UntilOther(context.Background(), "a")
	defer stop()
	toNext, stopNext := l.UntilOther(context.Background(), "b") // known to its caller already
	defer stopNext()
	l.Set("a")
	is.NoErr(toLeader.Err())
	l.Set("b")
	<-toLeader.Done()
	is.NoErr(toNext.Err())
	l.Set("")
	<-toNext.Done()
}
