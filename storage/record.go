package storage

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/rotisserie/eris"
)

// ErrCorrupt is returned when a file differs from what was written and synced. A
// replica with such a data directory must not start: it may have acknowledged the
// corrupt data.
var ErrCorrupt = eris.New("storage: file is damaged")

type recordType uint8

const (
	recordIdentity recordType = 1
	recordState    recordType = 2
	recordEntry    recordType = 3
	recordEnd      recordType = 4 // last record of a batch
)

// A record is a header of headerBytes followed by a payload. The header holds
// recordMagic (1 byte), the payload length (4 bytes), the batch number (8), the
// record type (1), the payload checksum (4) and the checksum of the preceding
// header bytes (4), all little-endian. A batch is a sequence of records that is
// written and synced together. It begins with recordMagic and ends with
// endPayload, neither of which is zero. A sector that holds only zero bytes of the
// batch was therefore not written, unless it lies within a long payload of zeros.
const (
	headerBytes      = 22
	lengthOffset     = 1
	batchOffset      = 5
	kindOffset       = 13
	payloadSumOffset = 14
	headerSumOffset  = 18
	sectorBytes      = 512 // smallest unit that a disk writes atomically
	recordMagic      = 0x4d
	endPayload       = 0x45
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

type record struct {
	batch   uint64
	kind    recordType
	payload []byte
}

func appendRecord(b []byte, batch uint64, kind recordType, payload []byte) []byte {
	var h [headerBytes]byte
	h[0] = recordMagic
	binary.LittleEndian.PutUint32(h[lengthOffset:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(h[batchOffset:], batch)
	h[kindOffset] = byte(kind)
	binary.LittleEndian.PutUint32(h[payloadSumOffset:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(h[headerSumOffset:], crc32.Checksum(h[:headerSumOffset], castagnoli))
	return append(append(b, h[:]...), payload...)
}

// validHeader reports whether b begins with a header whose checksum is correct.
func validHeader(b []byte) bool {
	return len(b) >= headerBytes && b[0] == recordMagic &&
		crc32.Checksum(b[:headerSumOffset], castagnoli) == binary.LittleEndian.Uint32(b[headerSumOffset:])
}

// recordSize returns the size of the record at the start of b, whose header must
// be valid.
func recordSize(b []byte) int {
	return headerBytes + int(binary.LittleEndian.Uint32(b[lengthOffset:]))
}

// readRecord decodes the record at the start of b. ok is false if it is incomplete
// or a checksum does not match.
func readRecord(b []byte) (r record, size int, ok bool) {
	if !validHeader(b) {
		return r, 0, false
	}
	size = recordSize(b)
	if len(b) < size {
		return r, size, false
	}
	payload := b[headerBytes:size]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(b[payloadSumOffset:]) {
		return r, size, false
	}
	r = record{batch: binary.LittleEndian.Uint64(b[batchOffset:]), kind: recordType(b[kindOffset]), payload: payload}
	return r, size, true
}

// parseLog returns the records of all complete batches and the offset at which the
// last of them ends. An incomplete last batch was never acknowledged and is
// dropped. The error wraps ErrCorrupt if an interrupted write does not explain the
// bad record.
func parseLog(name string, b []byte) (complete []record, end int, err error) {
	var batch []record
	begin, next := 0, uint64(1)
	for at := 0; at < len(b); {
		r, size, ok := readRecord(b[at:])
		if !ok || r.batch != next {
			return complete, begin, checkTorn(name, b, begin, at, next)
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
	return complete, begin, nil
}

// checkTorn returns nil if the bad record at offset at, in a batch that begins at
// offset begin, results from a torn write of the last batch, and ErrCorrupt
// otherwise. A torn write leaves a truncated file or zeroed sectors. A batch is
// written only after the previous one was synced, so a later batch in the file
// means that this one was complete and has been corrupted since.
func checkTorn(name string, b []byte, begin, at int, batch uint64) error {
	for i := at + 1; i+headerBytes <= len(b); i++ {
		if r, _, ok := readRecord(b[i:]); ok && r.batch > batch {
			return eris.Wrapf(ErrCorrupt, "%s: bad record at byte %d of batch %d, which was synced", name, at, batch)
		}
	}
	end := at + headerBytes
	if validHeader(b[at:]) {
		end = at + recordSize(b[at:])
	}
	if end > len(b) || hasUnwrittenSector(b, begin, at, end) {
		return nil
	}
	return eris.Wrapf(ErrCorrupt, "%s: bad record at byte %d of the last batch", name, at)
}

// hasUnwrittenSector reports whether one of the sectors that hold the record in
// [at, end) was not written: all of its bytes from begin, the start of the batch,
// on are zero.
func hasUnwrittenSector(b []byte, begin, at, end int) bool {
	for from := at / sectorBytes * sectorBytes; from < end; from += sectorBytes {
		if allZero(b[max(from, begin):min(from+sectorBytes, len(b))]) {
			return true
		}
	}
	return false
}

func allZero(b []byte) bool {
	for _, c := range b {
		if c != 0 {
			return false
		}
	}
	return true
}
