package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"testing"

	"github.com/matryer/is"

	"merlinhall/loopback"
)

// A frame announces or has a list that takes much more memory than the frame itself.
func TestListsInFramesAreBounded(t *testing.T) {
	list := func(announced uint32, elements int) []byte {
		frame := []byte{byte(KindTargetUpdate), 0xa1, 4, 0x9a} // field 4: targets
		frame = binary.BigEndian.AppendUint32(frame, announced)
		return append(frame, bytes.Repeat([]byte{0xa0}, elements)...)
	}
	for name, c := range map[string]struct {
		frame     []byte
		sound     bool
		allocated int64
	}{
		"announced only":    {list(1<<18, 0), false, 1 << 20},
		"announced 4 G":     {list(1<<32-1, 0), false, 1 << 20},
		"a million":         {list(1<<20, 1<<20), false, 1 << 20},
		"half of the limit": {list(1<<17, 1<<17), true, 32 << 20},
		"without a count":   {append([]byte{byte(KindTargetUpdate), 0xa1, 4, 0x9f}, bytes.Repeat([]byte{0xa0}, 1<<20)...), false, 1 << 20},
		"string of 4 GB":    {[]byte{byte(KindCall), 0xa1, 1, 0x7a, 0xff, 0xff, 0xff, 0xff, 'a'}, false, 1 << 20},
		"bytes of 4 GB":     {[]byte{byte(KindCall), 0xa1, 2, 0x5a, 0xff, 0xff, 0xff, 0xff, 'a'}, false, 1 << 20},
		"map of 4 G":        {[]byte{byte(KindCall), 0xba, 0xff, 0xff, 0xff, 0xff, 1, 1}, false, 1 << 20},
		"nesting":           {append([]byte{byte(KindTargetUpdate)}, bytes.Repeat([]byte{0x81}, 1<<20)...), false, 1 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var err error
			allocated := loopback.Allocated(func() { _, err = Decode(c.frame) })
			t.Logf("%v; %d KB allocated", err, allocated>>10)
			is.Equal(err == nil, c.sound)
			is.True(c.sound || errors.Is(err, ErrMalformed))
			is.True(allocated < c.allocated)
		})
	}
}

// Compressed data of a peer may expand without end.
func TestInflatedDataIsBounded(t *testing.T) {
	is := is.New(t)
	packed := Deflate(make([]byte, 16<<20)) // some 20 KB
	var err error
	allocated := loopback.Allocated(func() { _, err = Inflate(packed, 1<<20) })
	t.Logf("%d bytes: %d KB allocated", len(packed), allocated>>10)
	is.True(errors.Is(err, ErrMalformed))
	is.True(allocated < 16<<20)
}
