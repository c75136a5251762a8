package hub

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"merlinhall/control"
	"merlinhall/ledger"
)

// heldModel is what submissions hold, by account.
type heldModel struct {
	mu    sync.Mutex
	held  map[string]int
	texts int // of results
}

func (m *heldModel) of(account string) ledger.Held {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := ledger.Held{Account: m.held[account]}
	for _, n := range m.held {
		out.Total += n
		out.Requests += n
	}
	out.Total += m.texts
	return out
}

func (m *heldModel) add(account string, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held[account] += n
}

func testRoom(limit int) (*room, *heldModel) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	m := &heldModel{held: make(map[string]int)}
	return newRoom(func() int { return limit }, m.of, func() (time.Time, bool) { return time.Time{}, false }, logrus.NewEntry(log)), m
}

// Guards against submissions that together take more than there is room for, also if they arrive at
// the same time, and against an account that leaves no room for another one.
func TestSubmissionsNeverHoldMoreThanTheLimit(t *testing.T) {
	is := is.New(t)
	const limit = 1 << 20
	r, m := testRoom(limit)
	var wg sync.WaitGroup
	for client := range 16 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rng := rand.New(rand.NewPCG(1, uint64(client)))
			account := fmt.Sprint(client % 3)
			for n := range 300 {
				in := &roomRequest{Submission: fmt.Sprint(client, "-", n), Account: account, Held: 1 + rng.IntN(limit/4), Bytes: rng.IntN(1000)}
				if r.reserve(context.Background(), in) == nil {
					m.add(account, in.Held)
					r.release(in.Submission)
				}
				if total := m.of("").Total; total > limit {
					t.Errorf("%d bytes are held, the limit is %d", total, limit)
				}
			}
		}()
	}
	wg.Wait()
	is.Equal(len(r.reserved), 0)
	is.NoErr(r.reserve(t.Context(), &roomRequest{Submission: "late", Account: "new", Held: 1000}))
}

// Guards against large submissions of one client that leave no room for the small ones of another
// with the same account.
func TestLargeSubmissionsLeaveRoomForSmallOnes(t *testing.T) {
	is := is.New(t)
	const limit = 1 << 20
	r, m := testRoom(limit)
	for n := range 1000 {
		in := &roomRequest{Submission: fmt.Sprint(n), Held: limit / 20}
		if r.reserve(t.Context(), in) == nil {
			m.add("", in.Held)
			r.release(in.Submission)
		}
	}
	is.NoErr(r.reserve(t.Context(), &roomRequest{Submission: "small", Held: limit / 100}))
}

// Guards against a client that is told to come again with what there is never room for, or that is
// not told when to come again.
func TestRefusalsSayWhetherToComeAgain(t *testing.T) {
	is := is.New(t)
	r, m := testRoom(1 << 20)
	expiry := time.Now().Add(20 * time.Second)
	r.nextExpiry = func() (time.Time, bool) { return expiry, true }
	var tooLarge *tooLargeError
	err := r.reserve(t.Context(), &roomRequest{Submission: "never", Held: 1 << 20})
	is.True(errors.As(err, &tooLarge))
	is.True(errors.Is(err, control.ErrRejected))
	is.NoErr(r.reserve(t.Context(), &roomRequest{Submission: "largest", Held: tooLarge.limit}))
	r.release("largest")
	m.add("", 1<<20)
	var full *control.FullError
	is.True(errors.As(r.reserve(t.Context(), &roomRequest{Submission: "later", Held: 1000}), &full))
	is.True(full.RetryAfter > 19*time.Second && full.RetryAfter <= 20*time.Second)
	expiry = time.Now().Add(time.Hour)
	is.True(errors.As(r.reserve(t.Context(), &roomRequest{Submission: "later", Held: 1000}), &full))
	is.Equal(full.RetryAfter, maxRetryAfter)
}

// Guards against many submissions that are on their way to the log at the same time, each with
// several copies, and against one that waits for a place that is free.
func TestSubmissionsOnTheirWayAreBounded(t *testing.T) {
	is := is.New(t)
	const limit = 1 << 20
	r, _ := testRoom(limit)
	is.NoErr(r.reserve(t.Context(), &roomRequest{Submission: "first", Held: 10, Bytes: limit})) // alone, so whatever its size
	is.NoErr(r.reserve(t.Context(), &roomRequest{Submission: "first", Held: 10, Bytes: limit})) // again
	var full *control.FullError
	is.True(errors.As(r.reserve(t.Context(), &roomRequest{Submission: "second", Held: 10, Bytes: 1}), &full))
	go func() {
		time.Sleep(20 * time.Millisecond)
		r.release("first")
	}()
	began := time.Now()
	is.NoErr(r.reserve(t.Context(), &roomRequest{Submission: "second", Held: 10, Bytes: 1}))
	is.True(time.Since(began) < transitWait)
	_, err := r.tryReserve(&roomRequest{Submission: "third", Held: 10, Bytes: limit}, time.Now().Add(2*reservationTime), true)
	is.NoErr(err) // the second never came
}

// Guards against a bound by the memory of a leader that has more than the process that follows it.
func TestRoomIsThatOfTheSmallestHost(t *testing.T) {
	is := is.New(t)
	memory := map[string]int64{"self": 154, "small": 130, "large": 300, "former version": 0, "gone": 10}
	is.Equal(smallestMemory(154, memory, nil), int64(154))
	is.Equal(smallestMemory(154, memory, []string{"large", "former version", "unknown"}), int64(154))
	is.Equal(smallestMemory(154, memory, []string{"large", "small"}), int64(130))
}

// Guards against ordinary steps that are refused while there is room, since the texts of earlier steps
// of the same account are large, and against submissions that take the room of these texts.
func TestTextsOfResultsCountForAllAccountsTogether(t *testing.T) {
	is := is.New(t)
	const limit = 1 << 20
	r, m := testRoom(limit)
	m.add("", limit/10)
	m.texts = limit * 8 / 10
	is.NoErr(r.reserve(t.Context(), &roomRequest{Submission: "step", Held: limit / 100}))
	r.release("step")
	var full *control.FullError
	is.True(errors.As(r.reserve(t.Context(), &roomRequest{Submission: "large", Held: limit / 10}), &full))
}
