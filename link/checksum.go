package link

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/rotisserie/eris"

	"merlinhall/wire"
)

const (
	// checksumBytes is the size of the checksum at the end of a frame.
	checksumBytes = 4
	// maxKeptBytes is the largest send buffer that a connection keeps between frames.
	maxKeptBytes = 64 << 10
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksums adds and verifies the checksums of the frames of one connection. The 16-bit
// checksum of TCP misses some changes, also those of the hosts themselves, and a changed
// byte of a log entry would make the replicas differ.
type checksums struct {
	// used is set if both ends know checksums. Versions before wire.Hello.Checksums do not.
	used bool
	// sent and received are the checksums with which those of the frames begin: of the
	// Hello of the sender of the frame, then that of the other end. So no frame is
	// accepted after a Hello that was changed on its way.
	sent, received uint32
	buffer         []byte // of the writing goroutine
}

func newChecksums(used bool, localHello, peerHello []byte) checksums {
	local, peer := crc32.Checksum(localHello, castagnoli), crc32.Checksum(peerHello, castagnoli)
	return checksums{
		used:     used,
		sent:     crc32.Update(local, castagnoli, peerHello),
		received: crc32.Update(peer, castagnoli, localHello),
	}
}

// seal returns frame with its checksum. The result is valid until the next call. frame may
// be in the queues of other connections too, so it is copied.
func (s *checksums) seal(frame []byte) []byte {
	if !s.used {
		return frame
	}
	if size := len(frame) + checksumBytes; cap(s.buffer) < size || cap(s.buffer) > maxKeptBytes {
		s.buffer = make([]byte, 0, size)
	}
	s.buffer = append(s.buffer[:0], frame...)
	s.buffer = binary.LittleEndian.AppendUint32(s.buffer, crc32.Update(s.sent, castagnoli, frame))
	return s.buffer
}

// open returns a received frame without its checksum. The error wraps wire.ErrMalformed if
// the checksum does not match.
func (s *checksums) open(frame []byte) ([]byte, error) {
	if !s.used {
		return frame, nil
	}
	end := len(frame) - checksumBytes
	if end < 0 || crc32.Update(s.received, castagnoli, frame[:end]) != binary.LittleEndian.Uint32(frame[end:]) {
		return nil, eris.Wrapf(wire.ErrMalformed, "link: checksum of a frame of %d bytes does not match", len(frame))
	}
	return frame[:end], nil
}
