package actor

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an actor that handles messages out of order or concurrently, loses queued
// ones on Stop or accepts more afterwards.
func TestMessagesAreHandledInOrder(t *testing.T) {
	is := is.New(t)
	s := NewSystem()
	var got []int
	d := s.Start("order", 1000, HandlerFunc(func(m any) { got = append(got, m.(int)) }))
	for i := range 1000 {
		is.NoErr(d.Offer(i))
	}
	d.Stop()
	is.Equal(len(got), 1000)
	for i, v := range got {
		is.Equal(i, v)
	}
	is.Equal(d.Offer(1), ErrStopped)
}

// Guards against a full mailbox that blocks the sender or accepts more messages.
func TestFullMailboxIsReported(t *testing.T) {
	is := is.New(t)
	s := NewSystem()
	release := make(chan struct{})
	started := make(chan struct{})
	d := s.Start("full", 4, HandlerFunc(func(m any) {
		if m == "block" {
			close(started)
			<-release
		}
	}))
	is.NoErr(d.Offer("block"))
	<-started
	for range 4 {
		is.NoErr(d.Offer("x"))
	}
	is.Equal(d.Offer("x"), ErrFull)
	close(release)
	d.Stop()
}

// Guards against a reply that does not reach the caller, and against a second reply that
// blocks the actor.
func TestAsk(t *testing.T) {
	is := is.New(t)
	s := NewSystem()
	d := s.Start("ask", 4, HandlerFunc(func(m any) {
		c := m.(Call[int, string])
		c.Reply("answer")
		c.Reply("second answer")
	}))
	reply, err := Ask[int, string](d, 7)
	is.NoErr(err)
	select {
	case got := <-reply:
		is.Equal(got, "answer")
	case <-time.After(10 * time.Second):
		t.Fatal("no answer")
	}
	d.Stop()
}

// Guards against an alarm that is lost while the mailbox is full. Its actor would then not
// handle deadlines any more.
func TestAlarmSurvivesFullMailbox(t *testing.T) {
	is := is.New(t)
	s := NewSystem()
	release := make(chan struct{})
	started := make(chan struct{})
	fired := make(chan struct{})
	d := s.Start("alarm", 1, HandlerFunc(func(m any) {
		switch m {
		case "block":
			close(started)
			<-release
		case "ring":
			close(fired)
		}
	}))
	a := d.NewAlarm("ring")
	is.NoErr(d.Offer("block"))
	<-started
	is.NoErr(d.Offer("x"))
	a.fire() // the mailbox is full
	close(release)
	<-fired
	d.Stop()
}

// Guards against a later time that postpones an alarm.
func TestAlarmKeepsEarliestTime(t *testing.T) {
	is := is.New(t)
	s := NewSystem()
	d := s.Start("alarm", 1, HandlerFunc(func(any) {}))
	a := d.NewAlarm("ring")
	now := time.Now()
	a.ScheduleAt(now, now.Add(2*time.Hour))
	a.ScheduleAt(now, now.Add(time.Hour))
	a.ScheduleAt(now, now.Add(3*time.Hour))
	is.Equal(a.setFor, now.Add(time.Hour))
	a.Clear()
	a.ScheduleAt(now, now.Add(3*time.Hour))
	is.Equal(a.setFor, now.Add(3*time.Hour))
	d.Stop()
}
