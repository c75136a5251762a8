package wire

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/rotisserie/eris"
)

// compressors are pooled because each allocates about 0.6 MB.
var compressors = sync.Pool{New: func() any {
	// The only possible error is an invalid compression level.
	z, _ := flate.NewWriter(nil, flate.BestSpeed)
	return z
}}

// Deflate compresses b in the DEFLATE format.
func Deflate(b []byte) []byte {
	var out bytes.Buffer
	z := compressors.Get().(*flate.Writer)
	defer compressors.Put(z)
	z.Reset(&out)
	// Writes to a bytes.Buffer do not fail.
	_, _ = z.Write(b)
	_ = z.Close()
	return out.Bytes()
}

// Inflate reverses Deflate. A result of more than limit bytes is an error. Errors
// wrap ErrMalformed.
func Inflate(b []byte, limit int) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), int64(limit)+1))
	if err != nil || len(out) > limit {
		return nil, eris.Wrapf(ErrMalformed, "%d compressed bytes: %v", len(b), err)
	}
	return out, nil
}
