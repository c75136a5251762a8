package locality

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"merlinhall/directory"
	"merlinhall/wire"
)

// Guards against a leader of an earlier version, or one that is not reached, that stops a process
// from choosing, against answers that are used in the wrong term, and against a line for each
// request.
func TestKeeperWithAndWithoutALeader(t *testing.T) {
	is := is.New(t)
	log, lines := test.NewNullLogger()
	now := time.Minute
	d := directory.New()
	d.Replace(time.Now(), []wire.TargetEntry{{ID: "t1", Service: "s", Zone: "a", Slots: 6}, {ID: "t2", Service: "s", Zone: "b", Slots: 60}})
	k := NewKeeper(Options{Process: "p", Zone: "a", Directory: d, Costs: testCosts, Log: logrus.NewEntry(log), Clock: func() time.Duration { return now }})
	is.Equal(k.reportOnce(context.Background()), minInterval) // nothing to report, nobody to ask
	load := func(n int) (left int) {
		for range n {
			now += 2 * time.Millisecond // 500 a second; 6 places run 240
			k.Arrived("s", 75*time.Millisecond)
			zone := k.Pick("s", []string{"a", "b"}, false)
			target := d.View().Ready("s")[0]
			if zone == "b" {
				left++
				target = d.View().Ready("s")[1]
			}
			k.Sent(target)
			k.Ended(target, 25*time.Millisecond, Answered, 1000)
		}
		return left
	}
	k.Follow(func(context.Context, *Report, *Answers) error { return errors.New("no method") })
	is.Equal(load(400), 0)
	k.reportOnce(context.Background())
	is.Equal(k.Explain("s", []string{"a", "b"}).Source, FromSelf)
	leads := uint64(1)
	k.Follow(func(_ context.Context, in *Report, out *Answers) error {
		// Each response kept a place for 25 ms, and zone a has six.
		for i := range in.Services[0].Zones {
			z := &in.Services[0].Zones[i]
			if z.Zone == "a" {
				z.Answered = min(z.Answered, 240)
			}
			z.Outstanding = z.Answered * 0.025
		}
		answers, ok := k.Handle(leads, in)
		if !ok {
			return errors.New("not the leader")
		}
		*out = *answers
		return nil
	})
	k.reportOnce(context.Background())
	is.Equal(k.Explain("s", nil).AgeMs, int64(-1)) // Lead has not said so yet
	k.Lead(true, 1)
	k.reportOnce(context.Background())
	load(600) // the leader learns
	k.reportOnce(context.Background())
	view := k.Explain("s", []string{"a", "b"})
	is.Equal(view.Source, FromLeader)
	is.True(view.Leave > 0.5 && view.Leave < 0.9)
	is.Equal(len(view.Inputs), 2)
	left := load(400)
	is.True(left > 200 && left < 360)
	k.Lead(false, 0)
	k.reportOnce(context.Background())
	is.Equal(k.Explain("s", nil).Source, FromLeader) // the last shares stay in force
	now += ShareTime
	is.Equal(k.Explain("s", nil).Source, FromSelf)
	is.True(len(lines.AllEntries()) > 0 && len(lines.AllEntries()) < 10)
}
