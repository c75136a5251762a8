package weights

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"
)

// Blob is a weight version that is being received or is complete.
type Blob struct {
	Pool    string
	Version uint64
	Size    int64  // -1 until known
	Digest  string // SHA-256 in hexadecimal, "" until known
	// Verified is set once all bytes are present and match the digest.
	Verified bool

	data []byte
	sum  hash.Hash
}

// NewBlob returns an empty blob.
func NewBlob(pool string, version uint64) *Blob {
	return &Blob{Pool: pool, Version: version, Size: -1, sum: sha256.New()}
}

// Received returns the number of bytes present.
func (b *Blob) Received() int64 { return int64(len(b.data)) }

// Part returns up to n bytes from offset on that are present.
func (b *Blob) Part(offset int64, n int) []byte {
	if offset < 0 || offset >= b.Received() {
		return nil
	}
	return b.data[offset:min(offset+int64(n), b.Received())]
}

// reset forgets all bytes. The old backing array may still be read by parts that
// were handed out.
func (b *Blob) reset() {
	b.Size, b.Digest, b.Verified, b.data = -1, "", false, nil
	b.sum.Reset()
}

// head takes up size and digest. It returns false when they contradict what is
// known, as then the bytes present belong to another content.
func (b *Blob) head(size int64, digest string) bool {
	if b.Size < 0 {
		b.Size, b.Digest = size, digest
		b.data = make([]byte, 0, size)
		return true
	}
	return b.Size == size && b.Digest == digest
}

func (b *Blob) add(data []byte) {
	room := b.Size - b.Received()
	data = data[:min(int64(len(data)), room)]
	b.data = append(b.data, data...)
	_, _ = b.sum.Write(data)
}

// check verifies a blob whose bytes are all present.
func (b *Blob) check() bool {
	b.Verified = hex.EncodeToString(b.sum.Sum(nil)) == b.Digest
	return b.Verified
}

// Cache holds the blobs of one pool, the newest first.
type Cache struct {
	limit int
	blobs []*Blob
}

// NewCache returns a cache for limit versions.
func NewCache(limit int) *Cache { return &Cache{limit: limit} }

// Get returns the blob of a version, or nil.
func (c *Cache) Get(pool string, version uint64) *Blob {
	for _, b := range c.blobs {
		if b.Pool == pool && b.Version == version {
			return b
		}
	}
	return nil
}

// Open returns the blob of a version and creates it when it is missing. The blob
// opened longest ago makes room.
func (c *Cache) Open(pool string, version uint64) *Blob {
	if b := c.Get(pool, version); b != nil {
		return b
	}
	b := NewBlob(pool, version)
	c.blobs = append([]*Blob{b}, c.blobs...)
	if len(c.blobs) > c.limit {
		c.blobs[c.limit] = nil
		c.blobs = c.blobs[:c.limit]
	}
	return b
}

// Bytes returns the bytes held.
func (c *Cache) Bytes() int64 {
	var n int64
	for _, b := range c.blobs {
		n += int64(cap(b.data))
	}
	return n
}
