package rollout

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/wire"
)

func testBody(text string) (wire.BodyKey, []byte) {
	data, digest := encodeBody(Body{Samples: []Sample{{Tokens: []string{text}}}})
	return wire.BodyKey{Trainer: "abay/ä-1", Step: 3, Group: 2, Round: 1, Digest: digest}, data
}

// Guards against truncated or modified body files that are accepted as intact, and
// against bodies that are lost after a restart.
func TestStoreDetectsDamage(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	s, err := OpenStore(dir)
	is.NoErr(err)
	key, data := testBody("token")
	is.True(s.Put(wire.BodyKey{Digest: "other"}, data) != nil)
	is.NoErr(s.Put(key, data))
	is.NoErr(os.WriteFile(filepath.Join(dir, "left.body.tmp"), data, 0o600))

	s, err = OpenStore(dir)
	is.NoErr(err)
	is.True(s.Has(key))
	got, err := s.Get(key)
	is.NoErr(err)
	is.Equal(got, data)

	name := filepath.Join(dir, bodyName(key))
	for cut := range data {
		is.NoErr(os.WriteFile(name, data[:cut], 0o600))
		_, err := s.Get(key)
		is.Equal(err, ErrNoBody)
		is.True(!s.Has(key))
	}
	for i := range data {
		changed := append([]byte(nil), data...)
		changed[i] ^= 4
		is.NoErr(os.WriteFile(name, changed, 0o600))
		_, err := s.Get(key)
		is.Equal(err, ErrNoBody)
	}
	is.NoErr(os.WriteFile(name, data[:3], 0o600))
	s.skipDigest = true
	_, err = s.Get(key)
	is.NoErr(err) // without the check the truncated file is accepted
	entries, err := os.ReadDir(dir)
	is.NoErr(err)
	is.Equal(len(entries), 1) // the incomplete file is gone
}

// Guards against a sync that is repeated after it has failed, and against a store that one
// refused write stops until the process restarts.
func TestStoreRefusesWritesForAWhileAfterAFailedOne(t *testing.T) {
	is := is.New(t)
	dir := filepath.Join(t.TempDir(), "bodies")
	s, err := OpenStore(dir)
	is.NoErr(err)
	now := time.Unix(0, 0)
	s.now = func() time.Time { return now }
	is.NoErr(os.RemoveAll(dir))
	key, data := testBody("token")
	is.True(s.Put(key, data) != nil)
	is.NoErr(os.MkdirAll(dir, 0o700))
	now = now.Add(writeErrPause - 1)
	is.True(s.Put(key, data) != nil)
	is.True(s.Err() != nil)
	is.True(!s.Has(key))
	now = now.Add(1)
	is.NoErr(s.Put(key, data))
	is.NoErr(s.Err())
	stored, err := s.Get(key)
	is.NoErr(err)
	is.Equal(stored, data)
}
