package ledger

import (
	"github.com/rotisserie/eris"

	"merlinhall/wire"
)

// maxTextBytes bounds a text, or a part of one.
const maxTextBytes = 64 << 20

// Pack compresses a text. Texts are kept, copied to other replicas and written to
// disks many times and unpacked once or twice.
func Pack(text []byte) []byte {
	if len(text) == 0 {
		return nil
	}
	return wire.Deflate(text)
}

// Unpack reverses Pack.
func Unpack(packed []byte) ([]byte, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	text, err := wire.Inflate(packed, maxTextBytes)
	return text, eris.Wrap(err, "ledger: unpack a text")
}
