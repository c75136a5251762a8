// Package quarantine holds back requests that end the targets that run them, over all
// processes together.
//
// Two arrivals of a request share a Key. The Keeper of each process has a table of the keys
// under which targets have ended, in a row without an answer, and asks the control leader
// before such a request is sent again. The leader's judge lets one with each key through at a
// time, later after each end, and all processes are told the keys with two ends or more.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"merlinhall/upstream"
)

const (
	// digestBytes is the length of each half of a key. Nobody can find two requests of the
	// same digest to have one held back for the other.
	digestBytes = 16
	// shownBytes is how much of a key logs, dumps and commands show.
	shownBytes = 8
)

type digest [digestBytes]byte

// Key identifies requests that a target cannot tell apart but by their ids: they have the same
// method, host, path, query, client account and body.
type Key struct {
	head digest // of all but the body, and of its length
	body digest
}

// KeyOf returns the key of a request of a client account, which is empty if it has none.
func KeyOf(r *upstream.Request, account string) Key {
	return Key{head: headOf(r, account), body: bodyOf(r)}
}

// headOf returns the part of the key that does not need the body.
func headOf(r *upstream.Request, account string) digest {
	size := 8
	parts := [...]string{r.Method, r.Host, r.URI, account}
	for _, p := range parts {
		size += 8 + len(p)
	}
	text := make([]byte, 0, size)
	for _, p := range parts {
		text = binary.BigEndian.AppendUint64(text, uint64(len(p)))
		text = append(text, p...)
	}
	text = binary.BigEndian.AppendUint64(text, uint64(len(r.Body)))
	return sum(text)
}

func bodyOf(r *upstream.Request) digest { return sum(r.Body) }

func sum(b []byte) digest {
	all := sha256.Sum256(b)
	return digest(all[:digestBytes])
}

// String implements fmt.Stringer.
func (k Key) String() string {
	return hex.EncodeToString(append(k.head[:shownBytes/2:shownBytes/2], k.body[:shownBytes/2]...))
}

// bytes returns the key as it is sent to other processes.
func (k Key) bytes() []byte { return append(k.head[:len(k.head):len(k.head)], k.body[:]...) }

// keyOfBytes returns the key that another process sent, or false if it is none.
func keyOfBytes(b []byte) (Key, bool) {
	if len(b) != 2*digestBytes {
		return Key{}, false
	}
	return Key{head: digest(b[:digestBytes]), body: digest(b[digestBytes:])}, true
}
