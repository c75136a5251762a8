package wire

import (
	"testing"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"
	"pgregory.net/rapid"
)

// Guards against a field that is lost in encoding or decoding.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := &Run{
			ID:       rapid.String().Draw(t, "id"),
			Body:     rapid.SliceOfN(rapid.Byte(), 1, 64).Draw(t, "body"),
			Deadline: rapid.Int64().Draw(t, "deadline"),
			Headers:  []Header{{Name: "A", Value: rapid.String().Draw(t, "value")}},
		}
		frame, err := Encode(in)
		if err != nil {
			t.Fatal(err)
		}
		out, err := Decode(frame)
		if err != nil {
			t.Fatal(err)
		}
		got := out.(*Run)
		if got.ID != in.ID || string(got.Body) != string(in.Body) || got.Deadline != in.Deadline || got.Headers[0] != in.Headers[0] {
			t.Fatalf("got %+v, want %+v", got, in)
		}
	})
}

// Guards against a malformed frame that crashes the process, and against decoding
// errors that do not wrap ErrMalformed.
func TestMalformedFramesAreErrors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		frame := rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "frame")
		if _, err := Decode(frame); err != nil && !eris.Is(err, ErrMalformed) {
			t.Fatalf("error %v does not wrap ErrMalformed", err)
		}
	})
}

// Guards against a truncated frame that is decoded to a partial message.
func TestTruncatedFrame(t *testing.T) {
	is := is.New(t)
	frame, err := Encode(&Chunk{ID: "r1", Data: []byte("abcdef"), End: EndComplete})
	is.NoErr(err)
	for n := range frame {
		_, err := Decode(frame[:n])
		is.True(eris.Is(err, ErrMalformed))
	}
}
