package ledger

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/rotisserie/eris"
)

// writers keeps compressors, each of which takes some hundred kilobytes.
var writers = sync.Pool{New: func() any {
	// The only error is that of an unknown level.
	w, _ := flate.NewWriter(nil, flate.BestSpeed)
	return w
}}

// Pack compresses a text. Texts are kept, copied to other replicas and written to
// disks many times and unpacked once or twice.
func Pack(text []byte) []byte {
	if len(text) == 0 {
		return nil
	}
	var out bytes.Buffer
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	w.Reset(&out)
	// Writes to a buffer do not fail.
	_, _ = w.Write(text)
	_ = w.Close()
	return out.Bytes()
}

// Unpack reverses Pack.
func Unpack(packed []byte) ([]byte, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	text, err := io.ReadAll(flate.NewReader(bytes.NewReader(packed)))
	return text, eris.Wrap(err, "ledger: unpack a text")
}
