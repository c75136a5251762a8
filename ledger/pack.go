package ledger

import (
	"github.com/rotisserie/eris"

	"merlinhall/wire"
)

// maxTextBytes bounds the size of a text, or of a part of one.
const maxTextBytes = 64 << 20

// Pack compresses a text. Texts are stored, replicated and written to disk many times but
// decompressed only once or twice.
func Pack(text []byte) []byte {
	if len(text) == 0 {
		return nil
	}
	return wire.Deflate(text)
}

// Unpack decompresses what Pack returned.
func Unpack(packed []byte) ([]byte, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	text, err := wire.Inflate(packed, maxTextBytes)
	return text, eris.Wrap(err, "ledger: unpack a text")
}
