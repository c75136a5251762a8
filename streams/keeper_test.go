package streams

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"merlinhall/ledger"
	"merlinhall/upstream"
	"merlinhall/wire"
)

func quiet() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

var v1 = wire.Software{Service: "s", Version: "v1"}

// Guards against one message for each stream: what begins while the leader is asked goes into
// the next one.
func TestStreamsThatBeginTogetherAreToldTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		asks := 0
		k := NewKeeper(Options{Log: quiet()})
		k.Follow(func(_ context.Context, in *Ask, out *Answers) error {
			asks++
			time.Sleep(20 * time.Millisecond)
			out.Recorded = true
			return nil
		})
		ctx, cancel := context.WithCancel(t.Context())
		go k.Run(ctx)
		var openings []*Opening
		for n := range 100 {
			o := k.Open(Key{byte(n)})
			o.Sent(v1)
			openings = append(openings, o)
			time.Sleep(time.Millisecond / 2)
		}
		for _, o := range openings {
			is.True(o.Deliver(ctx))
		}
		is.True(asks <= 4)
		is.Equal(len(k.untold), 0)
		cancel()
	})
}

// Guards against a leader whose time is used up by the messages of hundreds of processes at full
// rate, and against one process that waits for others that do not tell.
func TestLeaderSpacesTheTellingsOfManyProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const processes, streamsEach, limit = 300, 60, 2000
		records := ledger.NewStreams()
		l := NewLeader(LeaderOptions{Ledger: records, MemoryBytes: 1 << 30, Log: quiet(), Propose: func(_ context.Context, body []byte) error {
			time.Sleep(15 * time.Millisecond)
			_ = records.Apply(1, 1, body)
			return nil
		}})
		var asks atomic.Int32
		ctx, cancel := context.WithCancel(t.Context())
		var all sync.WaitGroup
		for p := range processes {
			k := NewKeeper(Options{Process: fmt.Sprint(p), Log: quiet()})
			k.Follow(func(ctx context.Context, in *Ask, out *Answers) error {
				asks.Add(1)
				*out = *l.Handle(ctx, in)
				return nil
			})
			go k.Run(ctx)
			all.Go(func() {
				for n := range streamsEach {
					k.Open(Key{byte(n), byte(p), byte(p >> 8)}).Sent(v1)
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
		began := time.Now()
		all.Wait()
		took := time.Since(began)
		is.True(float64(asks.Load()) < limit*took.Seconds()+2*processes)
		time.Sleep(maxInterval)
		current, _ := records.Counts()
		is.Equal(current, processes*streamsEach)
		time.Sleep(2 * tellingMemory)
		is.Equal(l.interval(time.Now(), "alone"), intervalPerProcess)
		cancel()
	})
}

// Guards against events that are held for longer than callers bear because no leader answers,
// and against streams that are never told.
func TestStreamsBeginWithoutALeaderAndAreToldLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var told atomic.Int32
		var answers atomic.Bool
		k := NewKeeper(Options{Log: quiet()})
		k.Follow(func(ctx context.Context, in *Ask, out *Answers) error {
			if !answers.Load() {
				<-ctx.Done()
				return errors.New("no leader")
			}
			told.Add(int32(len(in.Begun)))
			out.Recorded = true
			return nil
		})
		ctx, cancel := context.WithCancel(t.Context())
		go k.Run(ctx)
		began := time.Now()
		o := k.Open(Key{1})
		o.Sent(v1)
		is.True(o.Deliver(ctx))
		is.True(time.Since(began) <= recordLimit)
		time.Sleep(tellTimeout - recordLimit + 50*time.Millisecond) // now it is known that nobody answers
		began = time.Now()
		o = k.Open(Key{2})
		o.Sent(v1)
		is.True(o.Deliver(ctx))
		is.Equal(time.Since(began), time.Duration(0))
		answers.Store(true)
		time.Sleep(2 * time.Second)
		is.Equal(told.Load(), int32(2))
		cancel()
	})
}

