package wire

import (
	"encoding/binary"
	"io"

	"github.com/rotisserie/eris"
)

// EncodeParts concatenates parts, each prefixed by its length as a varint, in a
// buffer that is allocated once. Snapshots of large states use it instead of nested
// CBOR, which copies each level several times.
func EncodeParts(parts ...[]byte) []byte {
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

// WritePart writes one length-prefixed part in the format of EncodeParts.
func WritePart(w io.Writer, part []byte) error {
	if _, err := w.Write(binary.AppendUvarint(nil, uint64(len(part)))); err != nil {
		return err
	}
	_, err := w.Write(part)
	return err
}

// DecodeParts reverses EncodeParts. The parts are subslices of b. Errors wrap
// ErrMalformed.
func DecodeParts(b []byte) ([][]byte, error) {
	var parts [][]byte
	for len(b) > 0 {
		length, n := binary.Uvarint(b)
		if n <= 0 || length > uint64(len(b)-n) {
			return nil, eris.Wrapf(ErrMalformed, "part %d has an invalid length", len(parts))
		}
		b = b[n:]
		parts = append(parts, b[:length:length])
		b = b[length:]
	}
	return parts, nil
}
