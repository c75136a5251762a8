package wire

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/rotisserie/eris"
)

// compressors are kept for reuse, because one takes about 0.6 MB.
var compressors = sync.Pool{New: func() any {
	// The only error is that of an unknown level.
	z, _ := flate.NewWriter(nil, flate.BestSpeed)
	return z
}}

// Deflate compresses b.
func Deflate(b []byte) []byte {
	var out bytes.Buffer
	z := compressors.Get().(*flate.Writer)
	defer compressors.Put(z)
	z.Reset(&out)
	// Writes to a buffer do not fail.
	_, _ = z.Write(b)
	_ = z.Close()
	return out.Bytes()
}

// Inflate reverses Deflate. Errors wrap ErrMalformed; so does a result of more than
// limit bytes.
func Inflate(b []byte, limit int) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), int64(limit)+1))
	if err != nil || len(out) > limit {
		return nil, eris.Wrapf(ErrMalformed, "%d compressed bytes: %v", len(b), err)
	}
	return out, nil
}
