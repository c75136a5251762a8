package propagate

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"
	"pgregory.net/rapid"

	"merlinhall/wire"
)

// Guards against a patch that does not produce the text, for texts with repeated,
// moved, empty and unterminated lines.
func TestPatchProducesTheText(t *testing.T) {
	line := rapid.SampledFrom([]string{"a\n", "b\n", "\n", "[[pool.target]]\n", "c = 1\n", "c = 2\n", "x"})
	text := rapid.Custom(func(t *rapid.T) []byte {
		var b []byte
		for _, l := range rapid.SliceOfN(line, 0, 30).Draw(t, "lines") {
			b = append(b, l...)
		}
		return b
	})
	rapid.Check(t, func(t *rapid.T) {
		base, want := text.Draw(t, "base"), text.Draw(t, "text")
		got, err := ApplyPatch(base, MakePatch(base, want), 1<<20)
		if err != nil || !bytes.Equal(got, want) {
			t.Fatalf("got %q, %v, want %q", got, err, want)
		}
	})
}

// Guards against patches that grow with the text: three edits far apart in a text
// of 2,600 targets must fit in 4 KiB.
func TestPatchOfFullSizeIsSmall(t *testing.T) {
	is := is.New(t)
	base := fullText(2600)
	text := bytes.Replace(base, []byte(`name = "engine-3"`), []byte(`name = "engine-3b"`), 1)
	text = bytes.Replace(text, []byte(`zone = "zone-7"`), []byte(`zone = "zone-1"`), 40)
	at := bytes.Index(text, []byte("\n[[pool.target]]\nname = \"engine-2000\""))
	text = append(text[:at:at], text[at+100:]...)
	got, err := ApplyPatch(base, MakePatch(base, text), 1<<20)
	is.NoErr(err)
	is.True(bytes.Equal(got, text))
	frame, err := wire.Encode(&wire.ClusterStateDelta{Patch: MakePatch(base, text)})
	is.NoErr(err)
	is.True(len(frame) < 4<<10)
}

// Guards against a patch from a faulty peer that reads outside the base, produces a
// text of unbounded size or causes a panic.
func TestBadPatchIsAnError(t *testing.T) {
	is := is.New(t)
	for _, op := range []wire.PatchOp{{From: 2, Count: 2}, {From: 1 << 31, Count: 1 << 31}, {Text: make([]byte, 101)}} {
		_, err := ApplyPatch([]byte("abc"), []wire.PatchOp{op}, 100)
		is.True(eris.Is(err, ErrBadPatch))
	}
}

// Guards against a delta that is applied to another base or to a modified cluster
// state.
func TestDeltaChecksItsBase(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	s := newSim(1)
	var states []*wire.ClusterState
	for range 30 {
		s.commitChange()
		states = append(states, s.newest)
	}
	for range 200 {
		i := rng.IntN(len(states) - 1)
		j := i + 1 + rng.IntN(len(states)-1-i)
		d := MakeDelta(states[i], states[j])
		got, err := ApplyDelta(states[i], d)
		is.NoErr(err)
		is.Equal(got, states[j])
		changed := *states[i]
		changed.Departures = append([]wire.Departure{{Target: "zz"}}, changed.Departures...)
		_, err = ApplyDelta(&changed, d)
		is.True(eris.Is(err, ErrBadDelta))
		if i > 0 {
			_, err = ApplyDelta(states[i-1], d)
			is.True(eris.Is(err, ErrBadDelta))
		}
	}
}
