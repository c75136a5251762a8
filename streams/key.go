// Package streams knows which software of a service began each stream that callers may take up.
//
// What targets of two software versions write does not fit together, so a stream goes on only
// at the software that began it. Any process may get the request that takes a stream up, also
// after all processes have lost power. So the Keeper of the process that begins a stream tells
// the control leader before the caller gets the first event, the leader has the record
// committed, and the Keeper of the process that gets the stream asks for it. A stream without a
// record is taken up only where its service has had a single software for longer than callers
// come back.
package streams

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"merlinhall/ledger"
	"merlinhall/upstream"
)

// Key identifies a stream. Nobody can find another request with the same key, and only the
// caller's own requests for the same content have it.
type Key ledger.StreamKey

// KeyOf returns the key of a stream that began with an attempt. r is any attempt of it, and
// account is the client account, which is empty if it has none.
func KeyOf(attempt string, r *upstream.Request, account string) Key {
	h := sha256.New()
	var length [8]byte
	for _, part := range [...]string{attempt, r.Method, r.Host, r.URI, account} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	h.Write(r.Body)
	return Key(h.Sum(nil)[:ledger.StreamKeyBytes])
}

// shownBytes is how much of a key logs show.
const shownBytes = 4

// String implements fmt.Stringer.
func (k Key) String() string { return hex.EncodeToString(k[:shownBytes]) }
