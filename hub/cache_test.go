package hub

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"merlinhall/routes"
	"merlinhall/wire"
)

func update(t *testing.T, version uint64) *wire.RouteUpdate {
	t.Helper()
	body, err := wire.Marshal(&routes.Manifest{Version: version})
	if err != nil {
		t.Fatal(err)
	}
	return &wire.RouteUpdate{Version: version, Manifest: body}
}

func TestNewestManifestIsCached(t *testing.T) {
	is := is.New(t)
	dir := filepath.Join(t.TempDir(), "cache")
	c := newManifestCache(dir, logrus.NewEntry(logrus.New()))
	is.Equal(c.load(), nil)
	for v := uint64(1); v <= 50; v++ {
		c.save(update(t, v))
	}
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if u := c.load(); u != nil && u.Version == 50 {
			return
		}
	}
	is.Fail() // the latest manifest was not written
}

func TestCorruptCacheIsIgnored(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	c := newManifestCache(dir, logrus.NewEntry(logrus.New()))
	is.NoErr(os.WriteFile(filepath.Join(dir, cacheFileName), []byte("torn"), cacheFileMode))
	is.Equal(c.load(), nil)
	is.Equal(newManifestCache("", c.log).load(), nil) // a host without a data directory
}

// Guards against a restarted process that serves by an older manifest, because the disk
// refused the newest one once.
func TestRefusedManifestIsWrittenLater(t *testing.T) {
	is := is.New(t)
	dir := filepath.Join(t.TempDir(), "cache")
	c := newManifestCache(dir, logrus.NewEntry(logrus.New()))
	is.NoErr(os.RemoveAll(dir))
	c.save(update(t, 7))
	time.Sleep(100 * time.Millisecond)
	is.Equal(c.load(), nil)
	is.NoErr(os.MkdirAll(dir, 0o700))
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if u := c.load(); u != nil && u.Version == 7 {
			return
		}
	}
	is.Fail() // the manifest was not written
}
