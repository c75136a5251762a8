package ledger

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
)

func TestPackAndUnpackRoundTrip(t *testing.T) {
	is := is.New(t)
	text := bytes.Repeat([]byte("a line of an answer\n"), 400)
	packed := Pack(text)
	is.True(len(packed) < len(text)/4)
	again, err := Unpack(packed)
	is.NoErr(err)
	is.Equal(again, text)
	none, err := Unpack(Pack(nil))
	is.NoErr(err)
	is.Equal(len(none), 0)
	_, err = Unpack(packed[:len(packed)/2])
	is.True(err != nil)
}
