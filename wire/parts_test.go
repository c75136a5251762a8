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
