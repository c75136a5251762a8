package weights

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"
)

// Blob holds the bytes of a weight version, complete or still being received.
type Blob struct {
	Pool    string
	Version uint64
	Size    int64  // -1 until known
	Digest  string // SHA-256 in hexadecimal, "" until known
	// Verified is set once all bytes are present and match the digest.
	Verified bool

	data   []byte
	hasher hash.Hash
}

// NewBlob returns an empty blob.
func NewBlob(pool string, version uint64) *Blob {
	return &Blob{Pool: pool, Version: version, Size: -1, hasher: sha256.New()}
}

// Received returns the number of bytes present.
func (b *Blob) Received() int64 { return int64(len(b.data)) }

// Part returns up to n of the bytes received, starting at offset.
func (b *Blob) Part(offset int64, n int) []byte {
	if offset < 0 || offset >= b.Received() {
		return nil
	}
	return b.data[offset:min(offset+int64(n), b.Received())]
}

// reset discards all bytes. It does not reuse the backing array, which parts already
// returned may still refer to.
func (b *Blob) reset() {
	b.Size, b.Digest, b.Verified, b.data = -1, "", false, nil
	b.hasher.Reset()
}

// setHeader sets the size and digest. It returns false if they differ from those
// already known, because the bytes received then belong to other content.
func (b *Blob) setHeader(size int64, digest string) bool {
	if b.Size < 0 {
		b.Size, b.Digest = size, digest
		b.data = make([]byte, 0, size)
		return true
	}
	return b.Size == size && b.Digest == digest
}

func (b *Blob) appendData(data []byte) {
	room := b.Size - b.Received()
	data = data[:min(int64(len(data)), room)]
	b.data = append(b.data, data...)
	_, _ = b.hasher.Write(data)
}

// verify checks the digest of a blob whose bytes are all present.
func (b *Blob) verify() bool {
	b.Verified = hex.EncodeToString(b.hasher.Sum(nil)) == b.Digest
	return b.Verified
}

// Cache holds a limited number of blobs, the most recently created first.
type Cache struct {
	limit int
	blobs []*Blob
}

// NewCache returns a cache for at most limit blobs.
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

// Open returns the blob of a version, and creates it if it is missing. If the cache is
// full, the oldest blob is evicted.
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

// Bytes returns the number of bytes allocated for all blobs.
func (c *Cache) Bytes() int64 {
	var n int64
	for _, b := range c.blobs {
		n += int64(cap(b.data))
	}
	return n
}
