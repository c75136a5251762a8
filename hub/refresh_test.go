package hub

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A flood of unknown keys must not become a flood of questions: those that come while one is
// under way share its answer, and the next one is asked after a while.
func TestQuestionsForTheManifestAreShared(t *testing.T) {
	is := is.New(t)
	var r refresher
	now := time.Unix(100, 0)
	first, ask := r.begin(now)
	is.True(ask)
	for range 1000 {
		done, ask := r.begin(now)
		is.True(!ask)
		is.Equal(done, first)
	}
	r.end(false)
	<-first
	done, ask := r.begin(now.Add(refreshInterval / 2))
	is.True(done == nil && !ask)
	_, ask = r.begin(now.Add(refreshInterval))
	is.True(ask)
}

// Guards against an attack by unknown keys on all entries that costs the leader more the
// longer it lasts, and against a new key that waits when there is no attack.
func TestQuestionsForUnknownKeysAreBounded(t *testing.T) {
	const keysPerSecond, attack = 2000, 60 * time.Second
	for _, answerTime := range []time.Duration{time.Millisecond, 20 * time.Millisecond, refreshTimeout} {
		t.Run(answerTime.String(), func(t *testing.T) {
			is := is.New(t)
			rng := rand.New(rand.NewPCG(7, 7))
			var r refresher
			began := time.Unix(100, 0)
			var answered time.Time // when the question under way ends
			asked, shared, refused := 0, 0, 0
			now := began
			arrive := func() (ask bool) {
				if r.running != nil && !now.Before(answered) {
					r.end(false)
				}
				done, ask := r.begin(now)
				switch {
				case ask:
					answered = now.Add(answerTime)
					asked++
				case done != nil:
					shared++
				default:
					refused++
				}
				return ask
			}
			for ; now.Before(began.Add(attack)); now = now.Add(time.Duration(rng.ExpFloat64() / keysPerSecond * float64(time.Second))) {
				arrive()
			}
			t.Logf("%d keys: %d questions, %d shared, %d without", asked+shared+refused, asked, shared, refused)
			is.True(asked+shared+refused > 100_000)
			is.True(asked <= int(attack/maxRefreshInterval)+3) // the interval doubles up to its maximum
			is.True(asked >= int(attack/(maxRefreshInterval+refreshTimeout)))

			now = now.Add(2 * maxRefreshInterval)
			is.True(arrive()) // the first unknown key after a pause is asked for at once
			now = now.Add(refreshInterval)
			is.True(arrive())
			r.end(true)
			now = now.Add(refreshInterval)
			is.True(arrive()) // the last question found something
		})
	}
}
