package storage

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/rotisserie/eris"
)

// ErrCorrupt is returned when a file holds something other than what was written
// and synced. A replica with such a folder must not start: it may have
// acknowledged what is damaged.
var ErrCorrupt = eris.New("storage: file is damaged")

type recordType uint8

const (
	recordIdentity recordType = 1
	recordState    recordType = 2
	recordEntry    recordType = 3
	recordEnd      recordType = 4 // last record of a batch
)

// A record is a header of headerBytes and a payload. The header holds the length
// of the payload (4 bytes), the number of the batch (8), the type (1), the
// checksum of the payload (4) and the checksum of the header before it (4), all
// little-endian. A batch is written and synced as a whole.
const (
	headerBytes = 21
	sectorBytes = 512 // smallest unit that a disk writes
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

type record struct {
	batch   uint64
	kind    recordType
	payload []byte
}

func appendRecord(b []byte, batch uint64, kind recordType, payload []byte) []byte {
	var h [headerBytes]byte
	binary.LittleEndian.PutUint32(h[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(h[4:], batch)
	h[12] = byte(kind)
	binary.LittleEndian.PutUint32(h[13:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(h[17:], crc32.Checksum(h[:17], castagnoli))
	return append(append(b, h[:]...), payload...)
}

// readRecord returns the record at the begin of b and its size, or false.
func readRecord(b []byte) (r record, size int, ok bool) {
	if len(b) < headerBytes || crc32.Checksum(b[:17], castagnoli) != binary.LittleEndian.Uint32(b[17:]) {
		return r, 0, false
	}
	size = headerBytes + int(binary.LittleEndian.Uint32(b))
	if len(b) < size {
		return r, size, false
	}
	payload := b[headerBytes:size]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(b[13:]) {
		return r, size, false
	}
	r = record{batch: binary.LittleEndian.Uint64(b[4:]), kind: recordType(b[12]), payload: payload}
	return r, size, true
}

// parse returns the records of all complete batches. An incomplete last batch
// was never acknowledged and is dropped; the error wraps ErrCorrupt when the
// damage cannot be the trace of an interrupted write.
func parse(name string, b []byte) ([]record, error) {
	var complete, batch []record
	begin, next := 0, uint64(1)
	for at := 0; at < len(b); {
		r, size, ok := readRecord(b[at:])
		if !ok || r.batch != next {
			return complete, checkTorn(name, b, begin, at, next)
		}
		at += size
		batch = append(batch, r)
		if r.kind == recordEnd {
			complete = append(complete, batch...)
			batch = nil
			begin = at
			next++
		}
	}
	return complete, nil
}

// checkTorn decides whether the bad record at offset at, in a batch that begins
// at offset begin, is the trace of an interrupted write of the last batch. Such
// a write leaves a file that ends early or sectors that are zero. A later batch
// was begun only after this one was synced, so its presence means damage.
func checkTorn(name string, b []byte, begin, at int, batch uint64) error {
	for i := at + 1; i+headerBytes <= len(b); i++ {
		if r, _, ok := readRecord(b[i:]); ok && r.batch > batch {
			return eris.Wrapf(ErrCorrupt, "%s: bad record at byte %d of batch %d, which was synced", name, at, batch)
		}
	}
	if endsEarly(b[at:]) || zeroSector(b, begin, at) {
		return nil
	}
	return eris.Wrapf(ErrCorrupt, "%s: bad record at byte %d of the last batch", name, at)
}

// endsEarly reports whether b is the begin of a record that goes on beyond the
// end of the file.
func endsEarly(b []byte) bool {
	if len(b) < headerBytes {
		return true
	}
	if crc32.Checksum(b[:17], castagnoli) != binary.LittleEndian.Uint32(b[17:]) {
		return false
	}
	return headerBytes+int(binary.LittleEndian.Uint32(b)) > len(b)
}

// zeroSector reports whether a sector of the batch from offset begin on was not
// written, seen from the bad record at offset at: all bytes of the batch in one
// sector at or after it are zero.
func zeroSector(b []byte, begin, at int) bool {
	for from := max(begin, at/sectorBytes*sectorBytes); from < len(b); {
		to := min(len(b), (from/sectorBytes+1)*sectorBytes)
		if to-from >= minZeroRun && allZero(b[from:to]) {
			return true
		}
		from = to
	}
	return false
}

// minZeroRun is the shortest run of zeros that counts as an unwritten sector. A
// shorter one may be a part of a valid header.
const minZeroRun = 9

func allZero(b []byte) bool {
	for _, c := range b {
		if c != 0 {
			return false
		}
	}
	return true
}