// Guards against processes that run out of memory under callers that begin streams without end
// while no leader answers.
func TestUntoldStreamsAreBounded(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	k := NewKeeper(Options{Log: quiet(), Clock: func() time.Duration { return now }})
	k.Follow(func(context.Context, *Ask, *Answers) error { return errors.New("no leader") })
	for n := range 3 * maxOwn {
		key := Key{byte(n), byte(n >> 8), byte(n >> 16)}
		k.Open(key).Sent(v1)
		k.delivered(key, v1)
	}
	is.Equal(len(k.untold), maxUntold)
	is.True(len(k.own.current)+len(k.own.former) <= 2*maxOwn)
	now += ownLifetime + time.Second
	begun, _ := k.nextTelling()
	is.Equal(len(begun), 0) // nobody takes them up any more
	is.Equal(len(k.untold), 0)
	now += ownLifetime + time.Second
	_, known := k.own.find(now, Key{1})
	is.True(!known)
}

// Guards against streams that are recorded beyond the memory for them, and against recorded ones
// that are dropped for new ones.
func TestLeaderRefusesWhatItHasNoMemoryFor(t *testing.T) {
	is := is.New(t)
	records := ledger.NewStreams()
	l := NewLeader(LeaderOptions{Ledger: records, MemoryBytes: 10 * recordBytes, Log: quiet(), Propose: func(_ context.Context, body []byte) error {
		_ = records.Apply(1, 1, body)
		return nil
	}})
	for n := range 12 {
		key := Key{byte(n)}
		out := l.Handle(t.Context(), &Ask{Begun: []ledger.StreamBeginning{{Key: key[:], Software: v1, Try: 1}}})
		is.Equal(out.Recorded, n < 10)
	}
	first := Key{}
	out := l.Handle(t.Context(), &Ask{Keys: [][]byte{first[:], []byte("short")}})
	is.Equal(out.Found, []wire.Software{v1, {}})
}

// Guards against records that are dropped while callers may still come back, by a leader that
// has just begun or that has led for long.
func TestRecordsAreKeptForTheLifetimeOfStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		records := ledger.NewStreams()
		l := NewLeader(LeaderOptions{
			Ledger: records, MemoryBytes: 1 << 20, Log: quiet(), LongestLimit: func() time.Duration { return 20 * time.Second },
			Propose: func(_ context.Context, body []byte) error { _ = records.Apply(1, 1, body); return nil },
		})
		ctx, cancel := context.WithCancel(t.Context())
		go l.Run(ctx)
		l.Lead(true, 1)
		for n := range 200 {
			key := Key{byte(n)}
			l.Handle(ctx, &Ask{Begun: []ledger.StreamBeginning{{Key: key[:], Software: v1, Try: 1}}})
			time.Sleep(time.Second)
			for past := range min(n, 59) {
				old := ledger.StreamKey{byte(n - past)}
				_, ok := records.Find(old)
				is.True(ok)
			}
			if n == 100 {
				l.Lead(false, 1)
				l.Lead(true, 3)
			}
		}
		current, former := records.Counts()
		is.True(current+former <= 3*60+2) // two lifetimes, and one of the new leader
		cancel()
	})
}

// Guards against requests of different callers or contents that share a key.
func TestKeyTellsCallersAndContentsApart(t *testing.T) {
	is := is.New(t)
	r := upstream.Request{Method: "POST", Host: "h", URI: "/a", Body: []byte("b")}
	keys := map[Key]bool{KeyOf("id", &r, ""): true}
	for _, change := range []func(r *upstream.Request){
		func(r *upstream.Request) { r.Method = "PUT" }, func(r *upstream.Request) { r.Host = "ho" }, func(r *upstream.Request) { r.URI = "/ab" },
		func(r *upstream.Request) { r.Body = []byte("bc") }, func(r *upstream.Request) { r.Host, r.URI = "h/", "a" },
	} {
		other := r
		change(&other)
		keys[KeyOf("id", &other, "")] = true
	}
	keys[KeyOf("id2", &r, "")] = true
	keys[KeyOf("id", &r, "account")] = true
	is.Equal(len(keys), 8)
	again := r
	again.ID, again.Header = "other attempt", []wire.Header{{Name: "X", Value: "y"}}
	is.Equal(KeyOf("id", &again, ""), KeyOf("id", &r, ""))
}
