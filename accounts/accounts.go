// Package accounts decides to which client account a request belongs. Keys are held as
// digests only. It performs no I/O and keeps no global state.
package accounts

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base32"
	"encoding/hex"

	"github.com/rotisserie/eris"
)

// Digest identifies a key without revealing it.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// ParseDigest reads a digest in hexadecimal.
func ParseDigest(text string) (Digest, error) {
	var d Digest
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != len(d) {
		return d, eris.Errorf("not a SHA-256 in hexadecimal, %d digits", 2*len(d))
	}
	copy(d[:], b)
	return d, nil
}

// keyBytes is the length of a new key before its encoding.
const keyBytes = 20

// NewKey returns a random key.
func NewKey() string {
	var b [keyBytes]byte
	_, _ = rand.Read(b[:]) // never fails; it ends the program instead
	return base32.StdEncoding.EncodeToString(b[:])
}

// String returns the first bytes in hexadecimal, for logs. They do not reveal the key.
func (d Digest) String() string { return hex.EncodeToString(d[:4]) }

// Account is a client account: who sends requests, and with which keys. It is encoded as
// CBOR under its field names, so the fields must keep their names.
type Account struct {
	Name string
	Keys []Digest
	// Priority, if set, takes precedence over that of the route or service.
	Priority *int
}

// Errors of NewRegistry.
var (
	ErrNoName    = eris.New("a client account has no name")
	ErrSharedKey = eris.New("two client accounts have the same key")
)

// Registry is an immutable set of accounts. A nil Registry stands for a deployment without
// accounts, in which requests need no key.
type Registry struct {
	byKey map[Digest]*Account
}

// NewRegistry returns the registry of a list of accounts, or nil for an empty list. An
// account that is listed twice has the keys of both entries. Errors wrap ErrNoName or
// ErrSharedKey and name the accounts, never a key.
func NewRegistry(list []Account) (*Registry, error) {
	if len(list) == 0 {
		return nil, nil
	}
	r := &Registry{byKey: make(map[Digest]*Account, 2*len(list))}
	for i := range list {
		a := &list[i]
		if a.Name == "" {
			return nil, ErrNoName
		}
		for _, k := range a.Keys {
			if other := r.byKey[k]; other != nil && other.Name != a.Name {
				return nil, eris.Wrapf(ErrSharedKey, "%q and %q", other.Name, a.Name)
			}
			r.byKey[k] = a
		}
	}
	return r, nil
}

// Verdict is the outcome of Admit.
type Verdict int

// Verdicts.
const (
	Admitted   Verdict = iota
	KeyMissing         // the route needs a key
	KeyUnknown         // no account has the key; it may be newer than the registry
)

// Admit decides on a request with the given key, which may be empty. anonymous is set if
// the route needs no key; a key that is sent nevertheless must be known. The account is nil
// if the request has none.
func (r *Registry) Admit(key string, anonymous bool) (*Account, Verdict) {
	switch {
	case r == nil:
		return nil, Admitted
	case key != "":
		if a := r.byKey[DigestOf(key)]; a != nil {
			return a, Admitted
		}
		return nil, KeyUnknown
	case anonymous:
		return nil, Admitted
	}
	return nil, KeyMissing
}
