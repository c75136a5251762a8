package wire

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

// Guards against parts that change in encoding, and against truncated input that
// decodes without an error.
func TestPartsRoundTrip(t *testing.T) {
	is := is.New(t)
	parts := [][]byte{[]byte("a"), {}, make([]byte, 300)}
	b := EncodeParts(parts...)
	again, err := DecodeParts(b)
	is.NoErr(err)
	is.Equal(len(again), 3)
	is.Equal(string(again[0]), "a")
	is.Equal(len(again[1]), 0)
	is.Equal(len(again[2]), 300)
	_, err = DecodeParts(b[:len(b)-1])
	is.True(errors.Is(err, ErrMalformed))
	none, err := DecodeParts(nil)
	is.NoErr(err)
	is.Equal(len(none), 0)
}

// Guards against compressed data that was cut and decodes as a shorter text.
func TestCutCompressedDataIsAnError(t *testing.T) {
	is := is.New(t)
	var text []byte
	for i := range 40_000 {
		text = append(text, byte(i*i>>7), 'e', ' ') // more than one block
	}
	for _, size := range []int{0, 1, 100, len(text)} {
		b := Deflate(text[:size])
		whole, err := Inflate(b, len(text))
		is.NoErr(err)
		is.Equal(string(whole), string(text[:size]))
		for cut := 0; cut < len(b); cut += max(len(b)/100, 1) {
			_, err := Inflate(b[:cut], len(text))
			is.True(errors.Is(err, ErrMalformed))
		}
		_, err = Inflate(b[:len(b)-1], len(text))
		is.True(errors.Is(err, ErrMalformed))
	}
}
