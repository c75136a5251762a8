package wire

import (
	"encoding/binary"
	"io"

	"github.com/rotisserie/eris"
)

// Frame joins parts, each after its length, in one buffer of the right size. Large
// states are put together with it instead of nested CBOR, which copies each level
// several times.
func Frame(parts ...[]byte) []byte {
	size := 0
	for _, p := range parts {
		size += binary.MaxVarintLen64 + len(p)
	}
	out := make([]byte, 0, size)
	for _, p := range parts {
		out = binary.AppendUvarint(out, uint64(len(p)))
		out = append(out, p...)
	}
	return out
}

// WriteFrame writes one part as Frame has it.
func WriteFrame(w io.Writer, part []byte) error {
	if _, err := w.Write(binary.AppendUvarint(nil, uint64(len(part)))); err != nil {
		return err
	}
	_, err := w.Write(part)
	return err
}

// Unframe reverses Frame. The parts refer to b. Errors wrap ErrMalformed.
func Unframe(b []byte) ([][]byte, error) {
	var parts [][]byte
	for len(b) > 0 {
		length, n := binary.Uvarint(b)
		if n <= 0 || length > uint64(len(b)-n) {
			return nil, eris.Wrapf(ErrMalformed, "part %d of a frame", len(parts))
		}
		b = b[n:]
		parts = append(parts, b[:length:length])
		b = b[length:]
	}
	return parts, nil
}
