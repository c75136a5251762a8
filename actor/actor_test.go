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
	a := s.Start("order", 1000, HandlerFunc(func(m any) { got = append(got, m.(int)) }))
	for i := range 1000 {
		is.NoErr(a.Offer(i))
	}
	a.Stop()
	is.Equal(len(got), 1000)
	for i, v := range got {
		is.Equal(i, v)
	}
	is.Equal(a.Offer(1), ErrStopped)
}

// Guards against a full mailbox that blocks the sender or accepts more messages.
func TestFullMailboxIsReported(t *testing.T) {
	is := is.New(t)
	s := NewSystem()
	release := make(chan struct{})
	started := make(chan struct{})
	a := s.Start("full", 4, HandlerFunc(func(m any) {
		if m == "block" {
			close(started)
			<-release
		}
	}))
	is.NoErr(a.Offer("block"))
	<-started
	for range 4 {
		is.NoErr(a.Offer("x"))
	}
	is.Equal(a.Offer("x"), ErrFull)
	close(release)
	a.Stop()
}

// Guards against a reply that does not reach the caller, and against a second reply that
// blocks the actor.
func TestAsk(t *testing.T) {
	is := is.New(t)
	s := NewSystem()
	a := s.Start("ask", 4, HandlerFunc(func(m any) {
		c := m.(Call[int, string])
		c.Reply("answer")
		c.Reply("second answer")
	}))
	reply, err := Ask[int, string](a, 7)
	is.NoErr(err)
	select {
	case got := <-reply:
		is.Equal(got, "answer")
	case <-time.After(10 * time.Second):
		t.Fatal("no answer")
	}
	a.Stop()
}

// Guards against an alarm that is lost while the mailbox is full. Its actor would then not
// handle deadlines any more.
func TestAlarmSurvivesFullMailbox(t *testing.T) {
	is := is.New(t)
	s := NewSystem()
	release := make(chan struct{})
	started := make(chan struct{})
	fired := make(chan struct{})
	a := s.Start("alarm", 1, HandlerFunc(func(m any) {
		switch m {
		case "block":
			close(started)
			<-release
		case "ring":
			close(fired)
		}
	}))
	alarm := a.NewAlarm("ring")
	is.NoErr(a.Offer("block"))
	<-started
	is.NoErr(a.Offer("x"))
	alarm.fire() // the mailbox is full
	close(release)
	<-fired
	a.Stop()
}

// Guards against a later time that postpones an alarm.
func TestAlarmKeepsEarliestTime(t *testing.T) {
	is := is.New(t)
	s := NewSystem()
	a := s.Start("alarm", 1, HandlerFunc(func(any) {}))
	alarm := a.NewAlarm("ring")
	now := time.Now()
	alarm.ScheduleAt(now, now.Add(2*time.Hour))
	alarm.ScheduleAt(now, now.Add(time.Hour))
	alarm.ScheduleAt(now, now.Add(3*time.Hour))
	is.Equal(alarm.setFor, now.Add(time.Hour))
	alarm.Clear()
	alarm.ScheduleAt(now, now.Add(3*time.Hour))
	is.Equal(alarm.setFor, now.Add(3*time.Hour))
	a.Stop()
}
